package placement

import (
	"slices"
	"time"
)

// job is the demand of one workspace for one load.
type job struct {
	m         *model
	workspace string
	first     time.Time // earliest deadline since the demand began: the place in the lane
	latest    time.Time // latest deadline: decides whether the load is still of use
	load      time.Duration
	cached    bool      // the load is expected not to read from the weight store
	start     time.Time // planned start of the load
}

// schedule orders loads for the models that are wanted and have no replica
// that is ready or on its way.
func (p *Planner) schedule() {
	p.dropDemanded()
	clear(p.full)
	var jobs []job
	var adapters []*model
	for _, m := range p.demanded {
		m.expected, m.infeas = time.Time{}, false
		if m.base != nil {
			adapters = append(adapters, m)
			continue
		}
		jobs = p.addJobs(jobs, m)
	}
	for _, m := range adapters {
		// An adapter without a base waits for a load of the base.
		if !m.base.demanded {
			m.base.expected, m.base.infeas = time.Time{}, false
			jobs = p.addJobs(jobs, m.base)
		}
	}
	p.placeModels(jobs)
	p.placeAdapters(adapters)
}

// dropDemanded takes models off the list of demanded models that are no longer wanted.
func (p *Planner) dropDemanded() {
	p.demanded = slices.DeleteFunc(p.demanded, func(m *model) bool {
		if !m.gone && (m.waiting > 0 || p.now.Before(m.interest)) {
			return false
		}
		m.demanded, m.expected, m.infeas = false, time.Time{}, false
		p.touch()
		return true
	})
}

// stuckAfter is how many expected load times a load may take before it is
// not waited for.
const stuckAfter = 4

// supply counts the replicas that serve now and those on their way.
func (p *Planner) supply(m *model) (serving, coming int) {
	for _, r := range m.replicas {
		u := r.up
		if u.gone || u.disabled || u.cfg.Leaving || u.down && p.now.Sub(u.downSince) > p.cfg.DownAfter {
			continue
		}
		if r.state == uncertain && p.now.Sub(r.loadSent) > stuckAfter*max(p.estimate(m, r.tier), minPatience) {
			continue // does not come to an end; another upstream may serve meanwhile
		}
		switch {
		case r.state == ready && u.reachable():
			serving++
		case r.state <= ready:
			coming++
		}
	}
	return serving, coming
}

// missing reports whether a load is to be ordered. A burst makes one load:
// while one is on its way no other is ordered for the same model.
func (p *Planner) missing(m *model) bool {
	serving, coming := p.supply(m)
	return !m.gone && coming == 0 && serving < min(max(m.target, 1), m.cfg.MaxReplicas)
}

func (p *Planner) addJobs(jobs []job, m *model) []job {
	if !p.missing(m) {
		p.expectComing(m)
		return jobs
	}
	load := p.bestEstimate(m)
	cached, begin := p.planCached(m, &load)
	before := len(jobs)
	add := func(of *model, e entry, extra time.Duration) {
		if e.waiting == 0 {
			return
		}
		i := before
		for i < len(jobs) && jobs[i].workspace != e.workspace {
			i++
		}
		if i == len(jobs) {
			jobs = append(jobs, job{m: m, workspace: e.workspace, load: load, cached: cached, start: begin,
				first: of.urgent.Add(-extra)})
		}
		j := &jobs[i]
		j.latest = later(j.latest, e.latest.Add(-extra))
		if first := of.urgent.Add(-extra); first.Before(j.first) {
			j.first = first
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
	if len(jobs) == before {
		// Nothing waits at the moment: a promised or a replacing load, or one
		// that the load of the ready replicas asks for. It belongs to those who
		// asked last, and keeps their place.
		j := job{m: m, workspace: m.asked, load: load, cached: cached, start: begin, first: m.urgent,
			latest: p.now.Add(p.cfg.ReplaceWindow)}
		if j.first.IsZero() {
			j.first = j.latest
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// expectComing sets when a model's first load under way is expected.
func (p *Planner) expectComing(m *model) {
	serving, _ := p.supply(m)
	if serving > 0 {
		return
	}
	for _, r := range m.replicas {
		if r.state <= uncertain && (m.expected.IsZero() || r.expected.Before(m.expected)) {
			m.expected = later(r.expected, p.now)
		}
	}
	p.promise(m)
}

// promise finds out whether the earliest deadline can be met, and keeps a
// model wanted until callers that were told to come back had time to do so.
func (p *Planner) promise(m *model) {
	m.infeas = false
	if m.expected.IsZero() {
		return
	}
	for _, e := range m.entries {
		if e.waiting > 0 && e.deadline.Before(m.expected) {
			m.infeas = true
		}
	}
	if m.infeas {
		m.interest = later(m.interest, m.expected.Add(p.cfg.ReportEvery))
	}
}

// placeModels walks the queue: the workspace that has had the least load time
// by weight goes first, within it the model with the earliest deadline. Models
// that none of their waiting requests can wait for come last; their loads
// serve those who come back. A model keeps its place when its most urgent
// requests have been refused: with a place by the remaining deadlines it would
// fall back again and again.
func (p *Planner) placeModels(jobs []job) {
	if len(jobs) == 0 {
		return
	}
	room := p.cfg.MaxLoads
	for _, r := range p.transit {
		if r.store && p.planning(r) {
			room--
		}
	}
	for _, j := range p.queue(jobs) {
		m := j.m
		if m.expected.IsZero() {
			m.expected = j.start.Add(j.load)
		}
		if room <= 0 && !j.cached || !p.missing(m) {
			p.promise(m)
			continue
		}
		start := j.start
		if j.cached {
			start = p.storeFree()
		}
		// A job that was planned as cached takes no turn of the others when it
		// turns out to need the weight store; the next run queues it.
		r, deferred := p.place(m, j.workspace, start, room > 0 && !j.cached)
		if r != nil {
			if r.store {
				room--
				p.charge(j)
			}
			m.expected = time.Time{}
			p.expectComing(m)
			continue
		}
		if deferred {
			p.promise(m)
			continue
		}
		if p.settling() {
			m.expected = time.Time{}
			continue
		}
		m.expected = later(m.expected, p.nextRoom(m).Add(j.load))
		p.promise(m)
	}
}

// queue simulates the load slots and returns the jobs in the order of their
// starts, one per model.
func (p *Planner) queue(jobs []job) []job {
	slots := p.slots()
	next := later(p.now, p.lastLoad.Add(p.cfg.LoadInterval))
	virtual := map[string]float64{}
	lanes := p.lanes(jobs, virtual)
	var late, order []job
	taken := map[*model]bool{}
	start := func() (time.Time, int) {
		first := 0
		for i := range slots {
			if slots[i].Before(slots[first]) {
				first = i
			}
		}
		return later(next, slots[first]), first
	}
	book := func(j job, at time.Time, slot int) {
		taken[j.m] = true
		if j.cached {
			order = append(order, j) // takes no slot and no share of the load time
			return
		}
		j.start = at
		slots[slot] = at.Add(j.load)
		next = at.Add(p.cfg.LoadInterval)
		virtual[j.workspace] += j.load.Seconds() / p.weight(j.workspace)
		order = append(order, j)
	}
	for {
		lane := pickLane(lanes, virtual)
		if lane == nil {
			break
		}
		j := lane.jobs[0]
		lane.jobs = lane.jobs[1:]
		if taken[j.m] {
			continue
		}
		at, slot := start()
		if j.cached {
			at = j.start
		}
		if j.latest.Before(at.Add(j.load)) && p.cfg.Order != OrderFirstCome {
			late = append(late, j)
			continue
		}
		book(j, at, slot)
	}
	for _, j := range late {
		if !taken[j.m] {
			at, slot := start()
			book(j, at, slot)
		}
	}
	return order
}

// slots returns when each load slot of the weight store becomes free.
func (p *Planner) slots() []time.Time {
	slots := make([]time.Time, p.cfg.MaxLoads)
	for i := range slots {
		slots[i] = p.now
	}
	i := 0
	for _, r := range p.transit {
		if r.store && r.state <= uncertain && i < len(slots) {
			slots[i] = later(r.expected, p.now)
			i++
		}
	}
	return slots
}

type lane struct {
	workspace string
	jobs      []job
}

// lanes sorts the jobs of each workspace; with OrderFirstCome there is one lane.
func (p *Planner) lanes(jobs []job, virtual map[string]float64) []*lane {
	var lanes []*lane
	byName := map[string]*lane{}
	for _, j := range jobs {
		name := j.workspace
		if p.cfg.Order == OrderFirstCome {
			name = ""
		}
		l := byName[name]
		if l == nil {
			l = &lane{workspace: name}
			byName[name] = l
			lanes = append(lanes, l)
			virtual[name] = max(p.virtual[name], p.floor)
		}
		l.jobs = append(l.jobs, j)
	}
	slices.SortFunc(lanes, func(a, b *lane) int { return cmpString(a.workspace, b.workspace) })
	for _, l := range lanes {
		slices.SortStableFunc(l.jobs, func(a, b job) int {
			if p.cfg.Order == OrderFirstCome {
				return a.m.since.Compare(b.m.since)
			}
			return a.first.Compare(b.first)
		})
	}
	return lanes
}

func pickLane(lanes []*lane, virtual map[string]float64) *lane {
	var best *lane
	for _, l := range lanes {
		if len(l.jobs) > 0 && (best == nil || virtual[l.workspace] < virtual[best.workspace]) {
			best = l
		}
	}
	return best
}

// charge books a load on the workspace that it was ordered for.
func (p *Planner) charge(j job) {
	begin := max(p.virtual[j.workspace], p.floor)
	p.floor = begin
	p.virtual[j.workspace] = begin + j.load.Seconds()/p.weight(j.workspace)
}

func (p *Planner) weight(workspace string) float64 {
	if w, ok := p.index.Workspaces()[workspace]; ok && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// placeAdapters orders adapters beside their bases, earliest deadline first.
func (p *Planner) placeAdapters(adapters []*model) {
	slices.SortStableFunc(adapters, func(a, b *model) int { return a.earliest().Compare(b.earliest()) })
	room := p.cfg.MaxAdapterLoads
	for _, r := range p.transit {
		if r.row.Base != "" && (r.state <= loading || r.state == uncertain && p.now.Before(r.slotUntil)) {
			room--
		}
	}
	for _, m := range adapters {
		if !p.missing(m) {
			p.expectComing(m)
			continue
		}
		load := p.bestEstimate(m)
		if serving, _ := p.supply(m.base); serving == 0 {
			if !m.base.expected.IsZero() {
				m.expected = m.base.expected.Add(load)
			}
		} else {
			if room > 0 {
				if r, _ := p.place(m, m.workspace(), p.now, true); r != nil {
					room--
					p.expectComing(m)
					continue
				}
			}
			if !p.settling() {
				m.expected = p.nextRoom(m).Add(load)
			}
		}
		p.promise(m)
	}
}

// settling reports whether the first index reads of this term may be under
// way: until then nothing is said about when a model can be placed.
func (p *Planner) settling() bool { return p.now.Sub(p.electedAt) < settleTime }

const settleTime = 2 * time.Second

// earliest is the earliest deadline of the waiting requests.
func (m *model) earliest() time.Time {
	var first time.Time
	for _, e := range m.entries {
		if e.waiting > 0 && (first.IsZero() || e.deadline.Before(first)) {
			first = e.deadline
		}
	}
	return first
}

// workspace is the workspace with the earliest deadline.
func (m *model) workspace() string {
	first := m.earliest()
	for _, e := range m.entries {
		if e.waiting > 0 && e.deadline.Equal(first) {
			return e.workspace
		}
	}
	return ""
}
