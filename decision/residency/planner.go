package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// demand is what all instances need of one model.
type demand struct {
	rate    rate
	reports map[string]*reported
	since   bootclock.Time // first request that waits, 0 for none
}

type reported struct {
	at   bootclock.Time
	need Need
}

// Planner decides over the engines of all services.
type Planner struct {
	// StoreParallel is the number of loads that the weight store serves at
	// full speed at once.
	StoreParallel int
	// Prefetch loads models that no engine has a copy of while the weight
	// store is idle.
	Prefetch bool

	view    *fleet.View
	hosts   map[string]*host
	demands map[key]*demand
	store   bucket
}

// bucket limits the starts of loads from the weight store.
type bucket struct {
	level float64
	at    bootclock.Time
}

// NewPlanner returns a planner that knows nothing.
func NewPlanner(storeParallel int) *Planner {
	return &Planner{StoreParallel: storeParallel, Prefetch: true, hosts: map[string]*host{}, demands: map[key]*demand{}}
}

// Observe takes over what has registered.
func (p *Planner) Observe(now bootclock.Time, v *fleet.View) {
	p.view = v
	if v.Config == nil {
		return
	}
	for id := range p.hosts {
		if v.ByID[id] == nil {
			delete(p.hosts, id)
		}
	}
	for id, u := range v.ByID {
		service := v.Config.Services[u.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		h := p.hosts[id]
		if h == nil || !h.entry.Same(u) {
			p.hosts[id] = newHost(u, service.Engine)
			continue
		}
		h.engine = service.Engine
		if h.entry != u {
			h.observe(now, u)
		}
	}
}

// Needs takes over an instance's report. It replaces the one before.
func (p *Planner) Needs(now bootclock.Time, instance string, needs []Need) {
	for _, d := range p.demands {
		delete(d.reports, instance)
	}
	for _, n := range needs {
		d := p.demand(key{n.Service, n.Model})
		if n.Arrived > 0 {
			d.rate.add(now, n.Arrived)
		}
		d.reports[instance] = &reported{at: now, need: n}
		for id, running := range n.Running {
			if h := p.hosts[id]; h != nil && running > 0 && h.models[n.Model] != nil {
				h.models[n.Model].used = now
			}
		}
		p.useAdapters(now, n)
	}
	for _, d := range p.demands {
		if d.waiting(now) == 0 {
			d.since = 0
		} else if d.since == 0 {
			d.since = now
		}
	}
}

// useAdapters notes which adapters of a model are in use.
func (p *Planner) useAdapters(now bootclock.Time, n Need) {
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
		d = &demand{reports: map[string]*reported{}}
		p.demands[k] = d
	}
	return d
}

func (d *demand) waiting(now bootclock.Time) int {
	n := 0
	for _, r := range d.reports {
		if now.Sub(r.at) < needAge {
			n += r.need.Waiting
		}
	}
	return n
}

// running returns the requests of a model at an upstream, over all instances.
func (d *demand) running(now bootclock.Time, upstream string) int {
	n := 0
	for _, r := range d.reports {
		if now.Sub(r.at) < needAge {
			n += r.need.Running[upstream]
		}
	}
	return n
}

// Unsure lists the upstreams that are to be asked for a report.
func (p *Planner) Unsure(now bootclock.Time) []*fleet.Upstream {
	var ask []*fleet.Upstream
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
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
	}
}

// Sent takes over what an upstream said of an order.
func (p *Planner) Sent(now bootclock.Time, o Order, outcome Outcome) {
	h := p.hosts[o.Upstream]
	if h == nil || h.entry.Started != o.Started {
		return
	}
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
	case Holds:
		h.sequence = max(h.sequence, o.Sequence)
		h.unsure = true
		if o.Unload {
			delete(h.models, o.Model)
			h.order = nil
		}
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

// Placements returns what is served where.
func (p *Planner) Placements() []Placement {
	list := make([]Placement, 0, len(p.hosts))
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
		h := p.hosts[id]
		list = append(list, Placement{Upstream: id, Started: h.entry.Started, Revision: h.entry.Revision, Models: h.serving()})
	}
	return list
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
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
		h := p.hosts[id]
		if h.order != nil || h.unsure || h.adapter != nil || now.Before(h.after) {
			continue
		}
		for name, r := range h.models {
			if !r.retiring || r.retired == 0 || now.Sub(r.retired) < UnloadNotice {
				continue
			}
			if d := p.demands[key{h.entry.Service, name}]; d != nil && d.running(now, id) > 0 {
				// A request was on its way when the instances were told.
				r.retiring, r.used = false, now
				break
			}
			orders = append(orders, h.give(now, Order{Unload: true, Model: name}, retryAfter))
			break
		}
	}
	return orders
}

// give counts an order as sent.
func (h *host) give(now bootclock.Time, o Order, takes time.Duration) Order {
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
		return orders
	}
	m := c.host.engine.Models[k.model]
	takes := loadTime(m, c.source)
	if c.source == FromStore {
		p.store.level--
		takes = time.Duration(float64(takes) * max(1, float64(p.storeLoads()+1)/float64(p.StoreParallel)))
	}
	return append(orders, c.host.give(now, Order{Model: k.model, Source: c.source}, takes))
}

// storeLoads returns the loads from the weight store that are under way.
func (p *Planner) storeLoads() int {
	n := 0
	for _, h := range p.hosts {
		if h.order != nil && !h.order.order.Unload && h.order.order.Source == FromStore {
			n++
		}
	}
	return n
}

// storeFree reports whether a load from the store may start now.
func (p *Planner) storeFree(now bootclock.Time, perSecond float64) bool {
	if p.store.at == 0 {
		p.store.level = storeBurst
	} else {
		p.store.level = min(storeBurst, p.store.level+now.Sub(p.store.at).Seconds()*perSecond*storeShare)
	}
	p.store.at = now
	return p.store.level >= 1 && p.storeLoads() < p.StoreParallel
}

// wanted lists the models that need a replica, the most urgent first.
func (p *Planner) wanted(now bootclock.Time) []key {
	var list []key
	for k, d := range p.demands {
		waiting := d.waiting(now)
		replicas, running := p.replicas(now, k, d)
		if (replicas == 0 && (waiting > 0 || d.rate.now(now) >= absentRate)) || (replicas > 0 && running+waiting > crowded*replicas) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(p.demands[a].urgency(), p.demands[b].urgency()), cmp.Compare(a.model, b.model))
	})
	return list
}

// spares lists the busy models that the loss of one upstream would leave
// without a replica for the time of a load, the busiest first.
func (p *Planner) spares(now bootclock.Time) []key {
	var list []key
	for k, d := range p.demands {
		rate := d.rate.now(now)
		if rate < spareRate {
			continue
		}
		if replicas, _ := p.replicas(now, k, nil); replicas == 1 {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(p.demands[b].rate.now(now), p.demands[a].rate.now(now)), cmp.Compare(a.model, b.model))
	})
	return list
}

// urgency sorts by how long requests have been waiting; models that only want
// another replica come last.
func (d *demand) urgency() bootclock.Time {
	if d.since == 0 {
		return math.MaxInt64
	}
	return d.since
}

// replicas counts where a model is served or on its way, and its requests.
func (p *Planner) replicas(now bootclock.Time, k key, d *demand) (replicas, running int) {
	for _, h := range p.hosts {
		if h.entry.Service != k.service || !p.usable(h) {
			continue
		}
		r := h.models[k.model]
		loading := h.order != nil && !h.order.order.Unload && h.order.order.Model == k.model
		if loading || (r != nil && !r.retiring && (h.order == nil || h.order.order.Model != k.model)) {
			replicas++
		}
		if d != nil {
			running += d.running(now, h.entry.ID)
		}
	}
	return replicas, running
}

// missing lists the models of which no engine has a copy.
func (p *Planner) missing(now bootclock.Time) []key {
	var list []key
	for name, s := range p.view.Config.Services {
		if s.Engine == nil {
			continue
		}
		for model := range s.Engine.Models {
			k := key{name, model}
			if !p.copied(k) {
				list = append(list, k)
			}
		}
	}
	rateOf := func(k key) float64 {
		if d := p.demands[k]; d != nil {
			return d.rate.now(now)
		}
		return 0
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(rateOf(b), rateOf(a)), cmp.Compare(a.model, b.model))
	})
	return list
}

// copied reports whether an engine in service has the model or a copy of it.
func (p *Planner) copied(k key) bool {
	for _, h := range p.hosts {
		if h.entry.Service != k.service || !p.usable(h) {
			continue
		}
		if h.models[k.model] != nil || h.source(k.model) != FromStore ||
			(h.order != nil && h.order.order.Model == k.model && !h.order.order.Unload) {
			return true
		}
	}
	return false
}

// ReadyIn estimates when a model that is not served will be.
func (p *Planner) ReadyIn(now bootclock.Time, service, model string) (time.Duration, bool) {
	k := key{service, model}
	var m *fleet.Model
	copied := false
	for _, h := range p.hosts {
		if h.entry.Service != service || !p.usable(h) {
			continue
		}
		if o := h.order; o != nil && o.order.Model == model && !o.order.Unload {
			return max(o.due.Sub(now), 0), true
		}
		m = h.engine.Models[model]
		copied = copied || h.source(model) != FromStore
	}
	switch {
	case m == nil:
		return 0, false
	case copied:
		return loadTime(m, FromDisk) + swapTime, true
	}
	// Loads from the weight store go in turns, the longest waiting model first.
	ahead := p.storeLoads()
	for _, w := range p.wanted(now) {
		if w == k {
			break
		}
		if !p.copied(w) {
			ahead++
		}
	}
	return time.Duration(1+ahead/p.StoreParallel) * m.Load, true
}

// Waiting lists the models that requests wait for.
func (p *Planner) Waiting(now bootclock.Time) []Need {
	var list []Need
	for k, d := range p.demands {
		if n := d.waiting(now); n > 0 {
			list = append(list, Need{Service: k.service, Model: k.model, Waiting: n})
		}
	}
	return list
}
