package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// Planner is the state machine of placement. It is not safe for concurrent use.
// The times passed to Handle must not decrease.
type Planner struct {
	cfg            Config
	now            time.Time
	actions        []Action
	catalogIndex   *catalog.Index
	pools          map[string]*pool
	sortedPools    []*pool // sorted by name
	reports        map[string]*report
	demandedModels []*model
	replicas       map[string]*replica // by row key
	inTransition   []*replica          // replicas to step: all but ready ones with an up-to-date row

	token         uint64
	leading       bool
	recovered     bool // the rows have been read
	resync        bool // the rows must be read again
	pendingWrites int  // writes without a result yet
	electedAt     time.Time

	replicaSeq, txnSeq, viewSeq uint64
	attempts                    int
	lastLoad                    time.Time
	virtualTime                 map[string]float64 // virtual time of fair queuing, by workspace
	virtualFloor                float64
	lastTick, lastPublish       time.Time
	lastViewBuilt               time.Time // when a view was last built
	publishedView               View
	nextRampStep                time.Time // when a ramp limit grows next
	viewDirty                   bool      // the view may be out of date
	scheduleDirty               bool      // the schedule may be out of date
	noCapacity                  map[*pool]capacityMiss
	previous                    View
}

// New returns a planner that does not hold the lease and has no catalogue.
func New(cfg Config) *Planner {
	cfg.applyDefaults()
	return &Planner{cfg: cfg, pools: map[string]*pool{}, reports: map[string]*report{},
		replicas: map[string]*replica{}, virtualTime: map[string]float64{},
		noCapacity: map[*pool]capacityMiss{}}
}

// Handle processes one event and returns the resulting actions.
func (p *Planner) Handle(now time.Time, ev Event) []Action {
	p.now = now
	p.actions = nil
	p.apply(ev)
	if p.leading {
		p.advance()
	}
	return p.actions
}

func (p *Planner) apply(ev Event) {
	switch e := ev.(type) {
	case LeaseAcquired:
		p.leaseAcquired(e)
	case LeaseLost:
		p.reset()
		p.leading, p.recovered = false, false
	case RowsRead:
		p.rowsRead(e)
	case CatalogChanged:
		p.catalogChanged(e.Index)
	case DemandReported:
		p.demandReported(e)
	case InstanceGone:
		p.dropReport(e.Instance)
		delete(p.reports, e.Instance)
	case PreviousView:
		p.adoptPreviousView(e.View)
	case RowWritten:
		p.rowWritten(e)
	case OrderAnswered:
		p.orderAnswered(e)
	case IndexRead:
		p.indexRead(e)
	case UpstreamDown:
		p.upstreamDown(e)
	case UpstreamSuspect:
		p.upstreamSuspect(e)
	case Tick:
	}
}

// advance performs all steps that have become possible or due, and publishes the
// view.
func (p *Planner) advance() {
	if p.resync && p.pendingWrites == 0 {
		p.resync, p.recovered = false, false
		p.reset()
		p.electedAt = p.now
		p.emit(ListRows{})
	}
	if !p.recovered || p.catalogIndex == nil {
		return
	}
	if p.now.Sub(p.lastTick) >= p.cfg.TickEvery {
		p.lastTick = p.now
		p.scheduleDirty = true
		p.housekeeping()
	}
	p.stepAll()
	if p.scheduleDirty {
		p.scheduleDirty = false
		p.schedule()
	}
	p.publish()
}

// markChanged marks the view and the schedule as out of date.
func (p *Planner) markChanged() { p.viewDirty, p.scheduleDirty = true, true }

// Due returns when the planner next needs a Tick.
func (p *Planner) Due() time.Time {
	due := p.lastTick.Add(p.cfg.TickEvery)
	earlier := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	if p.viewDirty {
		earlier(p.lastViewBuilt.Add(p.cfg.PublishEvery))
	}
	for _, r := range p.inTransition {
		switch {
		case r.write != nil && !r.write.open:
			earlier(r.write.retryAt)
		case r.state == decided && r.model.base == nil:
			at := r.retryAt
			if r.fromStore {
				at = later(at, p.lastLoad.Add(p.cfg.LoadInterval))
			}
			if at.After(p.now) {
				earlier(at) // otherwise the end of another load triggers the next step
			}
		case r.state == draining:
			earlier(r.drainingSince.Add(p.cfg.DrainDelay))
		}
	}
	if !due.After(p.now) {
		// The overdue step waits for an event, such as an answer.
		due = p.now.Add(p.cfg.PublishEvery)
	}
	return due
}

// Leading reports whether the planner has been elected and has read the rows.
func (p *Planner) Leading() bool { return p.leading && p.recovered }

// Token returns the fencing token of the current term.
func (p *Planner) Token() uint64 { return p.token }

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Planner) leaseAcquired(e LeaseAcquired) {
	p.reset()
	p.token, p.leading, p.recovered, p.resync = e.Token, true, false, false
	p.electedAt = p.now
	p.emit(ListRows{})
}

// reset discards all replicas and orders; they are restored from the rows and the
// engines' indexes.
func (p *Planner) reset() {
	p.replicas = map[string]*replica{}
	p.inTransition = nil
	p.pendingWrites = 0
	for _, pl := range p.sortedPools {
		for _, m := range pl.modelList {
			m.replicas, m.expected, m.infeasible = nil, time.Time{}, false
		}
		for _, u := range pl.members {
			u.replicas, u.reservedMemory, u.orphans = nil, 0, nil
		}
	}
}

// catalogChanged applies a new catalogue. Upstreams and models removed from it
// are kept as long as they have replicas.
func (p *Planner) catalogChanged(index *catalog.Index) {
	p.catalogIndex = index
	p.markChanged()
	for _, pl := range p.sortedPools {
		pl.markRemoved()
	}
	for i := range index.Catalog.Pools {
		c := &index.Catalog.Pools[i]
		pl := p.pool(c.Name)
		pl.cfg = c
		pl.applyCatalog(p.now)
	}
	for _, pl := range p.sortedPools {
		pl.prune()
	}
	p.reapplyReports()
	p.lastTick = time.Time{} // run housekeeping immediately
}

func (p *Planner) pool(name string) *pool {
	if pl := p.pools[name]; pl != nil {
		return pl
	}
	pl := &pool{name: name, models: map[string]*model{}, upstreams: map[string]*upstream{},
		tierRatio: [numTiers]float64{Remote: 1, Disk: 0.4, Memory: 0.1}}
	p.pools[name] = pl
	at, _ := slices.BinarySearchFunc(p.sortedPools, name, func(a *pool, b string) int { return cmpString(a.name, b) })
	p.sortedPools = slices.Insert(p.sortedPools, at, pl)
	return pl
}

func (pl *pool) markRemoved() {
	for _, m := range pl.modelList {
		m.removed = true
	}
	for _, u := range pl.members {
		u.removed = true
	}
	pl.cfg = nil
}

func (pl *pool) applyCatalog(now time.Time) {
	for _, c := range pl.cfg.Upstreams {
		if u := pl.upstreams[c.Name]; u != nil && u.cfg.Address != c.Address {
			pl.rename(u)
		}
		u := pl.upstream(c.Name)
		u.cfg, u.removed, u.disabled = c, false, pl.cfg.Disabled(c.DataCentre)
	}
	for _, c := range pl.cfg.Models {
		m := pl.model(c.Name, now)
		m.cfg, m.removed = c, false
	}
	if pl.cfg.Kind == catalog.Service {
		m := pl.model("", now)
		m.removed, m.service = false, true
	}
	pl.linkAdapters()
}

// linkAdapters sets the references between adapters and their bases.
func (pl *pool) linkAdapters() {
	for _, m := range pl.modelList {
		m.adapters, m.base = nil, nil
	}
	for _, m := range pl.modelList {
		if base := pl.models[m.cfg.Base]; m.cfg.Base != "" && base != nil {
			m.base = base
			base.adapters = append(base.adapters, m)
		}
	}
}

// prune deletes models and upstreams that are no longer in the catalogue and have
// no replicas.
func (pl *pool) prune() {
	pl.modelList = slices.DeleteFunc(pl.modelList, func(m *model) bool {
		drop := m.removed && len(m.replicas) == 0
		if drop {
			delete(pl.models, m.cfg.Name)
			m.entries, m.waiting, m.running = nil, 0, 0
		}
		return drop
	})
	pl.members = slices.DeleteFunc(pl.members, func(u *upstream) bool {
		drop := u.removed && len(u.replicas) == 0
		if drop {
			delete(pl.upstreams, u.cfg.Name)
		}
		return drop
	})
	for _, m := range pl.modelList {
		m.tierCounts = [numTiers]int{}
	}
	for _, u := range pl.members {
		u.countTiers(1)
	}
	pl.linkAdapters()
}

func (pl *pool) model(name string, now time.Time) *model {
	if m := pl.models[name]; m != nil {
		return m
	}
	m := &model{pool: pl, lastUse: now, targetReplicas: 1, avgColdWaiters: 1, cfg: catalog.Model{Name: name}}
	m.history.lastArrival = now
	pl.models[name] = m
	pl.modelList = append(pl.modelList, m)
	return m
}

func (pl *pool) upstream(name string) *upstream {
	if u := pl.upstreams[name]; u != nil {
		return u
	}
	u := &upstream{pool: pl, cfg: catalog.Upstream{Name: name}}
	pl.upstreams[name] = u
	pl.members = append(pl.members, u)
	return u
}

// rename keeps an upstream under its former name and address when the catalogue
// gives its name to another address, until its replicas are unloaded.
func (pl *pool) rename(u *upstream) {
	delete(pl.upstreams, u.cfg.Name)
	u.cfg.Name = formerName(u.cfg.Name, u.cfg.Address)
	pl.upstreams[u.cfg.Name] = u
}

func formerName(name, address string) string { return name + "@" + address }

// Target is an engine whose index must be polled.
type Target struct{ Pool, Upstream, Address string }

// Targets lists the engines to poll, including engines that are no longer in the
// catalogue and may still hold replicas.
func (p *Planner) Targets() []Target {
	var list []Target
	for _, pl := range p.sortedPools {
		for _, u := range pl.members {
			if !pl.isService() {
				list = append(list, Target{Pool: pl.name, Upstream: u.cfg.Name, Address: u.cfg.Address})
			}
		}
	}
	return list
}

// adoptPreviousView continues the ramp-ups in a view of a previous leaseholder.
func (p *Planner) adoptPreviousView(v View) {
	if !v.Newer(p.previous) || v.Token == p.token {
		return
	}
	p.previous = v
	if p.leading {
		return
	}
	for _, uv := range v.Upstreams {
		u := p.pool(uv.Pool).upstreams[uv.Upstream]
		if u == nil || p.pools[uv.Pool].cfg == nil {
			continue
		}
		u.incarnation = uv.Incarnation
		u.rampStart = p.now.Add(uv.RampLeft - rampTime)
	}
}

func (p *Planner) newID() string {
	p.replicaSeq++
	return fmt.Sprintf("%d-%d", p.token, p.replicaSeq)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
