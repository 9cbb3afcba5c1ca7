package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// censusAge is how long a census holds without a change: reports of instances
// that went silent are dropped that much later.
const censusAge = 50 * time.Millisecond

// demand is what all instances need of one model.
type demand struct {
	rate  rate
	since bootclock.Time // first request that waits, 0 for none

	// The rest is of the last census.
	waiting int
	running int
	at      map[string]int // running requests by upstream
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

// census sums up the instances' reports and the hosts. The plan looks at each
// model many times, and a grown deployment has thousands of needs.
type census struct {
	at       bootclock.Time
	valid    bool
	replicas map[key]int  // upstreams that serve a model or load it
	copies   map[key]bool // models of which an upstream in service has a copy
	wanted   []key        // models that need a replica, the most urgent first
	listed   bool         // wanted is up to date
}

// count takes the census anew if anything may have changed.
func (p *Planner) count(now bootclock.Time) {
	if p.census.valid && now.Sub(p.census.at) < censusAge {
		return
	}
	p.census = census{at: now, valid: true, replicas: map[key]int{}, copies: map[key]bool{}}
	p.countNeeds(now)
	for _, h := range p.hosts {
		if p.usable(h) {
			p.countHost(h)
		}
	}
}

func (p *Planner) countNeeds(now bootclock.Time) {
	for _, d := range p.demands {
		d.waiting, d.running = 0, 0
		clear(d.at)
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
				d.at[id] += running
				d.running += running
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

func (p *Planner) countHost(h *host) {
	loading := ""
	if h.order != nil && !h.order.order.Unload {
		loading = h.order.order.Model
	}
	if loading != "" {
		p.census.replicas[key{h.entry.Service, loading}]++
		p.census.copies[key{h.entry.Service, loading}] = true
	}
	for name, r := range h.models {
		k := key{h.entry.Service, name}
		p.census.copies[k] = true
		if !r.retiring && (h.order == nil || h.order.order.Model != name) {
			p.census.replicas[k]++
		}
	}
	for name := range h.copies {
		p.census.copies[key{h.entry.Service, name}] = true
	}
}

// wanted lists the models that need a replica, the most urgent first.
func (p *Planner) wanted(now bootclock.Time) []key {
	p.count(now)
	if p.census.listed {
		return p.census.wanted
	}
	var list []key
	for k, d := range p.demands {
		replicas := p.census.replicas[k]
		if (replicas == 0 && (d.waiting > 0 || d.rate.now(now) >= absentRate)) || (replicas > 0 && d.running+d.waiting > crowded*replicas) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(p.demands[a].urgency(), p.demands[b].urgency()), cmp.Compare(a.model, b.model))
	})
	p.census.wanted, p.census.listed = list, true
	return list
}

// spares lists the busy models that the loss of one upstream would leave
// without a replica for the time of a load, the busiest first.
func (p *Planner) spares(now bootclock.Time) []key {
	p.count(now)
	var list []key
	for k, d := range p.demands {
		if p.census.replicas[k] == 1 && d.rate.now(now) >= spareRate {
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
	p.count(now)
	rates := map[key]float64{}
	var list []key
	for name, s := range p.view.Config.Services {
		if s.Engine == nil {
			continue
		}
		for model := range s.Engine.Models {
			k := key{name, model}
			if p.census.copies[k] {
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
