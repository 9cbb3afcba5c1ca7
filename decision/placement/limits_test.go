package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/decision/placement/placementtest"
)

// Guards against loads that exceed the limits of the weight store, and against
// cached loads that wait for the store: eight models are on the disks of four
// engines, ten are remote.
func TestCachedLoadsPassStoreLimits(t *testing.T) {
	w := startLeader(smallCatalog(10, 18, true), placement.Config{})
	for i := range 8 {
		w.Engines[i%4].Cached[fmt.Sprintf("m%d", i)] = placement.Disk
	}
	w.Run(3 * time.Second)
	begin := w.Now
	var remote, cached []time.Time
	cachedInFlight := map[string]int{}
	loadTime := w.LoadTime
	w.LoadTime = func(e *placementtest.Engine, model string, tier placement.Tier) time.Duration {
		took := loadTime(e, model, tier)
		if tier == placement.Remote {
			remote = append(remote, w.Now)
			return took
		}
		cached = append(cached, w.Now)
		if cachedInFlight[e.Name]++; cachedInFlight[e.Name] > 1 {
			t.Errorf("%s loads %d cached models at once", e.Name, cachedInFlight[e.Name])
		}
		w.After(took, func() { cachedInFlight[e.Name]-- })
		return took
	}
	var demands []placement.Demand
	for i := range 18 {
		demands = append(demands, waitingDemand(fmt.Sprintf("m%d", i), "large", 1, time.Minute))
	}
	for range 10 {
		w.Report("i0", demands)
		w.Run(2 * time.Second)
	}
	if w.MaxStoreLoads != 4 || len(remote) != 10 || len(cached) != 8 {
		t.Fatalf("%d store loads at once, %d remote and %d cached loads", w.MaxStoreLoads, len(remote), len(cached))
	}
	for i := 3; i < len(remote); i++ {
		if remote[i].Sub(remote[i-3]) < time.Second {
			t.Errorf("remote loads %d to %d within %s", i-3, i, remote[i].Sub(remote[i-3]))
		}
	}
	if first, last := cached[3].Sub(begin), cached[7].Sub(begin); first > 100*time.Millisecond || last > 2*time.Second {
		t.Errorf("the first cached load of the fourth engine began after %s, the last of all after %s", first, last)
	}
}

// Guards against a stale tier: a load that was planned as cached but reads from
// the weight store must complete, and must count against the store's limits once
// the index shows it.
func TestStaleTier(t *testing.T) {
	w := startLeader(smallCatalog(10, 8, true), placement.Config{})
	w.Engines[0].Cached["m0"] = placement.Disk
	w.Run(3 * time.Second)
	delete(w.Engines[0].Cached, "m0")
	w.Report("i0", []placement.Demand{waitingDemand("m0", "large", 1, time.Minute)})
	w.Run(2200 * time.Millisecond)
	var demands []placement.Demand
	for i := range 8 {
		demands = append(demands, waitingDemand(fmt.Sprintf("m%d", i), "large", 1, time.Minute))
	}
	for range 10 {
		w.Report("i0", demands)
		w.Run(2 * time.Second)
	}
	if w.Engines[0].Loads["m0"] != 1 || w.MaxStoreLoads != 4 || len(w.ModelLoadsSent) != 8 {
		t.Errorf("loads %v, %d store loads at once, %d loads", w.Engines[0].Loads, w.MaxStoreLoads, len(w.ModelLoadsSent))
	}
	if violations := w.Verify(); violations != nil {
		t.Error(violations)
	}
}
