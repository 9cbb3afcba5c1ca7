package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// sweepInterval is the interval at which expired reports are removed.
	sweepInterval = 50 * time.Millisecond
	// scanInterval is the interval at which all models are scanned for those that
	// need a replica although no request waits for them.
	scanInterval = 50 * time.Millisecond
)

// demand is the demand of all instances for one model.
type demand struct {
	rate    rate
	steady  rate // with steadyHalfLife, includes refused requests
	refused rate // with refusedHalfLife
	// excess is the rate of the requests that found no room at the replicas.
	excess rate
	since  bootclock.Time // since when requests have been waiting, 0 if none wait

	// Sums over the instances' reports.
	waiting   int
	runningAt map[string]int // by upstream
}

// urgency returns the sort key for how long requests have been waiting. Models
// that no request waits for come last.
func (d *demand) urgency() bootclock.Time {
	if d.since == 0 {
		return math.MaxInt64
	}
	return d.since
}

// demandReport is the latest demand report of one instance.
type demandReport struct {
	at      bootclock.Time
	demands []ModelDemand
}

// totals are sums over the instances' reports and the hosts. They are updated
// incrementally: a planning pass follows each report, and recomputing the sums of
// a large deployment takes longer than the interval between reports.
type totals struct {
	serving  hostSets    // usable upstreams that serve or load a model
	loading  hostSets    // usable upstreams that load a model
	withCopy hostSets    // usable upstreams with a copy of a model that they do not serve
	copies   map[key]int // number of usable upstreams that serve, load or have a copy of a model
	// waiting holds the instances at which requests wait for a model.
	waiting         map[key]map[string]struct{}
	fromWeightStore int // loads from the weight store in progress

	lastSweep       bootclock.Time
	lastScan        bootclock.Time
	underReplicated []key // models that need a replica, as of lastScan
	singleReplica   []key // models that need a second replica, as of lastScan
}

func newTotals() totals {
	return totals{
		serving: hostSets{}, loading: hostSets{}, withCopy: hostSets{},
		copies: map[key]int{}, waiting: map[key]map[string]struct{}{},
	}
}

// hostSets holds a set of hosts for each model.
type hostSets map[key]map[*host]struct{}

func (s hostSets) add(h *host, keys []key) {
	for _, k := range keys {
		if s[k] == nil {
			s[k] = map[*host]struct{}{}
		}
		s[k][h] = struct{}{}
	}
}

func (s hostSets) remove(h *host, keys []key) {
	for _, k := range keys {
		if delete(s[k], h); len(s[k]) == 0 {
			delete(s, k)
		}
	}
}

// replicas returns the number of upstreams that serve or load a model.
func (t *totals) replicas(k key) int { return len(t.serving[k]) }

// contribution is a host's part of the totals.
type contribution struct {
	usable                             bool
	serving, loading, withCopy, copies []key
	fromStore                          int // loads from the weight store in progress
}

// markChanged records that a host has changed: its part of the totals is out of
// date, and the instances may have to be notified of its placement.
func (p *Planner) markChanged(h *host) {
	p.stale[h] = struct{}{}
	p.changed[h.entry.ID] = struct{}{}
	if h.finished != nil {
		p.adjustStoreParallel(*h.finished)
		h.finished = nil
	}
}

// refresh removes expired reports and brings the totals up to date.
func (p *Planner) refresh(now bootclock.Time) {
	if now.Sub(p.totals.lastSweep) >= sweepInterval {
		p.totals.lastSweep = now
		for instance, r := range p.reports {
			if now.Sub(r.at) >= reportTTL {
				p.replaceDemand(now, instance, nil)
				delete(p.reports, instance)
			}
		}
	}
	for h := range p.stale {
		p.updateTotals(h)
	}
	clear(p.stale)
}

// replaceDemand replaces an instance's part of the totals.
func (p *Planner) replaceDemand(now bootclock.Time, instance string, demands []ModelDemand) {
	var before []ModelDemand
	if r := p.reports[instance]; r != nil {
		before = r.demands
	}
	p.sumDemand(before, -1)
	p.sumDemand(demands, 1)
	p.updateWaiters(instance, before, demands)
	for _, list := range [][]ModelDemand{before, demands} {
		for _, n := range list {
			k := key{n.Service, n.Model}
			d := p.demand(k)
			if d.waiting == 0 {
				d.since = 0
			} else if d.since == 0 {
				d.since = now
			}
		}
	}
}

// updateWaiters updates the instances at which requests wait for a model.
func (p *Planner) updateWaiters(instance string, before, demands []ModelDemand) {
	waiting := p.totals.waiting
	for _, n := range before {
		k := key{n.Service, n.Model}
		if delete(waiting[k], instance); len(waiting[k]) == 0 {
			delete(waiting, k)
		}
	}
	for _, n := range demands {
		if n.Waiting == 0 {
			continue
		}
		k := key{n.Service, n.Model}
		if waiting[k] == nil {
			waiting[k] = map[string]struct{}{}
		}
		waiting[k][instance] = struct{}{}
	}
}

func (p *Planner) sumDemand(demands []ModelDemand, sign int) {
	for _, n := range demands {
		d := p.demand(key{n.Service, n.Model})
		d.waiting += sign * n.Waiting
		for id, running := range n.Running {
			if d.runningAt[id] += sign * running; d.runningAt[id] == 0 {
				delete(d.runningAt, id)
			}
		}
	}
}

// running returns the number of running requests for a model at usable upstreams.
// Requests at an upstream that is leaving finish there and do not move to others.
func (p *Planner) running(d *demand) int {
	n := 0
	for id, running := range d.runningAt {
		if h := p.hosts[id]; h != nil && p.usable(h) {
			n += running
		}
	}
	return n
}

// updateTotals replaces a host's part of the totals. A host that is gone or
// unusable contributes nothing.
func (p *Planner) updateTotals(h *host) {
	t, old := &p.totals, h.contribution
	t.serving.remove(h, old.serving)
	t.loading.remove(h, old.loading)
	t.withCopy.remove(h, old.withCopy)
	for _, k := range old.copies {
		if t.copies[k]--; t.copies[k] == 0 {
			delete(t.copies, k)
		}
	}
	h.contribution = contribution{}
	if p.hosts[h.entry.ID] == h && p.usable(h) {
		h.contribution = h.newContribution()
	}
	t.serving.add(h, h.contribution.serving)
	t.loading.add(h, h.contribution.loading)
	t.withCopy.add(h, h.contribution.withCopy)
	for _, k := range h.contribution.copies {
		t.copies[k]++
	}
	t.fromWeightStore += h.contribution.fromStore - old.fromStore
}

func (h *host) newContribution() contribution {
	t := contribution{usable: true}
	service := h.entry.Service
	if o := h.order; o != nil && !o.order.Unload {
		k := key{service, o.order.Model}
		t.loading = append(t.loading, k)
		t.serving = append(t.serving, k)
		t.copies = append(t.copies, k)
		if o.order.Source == FromStore {
			t.fromStore = 1
		}
	}
	for name, r := range h.models {
		k := key{service, name}
		t.copies = append(t.copies, k)
		if !r.retiring && (h.order == nil || h.order.order.Model != name) {
			t.serving = append(t.serving, k)
		}
	}
	for name := range h.copies {
		k := key{service, name}
		t.copies = append(t.copies, k)
		if h.models[name] == nil {
			t.withCopy = append(t.withCopy, k)
		}
	}
	return t
}

// sortedByID returns hosts sorted by ID, so that choices are deterministic.
func sortedByID(set map[*host]struct{}) []*host {
	return slices.SortedFunc(maps.Keys(set), func(a, b *host) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
}

// sortedIDs returns the sorted IDs of the hosts.
func (p *Planner) sortedIDs() []string {
	if len(p.ids) != len(p.hosts) {
		p.ids = slices.Sorted(maps.Keys(p.hosts))
	}
	return p.ids
}
