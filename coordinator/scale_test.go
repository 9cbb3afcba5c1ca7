package coordinator

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/autoscale"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
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
	want := map[string]autoscale.Site{"a": {Present: 2, Usable: 2}, "b": {Present: 1, Evacuated: true}, "c": {}}
	for dataCentre, site := range want {
		if g, ok := got[dataCentre]; !ok || g != site {
			t.Errorf("data centre %s: got %+v, want %+v", dataCentre, g, site)
		}
	}
}
