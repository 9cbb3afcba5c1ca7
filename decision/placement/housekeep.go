package placement

import (
	"slices"
	"time"
)

// housekeeping runs the periodic rules: report expiry, evacuation, scaling and
// idle unloads.
func (p *Planner) housekeeping() {
	p.expireReports()
	for _, pl := range p.sortedPools {
		for _, m := range pl.modelList {
			if len(m.replicas) > 0 {
				p.evacuate(m)
				p.scale(m)
				p.unloadIdle(m)
			}
		}
		if slices.ContainsFunc(pl.modelList, func(m *model) bool { return m.removed && len(m.replicas) == 0 }) ||
			slices.ContainsFunc(pl.members, func(u *upstream) bool { return u.removed && len(u.replicas) == 0 }) {
			pl.prune()
		}
	}
	for instance, rep := range p.reports {
		if p.now.Sub(rep.at) > reportRetention {
			delete(p.reports, instance)
		}
	}
}

// reportRetention bounds how long an instance without new reports stays on the
// list of instances that allotments are distributed over.
const reportRetention = time.Minute

// drain withdraws a replica from the view; it is unloaded when its requests have
// ended. If cancelable is set, new demand cancels the drain.
func (p *Planner) drain(r *replica, reason string, cancelable bool) {
	if r.state == draining {
		r.cancelable = r.cancelable && cancelable
		return
	}
	if r.state != ready {
		return
	}
	r.drainingSince, r.cancelable = p.now, cancelable
	p.setState(r, draining)
	p.emit(Decision{Kind: "drain", Pool: r.upstream.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id, Reason: reason})
}

// evacuate drains replicas that may take no new work on their upstream. It
// requests replacements for models in use, also for replicas on an unreachable
// upstream, which are not drained.
func (p *Planner) evacuate(m *model) {
	for _, r := range m.replicas {
		if r.state == draining && !r.cancelable && r.upstream.usable() && !m.removed && r.wasEvacuated() {
			p.setState(r, ready) // the upstream became usable again before the drain ended
			continue
		}
		if r.state != ready {
			continue
		}
		reason := ""
		switch {
		case m.removed:
			reason = "model left the catalogue"
		case r.upstream.removed || r.upstream.cfg.Leaving:
			reason = "upstream is leaving"
		case r.upstream.disabled:
			reason = "data centre taken out"
		case !p.baseRetained(r):
			reason = "base is draining"
		case r.upstream.down && p.now.Sub(r.upstream.downSince) > p.cfg.DownAfter:
			p.replace(m)
			continue
		default:
			continue
		}
		p.drain(r, reason, false)
		r.evacuated = reason == "upstream is leaving" || reason == "data centre taken out"
		if r.evacuated {
			p.replace(m)
		}
	}
}

// wasEvacuated reports whether the drain was due only to its upstream leaving or
// its data centre being taken out of service.
func (r *replica) wasEvacuated() bool { return r.evacuated }

// baseRetained reports whether the base of an adapter on the same upstream is
// not being drained or unloaded.
func (p *Planner) baseRetained(r *replica) bool {
	if r.row.Base == "" {
		return true
	}
	return !slices.ContainsFunc(r.upstream.replicas, func(b *replica) bool {
		return b.row.Model == r.row.Base && b.state > ready
	})
}

// scale sets the target number of replicas of a model from its load. Load is the
// higher of the backlog that instances report and the utilization that upstreams
// report, which lags behind.
func (p *Planner) scale(m *model) {
	if m.cfg.MaxReplicas <= 1 && len(m.replicas) == 1 {
		m.targetReplicas = 1
		return
	}
	var serving []*replica
	capacity, utilization := 0, 0.0
	for _, r := range m.replicas {
		if r.state == ready && r.upstream.reachable() && r.upstream.usable() {
			serving = append(serving, r)
			capacity += r.upstream.cfg.Concurrency
			utilization += r.upstream.utilization
		}
	}
	n := len(serving)
	if n == 0 {
		m.targetReplicas = 1
		return
	}
	if n > max(m.cfg.MaxReplicas, 1) {
		p.scaleDown(m, serving, "more than max_replicas")
		return
	}
	load := float64(m.waiting+m.running) / float64(max(capacity, 1))
	if m.waiting+m.running > 0 {
		load = max(load, utilization/float64(n))
	}
	trackSince(&m.highLoadSince, load > utilizationBusy, p.now)
	trackSince(&m.lowLoadSince, load < utilizationQuiet*float64(n-1)/float64(n), p.now)
	switch {
	case n < m.cfg.MaxReplicas && heldFor(m.highLoadSince, p.now, p.cfg.ScaleUpAfter):
		if m.targetReplicas <= n {
			m.targetReplicas = n + 1
			m.wantedUntil = later(m.wantedUntil, p.now.Add(p.cfg.ScaleUpAfter))
			p.addDemanded(m)
		}
	case n > 1 && heldFor(m.lowLoadSince, p.now, p.cfg.ScaleDownAfter):
		m.lowLoadSince = p.now
		p.scaleDown(m, serving, "low load")
	case m.highLoadSince.IsZero():
		m.targetReplicas = n
	}
}

// scaleDown drains the replica with the fewest requests.
func (p *Planner) scaleDown(m *model, serving []*replica, reason string) {
	leastBusy := serving[0]
	for _, r := range serving[1:] {
		if m.runningAt(r.row.Upstream) < m.runningAt(leastBusy.row.Upstream) {
			leastBusy = r
		}
	}
	m.targetReplicas = len(serving) - 1
	for _, r := range withAdapters(leastBusy) {
		p.drain(r, reason, false)
	}
}

// trackSince maintains the time since which a condition has held; zero if it does
// not hold.
func trackSince(since *time.Time, holds bool, now time.Time) {
	if !holds {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}

func heldFor(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= limit
}

// unloadIdle applies the unload rule.
func (p *Planner) unloadIdle(m *model) {
	if !p.idle(m) {
		return
	}
	for _, r := range m.replicas {
		if r.state != ready || p.now.Sub(r.confirmedAt) < p.cfg.EvictIdle || !p.unloadDue(r) {
			continue
		}
		for _, v := range withAdapters(r) {
			p.drain(v, "idle", true)
		}
	}
}

// unloadDue reports whether keeping a replica is expected to cost more than
// loading it again: the accelerator time until the next request compared with
// the time that a typical burst of requests waits for a load.
func (p *Planner) unloadDue(r *replica) bool {
	m, pl := r.model, r.upstream.pool
	idle := p.now.Sub(later(m.lastUse, r.confirmedAt))
	if p.cfg.Unload == UnloadFixed {
		return idle >= p.cfg.IdleTimeout
	}
	if pl.cfg == nil {
		return true
	}
	share := float64(r.row.MemoryMB) / float64(max(r.upstream.capacity(), 1)) * float64(max(r.upstream.cfg.Accelerators, 1))
	keepCost := pl.cfg.IdleCost * share * m.history.residual(idle.Seconds())
	reloadCost := pl.cfg.WaitCost * p.estimate(m, r.upstream.tiers[m.cfg.Name]).Seconds() * max(m.avgColdWaiters, 1)
	return keepCost > reloadCost
}
