package placement

import "time"

// tierMaxAge is the maximum age of an index whose checkpoint tiers exempt a load
// from the limits of the weight store. Indexes are read every 2 s, in the
// experiment every 5 s.
const tierMaxAge = 6 * time.Second

// cached reports whether a load of a model on an upstream does not read from the
// weight store, according to a recent index.
func (p *Planner) cached(m *model, u *upstream) bool {
	return u.tiers[m.cfg.Name] != Remote && p.now.Sub(u.indexSentAt) <= tierMaxAge
}

// admitLoad applies the load limits just before an order is sent, and sets the
// tier of the load. Loads from the weight store are limited in number and rate.
// Cached loads are limited to one in flight on each upstream, so that an engine
// does not receive many at once.
func (p *Planner) admitLoad(r *replica) bool {
	if r.model.base != nil {
		return p.loadsInFlight(func(o *replica) bool { return o.row.Base != "" }) < p.cfg.MaxAdapterLoads
	}
	// The index may have changed since the upstream was chosen.
	r.tier, r.fromStore = r.upstream.tiers[r.row.Model], !p.cached(r.model, r.upstream)
	if !r.fromStore {
		return p.loadsInFlight(func(o *replica) bool { return o != r && o.loadsCachedOn(r.upstream) }) == 0
	}
	return p.loadsInFlight(func(o *replica) bool { return o.fromStore }) < p.cfg.MaxLoads && p.now.Sub(p.lastLoad) >= p.cfg.LoadInterval
}

// loadsInFlight counts the replicas that match kind and may be loading.
func (p *Planner) loadsInFlight(kind func(*replica) bool) int {
	count := 0
	for _, r := range p.inTransition {
		if kind(r) && (r.state == loading || r.state == uncertain && p.now.Before(r.slotUntil)) {
			count++
		}
	}
	return count
}

// loadPending reports whether a load is planned or may be in progress.
func (p *Planner) loadPending(r *replica) bool {
	return r.state <= loading || r.state == uncertain && p.now.Before(r.slotUntil)
}

// loadsCachedOn reports whether a replica of a model, not of an adapter, is loaded
// on an upstream from that upstream's own memory or disk.
func (r *replica) loadsCachedOn(u *upstream) bool {
	return r.upstream == u && r.row.Base == "" && !r.fromStore
}

// cachedWait is the time until an upstream can begin another cached load.
func (p *Planner) cachedWait(u *upstream) time.Duration {
	wait := time.Duration(0)
	for _, r := range u.replicas {
		if r.loadsCachedOn(u) && p.loadPending(r) {
			wait = max(wait, r.expected.Sub(p.now), p.cfg.TickEvery)
		}
	}
	return wait
}

// planCached reports whether the best upstream for a model would load it from a
// cached checkpoint, and when. Upstreams that would read from the weight store
// are compared as starting when a store slot is free. The load time is set to
// that of the best upstream.
func (p *Planner) planCached(m *model, load *time.Duration) (bool, time.Time) {
	if m.tierCounts[Disk]+m.tierCounts[Memory] == 0 {
		return false, time.Time{}
	}
	best, _ := p.chooseUnlessFull(m, p.storeAvailableAt())
	if best == nil {
		return false, time.Time{}
	}
	*load = p.estimate(m, best.tier)
	return !best.fromStore, p.now.Add(best.wait)
}

// storeAvailableAt returns when a load from the weight store can begin at the earliest.
func (p *Planner) storeAvailableAt() time.Time {
	slots := p.storeSlots()
	first := slots[0]
	for _, at := range slots {
		if at.Before(first) {
			first = at
		}
	}
	return later(first, p.lastLoad.Add(p.cfg.LoadInterval))
}
