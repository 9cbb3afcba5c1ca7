package dispatch

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards against requests during a pause, against all of them at the same moment after it,
// and against a ramp that never ends.
func TestPauseEndsWithARamp(t *testing.T) {
	u, d := plain("p1"), Demand{Service: "plain"}
	b, v := NewBalancer("i", "z"), viewOf(u)
	if _, changed := b.Pause(start, u, time.Second); !changed {
		t.Error("the first pause is not new")
	}
	if _, changed := b.Pause(start.Add(100*time.Millisecond), u, 900*time.Millisecond); changed {
		t.Error("the same pause is new again")
	}
	c := b.Pick(start.Add(500*time.Millisecond), v, entryModels{}, d)
	if left, ok := c.LimitedFor(start.Add(500 * time.Millisecond)); c.Upstream != nil || !ok || left != 500*time.Millisecond {
		t.Errorf("during the pause: got %v, %s left, %t", c, left, ok)
	}
	now := start.Add(time.Second)
	widths := []int{}
	for range 12 {
		var tickets []*Ticket
		for len(tickets) < 100 && b.Pick(now, v, entryModels{}, d).Upstream != nil {
			tickets = append(tickets, b.Start(now, u, d))
		}
		widths = append(widths, len(tickets))
		now = now.Add(10 * time.Millisecond)
		for i, ticket := range tickets {
			if i == 0 {
				ticket.RecordFirstEvent(now)
			}
			b.Finish(now, ticket, Served)
		}
	}
	if widths[0] != 1 || widths[1] != 3 || widths[len(widths)-1] != 100 {
		t.Errorf("requests admitted at once after the pause: %v, want 1, 3 and in the end no bound", widths)
	}
}

// Guards against an upstream that is lost for a wrong time, and against one time for all
// callers that are refused meanwhile.
func TestPauseIsBoundedAndCallersReturnOneByOne(t *testing.T) {
	u, d := plain("p1"), Demand{Service: "plain"}
	b, v := NewBalancer("i", "z"), viewOf(u)
	if until, _ := b.Pause(start, u, 365*24*time.Hour); until != start.Add(maxPause) {
		t.Errorf("a pause of a year ends after %s, want %s", until.Sub(start), maxPause)
	}
	b = NewBalancer("i", "z")
	b.Pause(start, u, 2*time.Second)
	var last time.Duration
	for i := range 100 {
		after := b.RetryAfter(start, b.Pick(start, v, entryModels{}, d))
		if after < 2*time.Second || after > 2*time.Second+maxRetryQueue || i > 0 && after <= last {
			t.Fatalf("caller %d may return after %s, the one before after %s", i, after, last)
		}
		last = after
	}
	// A next run has asked for nothing.
	next := plain("p1")
	next.Started = 9
	if c := b.Pick(start, viewOf(next), entryModels{}, d); c.Upstream == nil {
		t.Errorf("the next run is paused: %v", c)
	}
	if b.PausedUntil("unknown") != bootclock.Time(0) {
		t.Error("an unknown upstream is paused")
	}
}
