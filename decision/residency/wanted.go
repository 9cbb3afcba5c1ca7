package residency

import (
	"cmp"
	"slices"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// wanted lists the models that need a replica, the most urgent first.
func (p *Planner) wanted(now bootclock.Time) []key {
	p.refresh(now)
	p.look(now)
	var list []key
	for k := range p.totals.waiting {
		if p.totals.replicas(k) == 0 {
			list = append(list, k)
		}
	}
	for _, k := range p.totals.survey {
		if d := p.demands[k]; p.lacking(now, k, d) && (d.waiting == 0 || p.totals.replicas(k) > 0) {
			list = append(list, k)
		}
	}
	p.sortByUrgency(list)
	return list
}

// sortByUrgency puts the models first for which most requests wait or queue
// beyond what the replicas serve, and of equals those that have waited longest.
// The weight store loads about one model a second: a model that many ask for a
// second must not wait for all that are asked for once.
func (p *Planner) sortByUrgency(list []key) {
	pressure := make(map[key]int, len(list))
	for _, k := range list {
		pressure[k] = p.pressure(k)
	}
	slices.SortFunc(list, func(a, b key) int {
		return cmp.Or(cmp.Compare(pressure[b], pressure[a]), cmp.Compare(p.demands[a].urgency(), p.demands[b].urgency()), cmp.Compare(a.model, b.model))
	})
}

// pressure returns the requests for a model that no replica has room for. A few
// requests count like one, since models that are asked for once go in turns.
func (p *Planner) pressure(k key) int {
	d := p.demands[k]
	n := d.waiting
	if replicas := p.totals.replicas(k); replicas > 0 {
		n += p.running(d) - crowded*replicas
	}
	return max(n, 0) / crowded
}

// lacking reports whether a model is worth a replica, or one more.
func (p *Planner) lacking(now bootclock.Time, k key, d *demand) bool {
	if replicas := p.totals.replicas(k); replicas > 0 {
		return p.running(d)+d.waiting > crowded*replicas
	}
	return d.waiting > 0 || d.rate.now(now) >= absentRate
}

// look goes through all models for those that are worth a replica although no
// request waits: crowded ones, busy ones without a replica, and busy ones that
// the loss of one upstream would leave without a replica for the time of a load.
func (p *Planner) look(now bootclock.Time) {
	t := &p.totals
	if t.surveyed != 0 && now.Sub(t.surveyed) < surveyEvery {
		return
	}
	t.surveyed, t.survey, t.spares = now, nil, nil
	for k, d := range p.demands {
		if p.lacking(now, k, d) {
			t.survey = append(t.survey, k)
		}
		if t.replicas(k) == 1 && d.rate.now(now) >= spareRate {
			t.spares = append(t.spares, k)
		}
	}
	slices.SortFunc(t.spares, func(a, b key) int {
		return cmp.Or(cmp.Compare(p.demands[b].rate.now(now), p.demands[a].rate.now(now)), cmp.Compare(a.model, b.model))
	})
}

// spares lists the busy models with a single replica, the busiest first.
func (p *Planner) spares(now bootclock.Time) []key {
	p.refresh(now)
	p.look(now)
	return slices.DeleteFunc(slices.Clone(p.totals.spares), func(k key) bool { return p.totals.replicas(k) != 1 })
}

// missing lists the models of which no engine has a copy while the weight store
// could load one.
func (p *Planner) missing(now bootclock.Time) []key {
	p.refresh(now)
	rates := map[key]float64{}
	var list []key
	for name, s := range p.view.Config.Services {
		if s.Engine == nil || !p.storeFree(now, s.Engine.LoadsPerSecond) {
			continue
		}
		for model := range s.Engine.Models {
			k := key{name, model}
			if p.totals.copies[k] > 0 {
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

// learn adapts the number of loads from the weight store that run at once. The
// platform does not tell how many it serves at full speed; beyond them each load
// takes longer and no more are done.
func (p *Planner) learn(f finished) {
	switch {
	case f.beside >= p.StoreParallel && float64(f.took) <= fullSpeed*float64(f.usual)+float64(reportLag):
		p.StoreParallel = min(p.StoreParallel+1, maxStoreParallel)
	case float64(f.took) > slowedDown*float64(f.usual)+float64(reportLag):
		p.StoreParallel = max(p.StoreParallel-1, minStoreParallel)
	}
}
