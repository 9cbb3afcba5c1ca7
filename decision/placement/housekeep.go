package placement

import (
	"slices"
	"time"
)

// housekeeping runs the rules that depend on time only.
func (p *Planner) housekeeping() {
	p.expireReports()
	for _, pl := range p.order {
		for _, m := range pl.list {
			if len(m.replicas) > 0 {
				p.evacuate(m)
				p.scale(m)
				p.unloadIdle(m)
			}
		}
		if slices.ContainsFunc(pl.list, func(m *model) bool { return m.gone && len(m.replicas) == 0 }) ||
			slices.ContainsFunc(pl.members, func(u *upstream) bool { return u.gone && len(u.replicas) == 0 }) {
			pl.prune()
		}
	}
	for instance, rep := range p.reports {
		if p.now.Sub(rep.at) > reportMemory {
			delete(p.reports, instance)
		}
	}
}

// reportMemory bounds the list of instances that allotments are spread over.
const reportMemory = time.Minute

// drain takes a replica out of the view; it is unloaded when its requests
// have ended. With revivable set, new demand ends the drain.
func (p *Planner) drain(r *replica, reason string, revivable bool) {
	if r.state == draining {
		r.revivable = r.revivable && revivable
		return
	}
	if r.state != ready {
		return
	}
	r.drainAt, r.revivable = p.now, revivable
	p.setState(r, draining)
	p.emit(Decision{Kind: "drain", Pool: r.up.pool.name, Model: r.row.Model, Upstream: r.row.Upstream, ID: r.id, Reason: reason})
}

// evacuate drains replicas that may take no new work where they are, and
// replaces them if the model is in use.
func (p *Planner) evacuate(m *model) {
	for _, r := range m.replicas {
		if r.state == draining && !r.revivable && r.up.usable() && !m.gone && r.back() {
			p.setState(r, ready) // the data centre has come back before the end of the drain
			continue
		}
		if r.state != ready {
			continue
		}
		reason := ""
		switch {
		case m.gone:
			reason = "model left the catalogue"
		case r.up.gone || r.up.cfg.Leaving:
			reason = "upstream leaves"
		case r.up.disabled:
			reason = "data centre taken out"
		case !p.baseStays(r):
			reason = "base drains"
		case r.up.down && p.now.Sub(r.up.downSince) > p.cfg.DownAfter:
			p.replace(m)
			continue
		default:
			continue
		}
		p.drain(r, reason, false)
		r.evacuated = reason == "upstream leaves" || reason == "data centre taken out"
		if r.evacuated {
			p.replace(m)
		}
	}
}

// back reports whether a drain had no other reason than a place that was
// taken out.
func (r *replica) back() bool { return r.evacuated }

// baseStays reports whether the base of an adapter has not begun to leave.
func (p *Planner) baseStays(r *replica) bool {
	if r.row.Base == "" {
		return true
	}
	return !slices.ContainsFunc(r.up.replicas, func(b *replica) bool {
		return b.row.Model == r.row.Base && b.state > ready
	})
}

// scale follows the load of a model with several replicas allowed. Load is
// what instances report, or what the upstreams report with a lag if that is more.
func (p *Planner) scale(m *model) {
	if m.cfg.MaxReplicas <= 1 && len(m.replicas) == 1 {
		m.target = 1
		return
	}
	var serving []*replica
	capacity, busy := 0, 0.0
	for _, r := range m.replicas {
		if r.state == ready && r.up.reachable() && r.up.usable() {
			serving = append(serving, r)
			capacity += r.up.cfg.Concurrency
			busy += r.up.utilization
		}
	}
	n := len(serving)
	if n == 0 {
		m.target = 1
		return
	}
	if n > max(m.cfg.MaxReplicas, 1) {
		p.shrink(m, serving, "more than max_replicas")
		return
	}
	load := float64(m.waiting+m.running) / float64(max(capacity, 1))
	if m.waiting+m.running > 0 {
		load = max(load, busy/float64(n))
	}
	track(&m.busySince, load > utilizationBusy, p.now)
	track(&m.calmSince, load < utilizationQuiet*float64(n-1)/float64(n), p.now)
	switch {
	case n < m.cfg.MaxReplicas && held(m.busySince, p.now, p.cfg.ScaleUpAfter):
		if m.target <= n {
			m.target = n + 1
			m.interest = later(m.interest, p.now.Add(p.cfg.ScaleUpAfter))
			p.addDemanded(m)
		}
	case n > 1 && held(m.calmSince, p.now, p.cfg.ScaleDownAfter):
		m.calmSince = p.now
		p.shrink(m, serving, "low load")
	case m.busySince.IsZero():
		m.target = n
	}
}

// shrink drains the replica with the fewest requests.
func (p *Planner) shrink(m *model, serving []*replica, reason string) {
	least := serving[0]
	for _, r := range serving[1:] {
		if m.runningAt(r.row.Upstream) < m.runningAt(least.row.Upstream) {
			least = r
		}
	}
	m.target = len(serving) - 1
	for _, r := range withAdapters(least) {
		p.drain(r, reason, false)
	}
}

// track keeps the time since which a condition has held.
func track(since *time.Time, holds bool, now time.Time) {
	if !holds {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}

func held(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= limit
}

// unloadIdle applies the unload rule.
func (p *Planner) unloadIdle(m *model) {
	if !p.idle(m) {
		return
	}
	for _, r := range m.replicas {
		if r.state != ready || p.now.Sub(r.confirmed) < p.cfg.EvictIdle || !p.unloadDue(r) {
			continue
		}
		for _, v := range withAdapters(r) {
			p.drain(v, "idle", true)
		}
	}
}

// unloadDue reports whether keeping a replica is expected to cost more than
// loading it again: the accelerator time until the next request against the
// time that a typical burst of requests waits for a load.
func (p *Planner) unloadDue(r *replica) bool {
	m, pl := r.model, r.up.pool
	idle := p.now.Sub(later(m.lastUse, r.confirmed))
	if p.cfg.Unload == UnloadFixed {
		return idle >= p.cfg.IdleTimeout
	}
	if pl.cfg == nil {
		return true
	}
	share := float64(r.row.MemoryMB) / float64(max(r.up.capacity(), 1)) * float64(max(r.up.cfg.Accelerators, 1))
	keep := pl.cfg.IdleCost * share * m.history.residual(idle.Seconds())
	reload := pl.cfg.WaitCost * p.estimate(m, r.up.tiers[m.cfg.Name]).Seconds() * max(m.burst, 1)
	return keep > reload
}
