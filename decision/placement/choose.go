package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	ewmaWeight          = 0.3              // weight of the newest value in the moving averages
	evictHorizon        = 300.0            // seconds; evicting a replica expected to be unused for longer costs proportionally less
	pendingMemoryCost   = 1.5              // seconds until an unload under way has freed its memory
	minLoadTime         = time.Millisecond // lower bound of load time estimates
	memoryReleaseTime   = time.Second      // from the end of a drain until the memory is free
	defaultCapacityWait = 5 * time.Second  // assumed wait for memory when no estimate is available
)

// candidate is an upstream considered for a load, with the cost of the load.
type candidate struct {
	u            *upstream
	tier         Tier
	cost         float64 // seconds
	victims      []*replica
	awaitsMemory bool          // memory has to be freed first
	fromStore    bool          // the load reads from the weight store
	wait         time.Duration // until a load slot is free
}

// capacityMiss records, within one run of the schedule, that a pool has no memory
// for a model of need MiB, and until when this is expected to last.
type capacityMiss struct {
	need  int64
	until time.Time
}

// place selects an upstream for a model and plans the load. It returns nil if
// no load can be planned now; deferred then reports whether the best upstream
// only lacks a load slot. A load from the weight store begins at start and is
// planned only if allowStore is set.
func (p *Planner) place(m *model, workspace string, start time.Time, allowStore bool) (_ *replica, deferred bool) {
	best, refused := p.chooseUnlessFull(m, start)
	switch {
	case best == nil:
		return nil, false
	case best.fromStore && !allowStore:
		return nil, true
	case best.wait > 0 && !best.fromStore:
		m.expected = p.now.Add(best.wait).Add(p.estimate(m, best.tier))
		return nil, true
	case !best.fromStore:
		start = p.now
	}
	m.avgColdWaiters += ewmaWeight * (float64(max(m.waiting, 1)) - m.avgColdWaiters)
	r := p.addReplica(m, best.u, best.tier)
	r.fromStore = best.fromStore
	if best.awaitsMemory {
		start = later(start, p.now.Add(p.cfg.DrainDelay+memoryReleaseTime))
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

// chooseUnlessFull is choose, but skips a pool that had no memory for a model of
// the same or a smaller size in this run of the schedule.
func (p *Planner) chooseUnlessFull(m *model, start time.Time) (*candidate, []Alternative) {
	if f, ok := p.noCapacity[m.pool]; ok && m.base == nil && m.requiredMemory() >= f.need {
		return nil, nil
	}
	best, refused := p.choose(m, start)
	if best == nil && m.base == nil {
		p.noCapacity[m.pool] = capacityMiss{need: m.requiredMemory(), until: p.nextCapacity(m)}
	}
	return best, refused
}

// choose returns the upstream with the lowest cost and at most maxAlternatives
// of the others with the reason against each. Loads from the weight store begin
// at start.
func (p *Planner) choose(m *model, start time.Time) (*candidate, []Alternative) {
	var best *candidate
	var refused []Alternative
	refuse := func(u *upstream, reason string) {
		if len(refused) < maxAlternatives {
			refused = append(refused, Alternative{Upstream: u.cfg.Name, Reason: reason})
		}
	}
	for _, u := range candidates(m) {
		if reason := p.rejectReason(m, u); reason != "" {
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

// candidates returns the upstreams that may hold a model: all of the pool, or for
// an adapter those with a replica of its base.
func candidates(m *model) []*upstream {
	if m.base == nil {
		return m.pool.members
	}
	list := make([]*upstream, 0, len(m.base.replicas))
	for _, r := range m.base.replicas {
		list = append(list, r.upstream)
	}
	return list
}

// rejectReason returns why an upstream cannot take a model, or "".
func (p *Planner) rejectReason(m *model, u *upstream) string {
	switch {
	case u.removed || u.cfg.Leaving:
		return "leaving"
	case u.disabled:
		return "data centre taken out"
	case !u.reachable():
		return "unreachable"
	case u.capacity() < m.requiredMemory():
		return "too small"
	case len(m.refusedUntil) > 0 && p.now.Before(m.refusedUntil[u]):
		return "refused recently"
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

// cost estimates the cost of a load in seconds: the time until it is complete
// plus the expected reload time of the replicas that it evicts. It returns false
// if not enough memory can be freed.
func (p *Planner) cost(m *model, u *upstream, start time.Time) (candidate, bool) {
	c := candidate{u: u, tier: u.tiers[m.cfg.Name], fromStore: m.base == nil && !p.cached(m, u)}
	switch {
	case c.fromStore:
		c.wait = start.Sub(p.now)
	case m.base == nil:
		c.wait = p.cachedWait(u)
	}
	if p.cfg.Place == PlaceRandom {
		c.cost = float64(p.hash(m, u) >> 11)
	} else {
		// The hash breaks ties, which spreads models over equal upstreams.
		c.cost = p.estimate(m, c.tier).Seconds()*(1+u.utilization) + c.wait.Seconds() + float64(p.hash(m, u)>>11)*1e-18
	}
	shortfall := m.requiredMemory() - u.freeMemory()
	c.awaitsMemory = shortfall > 0
	if shortfall <= 0 {
		if want := p.adapterNeed(m); p.cfg.Place != PlaceRandom && u.freeMemory() < m.requiredMemory()+want {
			c.cost += pendingMemoryCost // loading its adapters would need evictions
		}
		return c, true
	}
	for _, r := range u.replicas {
		if r.state == draining && !r.cancelable || r.state >= unloading {
			shortfall -= r.row.MemoryMB
			c.cost += pendingMemoryCost
		}
	}
	if shortfall > 0 && !p.addEvictions(&c, m, shortfall) {
		return c, false
	}
	return c, true
}

// adapterNeed is the memory of the largest waiting adapter of a model.
func (p *Planner) adapterNeed(m *model) int64 {
	var need int64
	for _, a := range m.adapters {
		if a.waiting > 0 {
			need = max(need, a.requiredMemory())
		}
	}
	return need
}

// addEvictions adds idle replicas to a candidate's victims until they free the
// shortfall, lowest cost per MiB first. It reports whether they free enough.
func (p *Planner) addEvictions(c *candidate, m *model, shortfall int64) bool {
	var idle []*replica
	for _, r := range c.u.replicas {
		if p.evictable(r) && r.model != m.base {
			idle = append(idle, r)
		}
	}
	evictionCost := func(r *replica) float64 {
		wait := r.model.history.residual(p.now.Sub(r.model.lastUse).Seconds())
		return p.estimate(r.model, c.u.tiers[r.row.Model]).Seconds() * min(1, evictHorizon/max(wait, 1))
	}
	slices.SortStableFunc(idle, func(a, b *replica) int {
		pa, pb := evictionCost(a)/float64(a.row.MemoryMB), evictionCost(b)/float64(b.row.MemoryMB)
		switch {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	for _, r := range idle {
		if shortfall <= 0 {
			break
		}
		if slices.Contains(c.victims, r) {
			continue
		}
		for _, v := range withAdapters(r) {
			if !slices.Contains(c.victims, v) {
				c.victims = append(c.victims, v)
				shortfall -= v.row.MemoryMB
				c.cost += evictionCost(v)
			}
		}
	}
	c.cost += pendingMemoryCost
	return shortfall <= 0
}

// withAdapters returns a replica and its ready adapters on the same upstream.
func withAdapters(r *replica) []*replica {
	list := []*replica{r}
	for _, o := range r.upstream.replicas {
		if o.row.Base == r.row.Model && o.state == ready {
			list = append(list, o)
		}
	}
	return list
}

// evictable reports whether a replica is idle and may be evicted.
func (p *Planner) evictable(r *replica) bool {
	if r.state != ready || !p.idle(r.model) || p.now.Sub(r.model.lastUse) < p.cfg.EvictIdle ||
		p.now.Sub(r.confirmedAt) < p.cfg.EvictIdle {
		return false
	}
	for _, o := range r.upstream.replicas {
		if o.row.Base == r.row.Model && o.state < ready {
			return false
		}
	}
	return true
}

// nextCapacity estimates when memory is free for a model that fits on no upstream
// now.
func (p *Planner) nextCapacity(m *model) time.Time {
	var first time.Time
	if f, ok := p.noCapacity[m.pool]; ok && m.base == nil {
		return f.until
	}
	for _, u := range candidates(m) {
		if !u.usable() || !u.reachable() || u.capacity() < m.requiredMemory() {
			continue
		}
		for _, r := range u.replicas {
			at := p.now.Add(defaultCapacityWait)
			switch {
			case r.state == ready && p.idle(r.model):
				at = later(r.model.lastUse, r.confirmedAt).Add(p.cfg.EvictIdle)
			case r.state == expiring:
				at = r.loadSentAt.Add(p.cfg.OrderLife)
			case r.state > ready:
				at = p.now.Add(p.cfg.DrainDelay)
			}
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	if first.IsZero() {
		return p.now.Add(defaultCapacityWait)
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
	if m.avgLoadTime[t] > 0 {
		return m.avgLoadTime[t]
	}
	return max(time.Duration(float64(m.cfg.LoadTime)*m.pool.tierRatio[t]), minLoadTime)
}

// bestEstimate is the expected load time from the best tier that any upstream
// of the pool offers.
func (p *Planner) bestEstimate(m *model) time.Duration {
	best := Remote
	for t := Memory; t > Remote; t-- {
		if m.tierCounts[t] > 0 {
			best = t
			break
		}
	}
	return p.estimate(m, best)
}

// recordLoadTime updates the load time estimates with a measurement.
func (p *Planner) recordLoadTime(m *model, t Tier, took time.Duration) {
	old := p.estimate(m, t)
	m.avgLoadTime[t] = max(old+time.Duration(ewmaWeight*float64(took-old)), minLoadTime)
	if m.cfg.LoadTime > 0 && m.base == nil {
		ratio := &m.pool.tierRatio[t]
		*ratio += ewmaWeight * (took.Seconds()/m.cfg.LoadTime.Std().Seconds() - *ratio)
	}
}
