package residency

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// instances are told of placements as the coordinator does it: only of those that differ
// from what they have been told before.
type instances struct{ told map[string]Placement }

// tell takes the planner's changes and, if there is news, notifies the instances.
func (i *instances) tell(now bootclock.Time, p *Planner) {
	changed, _ := p.Changes()
	news := false
	for _, c := range changed {
		before, known := i.told[c.Upstream]
		same := known && before.Started == c.Started && len(before.Models) == len(c.Models)
		for model := range c.Models {
			_, ok := before.Models[model]
			same = same && ok
		}
		if !same {
			i.told[c.Upstream], news = c, true
		}
	}
	if news {
		p.RecordNotification(now)
	}
}

// swapUntilLoaded makes the engine of newTestPlanner load m3 in place of m2, while requests
// run for m0 and m1, up to the entry that shows m3, which the planner has not seen yet.
func swapUntilLoaded(t *testing.T, now bootclock.Time) (bootclock.Time, *Planner, *fleet.Registry, *instances) {
	t.Helper()
	p, u, registry := newTestPlanner(t, now)
	i := &instances{told: map[string]Placement{}}
	i.tell(now, p)
	p.RecordDemand(now, "i", []ModelDemand{
		{Service: service, Model: "m0", Running: map[string]int{"u0": 1}},
		{Service: service, Model: "m1", Running: map[string]int{"u0": 1}},
		{Service: service, Model: "m3", Arrived: 1, Waiting: 1},
	})
	for range 3 { // the notice, the unload and the load
		for _, o := range p.Plan(now) {
			p.RecordOutcome(now, o, u.accept(now, o))
		}
		i.tell(now, p)
		now = now.Add(max(UnloadNotice, UnloadTime))
	}
	if h := p.hosts["u0"]; h.order == nil || h.order.order.Unload || h.order.order.Model != "m3" {
		t.Fatalf("got order %+v, want the load of m3", h.order)
	}
	now = now.Add(2 * time.Second)
	u.advance(now)
	registry.SetUpstream(u.entry())
	return now, p, registry, i
}

// Guards against an engine that gets no order any more and serves a model to nobody: the
// model was to be unloaded in the same step in which its load was seen to be complete, so
// that what the instances had been told did not change and no notice was sent.
func TestModelThatNobodyWasToldOfIsUnloaded(t *testing.T) {
	now, p, registry, i := swapUntilLoaded(t, bootclock.Time(time.Hour))
	p.RecordDemand(now, "i", []ModelDemand{
		{Service: service, Model: "m0", Running: map[string]int{"u0": 1}},
		{Service: service, Model: "m1", Running: map[string]int{"u0": 1}},
		{Service: service, Model: "m4", Arrived: 1, Waiting: 1},
	})
	p.Observe(now, registry.View())
	p.Plan(now)
	if r := p.hosts["u0"].models["m3"]; r == nil || !r.retiring {
		t.Fatalf("got %+v for m3, want a model that makes way", r)
	}
	i.tell(now, p)
	now = now.Add(UnloadNotice)
	if orders := p.Plan(now); len(orders) != 1 || !orders[0].Unload || orders[0].Model != "m3" {
		t.Errorf("got orders %+v, want the unload of m3", orders)
	}
}

// Guards against an unload without a notice to the instances that have been told of the
// model.
func TestModelThatInstancesKnowIsUnloadedAfterANotice(t *testing.T) {
	now, p, registry, i := swapUntilLoaded(t, bootclock.Time(time.Hour))
	p.Observe(now, registry.View())
	i.tell(now, p)
	p.RecordDemand(now, "i", []ModelDemand{
		{Service: service, Model: "m0", Running: map[string]int{"u0": 1}},
		{Service: service, Model: "m1", Running: map[string]int{"u0": 1}},
		{Service: service, Model: "m4", Arrived: 1, Waiting: 1},
	})
	p.Plan(now)
	if r := p.hosts["u0"].models["m3"]; r == nil || !r.retiring {
		t.Fatalf("got %+v for m3, want a model that makes way", r)
	}
	now = now.Add(UnloadNotice)
	if orders := p.Plan(now); len(orders) != 0 {
		t.Fatalf("got orders %+v before the notice, want none", orders)
	}
	i.tell(now, p)
	if orders := p.Plan(now.Add(UnloadNotice)); len(orders) != 1 || !orders[0].Unload {
		t.Errorf("got orders %+v after the notice, want the unload of m3", orders)
	}
}
