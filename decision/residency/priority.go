package residency

import (
	"cmp"
	"slices"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// modelsToLoad lists the models that need a first or another replica, most
// urgent first.
func (p *Planner) modelsToLoad(now bootclock.Time) []key {
	p.refresh(now)
	p.scanDemand(now)
	var list []key
	for k := range p.totals.waiting {
		if p.totals.replicas(k) == 0 {
			list = append(list, k)
		}
	}
	for _, k := range p.totals.underReplicated {
		if d := p.demands[k]; p.needsReplica(now, k, d) && (d.waiting == 0 || p.totals.replicas(k) > 0) {
			list = append(list, k)
		}
	}
	p.sortByUrgency(now, list)
	return list
}

// sortByUrgency sorts models by backlog, largest first, and models with the same
// backlog by how long their requests have been waiting, longest first. The weight
// store loads about one model a second: a model with many requests a second must
// not wait for all models that were requested once.
func (p *Planner) sortByUrgency(now bootclock.Time, list []key) {
	backlog := make(map[key]int, len(list))
	for _, k := range list {
		backlog[k] = p.backlog(now, k)
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(backlog[b], backlog[a]), cmp.Compare(p.demands[a].urgency(), p.demands[b].urgency()), cmp.Compare(a.model, b.model))
	})
}

// backlog returns the number of requests for a model that exceed the capacity of
// its replicas, in units of requestsPerReplica, rounded down. The rounding makes
// models with few requests equal, so that they are loaded in order of waiting
// time.
func (p *Planner) backlog(now bootclock.Time, k key) int {
	d := p.demands[k]
	n := d.waiting
	if replicas := p.totals.replicas(k); replicas > 0 {
		n += p.running(d) + d.excessRequests(now) - requestsPerReplica*replicas
	}
	return max(n, 0) / requestsPerReplica
}

// needsReplica reports whether a model needs a first or another replica.
func (p *Planner) needsReplica(now bootclock.Time, k key, d *demand) bool {
	if replicas := p.totals.replicas(k); replicas > 0 {
		return p.running(d)+d.waiting+d.excessRequests(now) > requestsPerReplica*replicas
	}
	return d.waiting > 0 || d.rate.current(now) >= firstReplicaRate
}

// scanDemand searches all models, at most once per scanInterval, for those that
// need a replica although no request waits: overloaded models, busy models
// without a replica, and busy models that the loss of one upstream would leave
// without a replica for the duration of a load.
func (p *Planner) scanDemand(now bootclock.Time) {
	t := &p.totals
	if t.lastScan != 0 && now.Sub(t.lastScan) < scanInterval {
		return
	}
	t.lastScan, t.underReplicated, t.singleReplica = now, nil, nil
	for k, d := range p.demands {
		if p.needsReplica(now, k, d) {
			t.underReplicated = append(t.underReplicated, k)
		}
		if t.replicas(k) == 1 && d.rate.current(now) >= secondReplicaRate {
			t.singleReplica = append(t.singleReplica, k)
		}
	}
	slices.SortFunc(t.singleReplica, func(a, b key) int {
		return cmp.Or(cmp.Compare(p.demands[b].rate.current(now), p.demands[a].rate.current(now)), cmp.Compare(a.model, b.model))
	})
}

// singleReplicaModels lists the busy models with a single replica, busiest first.
func (p *Planner) singleReplicaModels(now bootclock.Time) []key {
	p.refresh(now)
	p.scanDemand(now)
	return slices.DeleteFunc(slices.Clone(p.totals.singleReplica), func(k key) bool { return p.totals.replicas(k) != 1 })
}

// modelsToPrefetch lists the models that no engine has a copy of, in services for
// which the weight store admits such a load now, those with the highest demand first.
func (p *Planner) modelsToPrefetch(now bootclock.Time) []key {
	p.refresh(now)
	rates := map[key]float64{}
	var list []key
	for name, s := range p.view.Config.Services {
		if s.Engine == nil || !p.mayPrefetch(now, s.Engine) {
			continue
		}
		for model := range s.Engine.Models {
			k := key{name, model}
			if p.totals.copies[k] > 0 {
				continue
			}
			list = append(list, k)
			if d := p.demands[k]; d != nil {
				rates[k] = d.rate.current(now)
			}
		}
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), cmp.Compare(a.model, b.model))
	})
	return list
}

// adjustStoreParallel adjusts the limit on concurrent loads from the weight store
// by the duration of a completed load. The platform does not report how many loads
// the store serves at full speed; with more, each load takes longer and throughput
// does not rise.
func (p *Planner) adjustStoreParallel(f finishedLoad) {
	switch {
	case f.concurrent >= p.StoreParallel && float64(f.took) <= fullSpeedFactor*float64(f.nominal)+float64(reportLag):
		p.StoreParallel = min(p.StoreParallel+1, maxStoreParallel)
	case float64(f.took) > slowedFactor*float64(f.nominal)+float64(reportLag):
		p.StoreParallel = max(p.StoreParallel-1, minStoreParallel)
	}
}
