package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards the weight store's rate under a shift of demand to many models that no
// engine has a copy of: in no window do more loads begin than the store allows,
// and loads go on all the time.
func TestLoadsKeepTheStoresRate(t *testing.T) {
	const (
		models, upstreams = 60, 24
		window, overage   = 5 * time.Second, 1.1 // of the users' deployments
		allowance         = 3
		step              = 20 * time.Millisecond
	)
	config := engineService(models, 0)
	engine := config.Services[service].Engine
	for _, m := range engine.Models {
		m.Load = 300 * time.Millisecond // short, so that the rate binds and not the loads under way
	}
	registry := fleet.NewRegistry()
	registry.SetConfig(config)
	now := bootclock.Time(time.Hour)
	p := NewPlanner(16)
	sims := map[string]*upstreamSim{}
	for i := range upstreams {
		u := &upstreamSim{id: fmt.Sprintf("u%02d", i), engine: engine, started: 1, models: map[string][]string{}}
		sims[u.id] = u
		registry.SetUpstream(u.entry())
	}
	p.Observe(now, registry.View())
	var starts []bootclock.Time
	for end := now.Add(20 * time.Second); now < end; now = now.Add(step) {
		for _, u := range sims {
			loading := u.loading
			u.advance(now)
			if u.loading != loading {
				registry.SetUpstream(u.entry())
			}
		}
		p.Observe(now, registry.View())
		for _, ask := range p.Unsure(now) {
			p.Reported(now, now, ask.ID, ask.Started, sims[ask.ID].current())
		}
		var needs []Need
		for i := range models {
			if name := fmt.Sprintf("m%d", i); !p.served(name) {
				needs = append(needs, Need{Service: service, Model: name, Waiting: 1, Left: time.Second})
			}
		}
		p.Needs(now, "i", needs)
		p.Told(now)
		for _, o := range p.Plan(now) {
			if !o.Unload && o.Source == FromStore {
				starts = append(starts, now)
			}
			p.Sent(now, o, sims[o.Upstream].accept(now, o))
		}
	}
	limit := int(engine.LoadsPerSecond*window.Seconds()*overage) + allowance
	for i, first := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(first) < window {
				n++
			}
		}
		if n > limit {
			t.Fatalf("%d loads from the store in %s, %d are allowed", n, window, limit)
		}
	}
	if len(starts) < models {
		t.Errorf("%d loads in 20 s for %d models", len(starts), models)
	}
}

func (p *Planner) served(model string) bool {
	for _, h := range p.hosts {
		if h.models[model] != nil {
			return true
		}
	}
	return false
}

// Guards the weight store's use in deployments whose stores serve 2, 4 or 8
// loads at full speed, which no table tells: more at once take longer each and
// no more are done, fewer leave the store idle.
func TestLoadsAtOnceFollowTheStore(t *testing.T) {
	for _, fullSpeedAt := range []int{2, 4, 8} {
		p := NewPlanner(4)
		const usual, lag = 7800 * time.Millisecond, 300 * time.Millisecond
		for range 40 {
			beside := p.StoreParallel
			took := time.Duration(float64(usual) * max(1, float64(beside)/float64(fullSpeedAt)))
			p.learn(finished{took: took + lag, usual: usual, beside: beside})
		}
		if p.StoreParallel < fullSpeedAt || p.StoreParallel > fullSpeedAt+2 {
			t.Errorf("%d loads at once at a store that serves %d at full speed", p.StoreParallel, fullSpeedAt)
		}
	}
}

// Replays a shift of demand (cantaro-pozos-large, quiet-1, 9 to 20 s): a model
// with three replicas gets 40 requests at once while many rare models without a
// copy wait for the weight store. Its requests queued for 3 s for as long as the
// rare ones came first.
func TestCrowdedModelComesBeforeRareOnes(t *testing.T) {
	now := bootclock.Time(time.Hour)
	config := engineService(40, 0)
	registry := fleet.NewRegistry()
	registry.SetConfig(config)
	sims := map[string]*upstreamSim{}
	for i := range 6 {
		u := &upstreamSim{id: fmt.Sprintf("u%d", i), engine: config.Services[service].Engine, started: 1, models: map[string][]string{}}
		if i < 3 {
			u.models["m0"] = nil
		}
		sims[u.id] = u
		registry.SetUpstream(u.entry())
	}
	p := NewPlanner(2)
	p.Observe(now, registry.View())
	for _, ask := range p.Unsure(now) {
		p.Reported(now, now.Add(-1), ask.ID, ask.Started, sims[ask.ID].current())
	}
	needs := []Need{{Service: service, Model: "m0", Arrived: 40, Running: map[string]int{"u0": 14, "u1": 13, "u2": 13}}}
	for i := 1; i < 30; i++ {
		needs = append(needs, Need{Service: service, Model: fmt.Sprintf("m%d", i), Arrived: 1, Waiting: 1})
	}
	p.Needs(now, "i", needs)
	orders := p.Plan(now)
	if len(orders) == 0 || orders[0].Model != "m0" {
		t.Errorf("orders %v, want a replica of the crowded model first", orders)
	}
}
