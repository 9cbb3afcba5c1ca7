package upstreamlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// The rule of the users: in any ruleWindow an upstream gets at most ruleFactor times
// what its limit allows, and ruleSlack requests.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
)

// maxAsked bounds the questions to the leader about one limited upstream, per second.
const maxAsked = 550

// simulation is a fleet of instances in front of one service, in virtual time.
type simulation struct {
	random    *rand.Rand
	now       bootclock.Time
	view      *fleet.View
	upstreams []*fleet.Upstream
	instances []*dispatch.Balancer
	rate      float64
	limited   int // number of upstreams with a limit
	leader    *upstreamlimit.Buckets
	sent      map[string][]bootclock.Time
	refused   int
	asked     int // questions to the leader
}

// Limit implements dispatch.Limits.
func (s *simulation) Limit(u *fleet.Upstream) (float64, bool) {
	return s.rate, slices.Index(s.upstreams, u) < s.limited
}

func (s *simulation) Models(u *fleet.Upstream) map[string][]string { return u.Models }

func newSimulation(seed uint64, instances, upstreams, limited int, rate float64) *simulation {
	registry := fleet.NewRegistry()
	registry.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{"rota": {Name: "rota"}}})
	for i := range upstreams {
		registry.SetUpstream(&fleet.Upstream{ID: fmt.Sprint("u", i), Service: "rota", Slots: 1000, Started: 1})
	}
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: bootclock.Time(time.Hour), view: registry.View(),
		rate: rate, limited: limited, leader: upstreamlimit.NewBuckets(), sent: map[string][]bootclock.Time{},
	}
	s.upstreams = s.view.ByService["rota"]
	for i := range instances {
		b := dispatch.NewBalancer(fmt.Sprint("i", i), "north")
		b.Members, b.Limits = instances, s
		s.instances = append(s.instances, b)
	}
	return s
}

// request sends one request of a random instance, or refuses it.
func (s *simulation) request() {
	b, demand := s.instances[s.random.IntN(len(s.instances))], dispatch.Demand{Service: "rota"}
	for {
		choice := b.Pick(s.now, s.view, s, demand)
		u := choice.Upstream
		if u == nil {
			s.refused++
			return
		}
		if _, limited := s.Limit(u); limited {
			if until := s.take(b, u); until != 0 {
				b.Defer(s.now, u, s.rate, until, until)
				continue
			}
		}
		s.sent[u.ID] = append(s.sent[u.ID], s.now)
		b.Finish(s.now, b.Start(s.now, u, demand), dispatch.Served)
		return
	}
}

// take returns the time until which the request may not be sent, 0 if it may.
func (s *simulation) take(b *dispatch.Balancer, u *fleet.Upstream) bootclock.Time {
	if s.leader == nil {
		if wait := b.TakeTurn(s.now, u, s.rate); wait > 0 {
			return s.now.Add(min(wait, 500*time.Millisecond))
		}
		return 0
	}
	s.asked++
	grant := s.leader.Take(s.now, upstreamlimit.ID{Upstream: u.ID, Started: u.Started}, s.rate, 0)
	if grant.Granted {
		return 0
	}
	return s.now.Add(grant.Delay)
}

// run sends perSecond requests a second for a while.
func (s *simulation) run(length time.Duration, perSecond float64) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		s.request()
	}
}

// checkRule checks each window of the rule.
func (s *simulation) checkRule(t *testing.T) {
	t.Helper()
	allowed := ruleFactor*s.rate*ruleWindow.Seconds() + ruleSlack
	for _, u := range s.upstreams[:s.limited] {
		sent := s.sent[u.ID]
		for i := range sent {
			n := 1
			for i+n < len(sent) && sent[i+n].Sub(sent[i]) <= ruleWindow {
				n++
			}
			if float64(n) > allowed {
				t.Errorf("%s got %d requests in %s at a limit of %g a second, allowed %g", u.ID, n, ruleWindow, s.rate, allowed)
				break
			}
		}
	}
}

// Guards against upstreams that get more than their limit from all instances together,
// or far less than it, at each size of the fleet, while leaders come and go.
func TestLimitHoldsAndIsUsedAtAllSizes(t *testing.T) {
	for _, instances := range []int{8, 85, 295, 860} {
		for _, rate := range []float64{0.1, 0.5, 1, 6, 40} {
			for _, upstreams := range []int{1, 3} {
				t.Run(fmt.Sprintf("%d instances, limit %g, %d upstreams", instances, rate, upstreams), func(t *testing.T) {
					s := newSimulation(uint64(instances)+uint64(rate*10), instances, upstreams, 1, rate)
					load := max(10*rate, 2*float64(instances), 20) * float64(upstreams)
					const calm = 60 * time.Second
					s.run(calm, load)
					if got := float64(len(s.sent["u0"])); got < 0.8*rate*calm.Seconds()-1 {
						t.Errorf("u0 got %g requests in %s at a limit of %g a second", got, calm, rate)
					}
					if perSecond := float64(s.asked) / calm.Seconds(); perSecond > maxAsked {
						t.Errorf("the leader was asked %.0f times a second, want at most %d", perSecond, maxAsked)
					}
					for range 10 {
						s.leader = nil
						s.run(time.Duration(s.random.IntN(8000))*time.Millisecond, load)
						s.leader = upstreamlimit.NewBuckets()
						s.run(time.Duration(s.random.IntN(8000))*time.Millisecond, load)
					}
					s.checkRule(t)
					if upstreams > 1 && s.refused > 0 {
						t.Errorf("%d requests refused with room at other upstreams", s.refused)
					}
				})
			}
		}
	}
}

// Guards against a limited upstream that gets nothing while there is no leader.
func TestLimitIsUsedWithoutALeader(t *testing.T) {
	s := newSimulation(1, 8, 1, 1, 2)
	s.leader = nil
	const length = 120 * time.Second
	s.run(length, 40)
	s.checkRule(t)
	if got := float64(len(s.sent["u0"])); got < 0.2*s.rate*length.Seconds() {
		t.Errorf("got %g requests in %s without a leader at a limit of %g a second", got, length, s.rate)
	}
}
