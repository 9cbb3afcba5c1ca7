package placement

import (
	"slices"
	"time"
)

// job is the demand of one workspace for the load of one model.
type job struct {
	m              *model
	workspace      string
	deadline       time.Time // earliest deadline since the demand began; orders the workspace's queue
	latestDeadline time.Time // latest deadline; a load that completes later serves no waiting request
	load           time.Duration
	cached         bool      // the load is not expected to read from the weight store
	start          time.Time // planned start of the load
}

// schedule plans loads for the models with demand that have fewer replicas than
// needed and no pending load.
func (p *Planner) schedule() {
	p.dropDemanded()
	clear(p.noCapacity)
	var jobs []job
	var adapters []*model
	for _, m := range p.demandedModels {
		m.expected, m.infeasible = time.Time{}, false
		if m.base != nil {
			adapters = append(adapters, m)
			continue
		}
		jobs = p.addJobs(jobs, m)
	}
	for _, m := range adapters {
		// An adapter whose base is not loaded waits for a load of the base.
		if !m.base.demanded {
			m.base.expected, m.base.infeasible = time.Time{}, false
			jobs = p.addJobs(jobs, m.base)
		}
	}
	p.placeModels(jobs)
	p.placeAdapters(adapters)
}

// dropDemanded removes models without demand from the list of demanded models.
func (p *Planner) dropDemanded() {
	p.demandedModels = slices.DeleteFunc(p.demandedModels, func(m *model) bool {
		if !m.removed && (m.waiting > 0 || p.now.Before(m.wantedUntil)) {
			return false
		}
		m.demanded, m.expected, m.infeasible = false, time.Time{}, false
		p.markChanged()
		return true
	})
}

// stuckLoadFactor is how many times its expected time a load may take before it
// no longer counts as pending.
const stuckLoadFactor = 4

// supply counts the replicas that serve requests now and those that are expected to.
func (p *Planner) supply(m *model) (serving, pending int) {
	for _, r := range m.replicas {
		u := r.upstream
		if u.removed || u.disabled || u.cfg.Leaving || u.down && p.now.Sub(u.downSince) > p.cfg.DownAfter {
			continue
		}
		if r.state == uncertain && p.now.Sub(r.loadSentAt) > stuckLoadFactor*max(p.estimate(m, r.tier), minLoadTimeout) {
			continue // stuck; allow a load on another upstream
		}
		switch {
		case r.state == ready && u.reachable():
			serving++
		case r.state <= ready:
			pending++
		}
	}
	return serving, pending
}

// needsLoad reports whether a load must be planned. A burst causes one load: while
// one is pending, no other is planned for the same model.
func (p *Planner) needsLoad(m *model) bool {
	serving, pending := p.supply(m)
	return !m.removed && pending == 0 && serving < min(max(m.targetReplicas, 1), m.cfg.MaxReplicas)
}

func (p *Planner) addJobs(jobs []job, m *model) []job {
	if !p.needsLoad(m) {
		p.updateExpected(m)
		return jobs
	}
	load := p.bestEstimate(m)
	cached, start := p.planCached(m, &load)
	existing := len(jobs)
	add := func(demanded *model, e instanceDemand, extra time.Duration) {
		if e.waiting == 0 {
			return
		}
		i := existing
		for i < len(jobs) && jobs[i].workspace != e.workspace {
			i++
		}
		if i == len(jobs) {
			jobs = append(jobs, job{m: m, workspace: e.workspace, load: load, cached: cached, start: start,
				deadline: demanded.urgentDeadline.Add(-extra)})
		}
		j := &jobs[i]
		j.latestDeadline = later(j.latestDeadline, e.latestDeadline.Add(-extra))
		if deadline := demanded.urgentDeadline.Add(-extra); deadline.Before(j.deadline) {
			j.deadline = deadline
		}
	}
	for _, e := range m.entries {
		add(m, e, 0)
	}
	for _, a := range m.adapters {
		extra := p.bestEstimate(a)
		for _, e := range a.entries {
			add(a, e, extra)
		}
	}
	if len(jobs) == existing {
		// No request waits: the load is for announced retries, for a lost replica
		// or for scaling up. It is charged to the workspace that last had waiting
		// requests and keeps their position in the queue.
		j := job{m: m, workspace: m.lastWorkspace, load: load, cached: cached, start: start, deadline: m.urgentDeadline,
			latestDeadline: p.now.Add(p.cfg.ReplaceWindow)}
		if j.deadline.IsZero() {
			j.deadline = j.latestDeadline
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// updateExpected sets when the first pending load of a model is expected to be
// complete.
func (p *Planner) updateExpected(m *model) {
	serving, _ := p.supply(m)
	if serving > 0 {
		return
	}
	for _, r := range m.replicas {
		if r.state <= uncertain && (m.expected.IsZero() || r.expected.Before(m.expected)) {
			m.expected = later(r.expected, p.now)
		}
	}
	p.updateFeasibility(m)
}

// updateFeasibility records whether the load completes before all reported
// deadlines. If not, the model stays wanted until callers that received a retry
// time have had time to retry.
func (p *Planner) updateFeasibility(m *model) {
	m.infeasible = false
	if m.expected.IsZero() {
		return
	}
	for _, e := range m.entries {
		if e.waiting > 0 && e.deadline.Before(m.expected) {
			m.infeasible = true
		}
	}
	if m.infeasible {
		m.wantedUntil = later(m.wantedUntil, m.expected.Add(p.cfg.ReportEvery))
	}
}

// placeModels places the jobs in queue order: first the workspace with the least
// load time by weight, within it the model with the earliest deadline. Models
// whose loads complete after all deadlines of their waiting requests come last;
// these loads serve retries. A model keeps its position after its most urgent
// requests have been refused: ordered by the remaining deadlines, it would be
// moved back repeatedly.
func (p *Planner) placeModels(jobs []job) {
	if len(jobs) == 0 {
		return
	}
	freeSlots := p.cfg.MaxLoads
	for _, r := range p.inTransition {
		if r.fromStore && p.loadPending(r) {
			freeSlots--
		}
	}
	for _, j := range p.orderJobs(jobs) {
		m := j.m
		if m.expected.IsZero() {
			m.expected = j.start.Add(j.load)
		}
		if freeSlots <= 0 && !j.cached || !p.needsLoad(m) {
			p.updateFeasibility(m)
			continue
		}
		start := j.start
		if j.cached {
			start = p.storeAvailableAt()
		}
		// A job that was queued as cached and needs the weight store after all
		// does not take a slot ahead of the other jobs; the next run queues it.
		r, deferred := p.place(m, j.workspace, start, freeSlots > 0 && !j.cached)
		if r != nil {
			if r.fromStore {
				freeSlots--
				p.charge(j)
			}
			m.expected = time.Time{}
			p.updateExpected(m)
			continue
		}
		if deferred {
			p.updateFeasibility(m)
			continue
		}
		if p.settling() {
			m.expected = time.Time{}
			continue
		}
		m.expected = later(m.expected, p.nextCapacity(m).Add(j.load))
		p.updateFeasibility(m)
	}
}

// orderJobs simulates the load slots and returns the jobs in the order in which
// they start, one per model.
func (p *Planner) orderJobs(jobs []job) []job {
	slots := p.storeSlots()
	next := later(p.now, p.lastLoad.Add(p.cfg.LoadInterval))
	virtual := map[string]float64{}
	queues := p.workspaceQueues(jobs, virtual)
	var late, order []job
	ordered := map[*model]bool{}
	start := func() (time.Time, int) {
		first := 0
		for i := range slots {
			if slots[i].Before(slots[first]) {
				first = i
			}
		}
		return later(next, slots[first]), first
	}
	reserve := func(j job, at time.Time, slot int) {
		ordered[j.m] = true
		if j.cached {
			order = append(order, j) // uses no slot and is not charged
			return
		}
		j.start = at
		slots[slot] = at.Add(j.load)
		next = at.Add(p.cfg.LoadInterval)
		virtual[j.workspace] += j.load.Seconds() / p.weight(j.workspace)
		order = append(order, j)
	}
	for {
		queue := pickQueue(queues, virtual)
		if queue == nil {
			break
		}
		j := queue.jobs[0]
		queue.jobs = queue.jobs[1:]
		if ordered[j.m] {
			continue
		}
		at, slot := start()
		if j.cached {
			at = j.start
		}
		if j.latestDeadline.Before(at.Add(j.load)) && p.cfg.Order != OrderFirstCome {
			late = append(late, j)
			continue
		}
		reserve(j, at, slot)
	}
	for _, j := range late {
		if !ordered[j.m] {
			at, slot := start()
			reserve(j, at, slot)
		}
	}
	return order
}

// storeSlots returns when each load slot of the weight store becomes free.
func (p *Planner) storeSlots() []time.Time {
	slots := make([]time.Time, p.cfg.MaxLoads)
	for i := range slots {
		slots[i] = p.now
	}
	i := 0
	for _, r := range p.inTransition {
		if r.fromStore && r.state <= uncertain && i < len(slots) {
			slots[i] = later(r.expected, p.now)
			i++
		}
	}
	return slots
}

type workspaceQueue struct {
	workspace string
	jobs      []job
}

// workspaceQueues sorts the jobs into one queue per workspace; with OrderFirstCome
// there is one queue for all.
func (p *Planner) workspaceQueues(jobs []job, virtual map[string]float64) []*workspaceQueue {
	var queues []*workspaceQueue
	byName := map[string]*workspaceQueue{}
	for _, j := range jobs {
		name := j.workspace
		if p.cfg.Order == OrderFirstCome {
			name = ""
		}
		l := byName[name]
		if l == nil {
			l = &workspaceQueue{workspace: name}
			byName[name] = l
			queues = append(queues, l)
			virtual[name] = max(p.virtualTime[name], p.virtualFloor)
		}
		l.jobs = append(l.jobs, j)
	}
	slices.SortFunc(queues, func(a, b *workspaceQueue) int { return cmpString(a.workspace, b.workspace) })
	for _, l := range queues {
		slices.SortStableFunc(l.jobs, func(a, b job) int {
			if p.cfg.Order == OrderFirstCome {
				return a.m.demandedSince.Compare(b.m.demandedSince)
			}
			return a.deadline.Compare(b.deadline)
		})
	}
	return queues
}

func pickQueue(queues []*workspaceQueue, virtual map[string]float64) *workspaceQueue {
	var best *workspaceQueue
	for _, l := range queues {
		if len(l.jobs) > 0 && (best == nil || virtual[l.workspace] < virtual[best.workspace]) {
			best = l
		}
	}
	return best
}

// charge adds a load to the virtual time of the workspace that it is for.
func (p *Planner) charge(j job) {
	begin := max(p.virtualTime[j.workspace], p.virtualFloor)
	p.virtualFloor = begin
	p.virtualTime[j.workspace] = begin + j.load.Seconds()/p.weight(j.workspace)
}

func (p *Planner) weight(workspace string) float64 {
	if w, ok := p.catalogIndex.Workspaces()[workspace]; ok && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// placeAdapters places adapters on the upstreams of their bases, earliest deadline
// first.
func (p *Planner) placeAdapters(adapters []*model) {
	slices.SortStableFunc(adapters, func(a, b *model) int { return a.earliestDeadline().Compare(b.earliestDeadline()) })
	freeSlots := p.cfg.MaxAdapterLoads
	for _, r := range p.inTransition {
		if r.row.Base != "" && (r.state <= loading || r.state == uncertain && p.now.Before(r.slotUntil)) {
			freeSlots--
		}
	}
	for _, m := range adapters {
		if !p.needsLoad(m) {
			p.updateExpected(m)
			continue
		}
		load := p.bestEstimate(m)
		if serving, _ := p.supply(m.base); serving == 0 {
			if !m.base.expected.IsZero() {
				m.expected = m.base.expected.Add(load)
			}
		} else {
			if freeSlots > 0 {
				if r, _ := p.place(m, m.urgentWorkspace(), p.now, true); r != nil {
					freeSlots--
					p.updateExpected(m)
					continue
				}
			}
			if !p.settling() {
				m.expected = p.nextCapacity(m).Add(load)
			}
		}
		p.updateFeasibility(m)
	}
}

// settling reports whether the first index reads of this term may still be in
// flight: until they are complete, no time is estimated for models that cannot be
// placed.
func (p *Planner) settling() bool { return p.now.Sub(p.electedAt) < settleTime }

const settleTime = 2 * time.Second

// earliestDeadline is the earliest deadline of the waiting requests.
func (m *model) earliestDeadline() time.Time {
	var first time.Time
	for _, e := range m.entries {
		if e.waiting > 0 && (first.IsZero() || e.deadline.Before(first)) {
			first = e.deadline
		}
	}
	return first
}

// urgentWorkspace is the workspace with the earliest deadline.
func (m *model) urgentWorkspace() string {
	first := m.earliestDeadline()
	for _, e := range m.entries {
		if e.waiting > 0 && e.deadline.Equal(first) {
			return e.workspace
		}
	}
	return ""
}
