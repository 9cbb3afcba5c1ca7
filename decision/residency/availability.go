package residency

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// ReadyIn estimates the time until a model that is not served will be served. It
// returns false for an unknown model.
func (p *Planner) ReadyIn(now bootclock.Time, service, model string) (time.Duration, bool) {
	k := key{service, model}
	p.refresh(now)
	if in, ok := p.remainingLoadTime(now, k); ok {
		return in, true
	}
	m := p.model(k)
	switch {
	case m == nil:
		return 0, false
	case p.totals.copies[k] > 0:
		return loadTime(m, FromDisk) + swapTime, true
	}
	// Models are loaded from the weight store in the order of modelsToLoad.
	ahead := p.storeLoads(now)
	for _, w := range p.modelsToLoad(now) {
		if w == k {
			break
		}
		if p.totals.copies[w] == 0 {
			ahead++
		}
	}
	in := time.Duration(1+ahead/p.StoreParallel) * m.LoadTime
	if restart, ok := p.returnsIn(k); ok {
		in = min(in, restart)
	}
	return in, true
}

// returnsIn estimates the time until a model is served by an engine that served it, has
// just ended and starts again before its entry goes, with the model on its disk. ok is
// false if there is none.
func (p *Planner) returnsIn(k key) (in time.Duration, ok bool) {
	for id, d := range p.view.Departed {
		h := p.hosts[id]
		if !d.Ended || h == nil || h.entry.Service != k.service || h.entry.Started != d.Started || h.models[k.model] == nil {
			continue
		}
		if m := h.engine.Models[k.model]; m != nil {
			return restartTime + loadTime(m, FromDisk), true
		}
	}
	return 0, false
}

// remainingLoadTime returns the expected time until the first of the ordered
// loads of a model completes, and false if none is in progress.
func (p *Planner) remainingLoadTime(now bootclock.Time, k key) (in time.Duration, ok bool) {
	for h := range p.totals.loading[k] {
		if remaining := max(h.order.due.Sub(now), 0); !ok || remaining < in {
			in, ok = remaining, true
		}
	}
	return in, ok
}

// model returns the model's entry in the desired state, nil if there is none.
func (p *Planner) model(k key) *fleet.Model {
	if p.view == nil || p.view.Config == nil {
		return nil
	}
	if s := p.view.Config.Services[k.service]; s != nil && s.Engine != nil {
		return s.Engine.Models[k.model]
	}
	return nil
}

// Waiter is an instance at which requests wait for a model.
type Waiter struct{ Instance, Service, Model string }

// Waiters lists the instances at which requests wait for a model that the
// upstream serves.
func (p *Planner) Waiters(upstream string) []Waiter {
	h := p.hosts[upstream]
	if h == nil || len(p.totals.waiting) == 0 {
		return nil
	}
	var list []Waiter
	for name := range h.models {
		for instance := range p.totals.waiting[key{h.entry.Service, name}] {
			list = append(list, Waiter{instance, h.entry.Service, name})
		}
	}
	return list
}

// ModelAvailability is the availability of a model that requests of an instance wait for.
type ModelAvailability struct {
	Service, Model string
	Served         []Placement   // the upstreams that serve the model now
	ReadyIn        time.Duration // estimated time until it is served if Served is empty
	ReadyInKnown   bool          // whether ReadyIn is known
}

// Availability returns the availability of each model that requests of an instance
// wait for.
func (p *Planner) Availability(now bootclock.Time, instance string) []ModelAvailability {
	p.refresh(now)
	r := p.reports[instance]
	if r == nil {
		return nil
	}
	var list []ModelAvailability
	for _, n := range r.demands {
		if n.Waiting == 0 {
			continue
		}
		k, o := key{n.Service, n.Model}, ModelAvailability{Service: n.Service, Model: n.Model}
		for _, h := range sortedByID(p.totals.serving[k]) {
			if h.serves(k.model) {
				o.Served = append(o.Served, h.placement())
			}
		}
		if len(o.Served) == 0 {
			o.ReadyIn, o.ReadyInKnown = p.ReadyIn(now, n.Service, n.Model)
		}
		list = append(list, o)
	}
	return list
}
