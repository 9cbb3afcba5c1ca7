package placement

import (
	"fmt"
	"slices"
	"time"
)

// Pauses between repeats of one replica's operations.
const (
	writeBackoff    = 250 * time.Millisecond
	maxWriteBackoff = 4 * time.Second
	orderBackoff    = time.Second
	maxOrderRetries = 3
	refusedPause    = 10 * time.Second // before the same upstream gets the model again
	planLimit       = 15 * time.Second // a planned replica gives up waiting for room
	loadPatience    = 3                // an answer is awaited this many expected load times
	minPatience     = 10 * time.Second
	indexGap        = 300 * time.Millisecond
	missesDown      = 2 // failed index reads in a row after which an upstream counts as down
)

// create adds a replica that has no row yet.
func (p *Planner) create(m *model, u *upstream, tier Tier) *replica {
	r := &replica{id: p.newID(), model: m, up: u, state: planned, tier: tier, plannedAt: p.now}
	r.row = Row{Model: m.cfg.Name, Base: m.cfg.Base, Upstream: u.cfg.Name, Address: u.cfg.Address,
		Incarnation: u.incarnation, State: RowDecided, Token: p.token, MemoryMB: m.need()}
	r.expected = p.now.Add(p.estimate(m, tier))
	p.attach(r)
	return r
}

func (p *Planner) attach(r *replica) {
	p.replicas[Key(r.up.pool.name, r.id)] = r
	r.model.replicas = append(r.model.replicas, r)
	r.up.replicas = append(r.up.replicas, r)
	r.up.claimed += r.row.MemoryMB
	p.transit = append(p.transit, r)
	p.touch()
}

// forget removes a replica whose row is gone, or that never had one.
func (p *Planner) forget(r *replica) {
	delete(p.replicas, Key(r.up.pool.name, r.id))
	same := func(o *replica) bool { return o == r }
	r.model.replicas = slices.DeleteFunc(r.model.replicas, same)
	r.up.replicas = slices.DeleteFunc(r.up.replicas, same)
	r.up.claimed -= r.row.MemoryMB
	r.up.forgotten = p.now
	r.state = forgotten
	p.touch()
}

// setState moves a replica and keeps the list of those in transit.
func (p *Planner) setState(r *replica, s state) {
	if r.state == ready && s != ready {
		p.transit = append(p.transit, r)
	}
	r.state = s
	p.touch()
}

// stepAll moves every replica in transit as far as it goes.
func (p *Planner) stepAll() {
	for i := 0; i < len(p.transit); i++ {
		p.step(p.transit[i])
	}
	p.transit = slices.DeleteFunc(p.transit, func(r *replica) bool {
		settled := r.state == ready && r.write == nil && r.rowState == RowLoaded
		return settled || r.state == forgotten
	})
}

func (p *Planner) step(r *replica) {
	switch r.state {
	case forgotten:
		return
	case planned:
		p.stepPlanned(r)
	case decided:
		p.stepDecided(r)
	case uncertain:
		p.stepUncertain(r)
	case draining:
		p.stepDraining(r)
	case unloading:
		p.stepUnloading(r)
	case removing:
		if !p.now.Before(r.loadSent.Add(p.cfg.OrderLife)) {
			p.askIndex(r.up)
		}
		p.forgetLost(r)
	}
	p.syncRow(r)
}

// stepPlanned decides a replica as soon as the ledger has room for it.
func (p *Planner) stepPlanned(r *replica) {
	u := r.up
	if !u.usable() || !u.reachable() || r.model.gone || p.now.Sub(r.plannedAt) > planLimit || !p.baseReady(r) {
		p.forget(r)
		return
	}
	if u.committed()+r.row.MemoryMB <= u.capacity() {
		r.row.Incarnation = u.incarnation
		p.setState(r, deciding)
	}
}

// baseReady reports whether an adapter's base takes work on the same upstream.
func (p *Planner) baseReady(r *replica) bool {
	if r.row.Base == "" {
		return true
	}
	return slices.ContainsFunc(r.up.replicas, func(b *replica) bool {
		return b.state == ready && b.row.Model == r.row.Base
	})
}

// stepDecided sends the load order of a row that is in force.
func (p *Planner) stepDecided(r *replica) {
	u := r.up
	if !u.usable() || r.model.gone || !p.baseReady(r) {
		p.withdraw(r, "upstream or model no longer available")
		return
	}
	if !u.reachable() {
		if u.down && p.now.Sub(u.downSince) > p.cfg.DownAfter {
			p.withdraw(r, "upstream unreachable")
		}
		return
	}
	if p.now.Before(r.retryAt) || !p.mayLoad(r) {
		return
	}
	p.sendLoad(r)
}

// withdraw gives up a decided replica without an open order.
func (p *Planner) withdraw(r *replica, reason string) {
	p.emit(Decision{Kind: "withdraw", Pool: r.up.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id, Reason: reason})
	p.gone(r, p.now)
}

// gone handles that no copy existed at a time: the row goes too, unless a
// load order may still be on its way.
func (p *Planner) gone(r *replica, at time.Time) {
	switch {
	case r.foreign && !r.up.gone:
		// An unload order with the new fencing token makes an engine that checks
		// tokens refuse whatever an earlier holder still sends.
		p.setState(r, unloading)
	case r.loadSent.IsZero() || !at.Before(r.loadSent.Add(p.cfg.OrderLife)):
		p.setState(r, deleting)
	default:
		p.setState(r, removing)
	}
}

func (p *Planner) sendLoad(r *replica) {
	estimate := p.estimate(r.model, r.tier)
	patience := max(loadPatience*estimate, minPatience)
	p.attempts++
	r.attempt, r.orderOpen, r.absent = p.attempts, true, false
	r.sends++
	r.prevLoadSent, r.loadSent = r.loadSent, p.now
	r.loadStart, r.expected = p.now, p.now.Add(estimate)
	r.slotUntil = p.now.Add(patience)
	if r.store {
		p.lastLoad = p.now
	}
	p.setState(r, loading)
	p.emit(SendLoad{Pool: r.up.pool.name, ID: r.id, Attempt: r.attempt, Address: r.row.Address, Model: r.row.Model,
		Base: r.row.Base, Token: p.token, MemoryMB: r.row.MemoryMB, Patience: patience})
}

// stepUncertain asks the index what became of a load order and repeats the
// order if no copy has been seen; engines take it once per replica ID.
func (p *Planner) stepUncertain(r *replica) {
	p.forgetLost(r)
	if r.orderOpen || r.state != uncertain {
		return
	}
	p.askIndex(r.up)
	if !r.absent || p.now.Before(r.retryAt) || !r.up.usable() || !r.up.reachable() || !p.baseReady(r) {
		return
	}
	if p.wanted(r.model) && p.mayLoad(r) {
		r.retryAt = p.now.Add(orderBackoff << min(r.retries, 4))
		r.retries++
		p.sendLoad(r)
	}
}

func (p *Planner) stepDraining(r *replica) {
	if r.revivable && r.up.usable() && !r.model.gone && !p.idle(r.model) && p.baseReady(r) {
		p.setState(r, ready)
		return
	}
	if p.now.Sub(r.drainAt) < p.cfg.DrainDelay || r.model.runningAt(r.row.Upstream) > 0 {
		return
	}
	for _, o := range r.up.replicas {
		if o.row.Base == r.row.Model && o.state != planned {
			return // adapters leave first
		}
	}
	p.emit(Decision{Kind: "unload", Pool: r.up.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id, Reason: "drained"})
	p.setState(r, unloading)
}

// stepUnloading sends the unload order once the row says so.
func (p *Planner) stepUnloading(r *replica) {
	p.forgetLost(r)
	if r.state != unloading || r.rowState != RowUnloading || r.orderOpen || p.now.Before(r.retryAt) || r.up.down {
		return
	}
	p.attempts++
	r.attempt, r.orderOpen, r.unloadSent = p.attempts, true, p.now
	p.emit(SendUnload{Pool: r.up.pool.name, ID: r.id, Attempt: r.attempt, Address: r.row.Address,
		Model: r.row.Model, Token: p.token})
}

// forgetLost gives up a replica on an upstream that has left the catalogue
// and has been unreachable for long.
func (p *Planner) forgetLost(r *replica) {
	if r.up.gone && r.up.down && !r.orderOpen && p.now.Sub(r.up.downSince) > p.cfg.ForgetAfter {
		p.setState(r, deleting)
	}
}

// askIndex asks for an index read, at a bounded rate.
func (p *Planner) askIndex(u *upstream) {
	if p.now.Sub(u.indexAsked) < indexGap {
		return
	}
	u.indexAsked = p.now
	p.emit(ReadIndex{Pool: u.pool.name, Upstream: u.cfg.Name, Address: u.cfg.Address})
}

// syncRow writes the row if it differs from what the state asks for. One
// write at a time; a write without a definite result is repeated under the
// same transaction token.
func (p *Planner) syncRow(r *replica) {
	if p.resync {
		return
	}
	if r.write == nil {
		r.write = p.nextWrite(r)
	}
	w := r.write
	if w == nil || w.open || p.now.Before(w.retryAt) {
		return
	}
	w.open = true
	p.writes++
	p.emit(WriteRow{Pool: r.up.pool.name, ID: r.id, Txn: w.txn, Revision: r.revision, Row: w.row, Delete: w.delete})
}

func (p *Planner) nextWrite(r *replica) *write {
	want := r.rowState
	switch r.state {
	case planned, forgotten:
		return nil
	case deciding:
		want = RowDecided
	case ready, draining:
		want = RowLoaded
	case unloading:
		want = RowUnloading
	case deleting:
		return &write{txn: p.newTxn(), delete: true}
	}
	if want == r.rowState {
		return nil
	}
	r.row.State = want
	return &write{txn: p.newTxn(), row: r.row}
}

func (p *Planner) newTxn() string {
	p.txnSeq++
	return fmt.Sprintf("replica-%d-%d", p.token, p.txnSeq)
}

func (p *Planner) rowWritten(e RowWritten) {
	r := p.replicas[Key(e.Pool, e.ID)]
	if r == nil || r.write == nil || r.write.txn != e.Txn || !r.write.open {
		return
	}
	w := r.write
	w.open = false
	p.writes--
	switch e.Result {
	case WriteApplied:
		r.write = nil
		p.applied(r, w)
	case WriteConflict:
		// Another holder, or a row that is not what this planner believes: read
		// everything again before deciding anything else.
		p.resync = true
	default:
		w.retryAt = p.now.Add(min(writeBackoff<<min(w.retries, 6), maxWriteBackoff))
		w.retries++
	}
}

func (p *Planner) applied(r *replica, w *write) {
	if w.delete {
		p.forget(r)
		return
	}
	r.revision++
	r.rowState = w.row.State
	if r.state == deciding {
		p.setState(r, decided)
	}
}
