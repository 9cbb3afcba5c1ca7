package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	learnRate     = 0.3              // weight of the newest load in the moving averages
	evictHorizon  = 300.0            // seconds in which a reuse of an evicted replica counts
	pendingRoom   = 1.5              // seconds that memory takes to be freed by an unload under way
	minLoadTime   = time.Millisecond // estimates never fall below
	roomTime      = time.Second      // from the end of a drain until the memory is free
	unknownReturn = 5 * time.Second  // time to come back when nothing tells when memory becomes free
)

// candidate is an upstream that could take a replica.
type candidate struct {
	u       *upstream
	tier    Tier
	cost    float64 // seconds
	victims []*replica
	pending bool          // room is yet to be made
	store   bool          // the load reads from the weight store
	wait    time.Duration // until a load slot is free
}

// fullness remembers within one run of the schedule that a pool has no room.
type fullness struct {
	need  int64
	until time.Time
}

// place decides on which upstream a model is loaded. It returns nil if no
// upstream can take it now, and whether that is because the best one waits for
// a load slot. A load from the weight store begins at start, and only if store
// is set.
func (p *Planner) place(m *model, workspace string, start time.Time, store bool) (_ *replica, deferred bool) {
	best, refused := p.chooseInRoom(m, start)
	switch {
	case best == nil:
		return nil, false
	case best.store && !store:
		return nil, true
	case best.wait > 0 && !best.store:
		m.expected = p.now.Add(best.wait).Add(p.estimate(m, best.tier))
		return nil, true
	case !best.store:
		start = p.now
	}
	m.burst += learnRate * (float64(max(m.waiting, 1)) - m.burst)
	r := p.create(m, best.u, best.tier)
	r.store = best.store
	if best.pending {
		start = later(start, p.now.Add(p.cfg.DrainDelay+roomTime))
	}
	r.expected = start.Add(p.estimate(m, best.tier))
	reason := fmt.Sprintf("tier %s, cost %.3fs, for workspace %q", best.tier, best.cost, workspace)
	p.emit(Decision{Kind: "load", Pool: m.pool.name, Model: m.cfg.Name, Upstream: best.u.cfg.Name, ID: r.id,
		Reason: reason, Alternatives: refused})
	for _, v := range best.victims {
		p.drain(v, "makes room for "+m.cfg.Name, false)
	}
	p.step(r)
	return r, false
}

// chooseInRoom is choose, but does not look again in a pool that had no room
// for a smaller model in this run of the schedule.
func (p *Planner) chooseInRoom(m *model, start time.Time) (*candidate, []Alternative) {
	if f, ok := p.full[m.pool]; ok && m.base == nil && m.need() >= f.need {
		return nil, nil
	}
	best, refused := p.choose(m, start)
	if best == nil && m.base == nil {
		p.full[m.pool] = fullness{need: m.need(), until: p.nextRoom(m)}
	}
	return best, refused
}

// choose returns the cheapest upstream and some of those refused. Loads from
// the weight store begin at start.
func (p *Planner) choose(m *model, start time.Time) (*candidate, []Alternative) {
	var best *candidate
	var refused []Alternative
	refuse := func(u *upstream, reason string) {
		if len(refused) < maxAlternatives {
			refused = append(refused, Alternative{Upstream: u.cfg.Name, Reason: reason})
		}
	}
	for _, u := range candidates(m) {
		if reason := p.unfit(m, u); reason != "" {
			refuse(u, reason)
			continue
		}
		c, ok := p.cost(m, u, start)
		if !ok {
			refuse(u, "no memory")
			continue
		}
		if best != nil && best.cost <= c.cost {
			refuse(u, "dearer")
			continue
		}
		if best != nil {
			refuse(best.u, "dearer")
		}
		best = &c
	}
	return best, refused
}

// candidates returns the upstreams that may hold a model: an adapter goes
// where its base is.
func candidates(m *model) []*upstream {
	if m.base == nil {
		return m.pool.members
	}
	list := make([]*upstream, 0, len(m.base.replicas))
	for _, r := range m.base.replicas {
		list = append(list, r.up)
	}
	return list
}

// unfit returns why an upstream cannot take a model, or "".
func (p *Planner) unfit(m *model, u *upstream) string {
	switch {
	case u.gone || u.cfg.Leaving:
		return "leaving"
	case u.disabled:
		return "data centre taken out"
	case !u.reachable():
		return "unreachable"
	case u.capacity() < m.need():
		return "too small"
	case len(m.refused) > 0 && p.now.Before(m.refused[u]):
		return "refused lately"
	}
	hasBase := m.base == nil
	for _, r := range u.replicas {
		if r.model == m {
			return "has a replica"
		}
		hasBase = hasBase || r.model == m.base && r.state == ready
	}
	if !hasBase {
		return "base not loaded"
	}
	return ""
}

// cost estimates the seconds until a load is complete, and what its evictions
// are expected to cost others.
func (p *Planner) cost(m *model, u *upstream, start time.Time) (candidate, bool) {
	c := candidate{u: u, tier: u.tiers[m.cfg.Name], store: m.base == nil && !p.cached(m, u)}
	switch {
	case c.store:
		c.wait = start.Sub(p.now)
	case m.base == nil:
		c.wait = p.cachedWait(u)
	}
	if p.cfg.Place == PlaceRandom {
		c.cost = float64(p.hash(m, u) >> 11)
	} else {
		// Ties go to the lower hash, so that models spread over like upstreams.
		c.cost = p.estimate(m, c.tier).Seconds()*(1+u.utilization) + c.wait.Seconds() + float64(p.hash(m, u)>>11)*1e-18
	}
	lack := m.need() - u.free()
	c.pending = lack > 0
	if lack <= 0 {
		if want := p.adapterNeed(m); p.cfg.Place != PlaceRandom && u.free() < m.need()+want {
			c.cost += pendingRoom // its adapters would have to evict something
		}
		return c, true
	}
	for _, r := range u.replicas {
		if r.state == draining && !r.revivable || r.state >= unloading {
			lack -= r.row.MemoryMB
			c.cost += pendingRoom
		}
	}
	if lack > 0 && !p.evictions(&c, m, lack) {
		return c, false
	}
	return c, true
}

// adapterNeed is the memory of the largest waiting adapter of a model.
func (p *Planner) adapterNeed(m *model) int64 {
	var need int64
	for _, a := range m.adapters {
		if a.waiting > 0 {
			need = max(need, a.need())
		}
	}
	return need
}

// evictions picks idle replicas that make room, the cheapest per MiB first.
func (p *Planner) evictions(c *candidate, m *model, lack int64) bool {
	var idle []*replica
	for _, r := range c.u.replicas {
		if p.evictable(r) && r.model != m.base {
			idle = append(idle, r)
		}
	}
	price := func(r *replica) float64 {
		wait := r.model.history.residual(p.now.Sub(r.model.lastUse).Seconds())
		return p.estimate(r.model, c.u.tiers[r.row.Model]).Seconds() * min(1, evictHorizon/max(wait, 1))
	}
	slices.SortStableFunc(idle, func(a, b *replica) int {
		pa, pb := price(a)/float64(a.row.MemoryMB), price(b)/float64(b.row.MemoryMB)
		switch {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	for _, r := range idle {
		if lack <= 0 {
			break
		}
		if slices.Contains(c.victims, r) {
			continue
		}
		for _, v := range withAdapters(r) {
			if !slices.Contains(c.victims, v) {
				c.victims = append(c.victims, v)
				lack -= v.row.MemoryMB
				c.cost += price(v)
			}
		}
	}
	c.cost += pendingRoom
	return lack <= 0
}

// withAdapters returns a replica and the ready adapters beside it.
func withAdapters(r *replica) []*replica {
	list := []*replica{r}
	for _, o := range r.up.replicas {
		if o.row.Base == r.row.Model && o.state == ready {
			list = append(list, o)
		}
	}
	return list
}

// evictable reports whether a replica is idle and may make room.
func (p *Planner) evictable(r *replica) bool {
	if r.state != ready || !p.idle(r.model) || p.now.Sub(r.model.lastUse) < p.cfg.EvictIdle ||
		p.now.Sub(r.confirmed) < p.cfg.EvictIdle {
		return false
	}
	for _, o := range r.up.replicas {
		if o.row.Base == r.row.Model && o.state < ready {
			return false
		}
	}
	return true
}

// nextRoom estimates when a model that fits nowhere can be placed.
func (p *Planner) nextRoom(m *model) time.Time {
	var first time.Time
	if f, ok := p.full[m.pool]; ok && m.base == nil {
		return f.until
	}
	for _, u := range candidates(m) {
		if !u.usable() || !u.reachable() || u.capacity() < m.need() {
			continue
		}
		for _, r := range u.replicas {
			at := p.now.Add(unknownReturn)
			switch {
			case r.state == ready && p.idle(r.model):
				at = later(r.model.lastUse, r.confirmed).Add(p.cfg.EvictIdle)
			case r.state == removing:
				at = r.loadSent.Add(p.cfg.OrderLife)
			case r.state > ready:
				at = p.now.Add(p.cfg.DrainDelay)
			}
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	if first.IsZero() {
		return p.now.Add(unknownReturn)
	}
	return later(first, p.now)
}

func (p *Planner) hash(m *model, u *upstream) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(p.cfg.Seed + p.replicaSeq*uint64(len(p.cfg.Place)))
	_, _ = d.WriteString(m.cfg.Name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(u.cfg.Name)
	return d.Sum64()
}

// estimate is the expected time of a load from a tier.
func (p *Planner) estimate(m *model, t Tier) time.Duration {
	if m.learned[t] > 0 {
		return m.learned[t]
	}
	return max(time.Duration(float64(m.cfg.LoadTime)*m.pool.ratio[t]), minLoadTime)
}

// bestEstimate is the expected load time from the best tier that any upstream
// of the pool offers.
func (p *Planner) bestEstimate(m *model) time.Duration {
	best := Remote
	for t := Memory; t > Remote; t-- {
		if m.held[t] > 0 {
			best = t
			break
		}
	}
	return p.estimate(m, best)
}

// learn folds a measured load time into the estimates.
func (p *Planner) learn(m *model, t Tier, took time.Duration) {
	old := p.estimate(m, t)
	m.learned[t] = max(old+time.Duration(learnRate*float64(took-old)), minLoadTime)
	if m.cfg.LoadTime > 0 && m.base == nil {
		ratio := &m.pool.ratio[t]
		*ratio += learnRate * (took.Seconds()/m.cfg.LoadTime.Std().Seconds() - *ratio)
	}
}
