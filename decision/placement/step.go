package placement

import (
	"fmt"
	"slices"
	"time"
)

// Pauses between repeats of one replica's operations.
const (
	writeBackoff      = 250 * time.Millisecond
	maxWriteBackoff   = 4 * time.Second
	orderBackoff      = time.Second
	maxOrderRetries   = 3
	refusalBackoff    = 10 * time.Second // first pause before an upstream is chosen again after it refused a model
	maxPlanTime       = 15 * time.Second // a planned replica is dropped after waiting this long for memory
	loadTimeoutFactor = 3                // timeout of a load order in expected load times
	minLoadTimeout    = 10 * time.Second
	minIndexInterval  = 300 * time.Millisecond
	maxFailedReads    = 2 // failed index reads in a row after which an upstream counts as down
)

// addReplica adds a replica that has no row yet.
func (p *Planner) addReplica(m *model, u *upstream, tier Tier) *replica {
	r := &replica{id: p.newID(), model: m, upstream: u, state: planned, tier: tier, plannedAt: p.now}
	r.row = Row{Model: m.cfg.Name, Base: m.cfg.Base, Upstream: u.cfg.Name, Address: u.cfg.Address,
		Incarnation: u.incarnation, State: RowDecided, Token: p.token, MemoryMB: m.requiredMemory()}
	r.expected = p.now.Add(p.estimate(m, tier))
	p.attach(r)
	return r
}

func (p *Planner) attach(r *replica) {
	p.replicas[Key(r.upstream.pool.name, r.id)] = r
	r.model.replicas = append(r.model.replicas, r)
	r.upstream.replicas = append(r.upstream.replicas, r)
	r.upstream.reservedMemory += r.row.MemoryMB
	p.inTransition = append(p.inTransition, r)
	p.markChanged()
}

// removeReplica removes a replica whose row is deleted or that never had one.
func (p *Planner) removeReplica(r *replica) {
	delete(p.replicas, Key(r.upstream.pool.name, r.id))
	same := func(o *replica) bool { return o == r }
	r.model.replicas = slices.DeleteFunc(r.model.replicas, same)
	r.upstream.replicas = slices.DeleteFunc(r.upstream.replicas, same)
	r.upstream.reservedMemory -= r.row.MemoryMB
	r.upstream.lastRemovedAt = p.now
	r.state = deleted
	p.markChanged()
}

// setState changes the state of a replica and maintains the inTransition list.
func (p *Planner) setState(r *replica, s state) {
	if r.state == ready && s != ready {
		p.inTransition = append(p.inTransition, r)
	}
	r.state = s
	p.markChanged()
}

// stepAll advances every replica in transition as far as possible.
func (p *Planner) stepAll() {
	for i := 0; i < len(p.inTransition); i++ {
		p.step(p.inTransition[i])
	}
	p.inTransition = slices.DeleteFunc(p.inTransition, func(r *replica) bool {
		settled := r.state == ready && r.write == nil && r.rowState == RowLoaded
		return settled || r.state == deleted
	})
}

func (p *Planner) step(r *replica) {
	switch r.state {
	case deleted:
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
	case expiring:
		if !p.now.Before(r.loadSentAt.Add(p.cfg.OrderLife)) {
			p.requestIndex(r.upstream)
		}
		p.deleteLost(r)
	}
	p.syncRow(r)
}

// stepPlanned decides a replica once the upstream has uncommitted memory for it.
func (p *Planner) stepPlanned(r *replica) {
	u := r.upstream
	if !u.usable() || !u.reachable() || r.model.removed || p.now.Sub(r.plannedAt) > maxPlanTime || !p.baseReady(r) {
		p.removeReplica(r)
		return
	}
	if u.committed()+r.row.MemoryMB <= u.capacity() {
		r.row.Incarnation = u.incarnation
		p.setState(r, deciding)
	}
}

// baseReady reports whether an adapter's base is ready on the same upstream.
func (p *Planner) baseReady(r *replica) bool {
	if r.row.Base == "" {
		return true
	}
	return slices.ContainsFunc(r.upstream.replicas, func(b *replica) bool {
		return b.state == ready && b.row.Model == r.row.Base
	})
}

// stepDecided sends the load order of a replica whose row is stored.
func (p *Planner) stepDecided(r *replica) {
	u := r.upstream
	if !u.usable() || r.model.removed || !p.baseReady(r) {
		p.withdraw(r, "upstream or model no longer available")
		return
	}
	if !u.reachable() {
		if u.down && p.now.Sub(u.downSince) > p.cfg.DownAfter {
			p.withdraw(r, "upstream unreachable")
		}
		return
	}
	if p.now.Before(r.retryAt) || !p.admitLoad(r) {
		return
	}
	p.sendLoad(r)
}

// withdraw abandons a decided replica without an open order.
func (p *Planner) withdraw(r *replica, reason string) {
	p.emit(Decision{Kind: "withdraw", Pool: r.upstream.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id, Reason: reason})
	p.handleNoCopy(r, p.now)
}

// handleNoCopy handles the absence of a copy at the given time: the row is deleted,
// unless a load order may still be in transit.
func (p *Planner) handleNoCopy(r *replica, at time.Time) {
	switch {
	case r.unfenced && !r.upstream.removed:
		// An unload order with the new fencing token makes an engine that checks
		// tokens refuse later orders of a previous leaseholder.
		p.setState(r, unloading)
	case r.loadSentAt.IsZero() || !at.Before(r.loadSentAt.Add(p.cfg.OrderLife)):
		p.setState(r, deleting)
	default:
		p.setState(r, expiring)
	}
}

func (p *Planner) sendLoad(r *replica) {
	estimate := p.estimate(r.model, r.tier)
	timeout := max(loadTimeoutFactor*estimate, minLoadTimeout)
	p.attempts++
	r.attempt, r.orderOpen, r.seenAbsent = p.attempts, true, false
	r.loadSends++
	r.prevLoadSentAt, r.loadSentAt = r.loadSentAt, p.now
	r.loadStart, r.expected = p.now, p.now.Add(estimate)
	r.slotUntil = p.now.Add(timeout)
	if r.fromStore {
		p.lastLoad = p.now
	}
	p.setState(r, loading)
	p.emit(SendLoad{Pool: r.upstream.pool.name, ID: r.id, Attempt: r.attempt, Address: r.row.Address, Model: r.row.Model,
		Base: r.row.Base, Token: p.token, MemoryMB: r.row.MemoryMB, AnswerTimeout: timeout})
}

// stepUncertain reads the index to determine the result of a load order and
// repeats the order if no copy has been seen; engines apply it once per replica ID.
func (p *Planner) stepUncertain(r *replica) {
	p.deleteLost(r)
	if r.orderOpen || r.state != uncertain {
		return
	}
	p.requestIndex(r.upstream)
	if !r.seenAbsent || p.now.Before(r.retryAt) || !r.upstream.usable() || !r.upstream.reachable() || !p.baseReady(r) {
		return
	}
	if p.wanted(r.model) && p.admitLoad(r) {
		r.retryAt = p.now.Add(orderBackoff << min(r.retries, 4))
		r.retries++
		p.sendLoad(r)
	}
}

func (p *Planner) stepDraining(r *replica) {
	if r.cancelable && r.upstream.usable() && !r.model.removed && !p.idle(r.model) && p.baseReady(r) {
		p.setState(r, ready)
		return
	}
	if p.now.Sub(r.drainingSince) < p.cfg.DrainDelay || r.model.runningAt(r.row.Upstream) > 0 {
		return
	}
	for _, o := range r.upstream.replicas {
		if o.row.Base == r.row.Model && o.state != planned {
			return // adapters are unloaded first
		}
	}
	p.emit(Decision{Kind: "unload", Pool: r.upstream.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id, Reason: "drained"})
	p.setState(r, unloading)
}

// stepUnloading sends the unload order once the row is stored as unloading.
func (p *Planner) stepUnloading(r *replica) {
	p.deleteLost(r)
	if r.state != unloading || r.rowState != RowUnloading || r.orderOpen || p.now.Before(r.retryAt) || r.upstream.down {
		return
	}
	p.attempts++
	r.attempt, r.orderOpen, r.unloadSentAt = p.attempts, true, p.now
	p.emit(SendUnload{Pool: r.upstream.pool.name, ID: r.id, Attempt: r.attempt, Address: r.row.Address,
		Model: r.row.Model, Token: p.token})
}

// deleteLost deletes the row of a replica on an upstream that is no longer in the
// catalogue and has been unreachable for longer than Config.ForgetAfter.
func (p *Planner) deleteLost(r *replica) {
	if r.upstream.removed && r.upstream.down && !r.orderOpen && p.now.Sub(r.upstream.downSince) > p.cfg.ForgetAfter {
		p.setState(r, deleting)
	}
}

// requestIndex requests an index read, at most one per minIndexInterval.
func (p *Planner) requestIndex(u *upstream) {
	if p.now.Sub(u.indexRequestedAt) < minIndexInterval {
		return
	}
	u.indexRequestedAt = p.now
	p.emit(ReadIndex{Pool: u.pool.name, Upstream: u.cfg.Name, Address: u.cfg.Address})
}

// syncRow writes the row if it differs from the replica's state. One write is in
// flight at a time; a write without a definite result is repeated with the same
// transaction token.
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
	p.pendingWrites++
	p.emit(WriteRow{Pool: r.upstream.pool.name, ID: r.id, Txn: w.txn, Revision: r.revision, Row: w.row, Delete: w.delete})
}

func (p *Planner) nextWrite(r *replica) *write {
	want := r.rowState
	switch r.state {
	case planned, deleted:
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
	p.pendingWrites--
	switch e.Result {
	case WriteApplied:
		r.write = nil
		p.writeApplied(r, w)
	case WriteConflict:
		// There is another leaseholder, or the row differs from this planner's
		// copy: read all rows again before any other decision.
		p.resync = true
	default:
		w.retryAt = p.now.Add(min(writeBackoff<<min(w.retries, 6), maxWriteBackoff))
		w.retries++
	}
}

func (p *Planner) writeApplied(r *replica, w *write) {
	if w.delete {
		p.removeReplica(r)
		return
	}
	r.revision++
	r.rowState = w.row.State
	if r.state == deciding {
		p.setState(r, decided)
	}
}
