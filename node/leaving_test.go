package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// leavingGrace is the time in which the other instances learn from one answer that an
// upstream leaves.
const leavingGrace = time.Second

// sendLookups sends look-ups to all instances, about 40 a second, and returns the number
// of those served and of all. The IDs begin with the number of the instance.
func (s *testSystem) sendLookups(length time.Duration) (served, total int) {
	s.t.Helper()
	results := make(chan bool, 1000)
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for began := time.Now(); time.Since(began) < length; total++ {
		<-ticker.C
		instance, id := total%len(s.nodes), fmt.Sprintf("%d lookup %d", total%len(s.nodes), requestCount.Add(1))
		go func() {
			a := s.send(instance, request{id: id, method: http.MethodGet, path: "/lookup/x", key: "committee-key"})
			results <- a.status == http.StatusOK && a.err == nil
		}()
	}
	for range total {
		if <-results {
			served++
		}
	}
	return served, total
}

// busiestRota returns the plain upstream that got most requests.
func (s *testSystem) busiestRota() *userplatform.Upstream {
	s.t.Helper()
	u := slices.MaxFunc(s.rotas, func(a, b *userplatform.Upstream) int { return len(a.Arrivals()) - len(b.Arrivals()) })
	if len(u.Arrivals()) == 0 {
		s.t.Fatal("no upstream got a request; the test shows nothing")
	}
	return u
}

// sameInstance reports whether two requests of sendLookups came through one instance.
func sameInstance(a, b userplatform.Arrival) bool {
	first, _, _ := strings.Cut(a.ID, " ")
	second, _, _ := strings.Cut(b.ID, " ")
	return first == second
}

// Guards against new requests at an upstream that says in its answers that it leaves
// while its entry still says that it is ready, through the instance that got the answer
// and through the others, and against streams that are cut for it.
func TestUpstreamThatSaysItLeavesGetsNothingNew(t *testing.T) {
	s := newTestSystem(t, 4)
	s.sendLookups(500 * time.Millisecond)
	u := s.busiestRota()
	before := len(u.Arrivals())
	u.SayLeaving()
	served, total := s.sendLookups(4 * time.Second)
	if served < total {
		t.Errorf("%d of %d requests served, want all", served, total)
	}
	if len(u.Arrivals()) == before {
		t.Fatal("the upstream got no request; the test shows nothing")
	}
	for _, violation := range u.LeavingViolations(leavingGrace, nil, nil) {
		t.Error(violation)
	}
	// A new run under the same ID is not bound by the word of the one before.
	if err := u.Outage(t.Context(), 50*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	before = len(u.Arrivals())
	s.eventually("the new run gets requests", func() bool {
		s.sendLookups(200 * time.Millisecond)
		return len(u.Arrivals()) > before
	})
}

// Guards against a word that only a leader or the store can pass on: each instance is
// bound by the answers that it got itself.
func TestLeavingHoldsWithoutLeaderAndStore(t *testing.T) {
	s := newTestSystem(t, 3)
	desired := userplatform.Sample()
	desired.Version, desired.Tenants[0].Rate, desired.Tenants[0].Burst = 2, 0, 0 // nobody needs to be asked for tokens
	if err := desired.Write(s.store); err != nil {
		t.Fatal(err)
	}
	s.sendLookups(time.Second)
	s.stopLeader()
	s.store.Gate().SetFaults(standin.Faults{Outage: standin.OutageClose})
	for _, u := range s.rotas {
		u.SayLeaving()
	}
	s.sendLookups(2 * time.Second)
	s.busiestRota() // checks that one of them got requests
	for _, u := range s.rotas {
		for _, violation := range u.LeavingViolations(100*time.Millisecond, sameInstance, nil) {
			t.Error(violation)
		}
	}
}

// Guards against a stream that is cut, or resumed elsewhere, because its upstream says
// meanwhile that it leaves.
func TestRunningStreamOutlastsTheWordThatItsUpstreamLeaves(t *testing.T) {
	s := newTestSystem(t, 1)
	for _, u := range s.engines {
		u.SetPace(8, 100*time.Millisecond)
	}
	running := make(chan answer, 1)
	go func() {
		r := draftRequest("notices")
		r.id = "running"
		running <- s.send(0, r)
	}()
	u := s.engines[0]
	s.eventually("the stream runs", func() bool { return u.Running() > 0 })
	u.SayLeaving()
	s.eventually("the instance knows that the engine leaves", func() bool {
		r := draftRequest("notices")
		r.deadline = 300 * time.Millisecond
		before := len(u.Arrivals())
		s.send(0, r)
		return len(u.Arrivals()) == before
	})
	a := <-running
	if ids := strings.Join(eventIDs(a.body), " "); a.status != http.StatusOK || a.err != nil || ids != completeStream {
		t.Errorf("got status %d, %v, events %q, want the whole stream", a.status, a.err, ids)
	}
	if ran, arrived := countRuns("running", s.engines...); ran != 1 || arrived != 1 {
		t.Errorf("the stream ran %d times and arrived %d times, want 1 and 1", ran, arrived)
	}
}
