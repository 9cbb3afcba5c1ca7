package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// evictionMS is the cost of an eviction per expected request a second for
	// the evicted model. It stands for the time until the model is loaded again.
	evictionMS = 2500.0
	// lastReplicaMS is added to the cost of evicting the last replica of a model
	// that has been requested.
	lastReplicaMS = 150.0
	// unrequestedMS is the cost of evicting a model that has not been requested.
	unrequestedMS = 100.0
	// unrequestedReplicaMS is the cost of evicting one of several replicas of a
	// model that has not been requested yet. It is higher because deployments
	// start with several replicas of the models that are in use.
	unrequestedReplicaMS = 300.0
	// recentUseMS is the cost of evicting a model that was used just now; it
	// halves every second since the last use.
	recentUseMS = 400.0
	// storeMS is the cost of a load from the weight store in addition to its
	// duration, because all engines share the store.
	storeMS = 1500.0
)

// choose returns the cheapest host for loading a model. It returns none if
// waiting for a busy host that has a copy, or for the restart of one that has just ended,
// costs less than a load from the weight store, or if the load is not urgent and costs more than its duration, storeMS
// and maxPrefetchMS together.
func (p *Planner) choose(now bootclock.Time, k key, urgent bool) (candidate, bool) {
	p.refresh(now)
	best, found, busyReady := p.chooseWithCopy(now, k)
	if !found {
		best, found = p.chooseForStore(now, k)
		if in, ok := p.returnsIn(k); ok && (busyReady < 0 || in < busyReady) {
			busyReady = in
		}
		if found && busyReady >= 0 && ms(busyReady) < best.cost {
			return candidate{}, false
		}
	}
	if found && !urgent && best.cost > ms(loadTime(best.host.engine.Models[k.model], best.source))+storeMS+maxPrefetchMS {
		return candidate{}, false
	}
	return best, found
}

// chooseWithCopy returns the cheapest host that has a copy of the model. Busy
// hosts are left out; busyReady is the shortest estimated time in which one of
// them would have loaded the model, negative if there is none.
func (p *Planner) chooseWithCopy(now bootclock.Time, k key) (best candidate, found bool, busyReady time.Duration) {
	busyReady = -1
	for _, h := range sortedByID(p.totals.withCopy[k]) {
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
			if busyReady < 0 || wait < busyReady {
				busyReady = wait
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
	return best, found, busyReady
}

// chooseForStore returns the cheapest host for a load from the weight store, if
// the store's limits admit a load now.
func (p *Planner) chooseForStore(now bootclock.Time, k key) (best candidate, found bool) {
	m := p.model(k)
	if m == nil || !p.storeAvailable(now, p.view.Config.Services[k.service].Engine.LoadsPerSecond) {
		return candidate{}, false
	}
	for _, id := range p.sortedIDs() {
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

// maxPrefetchMS is the highest eviction cost of a load from the weight store for
// a model that no request waits for.
const maxPrefetchMS = 900.0

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// victims returns the models to evict for a load, taking the cheapest first.
// Models with running requests are never evicted: an unload waits for them to
// end, and the upstream takes no other order meanwhile.
func (p *Planner) victims(now bootclock.Time, h *host, needed float64) (names []string, penalty float64, ok bool) {
	free := h.engine.WeightsMB - h.usedMB()
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
			cost := unrequestedMS
			if replicas > 1 {
				cost = unrequestedReplicaMS
			}
			list = append(list, victim{name, cost, size})
			continue
		}
		if d.runningAt[h.entry.ID] > 0 || (d.waiting > 0 && replicas <= 1) {
			continue
		}
		cost := evictionMS * d.rate.current(now) / float64(max(replicas*replicas, 1))
		if replicas <= 1 {
			cost += lastReplicaMS
		}
		if r.lastUsed > 0 {
			cost += recentUseMS * decay(now.Sub(r.lastUsed), time.Second)
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
