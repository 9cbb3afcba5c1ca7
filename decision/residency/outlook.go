package residency

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// ReadyIn estimates when a model that is not served will be.
func (p *Planner) ReadyIn(now bootclock.Time, service, model string) (time.Duration, bool) {
	k := key{service, model}
	p.refresh(now)
	if in, ok := p.underWay(now, k); ok {
		return in, true
	}
	m := p.model(k)
	switch {
	case m == nil:
		return 0, false
	case p.totals.copies[k] > 0:
		return loadTime(m, FromDisk) + swapTime, true
	}
	// Loads from the weight store go in turns, the longest waiting model first.
	ahead := p.storeLoads(now)
	for _, w := range p.wanted(now) {
		if w == k {
			break
		}
		if p.totals.copies[w] == 0 {
			ahead++
		}
	}
	return time.Duration(1+ahead/p.StoreParallel) * m.Load, true
}

// underWay returns in which time a load that has been ordered ends.
func (p *Planner) underWay(now bootclock.Time, k key) (in time.Duration, ok bool) {
	for h := range p.totals.loading[k] {
		if left := max(h.order.due.Sub(now), 0); !ok || left < in {
			in, ok = left, true
		}
	}
	return in, ok
}

// model returns what the desired state says of a model, nil without it.
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

// Waiters lists the instances at which requests wait for one of the models
// that an upstream serves.
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

// Outlook is what an instance is told of a model that its requests wait for.
type Outlook struct {
	Service, Model string
	Served         []Placement // where it is served now
	In             time.Duration
	Known          bool // In is known
}

// Outlooks tells when the models will be served that requests of an instance wait for.
func (p *Planner) Outlooks(now bootclock.Time, instance string) []Outlook {
	p.refresh(now)
	r := p.reports[instance]
	if r == nil {
		return nil
	}
	var list []Outlook
	for _, n := range r.needs {
		if n.Waiting == 0 {
			continue
		}
		k, o := key{n.Service, n.Model}, Outlook{Service: n.Service, Model: n.Model}
		for _, h := range inOrder(p.totals.serving[k]) {
			if h.serves(k.model) {
				o.Served = append(o.Served, h.placement())
			}
		}
		if len(o.Served) == 0 {
			o.In, o.Known = p.ReadyIn(now, n.Service, n.Model)
		}
		list = append(list, o)
	}
	return list
}
