package upstreamlimit

import (
	"math"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

var (
	run   = ID{Upstream: "u", Started: 5}
	start = bootclock.Time(time.Hour)
)

func at(seconds float64) bootclock.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a limit that ends by an answer that overtook the one that named it,
// and against one that never ends.
func TestLimitEndsOnlyByALaterRequest(t *testing.T) {
	table := NewTable()
	if table.Record(run, Statement{Since: at(0), Until: at(1)}) {
		t.Error("an upstream that never named a limit has a changed one")
	}
	if !table.Record(run, Statement{Limited: true, Rate: 2, Since: at(1), Until: at(2)}) {
		t.Error("a named limit is no change")
	}
	if table.Record(run, Statement{Since: at(1.5), Until: at(3)}) {
		t.Error("a request sent before the limit was received ended it")
	}
	if s, _ := table.Get(run); !s.Limited || s.Rate != 2 {
		t.Errorf("got %+v, want a limit of 2", s)
	}
	if !table.Record(run, Statement{Since: at(2.5), Until: at(3)}) {
		t.Error("a later request did not end the limit")
	}
	if table.Record(run, Statement{Limited: true, Rate: 2, Since: at(1), Until: at(2.8)}) {
		t.Error("an earlier answer named the limit again")
	}
	if s, ok := table.Get(run); !ok || s.Limited {
		t.Errorf("got %+v, %t, want a run that names no limit any longer", s, ok)
	}
}

// Guards against a limit that outlives the run of the upstream that named it, and
// against a late answer of an earlier run.
func TestLimitBelongsToOneRun(t *testing.T) {
	table := NewTable()
	limited := Statement{Limited: true, Rate: 2, Since: at(0), Until: at(1)}
	table.Record(run, limited)
	next := ID{Upstream: run.Upstream, Started: run.Started + 1}
	if s, ok := table.Get(next); ok {
		t.Errorf("the next run has the limit %+v", s)
	}
	table.Record(next, Statement{Limited: true, Rate: 7, Since: at(2), Until: at(3)})
	if table.Record(run, Statement{Limited: true, Rate: 1, Since: at(2), Until: at(9)}) {
		t.Error("an answer of the earlier run changed the limit")
	}
	table.Prune(func(string) bool { return false })
	if _, ok := table.Get(next); ok {
		t.Error("the limit of an upstream that is gone was kept")
	}
}

// Guards against values that are no rate, and a limit of 0 that is never tested again.
func TestUnusableLimits(t *testing.T) {
	table := NewTable()
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		if table.Record(run, Statement{Limited: true, Rate: rate, Until: at(1)}) {
			t.Errorf("a limit of %g was recorded", rate)
		}
	}
	table.Record(run, Statement{Limited: true, Until: at(1)})
	if s, _ := table.Get(run); !s.Limited || s.AllowedRate() <= 0 {
		t.Errorf("got %+v with the rate %g, want a limit above 0", s, s.AllowedRate())
	}
}

// Guards against statements that get younger on the way between instances.
func TestReportKeepsTheAge(t *testing.T) {
	s := Statement{Limited: true, Rate: 3, Since: at(1), Until: at(2)}
	got := NewReport(at(4), run, s).Statement(at(104))
	if want := (Statement{Limited: true, Rate: 3, Since: at(101), Until: at(102)}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a Retry-After that brings all refused callers back at once, or before
// the upstream may get a request.
func TestRefusedRequestsReturnOneAfterAnother(t *testing.T) {
	b := NewBuckets()
	b.Take(start, run, 2, 0)
	var last time.Duration
	for i := range 5 {
		g := b.Take(start, run, 2, time.Millisecond)
		if g.Granted || g.RetryAfter < g.Delay || g.RetryAfter-last < 400*time.Millisecond {
			t.Errorf("request %d: got %+v after %s", i, g, last)
		}
		last = g.RetryAfter
	}
	if g := b.Take(at(0.5), run, 2, 0); !g.Granted {
		t.Errorf("got %+v after the delay, want a grant", g)
	}
	if g := b.Take(at(0.5), run, 2, time.Second); !g.Granted || g.Delay != 500*time.Millisecond {
		t.Errorf("got %+v, want a grant after 500ms", g)
	}
}
