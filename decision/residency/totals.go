package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// totalsAge is how long totals are used without a change: reports of instances
// that went silent are dropped that much later.
const totalsAge = 50 * time.Millisecond

// demand is what all instances need of one model.
type demand struct {
	rate  rate
	since bootclock.Time // first request that waits, 0 for none

	// Sums over the instances' reports, by refreshTotals.
	waiting   int
	running   int            // at upstreams that are not leaving
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

// totals are sums over the instances' reports and the hosts. The plan looks at
// each model many times, and a grown deployment has thousands of reported needs.
type totals struct {
	at       bootclock.Time
	valid    bool
	replicas map[key]int  // upstreams that serve a model or load it
	copies   map[key]bool // models of which an upstream in service has a copy
	wanted   []key        // models that need a replica, the most urgent first
	listed   bool         // wanted is up to date
}

// refreshTotals computes the totals again if anything may have changed.
func (p *Planner) refreshTotals(now bootclock.Time) {
	if p.totals.valid && now.Sub(p.totals.at) < totalsAge {
		return
	}
	p.totals = totals{at: now, valid: true, replicas: map[key]int{}, copies: map[key]bool{}}
	p.sumNeeds(now)
	for _, h := range p.hosts {
		if p.usable(h) {
			p.sumHost(h)
		}
	}
}

func (p *Planner) sumNeeds(now bootclock.Time) {
	for _, d := range p.demands {
		d.waiting, d.running = 0, 0
		clear(d.runningAt)
	}
	for instance, r := range p.reports {
		if now.Sub(r.at) >= needAge {
			delete(p.reports, instance)
			continue
		}
		for _, n := range r.needs {
			d := p.demand(key{n.Service, n.Model})
			d.waiting += n.Waiting
			for id, running := range n.Running {
				d.runningAt[id] += running
				if h := p.hosts[id]; h != nil && p.usable(h) {
					d.running += running
				}
			}
		}
	}
	for _, d := range p.demands {
		if d.waiting == 0 {
			d.since = 0
		} else if d.since == 0 {
			d.since = now
		}
	}
}

func (p *Planner) sumHost(h *host) {
	loading := ""
	if h.order != nil && !h.order.order.Unload {
		loading = h.order.order.Model
	}
	if loading != "" {
		p.totals.replicas[key{h.entry.Service, loading}]++
		p.totals.copies[key{h.entry.Service, loading}] = true
	}
	for name, r := range h.models {
		k := key{h.entry.Service, name}
		p.totals.copies[k] = true
		if !r.retiring && (h.order == nil || h.order.order.Model != name) {
			p.totals.replicas[k]++
		}
	}
	for name := range h.copies {
		p.totals.copies[key{h.entry.Service, name}] = true
	}
}

// wanted lists the models that need a replica, the most urgent first.
func (p *Planner) wanted(now bootclock.Time) []key {
	p.refreshTotals(now)
	if p.totals.listed {
		return p.totals.wanted
	}
	var list []key
	for k, d := range p.demands {
		replicas := p.totals.replicas[k]
		if (replicas == 0 && (d.waiting > 0 || d.rate.now(now) >= absentRate)) || (replicas > 0 && d.running+d.waiting > crowded*replicas) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(p.demands[a].urgency(), p.demands[b].urgency()), cmp.Compare(a.model, b.model))
	})
	p.totals.wanted, p.totals.listed = list, true
	return list
}

// spares lists the busy models that the loss of one upstream would leave
// without a replica for the time of a load, the busiest first.
func (p *Planner) spares(now bootclock.Time) []key {
	p.refreshTotals(now)
	var list []key
	for k, d := range p.demands {
		if p.totals.replicas[k] == 1 && d.rate.now(now) >= spareRate {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(p.demands[b].rate.now(now), p.demands[a].rate.now(now)), cmp.Compare(a.model, b.model))
	})
	return list
}

// missing lists the models of which no engine has a copy.
func (p *Planner) missing(now bootclock.Time) []key {
	p.refreshTotals(now)
	rates := map[key]float64{}
	var list []key
	for name, s := range p.view.Config.Services {
		if s.Engine == nil {
			continue
		}
		for model := range s.Engine.Models {
			k := key{name, model}
			if p.totals.copies[k] {
				continue
			}
			list = append(list, k)
			if d := p.demands[k]; d != nil {
				rates[k] = d.rate.now(now)
			}
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), cmp.Compare(a.model, b.model))
	})
	return list
}

// sorted returns the IDs of the hosts in order.
func (p *Planner) sorted() []string {
	if len(p.ids) != len(p.hosts) {
		p.ids = slices.Sorted(maps.Keys(p.hosts))
	}
	return p.ids
}
