package placement

import (
	"slices"
	"time"
)

// orderAnswered takes the answer of a load or unload order.
func (p *Planner) orderAnswered(e OrderAnswered) {
	r := p.replicas[Key(e.Pool, e.ID)]
	if r == nil || !r.orderOpen || r.attempt != e.Attempt {
		return
	}
	r.orderOpen = false
	if e.Outcome != OrderUnknown && e.Incarnation != "" {
		r.foreign = false // the engine has seen the current fencing token
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
		if e.Incarnation != r.up.incarnation {
			// The engine restarted around the load; the index decides.
			p.doubt(r)
			return
		}
		p.confirm(r)
	case OrderRefused:
		p.loadRefused(r, e)
	default:
		r.openLoad = true
		p.doubt(r)
	}
}

// doubt leaves it to the index what became of a load.
func (p *Planner) doubt(r *replica) {
	r.retryAt = p.now.Add(orderBackoff)
	p.setState(r, uncertain)
	p.askIndex(r.up)
}

// confirm records that a copy is loaded.
func (p *Planner) confirm(r *replica) {
	if r.sends == 1 && !r.openLoad && !r.loadStart.IsZero() {
		p.learn(r.model, r.tier, p.now.Sub(r.loadStart))
	}
	r.row.Incarnation = r.up.incarnation
	r.confirmed = p.now
	r.retries = 0
	r.model.failures = 0
	r.model.lastUse = later(r.model.lastUse, p.now)
	p.setState(r, ready)
}

// loadRefused handles an order that the engine did not apply.
func (p *Planner) loadRefused(r *replica, e OrderAnswered) {
	if e.NotSent {
		r.loadSent = r.prevLoadSent
		r.sends--
	}
	if r.openLoad {
		p.doubt(r) // an earlier order may still take effect
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
	if m.refused == nil {
		m.refused = map[*upstream]time.Time{}
	}
	m.refused[r.up] = p.now.Add(refusedPause << min(m.failures-1, 5))
	p.withdraw(r, "refused: "+e.Reason)
}

func (p *Planner) unloadAnswered(r *replica, e OrderAnswered) {
	if r.state != unloading {
		return
	}
	if e.Outcome == OrderDone {
		r.openLoad, r.foreign = false, false
		p.gone(r, r.unloadSent)
		return
	}
	r.retryAt = p.now.Add(orderBackoff << min(r.retries, 4))
	r.retries++
	p.askIndex(r.up)
}

// upstreamDown records that an upstream could not be reached.
func (p *Planner) upstreamDown(e UpstreamDown) {
	if pl := p.pools[e.Pool]; pl != nil && pl.upstreams[e.Upstream] != nil {
		p.suspectDown(pl.upstreams[e.Upstream])
	}
}

// suspectDown asks again after the first failure, so that one lost answer
// does not take an upstream out of service.
func (p *Planner) suspectDown(u *upstream) {
	if u.misses++; u.misses < missesDown {
		p.askIndex(u)
		return
	}
	if !u.down {
		u.down, u.downSince = true, p.now
		p.touch()
	}
}

// upstreamSuspect asks for the index of an upstream of which something is
// wrong. Plain services have no index: their new incarnation counts at once.
func (p *Planner) upstreamSuspect(e UpstreamSuspect) {
	pl := p.pools[e.Pool]
	if pl == nil || pl.upstreams[e.Upstream] == nil {
		return
	}
	u := pl.upstreams[e.Upstream]
	if m := pl.models[""]; m != nil && m.service {
		if e.Incarnation != "" && e.Incarnation != u.incarnation {
			u.incarnation, u.rampStart, u.granted = e.Incarnation, p.now, nil
			p.touch()
		}
		return
	}
	if e.Incarnation == u.incarnation && e.Incarnation != "" {
		return
	}
	u.suspect = true
	p.touch()
	p.askIndex(u)
}

// indexRead takes an upstream's own account of what it has loaded.
func (p *Planner) indexRead(e IndexRead) {
	pl := p.pools[e.Pool]
	if pl == nil || pl.upstreams[e.Upstream] == nil {
		return
	}
	u := pl.upstreams[e.Upstream]
	if e.Sent.Before(u.indexSent) {
		return // a later read has been taken already
	}
	if u.down || u.suspect {
		p.touch()
	}
	u.indexSent, u.down, u.suspect, u.misses = e.Sent, false, false, 0
	u.utilization, u.memoryTotal = e.Utilization, e.MemoryTotal
	if u.incarnation != e.Incarnation {
		u.incarnation, u.rampStart, u.granted = e.Incarnation, p.now, nil
		p.touch()
	}
	u.countTiers(-1)
	u.tiers = map[string]Tier{}
	seen := map[string]*IndexEntry{}
	for i := range e.Entries {
		entry := &e.Entries[i]
		if entry.Tier != Remote {
			u.tiers[entry.Model] = entry.Tier
		}
		if entry.ReplicaID != "" && entry.Present {
			seen[entry.ReplicaID] = entry
		}
	}
	u.countTiers(1)
	if !p.leading || !p.recovered {
		return
	}
	for _, r := range u.replicas {
		p.observe(r, seen[r.id], e.Sent)
	}
	p.findOrphans(u, e, seen)
}

// observe compares one replica with the index; entry is nil if the index
// shows no copy.
func (p *Planner) observe(r *replica, entry *IndexEntry, sent time.Time) {
	switch r.state {
	case loading:
		if entry != nil && entry.Ready {
			p.confirm(r)
		} else if entry != nil {
			r.recheck(entry, sent)
		}
	case uncertain:
		p.observeUncertain(r, entry, sent)
	case ready, draining:
		p.observeReady(r, entry, sent)
	case unloading:
		if entry == nil && !r.orderOpen && sent.After(r.unloadSent) && r.rowState == RowUnloading && !r.foreign {
			p.gone(r, sent)
		}
	case removing:
		if entry != nil {
			p.setState(r, unloading) // a late order brought a copy
		} else if !sent.Before(r.loadSent.Add(p.cfg.OrderLife)) {
			p.setState(r, deleting)
		}
	}
}

// recheck counts a load under way against the weight store if its checkpoint
// was not cached after all.
func (r *replica) recheck(entry *IndexEntry, sent time.Time) {
	if entry.Tier == Remote && r.row.Base == "" && sent.After(r.loadSent) {
		r.tier, r.store = Remote, true
	}
}

func (p *Planner) observeUncertain(r *replica, entry *IndexEntry, sent time.Time) {
	switch {
	case sent.Before(r.loadSent):
	case entry != nil && entry.Ready:
		p.confirm(r)
	case entry != nil:
		r.recheck(entry, sent)
		r.absent = false
		r.slotUntil = p.now.Add(minPatience)
		r.expected = later(r.expected, p.now.Add(orderBackoff))
	default:
		r.absent = true
		r.slotUntil = time.Time{}
		if !sent.Before(r.loadSent.Add(p.cfg.OrderLife)) {
			p.emit(Decision{Kind: "withdraw", Pool: r.up.pool.name, Model: r.row.Model, Upstream: r.row.Upstream,
				ID: r.id, Reason: "no copy seen within the life of the order"})
			p.gone(r, sent)
		}
	}
}

func (p *Planner) observeReady(r *replica, entry *IndexEntry, sent time.Time) {
	switch {
	case sent.Before(r.confirmed):
	case entry == nil:
		p.emit(Decision{Kind: "void", Pool: r.up.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id,
			Reason: "the engine has no copy"})
		p.replace(r.model)
		p.gone(r, sent)
	case !entry.Ready && r.state == ready:
		p.setState(r, uncertain)
	default:
		r.row.Incarnation = r.up.incarnation
	}
}

// replace asks for a new replica of a model that has lost one, if the model
// has been in use lately.
func (p *Planner) replace(m *model) {
	if p.now.Sub(m.lastUse) < p.cfg.ReplaceWindow {
		m.interest = p.now.Add(p.cfg.ReplaceWindow)
		p.addDemanded(m)
	}
}

// findOrphans counts copies that no row stands for and orders them away.
func (p *Planner) findOrphans(u *upstream, e IndexRead, seen map[string]*IndexEntry) {
	for id := range u.orphans {
		if seen[id] == nil {
			delete(u.orphans, id)
		}
	}
	if e.Sent.Before(p.electedAt) || !e.Sent.After(u.forgotten) {
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
		if !p.otherPool(id) && !p.now.Before(o.retryAt) {
			o.retryAt = p.now.Add(orderBackoff)
			p.attempts++
			p.emit(Decision{Kind: "unload", Pool: u.pool.name, Model: o.model, Upstream: u.cfg.Name, ID: id, Reason: "no row"})
			p.emit(SendUnload{Pool: u.pool.name, ID: id, Attempt: p.attempts, Address: u.cfg.Address, Model: o.model, Token: p.token})
		}
	}
}

// otherPool reports whether a row of any pool stands for a replica: two pools
// may list the same engine, and then each counts the other's copies.
func (p *Planner) otherPool(id string) bool {
	return slices.ContainsFunc(p.order, func(pl *pool) bool { return p.replicas[Key(pl.name, id)] != nil })
}

// rowsRead starts a term: every row counts until its engine says otherwise.
// Orders of the earlier holder may have been sent until this holder was
// elected, and live on from there.
func (p *Planner) rowsRead(e RowsRead) {
	if !p.leading || p.recovered {
		return
	}
	p.recovered = true
	p.lastTick = time.Time{}
	p.touch()
	for _, s := range e.Rows {
		p.recover(s)
	}
	for _, pl := range p.order {
		for _, u := range pl.members {
			if !pl.isService() {
				p.askIndex(u)
			}
		}
	}
}

func (pl *pool) isService() bool {
	m := pl.models[""]
	return m != nil && m.service
}

func (p *Planner) recover(s StoredRow) {
	pl := p.pool(s.Pool)
	m := pl.models[s.Row.Model]
	if m == nil {
		m = pl.model(s.Row.Model, p.now)
		m.gone, m.cfg.Base, m.cfg.MemoryMB = true, s.Row.Base, s.Row.MemoryMB
		pl.link()
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
		u.gone, u.cfg.Address = true, s.Row.Address
	}
	r := &replica{id: s.ID, model: m, up: u, row: s.Row, rowState: s.Row.State, revision: s.Revision,
		loadSent: p.electedAt, foreign: true, openLoad: true, sends: 1, slotUntil: p.electedAt.Add(minPatience),
		store: s.Row.Base == ""}
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
