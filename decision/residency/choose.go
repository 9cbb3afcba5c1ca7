package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// displacedMS is the cost of an eviction for each expected request a
	// second of the model that goes, as the time until it is back.
	displacedMS = 2500.0
	// lastReplicaMS is added when the last replica of a model goes that has
	// been asked for.
	lastReplicaMS = 150.0
	// unknownMS is the cost of evicting a model that nobody has asked for.
	unknownMS = 100.0
	// busyUnknownMS is the same for one of several replicas: the deployments
	// start with several replicas of the models that are in use.
	busyUnknownMS = 300.0
	// recentMS is the cost of evicting a model that was used a moment ago; it
	// halves every second.
	recentMS = 400.0
	// storeMS is the cost of a load from the weight store beside its time, as
	// the store is shared by all engines.
	storeMS = 1500.0
)

// choose returns the best host for a model. For a model that requests wait
// for, a host that is busy now may be worth waiting for: then there is none.
func (p *Planner) choose(now bootclock.Time, k key, urgent bool) (candidate, bool) {
	p.refresh(now)
	best, found, better := p.chooseKeeper(now, k)
	if !found {
		best, found = p.chooseForStore(now, k)
		if found && better >= 0 && ms(better) < best.cost {
			return candidate{}, false
		}
	}
	if found && !urgent && best.cost > ms(loadTime(best.host.engine.Models[k.model], best.source))+storeMS+prefetchMS {
		return candidate{}, false
	}
	return best, found
}

// chooseKeeper returns the best host that has a copy of the model. Without one,
// better is in which time one that is busy would be ready, negative for none.
func (p *Planner) chooseKeeper(now bootclock.Time, k key) (best candidate, found bool, better time.Duration) {
	better = -1
	for _, h := range inOrder(p.totals.keepers[k]) {
		m := h.engine.Models[k.model]
		if m == nil {
			continue
		}
		source := h.source(k.model)
		if h.busy(now) {
			wait := loadTime(m, source) + time.Second
			if h.order != nil {
				wait += max(h.order.due.Sub(now), 0)
			}
			if better < 0 || wait < better {
				better = wait
			}
			continue
		}
		victims, penalty, ok := p.victims(now, h, m.WeightsMB)
		if !ok {
			continue
		}
		if c := (candidate{host: h, source: source, victims: victims, cost: penalty + ms(loadTime(m, source))}); !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found, better
}

// chooseForStore returns the best host for a load from the weight store, if the
// store takes one now.
func (p *Planner) chooseForStore(now bootclock.Time, k key) (best candidate, found bool) {
	m := p.model(k)
	if m == nil || !p.storeFree(now, p.view.Config.Services[k.service].Engine.LoadsPerSecond) {
		return candidate{}, false
	}
	for _, id := range p.sorted() {
		h := p.hosts[id]
		if h.entry.Service != k.service || h.busy(now) || !p.usable(h) || h.models[k.model] != nil || h.source(k.model) != FromStore {
			continue
		}
		victims, penalty, ok := p.victims(now, h, m.WeightsMB)
		if !ok {
			continue
		}
		c := candidate{host: h, source: FromStore, victims: victims, cost: penalty + ms(loadTime(m, FromStore)) + storeMS}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// prefetchMS is the most that may be displaced for a model nobody waits for.
const prefetchMS = 900.0

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// victims returns the models that make way for a load at the least cost.
// Models with requests never do: an unload waits for its runs, and meanwhile
// the upstream takes no other order.
func (p *Planner) victims(now bootclock.Time, h *host, needed float64) (names []string, penalty float64, ok bool) {
	free := h.engine.WeightsMB - h.used()
	if free >= needed {
		return nil, 0, true
	}
	type victim struct {
		name string
		cost float64
		size float64
	}
	var list []victim
	for name, r := range h.models {
		m := h.engine.Models[name]
		k := key{h.entry.Service, name}
		d := p.demands[k]
		if m == nil {
			continue
		}
		size := m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		replicas := p.totals.replicas(k)
		if d == nil {
			cost := unknownMS
			if replicas > 1 {
				cost = busyUnknownMS
			}
			list = append(list, victim{name, cost, size})
			continue
		}
		if d.runningAt[h.entry.ID] > 0 || (d.waiting > 0 && replicas <= 1) {
			continue
		}
		cost := displacedMS * d.rate.now(now) / float64(max(replicas*replicas, 1))
		if replicas <= 1 {
			cost += lastReplicaMS
		}
		if r.used > 0 {
			cost += recentMS * halve(now.Sub(r.used), time.Second)
		}
		list = append(list, victim{name, cost, size})
	}
	slices.SortFunc(list, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	for _, v := range list {
		names = append(names, v.name)
		penalty += v.cost
		if free += v.size; free >= needed {
			return names, penalty, true
		}
	}
	return nil, 0, false
}
