package placement

import (
	"slices"
	"time"
)

// orderAnswered handles the answer to a load or unload order.
func (p *Planner) orderAnswered(e OrderAnswered) {
	r := p.replicas[Key(e.Pool, e.ID)]
	if r == nil || !r.orderOpen || r.attempt != e.Attempt {
		return
	}
	r.orderOpen = false
	if e.Outcome != OrderUnknown && e.Incarnation != "" {
		r.unfenced = false // the engine has seen the current fencing token
	}
	if e.Unload {
		p.unloadAnswered(r, e)
		return
	}
	if r.state != loading {
		return
	}
	switch e.Outcome {
	case OrderDone:
		if e.Incarnation != r.upstream.incarnation {
			// The engine restarted during the load; its index shows the result.
			p.markUncertain(r)
			return
		}
		p.confirmLoaded(r)
	case OrderRefused:
		p.loadRefused(r, e)
	default:
		r.loadUnresolved = true
		p.markUncertain(r)
	}
}

// markUncertain requests the index to determine the result of a load order.
func (p *Planner) markUncertain(r *replica) {
	r.retryAt = p.now.Add(orderBackoff)
	p.setState(r, uncertain)
	p.requestIndex(r.upstream)
}

// confirmLoaded records that a copy is loaded.
func (p *Planner) confirmLoaded(r *replica) {
	if r.loadSends == 1 && !r.loadUnresolved && !r.loadStart.IsZero() {
		p.recordLoadTime(r.model, r.tier, p.now.Sub(r.loadStart))
	}
	r.row.Incarnation = r.upstream.incarnation
	r.confirmedAt = p.now
	r.retries = 0
	r.model.failures = 0
	r.model.lastUse = later(r.model.lastUse, p.now)
	p.setState(r, ready)
}

// loadRefused handles a load order that the engine did not apply.
func (p *Planner) loadRefused(r *replica, e OrderAnswered) {
	if e.NotSent {
		r.loadSentAt = r.prevLoadSentAt
		r.loadSends--
	}
	if r.loadUnresolved {
		p.markUncertain(r) // an earlier order may still take effect
		return
	}
	if e.Retryable && r.retries < maxOrderRetries {
		r.retryAt = p.now.Add(orderBackoff << r.retries)
		r.retries++
		p.setState(r, decided)
		return
	}
	m := r.model
	m.failures++
	if m.refusedUntil == nil {
		m.refusedUntil = map[*upstream]time.Time{}
	}
	m.refusedUntil[r.upstream] = p.now.Add(refusalBackoff << min(m.failures-1, 5))
	p.withdraw(r, "refused: "+e.Reason)
}

func (p *Planner) unloadAnswered(r *replica, e OrderAnswered) {
	if r.state != unloading {
		return
	}
	if e.Outcome == OrderDone {
		r.loadUnresolved, r.unfenced = false, false
		p.handleNoCopy(r, r.unloadSentAt)
		return
	}
	r.retryAt = p.now.Add(orderBackoff << min(r.retries, 4))
	r.retries++
	p.requestIndex(r.upstream)
}

// upstreamDown records that an upstream could not be reached.
func (p *Planner) upstreamDown(e UpstreamDown) {
	if pl := p.pools[e.Pool]; pl != nil && pl.upstreams[e.Upstream] != nil {
		p.recordFailedRead(pl.upstreams[e.Upstream])
	}
}

// recordFailedRead marks an upstream as down after maxFailedReads failures in a
// row. Before, it requests the index again, so that one lost answer does not take
// the upstream out of service.
func (p *Planner) recordFailedRead(u *upstream) {
	if u.failedReads++; u.failedReads < maxFailedReads {
		p.requestIndex(u)
		return
	}
	if !u.down {
		u.down, u.downSince = true, p.now
		p.markChanged()
	}
}

// upstreamSuspect requests the index of an upstream that may have failed or
// restarted. Plain services have no index: their new incarnation takes effect
// immediately.
func (p *Planner) upstreamSuspect(e UpstreamSuspect) {
	pl := p.pools[e.Pool]
	if pl == nil || pl.upstreams[e.Upstream] == nil {
		return
	}
	u := pl.upstreams[e.Upstream]
	if m := pl.models[""]; m != nil && m.service {
		if e.Incarnation != "" && e.Incarnation != u.incarnation {
			u.incarnation, u.rampStart, u.grants = e.Incarnation, p.now, nil
			p.markChanged()
		}
		return
	}
	if e.Incarnation == u.incarnation && e.Incarnation != "" {
		return
	}
	u.suspect = true
	p.markChanged()
	p.requestIndex(u)
}

// indexRead updates an upstream and its replicas from its index.
func (p *Planner) indexRead(e IndexRead) {
	pl := p.pools[e.Pool]
	if pl == nil || pl.upstreams[e.Upstream] == nil {
		return
	}
	u := pl.upstreams[e.Upstream]
	if e.Sent.Before(u.indexSentAt) {
		return // a later read has already been processed
	}
	if u.down || u.suspect {
		p.markChanged()
	}
	u.indexSentAt, u.down, u.suspect, u.failedReads = e.Sent, false, false, 0
	u.utilization, u.memoryTotal = e.Utilization, e.MemoryTotal
	if u.incarnation != e.Incarnation {
		u.incarnation, u.rampStart, u.grants = e.Incarnation, p.now, nil
		p.markChanged()
	}
	u.countTiers(-1)
	u.tiers = map[string]Tier{}
	copies := map[string]*IndexEntry{}
	for i := range e.Entries {
		entry := &e.Entries[i]
		if entry.Tier != Remote {
			u.tiers[entry.Model] = entry.Tier
		}
		if entry.ReplicaID != "" && entry.Present {
			copies[entry.ReplicaID] = entry
		}
	}
	u.countTiers(1)
	if !p.leading || !p.recovered {
		return
	}
	for _, r := range u.replicas {
		p.reconcile(r, copies[r.id], e.Sent)
	}
	p.unloadOrphans(u, e, copies)
}

// reconcile updates one replica from the index; entry is nil if the index shows
// no copy.
func (p *Planner) reconcile(r *replica, entry *IndexEntry, sent time.Time) {
	switch r.state {
	case loading:
		if entry != nil && entry.Ready {
			p.confirmLoaded(r)
		} else if entry != nil {
			r.recheckTier(entry, sent)
		}
	case uncertain:
		p.reconcileUncertain(r, entry, sent)
	case ready, draining:
		p.reconcileLoaded(r, entry, sent)
	case unloading:
		if entry == nil && !r.orderOpen && sent.After(r.unloadSentAt) && r.rowState == RowUnloading && !r.unfenced {
			p.handleNoCopy(r, sent)
		}
	case expiring:
		if entry != nil {
			p.setState(r, unloading) // a delayed order loaded a copy
		} else if !sent.Before(r.loadSentAt.Add(p.cfg.OrderLife)) {
			p.setState(r, deleting)
		}
	}
}

// recheckTier counts a load in progress against the limits of the weight store if
// the index shows that its checkpoint was not cached.
func (r *replica) recheckTier(entry *IndexEntry, sent time.Time) {
	if entry.Tier == Remote && r.row.Base == "" && sent.After(r.loadSentAt) {
		r.tier, r.fromStore = Remote, true
	}
}

func (p *Planner) reconcileUncertain(r *replica, entry *IndexEntry, sent time.Time) {
	switch {
	case sent.Before(r.loadSentAt):
	case entry != nil && entry.Ready:
		p.confirmLoaded(r)
	case entry != nil:
		r.recheckTier(entry, sent)
		r.seenAbsent = false
		r.slotUntil = p.now.Add(minLoadTimeout)
		r.expected = later(r.expected, p.now.Add(orderBackoff))
	default:
		r.seenAbsent = true
		r.slotUntil = time.Time{}
		if !sent.Before(r.loadSentAt.Add(p.cfg.OrderLife)) {
			p.emit(Decision{Kind: "withdraw", Pool: r.upstream.pool.name, Model: r.row.Model, Upstream: r.row.Upstream,
				ID: r.id, Reason: "no copy seen within the lifetime of the order"})
			p.handleNoCopy(r, sent)
		}
	}
}

func (p *Planner) reconcileLoaded(r *replica, entry *IndexEntry, sent time.Time) {
	switch {
	case sent.Before(r.confirmedAt):
	case entry == nil:
		p.emit(Decision{Kind: "void", Pool: r.upstream.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id,
			Reason: "the engine has no copy"})
		p.replace(r.model)
		p.handleNoCopy(r, sent)
	case !entry.Ready && r.state == ready:
		p.setState(r, uncertain)
	default:
		r.row.Incarnation = r.upstream.incarnation
	}
}

// replace requests a new replica of a model that has lost one, if the model was
// used within Config.ReplaceWindow.
func (p *Planner) replace(m *model) {
	if p.now.Sub(m.lastUse) < p.cfg.ReplaceWindow {
		m.wantedUntil = p.now.Add(p.cfg.ReplaceWindow)
		p.addDemanded(m)
	}
}

// unloadOrphans counts the memory of copies without a row and orders their unload.
func (p *Planner) unloadOrphans(u *upstream, e IndexRead, copies map[string]*IndexEntry) {
	for id := range u.orphans {
		if copies[id] == nil {
			delete(u.orphans, id)
		}
	}
	if e.Sent.Before(p.electedAt) || !e.Sent.After(u.lastRemovedAt) {
		return
	}
	for i := range e.Entries {
		entry := &e.Entries[i]
		id := entry.ReplicaID
		if id == "" || !entry.Present || p.replicas[Key(u.pool.name, id)] != nil {
			continue
		}
		o := u.orphans[id]
		if o == nil {
			o = &orphan{model: entry.Model, memory: entry.MemoryMB}
			if u.orphans == nil {
				u.orphans = map[string]*orphan{}
			}
			u.orphans[id] = o
		}
		if !p.knownInAnyPool(id) && !p.now.Before(o.retryAt) {
			o.retryAt = p.now.Add(orderBackoff)
			p.attempts++
			p.emit(Decision{Kind: "unload", Pool: u.pool.name, Model: o.model, Upstream: u.cfg.Name, ID: id, Reason: "no row"})
			p.emit(SendUnload{Pool: u.pool.name, ID: id, Attempt: p.attempts, Address: u.cfg.Address, Model: o.model, Token: p.token})
		}
	}
}

// knownInAnyPool reports whether a replica has a row in any pool: two pools may
// list the same engine, and then each counts the copies of the other.
func (p *Planner) knownInAnyPool(id string) bool {
	return slices.ContainsFunc(p.sortedPools, func(pl *pool) bool { return p.replicas[Key(pl.name, id)] != nil })
}

// rowsRead restores the replicas from the rows at the start of a term. Every row
// is taken as valid until the engine's index contradicts it. The previous holder
// may have sent orders up to the election of this holder, so their lifetime is
// counted from there.
func (p *Planner) rowsRead(e RowsRead) {
	if !p.leading || p.recovered {
		return
	}
	p.recovered = true
	p.lastTick = time.Time{}
	p.markChanged()
	for _, s := range e.Rows {
		p.recoverRow(s)
	}
	for _, pl := range p.sortedPools {
		for _, u := range pl.members {
			if !pl.isService() {
				p.requestIndex(u)
			}
		}
	}
}

func (pl *pool) isService() bool {
	m := pl.models[""]
	return m != nil && m.service
}

func (p *Planner) recoverRow(s StoredRow) {
	pl := p.pool(s.Pool)
	m := pl.models[s.Row.Model]
	if m == nil {
		m = pl.model(s.Row.Model, p.now)
		m.removed, m.cfg.Base, m.cfg.MemoryMB = true, s.Row.Base, s.Row.MemoryMB
		pl.linkAdapters()
	}
	u := pl.upstreams[s.Row.Upstream]
	if u != nil && u.cfg.Address != s.Row.Address {
		u = pl.upstreams[formerName(s.Row.Upstream, s.Row.Address)]
	}
	if u == nil {
		name := s.Row.Upstream
		if pl.upstreams[name] != nil {
			name = formerName(name, s.Row.Address)
		}
		u = pl.upstream(name)
		u.removed, u.cfg.Address = true, s.Row.Address
	}
	r := &replica{id: s.ID, model: m, upstream: u, row: s.Row, rowState: s.Row.State, revision: s.Revision,
		loadSentAt: p.electedAt, unfenced: true, loadUnresolved: true, loadSends: 1, slotUntil: p.electedAt.Add(minLoadTimeout),
		fromStore: s.Row.Base == ""}
	switch s.Row.State {
	case RowLoaded:
		r.state = ready
		m.lastUse = later(m.lastUse, p.now)
	case RowUnloading:
		r.state = unloading
	default:
		r.state = uncertain
		r.expected = p.now.Add(p.estimate(m, Remote))
	}
	p.attach(r)
}
