package placement

import "time"

// tierFresh is how old an index may be for its checkpoint tiers to exempt a
// load from the limits of the weight store. Indexes are read every 2 s, in the
// experiment every 5 s.
const tierFresh = 6 * time.Second

// cached reports whether a load of a model on an upstream needs nothing from
// the weight store, by a recent index.
func (p *Planner) cached(m *model, u *upstream) bool {
	return u.tiers[m.cfg.Name] != Remote && p.now.Sub(u.indexSent) <= tierFresh
}

// mayLoad applies the load limits just before an order is sent. Loads from the
// weight store are bounded in number and rate. Cached ones are bounded to one
// in flight on each upstream, so that an engine is not asked for many at once.
func (p *Planner) mayLoad(r *replica) bool {
	if r.model.base != nil {
		return p.inFlight(func(o *replica) bool { return o.row.Base != "" }) < p.cfg.MaxAdapterLoads
	}
	// The index may have changed since the upstream was chosen.
	r.tier, r.store = r.up.tiers[r.row.Model], !p.cached(r.model, r.up)
	if !r.store {
		return p.inFlight(func(o *replica) bool { return o != r && o.cachedOn(r.up) }) == 0
	}
	return p.inFlight(func(o *replica) bool { return o.store }) < p.cfg.MaxLoads && p.now.Sub(p.lastLoad) >= p.cfg.LoadInterval
}

// inFlight counts the loads of a kind that may be under way.
func (p *Planner) inFlight(kind func(*replica) bool) int {
	count := 0
	for _, r := range p.transit {
		if kind(r) && (r.state == loading || r.state == uncertain && p.now.Before(r.slotUntil)) {
			count++
		}
	}
	return count
}

// planning reports whether a load is decided, or may be under way.
func (p *Planner) planning(r *replica) bool {
	return r.state <= loading || r.state == uncertain && p.now.Before(r.slotUntil)
}

// cachedOn reports whether a replica of a model is loaded on an upstream from
// its own memory or disk.
func (r *replica) cachedOn(u *upstream) bool { return r.up == u && r.row.Base == "" && !r.store }

// cachedWait is the time until an upstream can begin another cached load.
func (p *Planner) cachedWait(u *upstream) time.Duration {
	wait := time.Duration(0)
	for _, r := range u.replicas {
		if r.cachedOn(u) && p.planning(r) {
			wait = max(wait, r.expected.Sub(p.now), p.cfg.TickEvery)
		}
	}
	return wait
}

// planCached reports whether a model would now be loaded from a cached
// checkpoint, and when. That it could read from the weight store at once
// instead decides which upstream is best. The load time is set to that of the
// upstream.
func (p *Planner) planCached(m *model, load *time.Duration) (bool, time.Time) {
	if m.held[Disk]+m.held[Memory] == 0 {
		return false, time.Time{}
	}
	best, _ := p.chooseInRoom(m, p.storeFree())
	if best == nil {
		return false, time.Time{}
	}
	*load = p.estimate(m, best.tier)
	return !best.store, p.now.Add(best.wait)
}

// storeFree is when a load from the weight store can begin at the earliest.
func (p *Planner) storeFree() time.Time {
	slots := p.slots()
	first := slots[0]
	for _, at := range slots {
		if at.Before(first) {
			first = at
		}
	}
	return later(first, p.lastLoad.Add(p.cfg.LoadInterval))
}
