package coordinator

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const gap = 3 * time.Second

// rowStore is the lease row at a store whose clock is ahead of the machines'.
type rowStore struct {
	row     ports.VersionedRow
	version int64
}

const storeAhead = 42 * time.Second

func (s *rowStore) page(now bootclock.Time) ports.Page {
	page := ports.Page{Version: s.version, Clock: time.Duration(now) + storeAhead}
	if s.row.Version > 0 {
		page.Rows = []ports.VersionedRow{s.row}
	}
	return page
}

func (s *rowStore) commit(now bootclock.Time, c ports.Change) (ports.Page, error) {
	if c.Expect != s.row.Version {
		return s.page(now), ports.ErrConflict
	}
	s.version++
	s.row = ports.VersionedRow{Table: c.Table, Key: c.Key, Value: c.Value, Version: s.version}
	return ports.Page{Version: s.version, Clock: time.Duration(now) + storeAhead}, nil
}

func read(t *testing.T, l *Lease, s *rowStore, now bootclock.Time) {
	t.Helper()
	if err := l.Seen(now, now, s.page(now)); err != nil {
		t.Fatal(err)
	}
}

func take(t *testing.T, l *Lease, s *rowStore, now bootclock.Time) bool {
	t.Helper()
	read(t, l, s, now)
	change, ok := l.Propose(now, nil)
	if !ok {
		return false
	}
	page, err := s.commit(now, change)
	l.Written(now, now, page, err)
	return l.Held(now)
}

// Guards against two holders: another instance takes the lease as soon as the
// store's clock has passed its end, and gives no orders for the gap after that.
func TestLeaseIsTakenOverAfterItsEnd(t *testing.T) {
	s, start := &rowStore{}, bootclock.Time(time.Hour)
	a, b := NewLease("a", "a1", "1.1.1.1:1", gap), NewLease("b", "b1", "2.2.2.2:1", gap)
	if !take(t, a, s, start) || !a.FirstEver() || !a.MayOrder(start) {
		t.Fatal("the first holder does not lead at once")
	}
	if take(t, b, s, start.Add(leaseTerm-time.Millisecond)) {
		t.Fatal("the lease was taken before its end")
	}
	end := start.Add(leaseTerm + time.Millisecond)
	if a.Held(end) {
		t.Error("the old holder believes in its lease after the end")
	}
	if !take(t, b, s, end) || b.FirstEver() {
		t.Fatal("the lease was not taken after its end")
	}
	now := end
	for now < end.Add(gap) {
		if now = now.Add(renewEvery); !take(t, b, s, now) {
			t.Fatal("the holder can't renew its lease")
		}
		if b.MayOrder(now) != (now >= end.Add(gap+takeoverSlack)) {
			t.Errorf("orders may be given %s after the change of holder: %v", now.Sub(end), b.MayOrder(now))
		}
	}
	if b.Token() != a.Token()+1 {
		t.Errorf("fencing tokens %d and %d", a.Token(), b.Token())
	}
}

// Guards against a pause after a restart: the process before it has ended.
func TestRestartTakesItsOwnLease(t *testing.T) {
	s, start := &rowStore{}, bootclock.Time(time.Hour)
	take(t, NewLease("a", "a1", "1.1.1.1:1", gap), s, start)
	again := NewLease("a", "a2", "1.1.1.1:1", gap)
	if !take(t, again, s, start.Add(time.Second)) || !again.MayOrder(start.Add(time.Second)) {
		t.Error("the restarted instance does not lead at once")
	}
	moved := NewLease("a", "a3", "9.9.9.9:1", gap)
	if take(t, moved, s, start.Add(time.Second)) {
		t.Error("an instance of that name on another machine took the lease")
	}
}

// Guards against acting on a renewal whose answer was lost: it is settled by
// the row, and counts only if it was written.
func TestLostAnswerIsSettledByTheRow(t *testing.T) {
	for name, written := range map[string]bool{"written": true, "not written": false} {
		t.Run(name, func(t *testing.T) {
			s, start := &rowStore{}, bootclock.Time(time.Hour)
			l := NewLease("a", "a1", "1.1.1.1:1", gap)
			take(t, l, s, start)
			later := start.Add(renewEvery)
			change, ok := l.Propose(later, nil)
			if !ok {
				t.Fatal("no renewal")
			}
			if written {
				if _, err := s.commit(later, change); err != nil {
					t.Fatal(err)
				}
			}
			l.Written(later, later, ports.Page{}, ports.ErrUnknown)
			if _, ok := l.Propose(later, nil); ok {
				t.Error("a second write while the first is open")
			}
			read(t, l, s, later)
			probe := start.Add(leaseTerm + renewEvery/2)
			if l.Held(probe) != written {
				t.Errorf("held after the first term: %v, want %v", l.Held(probe), written)
			}
		})
	}
}

// Guards against waiting for the end of a lease that its holder has offered.
func TestOfferedLeaseIsTakenAtOnce(t *testing.T) {
	s, start := &rowStore{}, bootclock.Time(time.Hour)
	a, b := NewLease("a", "a1", "1.1.1.1:1", gap), NewLease("b", "b1", "2.2.2.2:1", gap)
	take(t, a, s, start)
	token := a.Abandon(start)
	if a.Held(start) {
		t.Error("the holder believes in a lease that it has offered")
	}
	read(t, b, s, start)
	b.Handed("a", token)
	if !take(t, b, s, start) || b.MayOrder(start.Add(time.Second)) {
		t.Error("the offered lease was not taken, or orders were not held back")
	}
	c := NewLease("c", "c1", "3.3.3.3:1", gap)
	read(t, c, s, start)
	c.Handed("a", token)
	if take(t, c, s, start) {
		t.Error("an offer of an earlier term took the lease from its new holder")
	}
}

// Guards the one promise of the lease over generated histories: never two
// holders at once, with late, lost and refused answers and paused contenders.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, now := &rowStore{}, bootclock.Time(time.Hour)
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		for _, n := range names {
			leases[n] = NewLease(n, n+"1", n+":1", gap)
		}
		for range rapid.IntRange(10, 80).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(r, "ms")) * time.Millisecond)
			l := leases[rapid.SampledFrom(names).Draw(r, "who")]
			back := now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "rtt")) * time.Millisecond)
			if l.Unsettled() || rapid.Bool().Draw(r, "read") {
				if err := l.Seen(now, back, s.page(now)); err != nil {
					r.Fatal(err)
				}
			} else if change, ok := l.Propose(now, nil); ok {
				switch rapid.IntRange(0, 3).Draw(r, "fate") {
				case 0:
					l.Written(now, back, ports.Page{}, ports.ErrNotApplied)
				case 1:
					s.commit(now, change) //nolint:errcheck // the answer is lost.
					l.Written(now, back, ports.Page{}, ports.ErrUnknown)
				default:
					page, err := s.commit(now, change)
					l.Written(now, back, page, err)
				}
			}
			now = back
			holders := 0
			for _, l := range leases {
				if l.Held(now) {
					holders++
				}
			}
			if holders > 1 {
				r.Fatalf("%d holders at once", holders)
			}
		}
	})
}

// Guards against a new holder that begins with nothing, or with more than the
// one before has left; and against leaving the same tokens to two successors.
func TestReservesPassOnWithTheLease(t *testing.T) {
	s, now := &rowStore{}, bootclock.Time(time.Hour)
	renew := func(l *Lease, reserves map[string]float64) {
		t.Helper()
		read(t, l, s, now)
		change, ok := l.Propose(now, reserves)
		if !ok {
			t.Fatal("no renewal")
		}
		page, err := s.commit(now, change)
		l.Written(now, now, page, err)
	}
	a := NewLease("a", "a1", "1.1.1.1:1", gap)
	renew(a, nil)
	renew(a, map[string]float64{"w": 800})
	now = now.Add(leaseTerm + time.Millisecond)
	b := NewLease("b", "b1", "2.2.2.2:1", gap)
	renew(b, map[string]float64{"w": 5000}) // what it would have granted before does not count
	if record, _ := b.Record(); b.Inherited()["w"] != 800 || record.Reserves["w"] != 400 {
		t.Errorf("the new holder begins with %v and leaves %v", b.Inherited(), record.Reserves)
	}
	change, ok := b.Release(now, map[string]float64{"w": 700})
	if !ok {
		t.Fatal("no release")
	}
	page, err := s.commit(now, change)
	b.Written(now, now, page, err)
	c := NewLease("c", "c1", "3.3.3.3:1", gap)
	renew(c, nil)
	if c.Inherited()["w"] != 700 {
		t.Errorf("after a release the next holder begins with %v", c.Inherited())
	}
}

// Guards a renewal whose answer is lost: the row shows that it was written, and
// the term counts at once; a row without it settles nothing, as the write may
// still be on its way.
func TestLateAnswerIsSettledByReading(t *testing.T) {
	s, now := &rowStore{}, bootclock.Time(time.Hour)
	l := NewLease("a", "a1", "1.1.1.1:1", gap)
	take(t, l, s, now)
	now = now.Add(renewEvery)
	change, ok := l.Propose(now, nil)
	if !ok {
		t.Fatal("no renewal")
	}
	if l.Settle(now, now, s.page(now)) || !l.Unsettled() {
		t.Error("a row from before the write settled it")
	}
	if _, err := s.commit(now, change); err != nil {
		t.Fatal(err)
	}
	now = now.Add(settleAfter)
	if !l.Settle(now, now, s.page(now)) || l.Unsettled() || !l.Held(now.Add(leaseTerm-settleAfter-clockMargin-time.Millisecond)) {
		t.Error("a row with the write did not settle it")
	}
}
