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
	// sweepEvery is how often reports of instances that went silent are dropped.
	sweepEvery = 50 * time.Millisecond
	// surveyEvery is how often all models are looked through for those that are
	// worth a replica although no request waits for them.
	surveyEvery = 50 * time.Millisecond
)

// demand is what all instances need of one model.
type demand struct {
	rate  rate
	since bootclock.Time // first request that waits, 0 for none

	// Sums over the instances' reports.
	waiting   int
	runningAt map[string]int // by upstream
}

// urgency sorts by how long requests have been waiting; models that only want
// another replica come last.
func (d *demand) urgency() bootclock.Time {
	if d.since == 0 {
		return math.MaxInt64
	}
	return d.since
}

// reported is the last word of one instance.
type reported struct {
	at    bootclock.Time
	needs []Need
}

// totals are sums over the instances' reports and the hosts. They are kept up
// to date by what changes, since a look at the plan is due after each report
// and the sums over a large deployment take longer than the reports are apart.
type totals struct {
	serving hostSets    // upstreams in service that serve a model or load it
	loading hostSets    // those of them that load it
	keepers hostSets    // upstreams in service with a copy that they do not serve
	copies  map[key]int // upstreams in service that serve, load or keep a model
	// waiting are the instances at which requests wait for a model.
	waiting         map[key]map[string]struct{}
	fromWeightStore int // loads under way

	swept    bootclock.Time
	surveyed bootclock.Time
	survey   []key // models that want a replica although nobody waits
	spares   []key
}

func newTotals() totals {
	return totals{
		serving: hostSets{}, loading: hostSets{}, keepers: hostSets{},
		copies: map[key]int{}, waiting: map[key]map[string]struct{}{},
	}
}

// hostSets are sets of hosts by model.
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

// replicas returns how many upstreams serve a model or load it.
func (t *totals) replicas(k key) int { return len(t.serving[k]) }

// tally is what a host adds to the totals.
type tally struct {
	usable                          bool
	serving, loading, keeps, copies []key
	fromStore                       int // loads from the weight store under way
}

// touch notes that a host has changed: its part of the totals is out of date,
// and the instances may have to be told what it serves.
func (p *Planner) touch(h *host) {
	p.stale[h] = struct{}{}
	p.unsent[h.entry.ID] = struct{}{}
	if h.loaded != nil {
		p.learn(*h.loaded)
		h.loaded = nil
	}
}

// refresh brings the totals up to date.
func (p *Planner) refresh(now bootclock.Time) {
	if now.Sub(p.totals.swept) >= sweepEvery {
		p.totals.swept = now
		for instance, r := range p.reports {
			if now.Sub(r.at) >= needAge {
				p.replaceNeeds(now, instance, nil)
				delete(p.reports, instance)
			}
		}
	}
	for h := range p.stale {
		p.count(h)
	}
	clear(p.stale)
}

// replaceNeeds replaces an instance's part of the totals.
func (p *Planner) replaceNeeds(now bootclock.Time, instance string, needs []Need) {
	var before []Need
	if r := p.reports[instance]; r != nil {
		before = r.needs
	}
	p.sumNeeds(before, -1)
	p.sumNeeds(needs, 1)
	p.noteWaiters(instance, before, needs)
	for _, list := range [][]Need{before, needs} {
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

// noteWaiters keeps the instances at which requests wait.
func (p *Planner) noteWaiters(instance string, before, needs []Need) {
	waiting := p.totals.waiting
	for _, n := range before {
		k := key{n.Service, n.Model}
		if delete(waiting[k], instance); len(waiting[k]) == 0 {
			delete(waiting, k)
		}
	}
	for _, n := range needs {
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

func (p *Planner) sumNeeds(needs []Need, sign int) {
	for _, n := range needs {
		d := p.demand(key{n.Service, n.Model})
		d.waiting += sign * n.Waiting
		for id, running := range n.Running {
			if d.runningAt[id] += sign * running; d.runningAt[id] == 0 {
				delete(d.runningAt, id)
			}
		}
	}
}

// running returns the requests for a model at upstreams in service. Those at
// one that leaves end there and do not come to the others.
func (p *Planner) running(d *demand) int {
	n := 0
	for id, running := range d.runningAt {
		if h := p.hosts[id]; h != nil && p.usable(h) {
			n += running
		}
	}
	return n
}

// count replaces a host's part of the totals. A host that is gone adds nothing.
func (p *Planner) count(h *host) {
	t, old := &p.totals, h.tally
	t.serving.remove(h, old.serving)
	t.loading.remove(h, old.loading)
	t.keepers.remove(h, old.keeps)
	for _, k := range old.copies {
		if t.copies[k]--; t.copies[k] == 0 {
			delete(t.copies, k)
		}
	}
	h.tally = tally{}
	if p.hosts[h.entry.ID] == h && p.usable(h) {
		h.tally = h.newTally()
	}
	t.serving.add(h, h.tally.serving)
	t.loading.add(h, h.tally.loading)
	t.keepers.add(h, h.tally.keeps)
	for _, k := range h.tally.copies {
		t.copies[k]++
	}
	t.fromWeightStore += h.tally.fromStore - old.fromStore
}

func (h *host) newTally() tally {
	t := tally{usable: true}
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
			t.keeps = append(t.keeps, k)
		}
	}
	return t
}

// inOrder returns hosts in the order of their IDs, so that choices repeat.
func inOrder(set map[*host]struct{}) []*host {
	return slices.SortedFunc(maps.Keys(set), func(a, b *host) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
}

// sorted returns the IDs of the hosts in order.
func (p *Planner) sorted() []string {
	if len(p.ids) != len(p.hosts) {
		p.ids = slices.Sorted(maps.Keys(p.hosts))
	}
	return p.ids
}
