package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// usagePlanner returns a planner of four engines in two data centres that hold the models
// m0 to m11, three each.
func usagePlanner() (*Planner, *fleet.Registry, bootclock.Time) {
	registry := fleet.NewRegistry()
	registry.SetConfig(engineService(60, 0))
	for i := range 4 {
		models := map[string][]string{}
		for m := range 3 {
			models[fmt.Sprintf("m%d", 3*i+m)] = nil
		}
		registry.SetUpstream(&fleet.Upstream{
			ID: fmt.Sprintf("e%d", i), Service: service, Address: "a", DataCentre: []string{"north", "south"}[i%2], Started: 1, Models: models,
		})
	}
	p, now := NewPlanner(4), bootclock.Time(time.Hour)
	p.Observe(now, registry.View())
	return p, registry, now
}

func usageOf(t *testing.T, p *Planner, now bootclock.Time) Usage {
	t.Helper()
	u, ok := p.Usage(now, service)
	if !ok {
		t.Fatal("got no usage")
	}
	return u
}

// Guards against upstreams that are ordered for models which a single request asks for,
// also if it waits and then runs, and against missing those that are asked for again and
// again, served or not, and also if all their requests are refused.
func TestUsageCountsModelsWhoseDemandPays(t *testing.T) {
	p, _, now := usagePlanner()
	report := func(demands ...ModelDemand) { p.RecordDemand(now, "i", demands) }
	report(ModelDemand{Service: service, Model: "m0", Arrived: 2})
	if u := usageOf(t, p, now); u.Models != 0 {
		t.Errorf("after one request that waited: got %d models, want none", u.Models)
	}
	for range 3 {
		now = now.Add(3 * time.Second)
		report(
			ModelDemand{Service: service, Model: "m1", Arrived: 1}, ModelDemand{Service: service, Model: "m20", Arrived: 1, Waiting: 1},
			ModelDemand{Service: service, Model: "m21", Refused: 1}, ModelDemand{Service: "other", Model: "m1", Arrived: 9}, ModelDemand{Service: service, Model: "unknown", Arrived: 9},
		)
	}
	u := usageOf(t, p, now)
	if u.Models != 3 || u.Places != 3 || u.Unserved != 2 || u.Waiting != 1 || u.WaitingForSlot != 0 || u.Refused <= 0.1 || u.RefusedForSlot != 0 {
		t.Errorf("got %+v, want the models m1, m20 and m21, of which one is served", u)
	}
	now = now.Add(time.Minute)
	if u := usageOf(t, p, now); u.Models != 0 || u.Waiting != 0 || u.Refused > 0.01 {
		t.Errorf("a minute later: got %+v, want no demand", u)
	}
}

// Guards against a place that is lost in the sum of sizes that binary fractions can't
// represent.
func TestUsageCountsPlacesOfOddSizes(t *testing.T) {
	for i := range 200 {
		size := 65099.99999999999 + float64(i)/10
		p, registry, now := usagePlanner()
		engine := registry.View().Config.Services[service].Engine
		engine.WeightsMB = 3 * size
		for _, m := range engine.Models {
			m.WeightsMB = size
		}
		if u := usageOf(t, p, now); u.PlacesPerEngine != 3 {
			t.Errorf("models of %g MB: got %d places in %g MB, want 3", size, u.PlacesPerEngine, engine.WeightsMB)
		}
	}
}

// Guards against a busy model that counts as one place though it needs further replicas,
// and against requests that no slot is free for that are not seen.
func TestUsageCountsReplicasAndSlots(t *testing.T) {
	p, _, now := usagePlanner()
	p.RecordDemand(now, "i", []ModelDemand{
		{Service: service, Model: "m0", Arrived: 20, Waiting: 4, Refused: 2, Running: map[string]int{"e0": 16}},
		{Service: service, Model: "m3", Arrived: 1, Running: map[string]int{"e1": 1}},
	})
	u := usageOf(t, p, now)
	if u.Models != 2 || u.Places != 4 || u.Running != 17 || u.WaitingForSlot != 4 || u.RefusedForSlot <= 0 || u.Unserved != 0 {
		t.Errorf("got %+v, want three places for m0 and one for m3", u)
	}
}

// Guards against upstreams that leave, or whose data centre is taken out of service, that
// count as capacity, and against new and empty ones that do not.
func TestUsageCountsUsablePlaces(t *testing.T) {
	p, registry, now := usagePlanner()
	registry.SetUpstream(&fleet.Upstream{ID: "new", Service: service, Address: "a", DataCentre: "south", Started: 1})
	registry.SetUpstream(&fleet.Upstream{ID: "e1", Service: service, Address: "a", DataCentre: "south", Started: 1, Sequence: 1, Leaving: true})
	p.Observe(now, registry.View())
	u := usageOf(t, p, now)
	if u.PlacesPerEngine != 3 || u.Free != 3 || u.Usable["north"] != 2 || u.Usable["south"] != 2 {
		t.Errorf("got %+v, want 2 usable engines in each data centre and 3 free places", u)
	}
	if want := storeShare * 5; u.LoadsPerSecond > want || u.LoadsPerSecond != 2 {
		t.Errorf("got %g loads a second, want the 4 of 2 s each that run at once", u.LoadsPerSecond)
	}
	registry.SetEvacuated("north", true)
	p.Observe(now, registry.View())
	if u := usageOf(t, p, now); u.Usable["north"] != 0 {
		t.Errorf("data centre taken out: got %+v", u)
	}
}

// Guards against new upstreams that stay empty: an engine that registers without models
// gets loads of the models that requests wait for, one after another, and no engine in use
// makes way for them.
func TestNewUpstreamIsFilledAtOnce(t *testing.T) {
	config := engineService(60, 0)
	registry, now := fleet.NewRegistry(), bootclock.Time(time.Hour)
	registry.SetConfig(config)
	p, sims := NewPlanner(4), map[string]*fakeUpstream{}
	p.Prefetch = false
	add := func(id string, models ...string) {
		u := &fakeUpstream{id: id, engine: config.Services[service].Engine, started: 1, models: map[string][]string{}}
		for _, m := range models {
			u.models[m] = nil
		}
		sims[id] = u
		registry.SetUpstream(u.entry())
		p.Observe(now, registry.View())
	}
	var demands []ModelDemand
	for i := range 4 {
		m := []string{fmt.Sprintf("m%d", 3*i), fmt.Sprintf("m%d", 3*i+1), fmt.Sprintf("m%d", 3*i+2)}
		add(fmt.Sprintf("e%d", i), m...)
		for _, name := range m {
			demands = append(demands, ModelDemand{Service: service, Model: name, Arrived: 1, Running: map[string]int{fmt.Sprintf("e%d", i): 1}})
		}
	}
	run := func(end bootclock.Time, done func() bool) {
		for ; now < end && !done(); now = now.Add(50 * time.Millisecond) {
			p.RecordDemand(now, "i", demands)
			for _, u := range sims {
				loading := u.loading
				if u.advance(now); u.loading != loading {
					registry.SetUpstream(u.entry())
				}
			}
			p.Observe(now, registry.View())
			for _, u := range p.UpstreamsToQuery(now) {
				p.ApplyReport(now, now, u.ID, u.Started, sims[u.ID].current())
			}
			p.RecordNotification(now)
			for _, o := range p.Plan(now) {
				if o.Upstream != "new" || o.Unload {
					t.Fatalf("got order %+v, want loads at the new upstream only", o)
				}
				p.RecordOutcome(now, o, sims[o.Upstream].accept(now, o))
			}
		}
	}
	for i := 12; i < 15; i++ {
		demands = append(demands, ModelDemand{Service: service, Model: fmt.Sprintf("m%d", i), Arrived: 1, Waiting: 2})
	}
	run(now.Add(5*time.Second), func() bool { return false })
	if u := usageOf(t, p, now); u.Models != 15 || u.Unserved != 3 {
		t.Fatalf("before the new upstream: got %+v, want 15 models, 3 of them not served", u)
	}
	add("new")
	added := now
	run(now.Add(20*time.Second), func() bool { return len(sims["new"].models) == 3 })
	// Each load takes 2 s.
	if got := now.Sub(added); len(sims["new"].models) != 3 || got > 8*time.Second {
		t.Errorf("got models %v at the new upstream after %s, want the 3 that requests wait for within 8 s", sims["new"].models, got)
	}
}

// Guards against new upstreams that stay empty while models displace each other: all
// models are on the disks of the engines in use, from where a load is fast, so that no
// request needs the new one. Four engines hold 12 of 15 models, each requested twice a
// second; a request for a model that is not served waits for it.
func TestNewUpstreamIsFilledThoughOthersHaveCopies(t *testing.T) {
	const models = 15
	config := engineService(models, 0)
	config.Services[service].Scale = &fleet.Scale{Minimum: 1, Maximum: 9}
	engine := config.Services[service].Engine
	registry, now := fleet.NewRegistry(), bootclock.Time(time.Hour)
	registry.SetConfig(config)
	p, sims := NewPlanner(4), map[string]*fakeUpstream{}
	add := func(id string, disk bool, names ...string) {
		u := &fakeUpstream{id: id, engine: engine, started: 1, models: map[string][]string{}}
		for _, name := range names {
			u.models[name] = nil
		}
		for i := 0; disk && i < models; i++ {
			u.disk = append(u.disk, fmt.Sprintf("m%d", i))
		}
		sims[id] = u
		registry.SetUpstream(u.entry())
		p.Observe(now, registry.View())
	}
	for i := range 4 {
		add(fmt.Sprintf("e%d", i), true, fmt.Sprintf("m%d", 3*i), fmt.Sprintf("m%d", 3*i+1), fmt.Sprintf("m%d", 3*i+2))
	}
	missed := 0 // requests for models that were not served
	run := func(length time.Duration) {
		for i, end := 0, now.Add(length); now < end; i, now = i+1, now.Add(50*time.Millisecond) {
			var demands []ModelDemand
			for m := range models {
				name := fmt.Sprintf("m%d", m)
				d := ModelDemand{Service: service, Model: name}
				if i%10 == m%10 {
					d.Arrived = 1
				}
				if d.Arrived > 0 && !p.served(name) {
					d.Waiting = 1
					missed++
				}
				if d.Arrived > 0 {
					demands = append(demands, d)
				}
			}
			p.RecordDemand(now, "i", demands)
			for _, u := range sims {
				loading := u.loading
				if u.advance(now); u.loading != loading {
					registry.SetUpstream(u.entry())
				}
			}
			p.Observe(now, registry.View())
			for _, u := range p.UpstreamsToQuery(now) {
				p.ApplyReport(now, now, u.ID, u.Started, sims[u.ID].current())
			}
			p.RecordNotification(now)
			for _, o := range p.Plan(now) {
				p.RecordOutcome(now, o, sims[o.Upstream].accept(now, o))
			}
		}
	}
	run(20 * time.Second)
	add("new", false)
	run(10 * time.Second)
	if got := len(sims["new"].models); got != 3 {
		t.Errorf("got models %v at the new upstream after 10 s, want 3", sims["new"].models)
	}
	missed = 0
	run(10 * time.Second)
	if missed > 0 {
		t.Errorf("got %d requests for models that are not served after the new upstream is full, want none", missed)
	}
}
