package residency

import (
	"cmp"
	"math"
	"slices"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// modelsForFreePlaces lists the models whose demand pays for a place and that no engine
// serves, of services whose upstreams can be ordered, if a place is free at one of them.
// Those with the highest demand come first. A request for such a model is served soonest
// by an engine that has it on its disk, in place of another model that is in demand, so
// that models would displace each other while new engines stayed empty.
func (p *Planner) modelsForFreePlaces(now bootclock.Time) []key {
	smallest := map[string]float64{} // size of the smallest model by service
	for name, s := range p.view.Config.Services {
		if s.Scale == nil || s.Engine == nil {
			continue
		}
		smallest[name] = math.Inf(1)
		for _, m := range s.Engine.Models {
			smallest[name] = min(smallest[name], m.WeightsMB)
		}
	}
	if len(smallest) == 0 {
		return nil
	}
	free := map[string]bool{} // by service
	for _, h := range p.hosts {
		if size, ok := smallest[h.entry.Service]; ok && !h.busy(now) && p.usable(h) && h.engine.WeightsMB-h.usedMB() >= size {
			free[h.entry.Service] = true
		}
	}
	if len(free) == 0 {
		return nil
	}
	p.refresh(now)
	rates := map[key]float64{}
	var list []key
	for k, d := range p.demands {
		if !free[k.service] || p.totals.replicas(k) > 0 || p.model(k) == nil {
			continue
		}
		if rate := d.steady.over(now, steadyHalfLife); rate >= paysRate {
			rates[k] = rate
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), cmp.Compare(a.model, b.model))
	})
	return list
}

// chooseFree returns the host that loads a model soonest without an eviction.
func (p *Planner) chooseFree(now bootclock.Time, k key) (best candidate, found bool) {
	m := p.model(k)
	// The weight store may be used to its full: models that requests wait for go first.
	fromStore := p.storeAvailable(now, p.view.Config.Services[k.service].Engine.LoadsPerSecond)
	for _, id := range p.sortedIDs() {
		h := p.hosts[id]
		if h.entry.Service != k.service || h.busy(now) || !p.usable(h) || h.models[k.model] != nil || h.engine.WeightsMB-h.usedMB() < m.WeightsMB {
			continue
		}
		source := h.source(k.model)
		if source == FromStore && !fromStore {
			continue
		}
		if c := (candidate{host: h, source: source, cost: ms(loadTime(m, source))}); !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}
