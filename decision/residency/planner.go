package residency

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Planner decides over the engines of all services.
type Planner struct {
	// StoreParallel is the number of loads from the weight store at once. It
	// follows how long loads take.
	StoreParallel int
	// Prefetch loads models that no engine has a copy of while the weight
	// store is idle.
	Prefetch bool

	view    *fleet.View
	hosts   map[string]*host
	ids     []string // of hosts, in order
	reports map[string]*reported
	demands map[key]*demand
	totals  totals
	stale   map[*host]struct{}  // not yet counted in the totals
	unsent  map[string]struct{} // upstreams touched since Changes
	store   bucket
}

// bucket limits the starts of loads from the weight store.
type bucket struct {
	level float64
	at    bootclock.Time
}

// NewPlanner returns a planner that knows nothing.
func NewPlanner(storeParallel int) *Planner {
	return &Planner{
		StoreParallel: storeParallel, Prefetch: true,
		hosts: map[string]*host{}, reports: map[string]*reported{}, demands: map[key]*demand{},
		totals: newTotals(), stale: map[*host]struct{}{}, unsent: map[string]struct{}{},
	}
}

// Observe takes over what has registered.
func (p *Planner) Observe(now bootclock.Time, v *fleet.View) {
	p.view, p.ids = v, nil
	if v.Config == nil {
		return
	}
	for id, h := range p.hosts {
		if v.ByID[id] == nil {
			delete(p.hosts, id)
			p.touch(h)
		}
	}
	for id, u := range v.ByID {
		service := v.Config.Services[u.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		h := p.hosts[id]
		if h == nil || !h.entry.Same(u) {
			if h != nil {
				p.touch(h)
			}
			p.hosts[id] = newHost(u, service.Engine)
			p.touch(p.hosts[id])
			continue
		}
		h.engine = service.Engine
		if h.entry != u {
			h.observe(now, u)
			p.touch(h)
		} else if h.tally.usable != p.usable(h) {
			p.touch(h)
		}
	}
}

// Needs takes over an instance's report. It replaces the one before.
func (p *Planner) Needs(now bootclock.Time, instance string, needs []Need) {
	for _, n := range needs {
		if n.Arrived > 0 {
			p.demand(key{n.Service, n.Model}).rate.add(now, n.Arrived)
		}
		for id, running := range n.Running {
			if h := p.hosts[id]; h != nil && running > 0 && h.models[n.Model] != nil {
				h.models[n.Model].used = now
			}
		}
		p.useAdapters(now, n)
	}
	p.replaceNeeds(now, instance, needs)
	p.reports[instance] = &reported{at: now, needs: needs}
}

// useAdapters notes which adapters of a model are in use.
func (p *Planner) useAdapters(now bootclock.Time, n Need) {
	if len(n.Adapters) == 0 {
		return
	}
	for _, h := range p.hosts {
		r := h.models[n.Model]
		if r == nil || h.entry.Service != n.Service {
			continue
		}
		for _, id := range n.Adapters {
			if a := r.adapters[id]; a != nil {
				a.used = now
			}
		}
	}
}

func (p *Planner) demand(k key) *demand {
	d := p.demands[k]
	if d == nil {
		d = &demand{runningAt: map[string]int{}}
		p.demands[k] = d
	}
	return d
}

// Unsure lists the upstreams that are to be asked for a report.
func (p *Planner) Unsure(now bootclock.Time) []*fleet.Upstream {
	var ask []*fleet.Upstream
	for _, id := range p.sorted() {
		h := p.hosts[id]
		if o := h.order; o != nil && now.After(o.due.Add(answerSlack)) {
			h.unsure = true
		}
		waits := h.adapter != nil && h.adapter.accepted
		if (h.unsure || waits) && now.Sub(h.asked) >= retryAfter {
			h.asked = now
			ask = append(ask, h.entry)
		}
	}
	return ask
}

// Reported takes over the answer of an upstream that was asked.
func (p *Planner) Reported(now, asked bootclock.Time, upstream string, started int64, r Report) {
	if h := p.hosts[upstream]; h != nil && h.entry.Started == started {
		h.report(now, asked, r)
		p.touch(h)
	}
}

// Sent takes over what an upstream said of an order.
func (p *Planner) Sent(now bootclock.Time, o Order, outcome Outcome) {
	h := p.hosts[o.Upstream]
	if h == nil || h.entry.Started != o.Started {
		return
	}
	p.touch(h)
	if o.Adapter != "" {
		h.adapterSent(now, o, outcome)
		return
	}
	if h.order == nil || h.order.order != o {
		return
	}
	if mayAdvance(outcome) {
		h.advanced = now
	}
	switch outcome {
	case Accepted:
		h.order.accepted = true
		h.sequence = max(h.sequence, o.Sequence+1)
		if o.Unload {
			h.unloaded(now, o.Model)
		}
	case Holds:
		h.sequence = max(h.sequence, o.Sequence)
		h.unsure = true
		if o.Unload {
			delete(h.models, o.Model)
			h.order = nil
		}
	case Conflict:
		under, ok := h.unloading(now)
		if !ok || o.Unload {
			h.unsure, h.asked = true, 0
			break
		}
		// The unload before it waits for a run: the load is ordered again, at
		// growing pauses.
		h.drop(now)
		h.after = now.Add(max(under, UnloadTime))
	case NotSent, Refused:
		h.drop(now)
	case Gone:
		h.drop(now)
		h.unsure = true
	default:
		h.unsure = true
		h.asked = 0
	}
}

// drop gives up an order that will not be carried out.
func (h *host) drop(now bootclock.Time) {
	if r := h.models[h.order.order.Model]; r != nil {
		r.retiring = false
	}
	h.order = nil
	h.after = now.Add(retryAfter)
}

// Changes returns what is served at the upstreams that may have changed since
// the last call, and which of them are gone.
func (p *Planner) Changes() (changed []Placement, gone []string) {
	for _, id := range slices.Sorted(maps.Keys(p.unsent)) {
		if h := p.hosts[id]; h != nil {
			changed = append(changed, h.placement())
		} else {
			gone = append(gone, id)
		}
	}
	clear(p.unsent)
	return changed, gone
}

func (h *host) placement() Placement {
	return Placement{Upstream: h.entry.ID, Started: h.entry.Started, Revision: h.entry.Revision, Models: h.serving()}
}

// usable reports whether orders make sense at a host.
func (p *Planner) usable(h *host) bool { return p.view != nil && p.view.Usable(h.entry) }

// candidate is a way to serve a model.
type candidate struct {
	host    *host
	source  Source
	victims []string
	cost    float64 // milliseconds
}

// Told notes that all instances are being told what is served. It reports
// whether models are to be unloaded after UnloadNotice.
func (p *Planner) Told(now bootclock.Time) (retiring bool) {
	for _, h := range p.hosts {
		for _, r := range h.models {
			if r.retiring && r.retired == 0 {
				r.retired, retiring = now, true
			}
		}
	}
	return retiring
}

// Plan returns the orders to send now. Each is counted as given.
func (p *Planner) Plan(now bootclock.Time) []Order {
	if p.view == nil || p.view.Config == nil {
		return nil
	}
	orders := p.retire(now)
	for _, w := range p.wanted(now) {
		if c, ok := p.choose(now, w, true); ok {
			orders = p.carryOut(now, orders, w, c)
		}
	}
	for _, w := range p.spares(now) {
		if c, ok := p.choose(now, w, false); ok {
			orders = p.carryOut(now, orders, w, c)
		}
	}
	if p.Prefetch {
		for _, w := range p.missing(now) {
			if c, ok := p.choose(now, w, false); ok && c.source == FromStore {
				orders = p.carryOut(now, orders, w, c)
			}
		}
	}
	return orders
}

// retire orders the unloads of which the instances have been told.
func (p *Planner) retire(now bootclock.Time) []Order {
	var orders []Order
	for _, id := range p.sorted() {
		h := p.hosts[id]
		if h.order != nil || h.unsure || h.adapter != nil || now.Before(h.after) {
			continue
		}
		for name, r := range h.models {
			if !r.retiring || r.retired == 0 || now.Sub(r.retired) < UnloadNotice {
				continue
			}
			if d := p.demands[key{h.entry.Service, name}]; d != nil && d.runningAt[id] > 0 {
				// A request was on its way when the instances were told.
				r.retiring, r.used = false, now
				p.touch(h)
				break
			}
			orders = append(orders, p.give(now, h, Order{Unload: true, Model: name}, retryAfter))
			break
		}
	}
	return orders
}

// give counts an order as sent.
func (p *Planner) give(now bootclock.Time, h *host, o Order, takes time.Duration) Order {
	p.touch(h)
	o.Upstream, o.Address, o.Started, o.Sequence = h.entry.ID, h.entry.Address, h.entry.Started, h.sequence
	h.order = &pending{order: o, sent: now, due: now.Add(takes)}
	return o
}

// carryOut gives the load, or first makes room for it.
func (p *Planner) carryOut(now bootclock.Time, orders []Order, k key, c candidate) []Order {
	if len(c.victims) > 0 {
		for _, name := range c.victims {
			r := c.host.models[name]
			r.retiring, r.retired = true, 0
		}
		p.touch(c.host)
		return orders
	}
	m := c.host.engine.Models[k.model]
	takes, beside := loadTime(m, c.source), 0
	if c.source == FromStore {
		p.store.level--
		beside = p.storeLoads(now) + 1
		takes = time.Duration(float64(takes) * max(1, float64(beside)/float64(p.StoreParallel)))
	}
	orders = append(orders, p.give(now, c.host, Order{Model: k.model, Source: c.source}, takes))
	c.host.order.usual, c.host.order.beside = m.Load, beside
	return orders
}

// storeLoads returns the loads from the weight store that are under way.
func (p *Planner) storeLoads(now bootclock.Time) int {
	p.refresh(now)
	return p.totals.fromWeightStore
}

// storeFree reports whether a load from the store may start now.
func (p *Planner) storeFree(now bootclock.Time, perSecond float64) bool {
	if p.store.at == 0 {
		p.store.level = storeBurst
	} else {
		p.store.level = min(storeBurst, p.store.level+now.Sub(p.store.at).Seconds()*perSecond*storeShare)
	}
	p.store.at = now
	return p.store.level >= 1 && p.storeLoads(now) < p.StoreParallel
}
