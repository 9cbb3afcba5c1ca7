package node

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

func newWatcher(seen map[string]string) *watcher {
	return &watcher{
		table: "t", log: &log.Logger{Handler: discard.New()}, done: func(bool) {},
		change: func(row ports.VersionedRow) bool {
			if row.Deleted {
				delete(seen, row.Key)
			} else {
				seen[row.Key] = string(row.Value)
			}
			return true
		},
	}
}

func row(key, value string, version int64) ports.VersionedRow {
	return ports.VersionedRow{Table: "t", Key: key, Value: []byte(value), Version: version}
}

// Guards against a state that reverts: rows that arrive late or twice, by the
// feed or the relay, never replace newer ones.
func TestRowsNeverRevert(t *testing.T) {
	seen := map[string]string{}
	w := newWatcher(seen)
	w.reset(ports.Page{Version: 5, Rows: []ports.VersionedRow{row("a", "5", 5)}}, 1)
	w.Apply(5, 8, []ports.VersionedRow{row("a", "8", 8)}, 2)
	w.Apply(5, 7, []ports.VersionedRow{row("a", "7", 7)}, 3)
	w.take([]ports.VersionedRow{row("a", "6", 6)}, 6, 4)
	if seen["a"] != "8" || w.Version() != 8 {
		t.Errorf("value %q at version %d, want 8 at 8", seen["a"], w.Version())
	}
}

// Guards against believing in a table with a gap: a relay that begins after
// what is known is not applied and proves nothing.
func TestRelayWithAGapIsIgnored(t *testing.T) {
	seen := map[string]string{}
	w := newWatcher(seen)
	w.reset(ports.Page{Version: 5}, 1)
	w.Apply(7, 9, []ports.VersionedRow{row("a", "9", 9)}, bootclock.Time(time.Hour))
	if len(seen) != 0 || w.Version() != 5 || w.Age(bootclock.Time(time.Hour)) != time.Hour-1 {
		t.Errorf("rows %v, version %d, age %s", seen, w.Version(), w.Age(bootclock.Time(time.Hour)))
	}
	if _, _, ok := w.Since(4); ok {
		t.Error("changes before the first read are said to be known")
	}
}

// Guards against entries that stay after the history of the store is gone.
func TestResetDropsWhatIsMissing(t *testing.T) {
	seen := map[string]string{}
	w := newWatcher(seen)
	w.reset(ports.Page{Version: 5, Rows: []ports.VersionedRow{row("a", "1", 1), row("b", "2", 2)}}, 1)
	w.reset(ports.Page{Version: 9, Rows: []ports.VersionedRow{row("b", "2", 2)}}, 2)
	if len(seen) != 1 || seen["b"] != "2" {
		t.Errorf("rows %v, want b only", seen)
	}
	if rows, to, ok := w.Since(9); !ok || to != 9 || len(rows) != 0 {
		t.Errorf("since 9: %v, %d, %v", rows, to, ok)
	}
}

// Guards the proof of age: what an answer proves is never later than the time
// at which the store gave it, for any delays on both ways.
func TestAnswersNeverProveTooMuch(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var c storeClock
		now := bootclock.Time(time.Hour)
		ahead := time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Hour)).Draw(r, "ahead"))
		delay := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(r, name)) * time.Millisecond
		}
		for range rapid.IntRange(1, 30).Draw(r, "calls") {
			sent := now.Add(delay("pause", 2000))
			given := sent.Add(delay("there", 800)).Add(delay("open", 1200))
			received := given.Add(delay("back", 800))
			clock := time.Duration(given) + ahead
			if clock <= 0 {
				continue
			}
			if proved := c.answered(sent, received, clock); proved > given || proved < sent {
				r.Fatalf("proved %s after the answer was given", proved.Sub(given))
			}
			now = received
		}
	})
}

// Guards against an outage of the store in which each of many instances keeps
// asking it: refused calls are paid for, and the leader tells the others.
func TestRetriesAreSharedByTheInstances(t *testing.T) {
	for followers, want := range map[int]time.Duration{
		0: watchRetry, 1: watchRetry, 8: watchRetry, 16: 2 * watchRetry, 300: maxWatchRetry,
	} {
		w := &watcher{followers: func() int { return followers }}
		if got := w.retry(); got != want {
			t.Errorf("%d instances try again after %s, want %s", followers, got, want)
		}
	}
}

// Guards the store against feeds that grow with the fleet: without a leader
// each instance follows the tables itself, and each change of a busy table cost
// a call of each of 295 instances every 0.2 s. Within the shortest bound every
// instance still looks several times.
func TestOwnFeedsAreSpreadOverTheInstances(t *testing.T) {
	for followers, want := range map[int]time.Duration{0: upstreamGap, 8: upstreamGap, 85: 340 * time.Millisecond, 295: time.Second, 860: time.Second} {
		w := &watcher{followers: func() int { return followers }, wait: feedWait, gap: upstreamGap, shortest: 4 * time.Second}
		if got := w.pause(); got != want {
			t.Errorf("%d instances pause for %s after a change, want %s", followers, got, want)
		}
		if open := w.feedFor(); open < feedWait || open > time.Duration(followWaitShare*float64(w.shortest)) {
			t.Errorf("a feed of %d instances stays open for %s", followers, open)
		}
	}
}

// Guards against a reading of both tables by every instance when the store has
// forgotten its history: what the leader reads anew still tells what has changed
// since the versions that the others know, rows that were dropped included.
func TestReadingAnewTellsTheOthersWhatChanged(t *testing.T) {
	w := newWatcher(map[string]string{})
	w.reset(ports.Page{Version: 10, Rows: []ports.VersionedRow{row("kept", "1", 4), row("changed", "1", 5), row("dropped", "1", 6)}}, 0)
	w.synced = false // the history is gone
	w.reset(ports.Page{Version: 20, Rows: []ports.VersionedRow{row("kept", "1", 4), row("changed", "2", 15)}}, 0)
	rows, to, ok := w.Since(10)
	if !ok || to != 20 || len(rows) != 2 {
		t.Fatalf("%v up to %d (%v), want the changed and the dropped row", rows, to, ok)
	}
	for _, r := range rows {
		if (r.Key == "dropped") != r.Deleted || r.Key == "kept" {
			t.Errorf("told of %+v", r)
		}
	}
	if _, _, ok := w.Since(9); ok {
		t.Error("tells changes since a time that was never known")
	}
}

// Guards relays by what differs: a large row's value is known as of the versions
// that the others may have.
func TestEarlierValuesOfLargeRowsAreKept(t *testing.T) {
	w := newWatcher(map[string]string{})
	text := func(n int) string { return strings.Repeat(strconv.Itoa(n), keptValue+1) }
	w.reset(ports.Page{Version: 10, Rows: []ports.VersionedRow{row("large", text(1), 5), row("small", "1", 6)}}, 0)
	w.take([]ports.VersionedRow{row("large", text(2), 12), row("small", "2", 13)}, 13, 0)
	for version, want := range map[int64]string{5: text(1), 11: text(1), 12: text(2), 99: text(2)} {
		if got, ok := w.At("large", version); !ok || string(got) != want {
			t.Errorf("another value at version %d (%v)", version, ok)
		}
	}
	if _, ok := w.At("large", 4); ok {
		t.Error("a value from before the row was known")
	}
}
