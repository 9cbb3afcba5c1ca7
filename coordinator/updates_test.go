package coordinator

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards against a leader message rate that grows with both the model swaps and the
// instances: with 295 instances the leader sent about 10,000 messages a second. Pushes
// to all instances are limited, and only an instance whose request waits for a model is
// updated at once.
func TestOnlyWaitingInstancesAreUpdatedAtOnce(t *testing.T) {
	const service = "engine"
	now := bootclock.Now()
	engine := &fleet.Engine{Slots: 8, WeightsMB: 200, LoadsPerSecond: 5, Models: map[string]*fleet.Model{}}
	for _, name := range []string{"m0", "m1", "m2"} {
		engine.Models[name] = &fleet.Model{Name: name, WeightsMB: 100, LoadTime: 2 * time.Second, DiskLoadTime: time.Second}
	}
	registry := fleet.NewRegistry()
	registry.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{service: {Name: service, Engine: engine}}})
	entry := func(revision int64, models ...string) {
		u := &fleet.Upstream{ID: "u", Service: service, Started: 1, Revision: revision, CopiesReported: true, Copies: fleet.Copies{Disk: []string{"m0", "m1"}}, Models: map[string][]string{}}
		for _, name := range models {
			u.Models[name] = nil
		}
		registry.SetUpstream(u)
	}
	entry(1, "m0")
	c := &Coordinator{
		config: Config{Instance: "leader"}, lease: NewLease("leader", "l1", "1.1.1.1:1", testLeaseGap), planner: residency.NewPlanner(2),
		placements: map[string]residency.Placement{}, unsent: map[string]struct{}{}, waiters: map[string]struct{}{},
	}
	c.client = newClient(c)
	c.planner.Observe(now, registry.View())
	c.collectUpdates(now)
	c.recordDemand("waiting", []residency.ModelDemand{{Service: service, Model: "m1", Arrived: 1, Waiting: 1}}, nil)
	c.recordDemand("idle", []residency.ModelDemand{{Service: service, Model: "m0", Arrived: 1}}, nil)
	urgent := c.collectUpdates(now)
	if u := urgent["waiting"]; len(urgent) != 1 || u == nil || len(u.Ready) != 1 || u.Ready[0].Model != "m1" || u.Ready[0].In < time.Second {
		t.Fatalf("got updates %+v, want one for the waiting instance with the estimate for m1", urgent)
	}
	entry(2, "m0", "m1")
	c.planner.Observe(now, registry.View())
	urgent = c.collectUpdates(now)
	if u := urgent["waiting"]; len(urgent) != 1 || u == nil || len(u.Changed) != 1 || u.Changed[0].Upstream != "u" {
		t.Errorf("got updates %+v, want one for the waiting instance with the placement of m1", urgent)
	}
	if urgent = c.collectUpdates(now); len(urgent) != 0 {
		t.Errorf("got updates %+v without a change, want none", urgent)
	}
	for _, instances := range []int{2, 22, 85, 295, 860} {
		perSecond := float64(instances) / pushInterval(instances).Seconds()
		if perSecond > 860/maxPushInterval.Seconds() {
			t.Errorf("%.0f messages a second to %d instances exceed the limit", perSecond, instances)
		}
	}
}
