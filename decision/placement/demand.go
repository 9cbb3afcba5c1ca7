package placement

import (
	"maps"
	"slices"
	"time"
)

// demandReported replaces the demand of one instance.
func (p *Planner) demandReported(e DemandReported) {
	p.dropReport(e.Instance)
	rep := &report{at: p.now, demands: slices.Clone(e.Demands)}
	p.reports[e.Instance] = rep
	p.applyReport(e.Instance, rep)
}

// applyReport adds the demand of a report to the models that the catalogue lists.
func (p *Planner) applyReport(instance string, rep *report) {
	for i := range rep.demands {
		d := &rep.demands[i]
		m := p.findModel(d.Pool, d.Model)
		if m == nil || m.removed {
			continue
		}
		item := instanceDemand{instance: instance, workspace: d.Workspace, waiting: max(d.Waiting, 0), running: d.Running}
		if item.waiting > 0 {
			item.deadline = rep.at.Add(d.Deadline)
			item.latestDeadline = rep.at.Add(max(d.Latest, d.Deadline))
		}
		m.entries = append(m.entries, item)
		if !slices.Contains(rep.models, m) {
			rep.models = append(rep.models, m)
		}
		p.recordArrivals(m, d.Arrivals)
		d.Arrivals = 0
	}
	for _, m := range rep.models {
		p.updateTotals(m)
	}
	p.markChanged()
}

// reapplyReports applies all reports again after a catalogue change: an instance
// that received the new catalogue earlier may have reported demand for a model
// that this planner did not know yet.
func (p *Planner) reapplyReports() {
	for _, instance := range slices.Sorted(maps.Keys(p.reports)) {
		p.dropReport(instance)
		p.applyReport(instance, p.reports[instance])
	}
}

// recordArrivals records requests for a model and, for an adapter, for its base.
func (p *Planner) recordArrivals(m *model, count int) {
	if count <= 0 {
		return
	}
	for ; m != nil; m = m.base {
		m.history.recordArrival(p.now)
		m.lastUse = p.now
	}
}

// dropReport removes the demand of one instance.
func (p *Planner) dropReport(instance string) {
	rep := p.reports[instance]
	if rep == nil {
		return
	}
	for _, m := range rep.models {
		m.entries = slices.DeleteFunc(m.entries, func(e instanceDemand) bool { return e.instance == instance })
		p.updateTotals(m)
	}
	rep.models = nil
	p.markChanged()
}

// expireReports drops the demand of instances that no longer report.
func (p *Planner) expireReports() {
	var expired []string
	for instance, rep := range p.reports {
		if p.now.Sub(rep.at) > 3*p.cfg.ReportEvery {
			expired = append(expired, instance)
		}
	}
	slices.Sort(expired)
	for _, instance := range expired {
		p.dropReport(instance)
		delete(p.reports, instance)
	}
}

func (p *Planner) findModel(poolName, modelName string) *model {
	if pl := p.pools[poolName]; pl != nil {
		return pl.models[modelName]
	}
	return nil
}

// updateTotals recomputes the totals of a model and adds it to the demanded models
// if requests wait for it.
func (p *Planner) updateTotals(m *model) {
	m.waiting, m.running = 0, 0
	for _, e := range m.entries {
		m.waiting += e.waiting
		for _, use := range e.running {
			m.running += use.Count
		}
	}
	if m.waiting+m.running > 0 {
		for b := m; b != nil; b = b.base {
			b.lastUse = p.now
		}
	}
	if m.waiting == 0 {
		return
	}
	p.addDemanded(m)
	m.lastWorkspace = m.urgentWorkspace()
	if deadline := m.earliestFeasibleDeadline(p.now.Add(p.bestEstimate(m))); m.urgentDeadline.IsZero() || deadline.Before(m.urgentDeadline) {
		m.urgentDeadline = deadline
	}
}

// earliestFeasibleDeadline returns the earliest deadline that a load complete at
// the given time meets, or that time if there is none: requests that cannot be
// served in time do not raise the priority of the load.
func (m *model) earliestFeasibleDeadline(complete time.Time) time.Time {
	var first time.Time
	for _, e := range m.entries {
		for _, deadline := range []time.Time{e.deadline, e.latestDeadline} {
			if e.waiting > 0 && !deadline.Before(complete) && (first.IsZero() || deadline.Before(first)) {
				first = deadline
			}
		}
	}
	if first.IsZero() {
		return complete
	}
	return first
}

func (p *Planner) addDemanded(m *model) {
	if m.demanded || m.service {
		return
	}
	m.demanded = true
	m.demandedSince, m.urgentDeadline = p.now, time.Time{}
	p.demandedModels = append(p.demandedModels, m)
}

// wanted reports whether a model needs at least one replica now.
func (p *Planner) wanted(m *model) bool {
	if m.removed {
		return false
	}
	if m.waiting > 0 || p.now.Before(m.wantedUntil) {
		return true
	}
	for _, a := range m.adapters {
		if !a.removed && (a.waiting > 0 || p.now.Before(a.wantedUntil)) {
			return true
		}
	}
	return false
}

// idle reports whether a model and its adapters have no waiting or running
// requests and wantedUntil has passed for all of them.
func (p *Planner) idle(m *model) bool {
	if m.waiting+m.running > 0 || p.now.Before(m.wantedUntil) {
		return false
	}
	for _, a := range m.adapters {
		if a.waiting+a.running > 0 || p.now.Before(a.wantedUntil) {
			return false
		}
	}
	return true
}

// runningAt counts the model's requests in flight that instances report for one
// upstream.
func (m *model) runningAt(upstream string) int {
	sum := 0
	for _, e := range m.entries {
		for _, use := range e.running {
			if use.Upstream == upstream {
				sum += use.Count
			}
		}
	}
	return sum
}

// arrivalHistory is a histogram of the gaps between requests for one model, with
// buckets that double in width.
type arrivalHistory struct {
	lastArrival time.Time
	counts      [28]float64
	sums        [28]float64 // seconds
	total       float64
}

func (h *arrivalHistory) recordArrival(now time.Time) {
	gap := now.Sub(h.lastArrival).Seconds()
	h.lastArrival = now
	if gap <= 0 {
		return
	}
	bucket := 0
	for edge := 0.25; gap > edge && bucket < len(h.counts)-1; edge *= 2 {
		bucket++
	}
	h.counts[bucket]++
	h.sums[bucket] += gap
	if h.total++; h.total > historyLimit {
		for i := range h.counts {
			h.counts[i] /= 2
			h.sums[i] /= 2
		}
		h.total /= 2
	}
}

// residual is the expected time in seconds until the next request after an
// idle time. One assumed gap of twice the idle time represents gaps that have
// not been observed yet: with no history the unload rule then waits until the
// idle cost equals the cost of a reload.
func (h *arrivalHistory) residual(idle float64) float64 {
	sum, count := idle, 1.0
	for i, n := range h.counts {
		if n > 0 && h.sums[i]/n > idle {
			sum += h.sums[i] - n*idle
			count += n
		}
	}
	return sum / count
}
