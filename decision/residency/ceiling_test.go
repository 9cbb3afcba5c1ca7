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
