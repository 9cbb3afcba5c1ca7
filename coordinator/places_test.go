package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/admission"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// newPlacesCoordinator returns a leader whose only engine is full, and whose term ends after
// left.
func newPlacesCoordinator(t *testing.T, left time.Duration) *Coordinator {
	t.Helper()
	c, now := newDutyCoordinator(), bootclock.Now()
	c.hub = c.newHub("secret")
	if !take(t, c.lease, &rowStore{}, now.Add(left+clockMargin-leaseTerm)) {
		t.Fatal("the lease is not held")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startOrigins(now)
	c.leading, c.observedView, c.planner, c.places = true, fleet.NewRegistry().View(), residency.NewPlanner(4), newPlaces()
	c.places.ledger.Observe(map[string]admission.Capacity{"e": {Slots: 1}})
	c.places.ledger.RecordReport(now, "other", map[string]int{"e": 1})
	return c
}

// ask asks for a place for an instance and returns its answer, after the claim waits.
func ask(t *testing.T, c *Coordinator, instance string) <-chan error {
	t.Helper()
	answer := make(chan error, 1)
	go func() {
		response, err := c.takePlace(t.Context(), instance, placeRequest{Upstreams: []string{"e"}, Service: "s", Model: "m", OnTime: time.Minute, Latest: time.Minute})
		if err == nil && response.Upstream == "" {
			err = errors.New("refused")
		}
		answer <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		c.mu.Lock()
		waiting := len(c.places.waiters)
		c.mu.Unlock()
		if waiting == 1 {
			return answer
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the claim does not wait")
	return nil
}

// Guards against a question that is never answered: the leader forgets the claims of an
// instance when the newest link to it goes down, while an older link still carries questions.
func TestClaimOverTheOlderLinkIsAnsweredWhenTheNewerBreaks(t *testing.T) {
	c := newPlacesCoordinator(t, time.Minute)
	answer := ask(t, c, "a2")
	c.linkChanged(peer.Identity{Instance: "a2"}, false)
	select {
	case err := <-answer:
		if !errors.Is(err, errNotLeading) {
			t.Errorf("got %v, want %v, with which the instance asks again", err, errNotLeading)
		}
	case <-time.After(10 * time.Second):
		t.Error("the claim of an instance whose link broke is not answered")
	}
}

// Guards against places that are given after the term has ended: step may be blocked by the
// store for longer, and another instance admits requests meanwhile.
func TestNoPlacesAreGrantedAfterTheTerm(t *testing.T) {
	c := newPlacesCoordinator(t, 300*time.Millisecond)
	answer := ask(t, c, "a2")
	held := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.lease.Held(bootclock.Now())
	}
	for held() {
		time.Sleep(time.Millisecond)
	}
	c.recordDemand("other", nil, nil) // the engine has room now
	select {
	case err := <-answer:
		if !errors.Is(err, errNotLeading) {
			t.Errorf("got %v after the term, want %v", err, errNotLeading)
		}
	case <-time.After(10 * time.Second):
		t.Error("the claim is not answered after the term")
	}
}
