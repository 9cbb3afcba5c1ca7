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

// applyReport enters the demand of a report for the models that are known.
func (p *Planner) applyReport(instance string, rep *report) {
	for i := range rep.demands {
		d := &rep.demands[i]
		m := p.find(d.Pool, d.Model)
		if m == nil || m.gone {
			continue
		}
		item := entry{instance: instance, workspace: d.Workspace, waiting: max(d.Waiting, 0), running: d.Running}
		if item.waiting > 0 {
			item.deadline = rep.at.Add(d.Deadline)
			item.latest = rep.at.Add(max(d.Latest, d.Deadline))
		}
		m.entries = append(m.entries, item)
		if !slices.Contains(rep.models, m) {
			rep.models = append(rep.models, m)
		}
		p.arrivals(m, d.Arrivals)
		d.Arrivals = 0
	}
	for _, m := range rep.models {
		p.refresh(m)
	}
	p.touch()
}

// reapplyReports enters all reports again after a change of the catalogue: an
// instance that had the new catalogue first may have asked for a model that
// was not known here.
func (p *Planner) reapplyReports() {
	for _, instance := range slices.Sorted(maps.Keys(p.reports)) {
		p.dropReport(instance)
		p.applyReport(instance, p.reports[instance])
	}
}

// arrivals records requests for a model and, for an adapter, for its base.
func (p *Planner) arrivals(m *model, count int) {
	if count <= 0 {
		return
	}
	for ; m != nil; m = m.base {
		m.history.arrive(p.now)
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
		m.entries = slices.DeleteFunc(m.entries, func(e entry) bool { return e.instance == instance })
		p.refresh(m)
	}
	rep.models = nil
	p.touch()
}

// expireReports drops the demand of instances that no longer report.
func (p *Planner) expireReports() {
	var old []string
	for instance, rep := range p.reports {
		if p.now.Sub(rep.at) > 3*p.cfg.ReportEvery {
			old = append(old, instance)
		}
	}
	slices.Sort(old)
	for _, instance := range old {
		p.dropReport(instance)
		delete(p.reports, instance)
	}
}

func (p *Planner) find(poolName, modelName string) *model {
	if pl := p.pools[poolName]; pl != nil {
		return pl.models[modelName]
	}
	return nil
}

// refresh recomputes the sums of a model and puts it on the list of demanded models.
func (p *Planner) refresh(m *model) {
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
	m.asked = m.workspace()
	if first := m.earliestFeasible(p.now.Add(p.bestEstimate(m))); m.urgent.IsZero() || first.Before(m.urgent) {
		m.urgent = first
	}
}

// earliestFeasible is the earliest deadline that a load that is complete at a
// time meets, or that time if there is none: those who cannot be served in
// time do not make the load more urgent.
func (m *model) earliestFeasible(complete time.Time) time.Time {
	var first time.Time
	for _, e := range m.entries {
		for _, deadline := range []time.Time{e.deadline, e.latest} {
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
	m.since, m.urgent = p.now, time.Time{}
	p.demanded = append(p.demanded, m)
}

// wanted reports whether a model needs at least one replica now.
func (p *Planner) wanted(m *model) bool {
	if m.gone {
		return false
	}
	if m.waiting > 0 || p.now.Before(m.interest) {
		return true
	}
	for _, a := range m.adapters {
		if !a.gone && (a.waiting > 0 || p.now.Before(a.interest)) {
			return true
		}
	}
	return false
}

// idle reports whether nothing waits for or runs on a model or its adapters.
func (p *Planner) idle(m *model) bool {
	if m.waiting+m.running > 0 || p.now.Before(m.interest) {
		return false
	}
	for _, a := range m.adapters {
		if a.waiting+a.running > 0 || p.now.Before(a.interest) {
			return false
		}
	}
	return true
}

// runningAt counts the requests that instances report at one upstream.
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

// history is the arrival history of one model: the gaps between requests in
// buckets that double in width.
type history struct {
	last   time.Time
	counts [28]float64
	sums   [28]float64 // seconds
	total  float64
}

func (h *history) arrive(now time.Time) {
	gap := now.Sub(h.last).Seconds()
	h.last = now
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
// idle time. One assumed gap of twice the idle time stands for gaps that have
// not been seen yet: with no history the unload rule then waits until the idle
// cost equals the cost of a reload.
func (h *history) residual(idle float64) float64 {
	sum, count := idle, 1.0
	for i, n := range h.counts {
		if n > 0 && h.sums[i]/n > idle {
			sum += h.sums[i] - n*idle
			count += n
		}
	}
	return sum / count
}
