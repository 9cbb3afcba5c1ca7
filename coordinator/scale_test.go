package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/autoscale"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards against a new leader that goes on with numbers of upstreams that another leader
// may have replaced since, and against one that forgets those of its predecessor.
func TestOrderedNumbersOfThePredecessorAreKnown(t *testing.T) {
	for _, tc := range []struct {
		token uint64 // of the term in which the numbers were ordered
		known bool
	}{{4, true}, {3, false}} {
		c, now := newDutyCoordinator(), bootclock.Now()
		c.config.Duties.API, c.config.Duties.Enabled = unusedAPI{}, []string{DutyScaling}
		c.lease.record.Token = 5
		c.recordOrdered(tc.token, []orderedUpstreams{{Service: "e", DataCentre: "a", Number: 20, Answered: true}})
		c.recordOrdered(tc.token-1, []orderedUpstreams{{Service: "e", DataCentre: "a", Number: 9, Answered: true}}) // a late message
		c.startScaling(now)
		in := autoscale.Input{Complete: true, Services: map[string]autoscale.Service{"e": {
			Scale: fleet.Scale{Minimum: 1, Maximum: 40, BootTime: time.Minute}, PlacesPerUpstream: 3, Places: 36,
			Sites: map[string]autoscale.Site{"a": {Present: 12, Usable: 12}},
		}}}
		c.scale.decider.Decide(now, in)
		got := c.orderedNumbers()
		if known := len(got) == 1 && got[0].Number == 20; known != tc.known || !known && got != nil {
			t.Errorf("numbers of term %d in term 5: got %v, want them known: %v", tc.token, got, tc.known)
		}
	}
}

// Guards against upstreams that leave, have ended, or are in a data centre out of service,
// which count as capacity, and against a site of which nothing is known once none is left.
func TestSitesCountUpstreams(t *testing.T) {
	registry := fleet.NewRegistry()
	registry.SetConfig(&fleet.Config{Version: 1})
	for _, u := range []fleet.Upstream{
		{ID: "1", DataCentre: "a"}, {ID: "2", DataCentre: "a", Leaving: true}, {ID: "3", DataCentre: "a", Started: 7}, {ID: "4", DataCentre: "a", Started: 8},
		{ID: "5", DataCentre: "b"}, {ID: "6", DataCentre: "c", Leaving: true},
	} {
		u.Service = "e"
		registry.SetUpstream(&u)
	}
	registry.SetDeparted("3", fleet.Departure{Started: 7, Ended: true}, true)
	registry.SetDeparted("4", fleet.Departure{Started: 7}, true) // an earlier run
	registry.SetEvacuated("b", true)
	got := sites(registry.View(), "e")
	want := map[string]autoscale.Site{"a": {Present: 2, Usable: 2}, "b": {Present: 1}, "c": {}}
	for dataCentre, site := range want {
		if g, ok := got[dataCentre]; !ok || g != site {
			t.Errorf("data centre %s: got %+v, want %+v", dataCentre, g, site)
		}
	}
}

// agedSource is a table of a given age.
type agedSource struct {
	Source
	age time.Duration
}

func (s *agedSource) Age(bootclock.Time) time.Duration { return s.age }

// Guards against a call of which the next leader does not know if the caller is lost right
// after it, and against decisions on tables that are not current: 20 models are requested
// and three places are there.
func TestNextLeaderIsToldBeforeACallIsMade(t *testing.T) {
	c, now := newDutyCoordinator(), bootclock.Now()
	table := &agedSource{}
	c.config.Duties.API, c.config.Duties.Enabled = unusedAPI{}, []string{DutyScaling}
	c.config.ShortestBound, c.config.Sources = time.Second, []Source{table}
	c.hub = c.newHub("secret")
	registry := fleet.NewRegistry()
	engine := &fleet.Engine{Slots: 8, WeightsMB: 3, LoadsPerSecond: 100, Models: map[string]*fleet.Model{}}
	var demands []residency.ModelDemand
	for i := range 20 {
		name := fmt.Sprintf("m%d", i)
		engine.Models[name] = &fleet.Model{Name: name, WeightsMB: 1, LoadTime: time.Second}
		demands = append(demands, residency.ModelDemand{Service: "e", Model: name, Arrived: 20})
	}
	registry.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{
		"e": {Name: "e", Engine: engine, Scale: &fleet.Scale{Minimum: 1, Maximum: 9}}, "plain": {Name: "plain", Scale: &fleet.Scale{Minimum: 1, Maximum: 9}},
	}})
	registry.SetUpstream(&fleet.Upstream{ID: "1", Service: "e", DataCentre: "a"})
	registry.SetUpstream(&fleet.Upstream{ID: "2", Service: "plain", DataCentre: "a"})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observedView, c.planner = registry.View(), residency.NewPlanner(4)
	c.planner.Observe(now, c.observedView)
	c.startScaling(now)
	plan := func(seconds int) (calls []autoscale.Call) {
		for range 5 * seconds {
			now = now.Add(scaleInterval)
			c.lastHeartbeat = now
			c.planner.RecordDemand(now, "a", demands)
			if calls, _ = c.planScaling(now); len(calls) > 0 {
				break
			}
		}
		return calls
	}
	table.age = maxScaleAge*c.config.ShortestBound + 1
	if calls := plan(20); calls != nil {
		t.Fatalf("tables that are not current: got calls %v, want none", calls)
	}
	table.age = 0
	calls := plan(20)
	if len(calls) != 1 || calls[0].Service != "e" || calls[0].DataCentre != "a" || calls[0].Number != 7 {
		t.Fatalf("got calls %v, want one for 7 upstreams", calls)
	}
	ordered := c.orderedNumbers()
	if c.lastHeartbeat != 0 || len(ordered) != 1 || ordered[0].Number != calls[0].Number || ordered[0].Answered {
		t.Errorf("got the next heartbeat %v after the last, with %v, want it now with the number of %v", c.lastHeartbeat, ordered, calls)
	}
}
