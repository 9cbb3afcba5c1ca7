package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// limitGrace is the time after which a named limit must be kept.
	limitGrace = 3 * time.Second
	// limitLoad is the length of the load, which includes one window of the rule.
	limitLoad = limitGrace + 5*time.Second
)

// Guards against upstreams that get more than the limit that they named from all
// instances together, with room at another upstream and with none. They must be used
// up to the limit, and requests beyond it must be rejected at once with the time to
// come back.
func TestNamedLimitHoldsOverAllInstances(t *testing.T) {
	for _, c := range []struct {
		rate    float64 // requests a second
		limited int     // number of the two upstreams that name a limit
	}{
		{rate: 0.5, limited: 1},
		{rate: 0.5, limited: 2},
		{rate: 8, limited: 1},
		{rate: 8, limited: 2},
	} {
		t.Run(fmt.Sprintf("limit %g at %d upstreams", c.rate, c.limited), func(t *testing.T) {
			s := newTestSystem(t, 8)
			for _, u := range s.rotas {
				u.Slots = 1000 // so that no request is refused for lack of slots
				if err := u.Register(); err != nil {
					t.Fatal(err)
				}
			}
			for _, u := range s.rotas[:c.limited] {
				u.NameLimit(c.rate)
			}
			began := time.Now()
			answers := s.sendLoad(limitLoad)
			length := time.Since(began).Seconds()
			// At least an eighth of the instances prefers each upstream.
			wanted := min(c.rate, float64(len(answers))/length/8)
			for _, u := range s.rotas[:c.limited] {
				for _, violation := range u.LimitViolations(limitGrace, nil) {
					t.Error(violation)
				}
				if got := float64(len(u.Arrivals())); got < 0.7*wanted*length-1 {
					t.Errorf("%s got %g requests in %.1f s, want about %g a second at a limit of %g", u.ID, got, length, wanted, c.rate)
				}
			}
			refused := 0
			for _, a := range answers {
				if a.status == http.StatusOK {
					continue
				}
				refused++
				wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				if a.status != http.StatusServiceUnavailable || err != nil || wait <= 0 {
					t.Errorf("got status %d with Retry-After %q, want 503 with a time", a.status, a.header.Get("Retry-After"))
				}
			}
			if c.limited == 1 && refused > 0 {
				t.Errorf("%d of %d requests refused with room at another upstream", refused, len(answers))
			}
			s.checkLiftedLimit(c.limited)
		})
	}
}

// checkLiftedLimit checks that upstreams that stop naming a limit get their share of
// the requests again, and that no request is refused any longer.
func (s *testSystem) checkLiftedLimit(limited int) {
	s.t.Helper()
	for _, u := range s.rotas[:limited] {
		u.StopNamingLimit()
	}
	s.eventually("upstreams are used freely once they name no limit", func() bool {
		before := len(s.rotas[0].Arrivals())
		answers := s.sendLoad(time.Second)
		for _, a := range answers {
			if a.status != http.StatusOK {
				return false
			}
		}
		return len(s.rotas[0].Arrivals())-before > len(answers)/8
	})
}

// sendLoad sends lookups to all instances in turn, about 60 a second, and returns the
// answers.
func (s *testSystem) sendLoad(length time.Duration) []answer {
	s.t.Helper()
	var mu sync.Mutex
	var answers []answer
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / 60)
	defer ticker.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		group.Go(func() {
			a := s.send(i%len(s.nodes), request{method: http.MethodGet, path: "/lookup/1", key: "committee-key"})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	group.Wait()
	return answers
}

// Guards against a limit that is exceeded or not used up while the leader changes.
func TestNamedLimitHoldsWhenTheLeaderIsLost(t *testing.T) {
	s := newTestSystem(t, 8)
	for _, u := range s.rotas {
		u.NameLimit(2)
	}
	s.sendLoad(limitGrace)
	lost := s.stopLeader()
	s.sendLoad(limitLoad)
	for _, u := range s.rotas {
		for _, violation := range u.LimitViolations(limitGrace, nil) {
			t.Errorf("%s was lost: %s", lost, violation)
		}
		if got := len(u.Arrivals()); got < 10 {
			t.Errorf("%s got %d requests in 11 s at a limit of 2 a second, want 10 or more", u.ID, got)
		}
	}
}

// stopLeader stops the instance that holds the lease and returns its name.
func (s *testSystem) stopLeader() string {
	s.t.Helper()
	var lease struct {
		Holder string `json:"holder"`
	}
	if err := json.Unmarshal(s.store.Value("hibiscusyard", "lease"), &lease); err != nil {
		s.t.Fatal(err)
	}
	for i, n := range s.nodes {
		if fmt.Sprintf("entry-%d", i+1) == lease.Holder {
			n.Stop()
		}
	}
	return lease.Holder
}
