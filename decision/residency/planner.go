package residency

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Planner plans the loads and unloads of the engines of all services. It is not
// safe for concurrent use.
type Planner struct {
	// StoreParallel is the limit on concurrent loads from the weight store. It is
	// adjusted to how long loads take.
	StoreParallel int
	// Prefetch enables loading models that no engine has a copy of while the
	// weight store has capacity.
	Prefetch bool

	view    *fleet.View
	hosts   map[string]*host
	ids     []string // sorted keys of hosts
	reports map[string]*demandReport
	demands map[key]*demand
	totals  totals
	stale   map[*host]struct{}  // hosts whose contribution to totals is out of date
	changed map[string]struct{} // upstreams that changed since the last call of Changes
	store   bucket
}

// bucket limits the starts of loads from the weight store.
type bucket struct {
	level float64
	at    bootclock.Time
}

// NewPlanner returns a planner without hosts and demand.
func NewPlanner(storeParallel int) *Planner {
	return &Planner{
		StoreParallel: storeParallel, Prefetch: true,
		hosts: map[string]*host{}, reports: map[string]*demandReport{}, demands: map[key]*demand{},
		totals: newTotals(), stale: map[*host]struct{}{}, changed: map[string]struct{}{},
	}
}

// Observe updates the hosts to a new view of the registered upstreams and the
// desired state.
func (p *Planner) Observe(now bootclock.Time, v *fleet.View) {
	p.view, p.ids = v, nil
	if v.Config == nil {
		return
	}
	for id, h := range p.hosts {
		// A host without an engine would plan with the models of an older version.
		if u := v.ByID[id]; u == nil || engineOf(v, u) == nil {
			delete(p.hosts, id)
			p.markChanged(h)
		}
	}
	for id, u := range v.ByID {
		engine := engineOf(v, u)
		if engine == nil {
			continue
		}
		h := p.hosts[id]
		if h == nil || !h.entry.SameRun(u) {
			if h != nil {
				p.markChanged(h)
			}
			p.hosts[id] = newHost(u, engine)
			p.markChanged(p.hosts[id])
			continue
		}
		h.engine = engine
		if h.entry != u {
			h.observe(now, u)
			p.markChanged(h)
		} else if h.contribution.usable != p.usable(h) {
			p.markChanged(h)
		}
	}
}

// engineOf returns the engine of an upstream's service, nil if the desired state has none.
func engineOf(v *fleet.View, u *fleet.Upstream) *fleet.Engine {
	service := v.Config.Services[u.Service]
	if service == nil {
		return nil
	}
	return service.Engine
}

// RecordDemand records an instance's demand report, which replaces the previous one.
func (p *Planner) RecordDemand(now bootclock.Time, instance string, demands []ModelDemand) {
	for _, n := range demands {
		if n.Arrived > 0 {
			p.demand(key{n.Service, n.Model}).rate.add(now, n.Arrived)
		}
		if n.Arrived+n.Refused > 0 {
			p.demand(key{n.Service, n.Model}).steady.addOver(now, n.Arrived+n.Refused, steadyHalfLife)
		}
		if n.Refused > 0 {
			p.demand(key{n.Service, n.Model}).refused.addOver(now, n.Refused, refusedHalfLife)
		}
		for id, running := range n.Running {
			if h := p.hosts[id]; h != nil && running > 0 && h.models[n.Model] != nil {
				h.models[n.Model].lastUsed = now
			}
		}
		p.markAdaptersUsed(now, n)
	}
	p.replaceDemand(now, instance, demands)
	p.reports[instance] = &demandReport{at: now, demands: demands}
}

// RecordExcess records a request that found no room at the replicas of its model, and so is
// not counted among those that run or wait for the model.
func (p *Planner) RecordExcess(now bootclock.Time, service, model string) {
	p.demand(key{service, model}).excess.add(now, 1)
}

// requestTime is the assumed time that a request runs, in which requests without room add up.
const requestTime = 2 * time.Second

// excessRequests returns the number of requests that would run beside the others if there
// were room for them.
func (d *demand) excessRequests(now bootclock.Time) int {
	return int(d.excess.current(now) * requestTime.Seconds())
}

// markAdaptersUsed updates the time of last use of the adapters that requests
// for a model use.
func (p *Planner) markAdaptersUsed(now bootclock.Time, n ModelDemand) {
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
				a.lastUsed = now
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

// UpstreamsToQuery lists the upstreams from which a report is to be requested now. It
// records the request.
func (p *Planner) UpstreamsToQuery(now bootclock.Time) []*fleet.Upstream {
	var query []*fleet.Upstream
	for _, id := range p.sortedIDs() {
		h := p.hosts[id]
		if o := h.order; o != nil && now.After(o.due.Add(overdueMargin)) {
			h.needsReport = true
		}
		unloadPending := h.adapter != nil && h.adapter.accepted
		if (h.needsReport || unloadPending) && now.Sub(h.reportRequested) >= retryAfter {
			h.reportRequested = now
			query = append(query, h.entry)
		}
	}
	return query
}

// ApplyReport applies a report of an upstream that was requested at requestedAt.
// A report of another run of the upstream is ignored.
func (p *Planner) ApplyReport(now, requestedAt bootclock.Time, upstream string, started int64, r Report) {
	if h := p.hosts[upstream]; h != nil && h.entry.Started == started {
		h.applyReport(now, requestedAt, r)
		p.markChanged(h)
	}
}

// RecordOutcome records the outcome of an order. Outcomes of orders that are no longer
// pending are ignored.
func (p *Planner) RecordOutcome(now bootclock.Time, o Order, outcome Outcome) {
	h := p.hosts[o.Upstream]
	if h == nil || h.entry.Started != o.Started {
		return
	}
	p.markChanged(h)
	if o.Adapter != "" {
		h.recordAdapterOutcome(now, o, outcome)
		return
	}
	if h.order == nil || h.order.order != o {
		return
	}
	if possiblyAccepted(outcome) {
		h.lastAccepted = now
	}
	switch outcome {
	case Accepted:
		h.order.accepted = true
		h.sequence = max(h.sequence, o.Sequence+1)
		if o.Unload {
			h.recordUnload(now, o.Model)
		}
	case Done:
		h.sequence = max(h.sequence, o.Sequence)
		h.needsReport = true
		if o.Unload {
			delete(h.models, o.Model)
			h.order = nil
		}
	case Conflict:
		elapsed, ok := h.unloading(now)
		if !ok || o.Unload {
			h.needsReport, h.reportRequested = true, 0
			break
		}
		// The preceding unload still waits for a running request: the load is
		// ordered again, after pauses that grow.
		h.abandonOrder(now)
		h.blockedUntil = now.Add(max(elapsed, UnloadTime))
	case NotSent, Refused:
		h.abandonOrder(now)
	case Misdirected:
		h.abandonOrder(now)
		h.needsReport = true
	default:
		h.needsReport = true
		h.reportRequested = 0
	}
}

// abandonOrder discards the pending order, which will not be executed.
func (h *host) abandonOrder(now bootclock.Time) {
	if r := h.models[h.order.order.Model]; r != nil {
		r.retiring = false
	}
	h.order = nil
	h.blockedUntil = now.Add(retryAfter)
}

// Changes returns the placements of the upstreams that may have changed since
// the last call, and the IDs of those that are gone.
func (p *Planner) Changes() (changed []Placement, gone []string) {
	for _, id := range slices.Sorted(maps.Keys(p.changed)) {
		if h := p.hosts[id]; h != nil {
			placement := h.placement()
			h.announced = placement.Models
			changed = append(changed, placement)
		} else {
			gone = append(gone, id)
		}
	}
	clear(p.changed)
	return changed, gone
}

func (h *host) placement() Placement {
	return Placement{Upstream: h.entry.ID, Started: h.entry.Started, Revision: h.entry.Revision, Models: h.serving()}
}

// usable reports whether orders may be sent to a host.
func (p *Planner) usable(h *host) bool { return p.view != nil && p.view.Usable(h.entry) }

// candidate is an option for loading a model.
type candidate struct {
	host    *host
	source  Source
	victims []string
	cost    float64 // milliseconds
}

// RecordNotification records that all instances are being notified of the current placements.
// It reports whether models are to be unloaded after UnloadNotice.
func (p *Planner) RecordNotification(now bootclock.Time) (retiring bool) {
	for _, h := range p.hosts {
		for _, r := range h.models {
			if r.retiring && r.notifiedAt == 0 {
				r.notifiedAt, retiring = now, true
			}
		}
	}
	return retiring
}

// Plan returns the orders to send now and records them as sent.
func (p *Planner) Plan(now bootclock.Time) []Order {
	if p.view == nil || p.view.Config == nil {
		return nil
	}
	orders := p.orderUnloads(now)
	for _, w := range p.modelsToLoad(now) {
		if c, ok := p.choose(now, w, true); ok {
			orders = p.loadOrEvict(now, orders, w, c)
		}
	}
	for _, w := range p.singleReplicaModels(now) {
		if c, ok := p.choose(now, w, false); ok {
			orders = p.loadOrEvict(now, orders, w, c)
		}
	}
	for _, w := range p.modelsForFreePlaces(now) {
		if c, ok := p.chooseFree(now, w); ok {
			orders = p.loadOrEvict(now, orders, w, c)
		}
	}
	if p.Prefetch {
		for _, w := range p.modelsToPrefetch(now) {
			if !p.mayPrefetch(now, p.view.Config.Services[w.service].Engine) {
				break
			}
			if c, ok := p.choose(now, w, false); ok && c.source == FromStore {
				orders = p.loadOrEvict(now, orders, w, c)
			}
		}
	}
	return orders
}

// orderUnloads orders the unloads of the retiring models once UnloadNotice has
// passed since the instances were notified.
func (p *Planner) orderUnloads(now bootclock.Time) []Order {
	var orders []Order
	for _, id := range p.sortedIDs() {
		h := p.hosts[id]
		if h.order != nil || h.needsReport || h.adapter != nil || now.Before(h.blockedUntil) {
			continue
		}
		for name, r := range h.models {
			if !r.retiring || r.notifiedAt == 0 || now.Sub(r.notifiedAt) < UnloadNotice {
				continue
			}
			if d := p.demands[key{h.entry.Service, name}]; d != nil && d.runningAt[id] > 0 {
				// A request was in flight when the instances were notified.
				r.retiring, r.lastUsed = false, now
				p.markChanged(h)
				break
			}
			orders = append(orders, p.issue(now, h, Order{Unload: true, Model: name}, retryAfter))
			break
		}
	}
	return orders
}

// issue sets the upstream and the sequence number of an order and records it as
// sent.
func (p *Planner) issue(now bootclock.Time, h *host, o Order, expected time.Duration) Order {
	p.markChanged(h)
	o.Upstream, o.Address, o.Started, o.Sequence = h.entry.ID, h.entry.Address, h.entry.Started, h.sequence
	h.order = &pending{order: o, sent: now, due: now.Add(expected)}
	return o
}

// loadOrEvict orders the load of a candidate, or marks its victims as retiring
// if it needs room first.
func (p *Planner) loadOrEvict(now bootclock.Time, orders []Order, k key, c candidate) []Order {
	if len(c.victims) > 0 {
		for _, name := range c.victims {
			r := c.host.models[name]
			r.retiring, r.notifiedAt = true, 0
			if _, known := c.host.announced[name]; !known && c.host.announced != nil {
				// The placement stays as the instances know it, so that no notice is
				// sent, and none is needed.
				r.notifiedAt = now
			}
		}
		p.markChanged(c.host)
		return orders
	}
	m := c.host.engine.Models[k.model]
	expected, concurrent := loadTime(m, c.source), 0
	if c.source == FromStore {
		p.store.level--
		concurrent = p.storeLoads(now) + 1
		expected = time.Duration(float64(expected) * max(1, float64(concurrent)/float64(p.StoreParallel)))
	}
	orders = append(orders, p.issue(now, c.host, Order{Model: k.model, Source: c.source}, expected))
	c.host.order.nominal, c.host.order.concurrent = m.LoadTime, concurrent
	return orders
}

// storeLoads returns the number of loads from the weight store in progress.
func (p *Planner) storeLoads(now bootclock.Time) int {
	p.refresh(now)
	return p.totals.fromWeightStore
}

// storeAvailable refills the bucket and reports whether a load from the store may
// start now.
func (p *Planner) storeAvailable(now bootclock.Time, perSecond float64) bool {
	if p.store.at == 0 {
		p.store.level = storeBurst
	} else {
		p.store.level = min(storeBurst, p.store.level+now.Sub(p.store.at).Seconds()*perSecond*storeShare)
	}
	p.store.at = now
	return p.store.level >= 1 && p.storeLoads(now) < p.StoreParallel
}

// mayPrefetch reports whether the weight store admits a load of a model that no request
// waits for. A load lasts for seconds, so that half of those at a time and a token of the
// burst are left for models that are needed meanwhile.
func (p *Planner) mayPrefetch(now bootclock.Time, e *fleet.Engine) bool {
	return p.storeAvailable(now, e.LoadsPerSecond) && p.store.level >= 2 && p.storeLoads(now) < max(p.StoreParallel/2, 1)
}
