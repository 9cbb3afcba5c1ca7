package usage_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/usage"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Times of these tests: windows of 5 s, and a boot clock that began with testBegin.
const (
	testBegin  = simStart
	testWindow = int64(testBegin / simWindow)
)

func second(n float64) bootclock.Time { return bootclock.Time(n * float64(time.Second)) }

func trueAt(n float64) time.Duration { return testBegin + time.Duration(second(n)) }

// newCounter returns a counter and a clock that a leader has set.
func newCounter() (*usage.Counter, *usage.Clock) {
	clock := usage.NewClock(0, testBegin)
	clock.Sync(0, testBegin, 0)
	return usage.NewCounter(0, simWindow), clock
}

func report(c *usage.Counter, clock *usage.Clock, at float64) *usage.Report {
	return c.Report(second(at), clock, trueAt(at))
}

func wantCounts(t *testing.T, what string, got []usage.WindowCounts, want ...usage.WindowCounts) {
	t.Helper()
	equal := len(got) == len(want)
	for i := range got {
		equal = equal && got[i].Window == want[i].Window && maps.Equal(got[i].Counts, want[i].Counts)
	}
	if !equal {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func counts(window int64, n int64) usage.WindowCounts {
	return usage.WindowCounts{Window: window, Counts: map[string]int64{"w": n}}
}

// Guards against a request that is lost because it is counted in a window that the leader
// has been told is complete, when true time is set back a little.
func TestCompleteWindowGetsNoMoreRequests(t *testing.T) {
	c, clock := newCounter()
	c.Record(trueAt(1), "w")
	if r := report(c, clock, 5.1); r.Open != testWindow+1 {
		t.Fatalf("got windows before %d complete, want those before %d", r.Open, testWindow+1)
	}
	c.Record(trueAt(4.99), "w")
	wantCounts(t, "after the report", report(c, clock, 6).Counts, counts(testWindow+1, 1))
}

// Guards against messages with counts that the leader has, and against counts that are
// never sent again although their report was lost.
func TestCountsAreSentUntilTheyAreConfirmed(t *testing.T) {
	c, clock := newCounter()
	c.Record(trueAt(1), "w")
	wantCounts(t, "first report", report(c, clock, 1).Counts, counts(testWindow, 1))
	wantCounts(t, "nothing new", report(c, clock, 2).Counts)
	wantCounts(t, "not confirmed for long", report(c, clock, 3).Counts, counts(testWindow, 1))
	c.Confirm(second(3))
	wantCounts(t, "confirmed", report(c, clock, 6).Counts)
	c.Record(trueAt(6), "w")
	c.Record(trueAt(6), "w")
	wantCounts(t, "new requests", report(c, clock, 7).Counts, counts(testWindow+1, 2))
	c.Confirm(second(6.9))
	wantCounts(t, "an earlier report confirmed", report(c, clock, 9).Counts, counts(testWindow+1, 2))
}

// Guards against a new leader that lacks what the earlier one had been told.
func TestNewLeaderGetsAllCounts(t *testing.T) {
	c, clock := newCounter()
	c.Record(trueAt(1), "w")
	if r := report(c, clock, 1); r.From != testWindow+1 {
		t.Errorf("got windows from %d counted, want those from %d", r.From, testWindow+1)
	}
	c.Confirm(second(1))
	if r := report(c, clock, 2); r.From != 0 || c.Due(second(2.1), clock, time.Second) {
		t.Errorf("got a full report (from %d) or one at once, want neither", r.From)
	}
	c.Reset()
	if !c.Due(second(2.1), clock, time.Second) {
		t.Error("no report to the new leader is due")
	}
	r := report(c, clock, 2.1)
	wantCounts(t, "report to the new leader", r.Counts, counts(testWindow, 1))
	if r.From != testWindow+1 {
		t.Errorf("report to the new leader: got windows from %d counted, want those from %d", r.From, testWindow+1)
	}
}

// Guards against a wait for an instance that has stopped, and against counts that it had not
// reported.
func TestLastReportIsCompleteForGood(t *testing.T) {
	c, clock := newCounter()
	c.Record(trueAt(1), "w")
	report(c, clock, 1)
	c.Confirm(second(1))
	c.Record(trueAt(2), "w")
	l := newLedger(t)
	l.Record(l.a, "a", c.Final(second(2), clock, trueAt(2)))
	l.SetLinked(trueAt(2), map[string]usage.Run{"b": l.b})
	l.record(l.b, testWindow+2, testWindow, 1)
	if d := l.decide(10.1); len(d) != 2 || d[0].Report.Total != 3 || d[0].Report.Missing != 0 || d[1].Report.Total != 0 {
		t.Errorf("got %+v, want 3 requests in the first window, none in the second, nobody missing", d)
	}
}

// Guards against operators who are not told that counts may be missing, and against an
// alarm about counts that the leader had.
func TestCountsWithoutConfirmationAreNamed(t *testing.T) {
	c, clock := newCounter()
	c.Record(trueAt(1), "w")
	report(c, clock, 2)
	c.Confirm(second(2))
	c.Reset() // a new leader has not confirmed them again
	c.Record(trueAt(3), "w")
	c.Record(trueAt(6), "w")
	wantCounts(t, "late", c.Decided(testWindow+1), counts(testWindow, 1))
	wantCounts(t, "the rest", report(c, clock, 7).Counts, counts(testWindow+1, 1))
}

// Guards against a step of a machine's own clock that moves requests to other windows.
func TestClockIgnoresStepsAndSlowMessages(t *testing.T) {
	clock := usage.NewClock(second(10), trueAt(10))
	if at := clock.At(second(20)); at != trueAt(20) || clock.Synced() {
		t.Errorf("without a leader: got %s, want %s", at, trueAt(20))
	}
	clock.Sync(second(21), trueAt(20.99), 20*time.Millisecond)
	if at := clock.At(second(30)); at != trueAt(30) || !clock.Synced() || clock.Delay() != 10*time.Millisecond {
		t.Errorf("after a message: got %s and delay %s, want %s and 10ms", at, clock.Delay(), trueAt(30))
	}
	clock.Sync(second(22), trueAt(21), time.Second)
	if at := clock.At(second(30)); at != trueAt(30) {
		t.Errorf("after a slow message: got %s, want %s", at, trueAt(30))
	}
	clock.Sync(second(40), trueAt(40.5), time.Second)
	if at := clock.At(second(50)); at != trueAt(51) {
		t.Errorf("after slow messages alone for long: got %s, want %s", at, trueAt(51))
	}
	clock.Sync(second(41), trueAt(41), 0)
	if at := clock.At(second(50)); at != trueAt(50) {
		t.Errorf("after a fast message: got %s, want %s", at, trueAt(50))
	}
}

// Guards against a stepped clock that moves true time although fewer than half of the
// clocks are stepped, or although it can't be told which of two is.
func TestTrueTimeIsTheMedian(t *testing.T) {
	const hour = time.Hour
	for name, tc := range map[string]struct {
		steps []time.Duration
		want  time.Duration
	}{
		"one of three":      {[]time.Duration{0, hour, 0}, 0},
		"one of three back": {[]time.Duration{-hour, 0, 0}, 0},
		"one of four":       {[]time.Duration{0, 0, 20 * time.Millisecond, hour}, 10 * time.Millisecond},
		"two of four":       {[]time.Duration{0, 0, hour, hour}, 0},
		"two of four back":  {[]time.Duration{-hour, 0, 0, -hour}, 0},
		"one of two":        {[]time.Duration{0, hour}, 0},
		"the only one":      {[]time.Duration{hour}, 0},
		"small step of one": {[]time.Duration{50 * time.Millisecond}, 50 * time.Millisecond},
		"most for a moment": {[]time.Duration{hour, hour, 0}, 0},
	} {
		own := usage.NewClock(0, testBegin)
		own.Sync(0, testBegin, 0)
		clocks := usage.NewClocks(own)
		for i, step := range tc.steps {
			clocks.Record(fmt.Sprint(i), second(1), trueAt(1)+step)
		}
		if got := clocks.At(second(2)) - trueAt(2); got != tc.want {
			t.Errorf("%s: got true time off by %s, want %s", name, got, tc.want)
		}
	}
	own := usage.NewClock(0, testBegin)
	own.Sync(0, testBegin, 0)
	clocks := usage.NewClocks(own)
	for i := range 3 {
		clocks.Record(fmt.Sprint(i), second(1), trueAt(1)+hour)
	}
	for i, at := range []float64{2, 11.9, 12} {
		want := []time.Duration{0, 0, hour}[i]
		if got := clocks.At(second(at)) - trueAt(at); got != want {
			t.Errorf("all clocks stepped, after %.1f s: got true time off by %s, want %s", at-2, got, want)
		}
	}
	clocks = usage.NewClocks(usage.NewClock(0, testBegin))
	if clocks.Ready() {
		t.Error("true time counts as known without a clock")
	}
	for i := range 3 {
		clocks.Record(fmt.Sprint(i), second(1), trueAt(1))
	}
	if !clocks.Ready() {
		t.Error("true time counts as not known with three clocks")
	}
	clocks.Keep(func(instance string) bool { return instance == "1" })
	if clocks.Ready() {
		t.Error("true time counts as known with one clock")
	}
}
