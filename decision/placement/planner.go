package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// Planner is the state machine of placement. It is not safe for concurrent
// use. Times must not go back.
type Planner struct {
	cfg      Config
	now      time.Time
	actions  []Action
	index    *catalog.Index
	pools    map[string]*pool
	order    []*pool // sorted by name
	reports  map[string]*report
	demanded []*model
	replicas map[string]*replica // by row key
	transit  []*replica          // all that are not simply ready

	token     uint64
	leading   bool
	recovered bool // the rows have been read
	resync    bool // the rows are to be read again
	writes    int  // writes that wait for a result
	electedAt time.Time

	replicaSeq, txnSeq, viewSeq uint64
	attempts                    int
	lastLoad                    time.Time
	virtual                     map[string]float64 // virtual time by workspace
	floor                       float64
	lastTick, lastPublish       time.Time
	lastView                    time.Time // when a view was last worked out
	published                   View
	nextRamp                    time.Time // when an allowance has grown
	dirty                       bool      // the view has changed
	changed                     bool      // the schedule may have changed
	full                        map[*pool]fullness
	previous                    View
}

// New returns a planner that leads nothing and knows no catalogue.
func New(cfg Config) *Planner {
	cfg.applyDefaults()
	return &Planner{cfg: cfg, pools: map[string]*pool{}, reports: map[string]*report{},
		replicas: map[string]*replica{}, virtual: map[string]float64{},
		full: map[*pool]fullness{}}
}

// Handle takes one event and returns the actions that follow from it.
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
		p.elected(e)
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
		p.previousView(e.View)
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

// advance moves everything that time or the last event has made possible.
func (p *Planner) advance() {
	if p.resync && p.writes == 0 {
		p.resync, p.recovered = false, false
		p.reset()
		p.electedAt = p.now
		p.emit(ListRows{})
	}
	if !p.recovered || p.index == nil {
		return
	}
	if p.now.Sub(p.lastTick) >= p.cfg.TickEvery {
		p.lastTick = p.now
		p.changed = true
		p.housekeeping()
	}
	p.stepAll()
	if p.changed {
		p.changed = false
		p.schedule()
	}
	p.publish()
}

// touch marks the view and the schedule as out of date.
func (p *Planner) touch() { p.dirty, p.changed = true, true }

// Due returns when the planner next wants a Tick.
func (p *Planner) Due() time.Time {
	due := p.lastTick.Add(p.cfg.TickEvery)
	earlier := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	if p.dirty {
		earlier(p.lastView.Add(p.cfg.PublishEvery))
	}
	for _, r := range p.transit {
		switch {
		case r.write != nil && !r.write.open:
			earlier(r.write.retryAt)
		case r.state == decided && r.model.base == nil:
			at := r.retryAt
			if r.store {
				at = later(at, p.lastLoad.Add(p.cfg.LoadInterval))
			}
			if at.After(p.now) {
				earlier(at) // otherwise it waits for a load to end
			}
		case r.state == draining:
			earlier(r.drainAt.Add(p.cfg.DrainDelay))
		}
	}
	if !due.After(p.now) {
		// Something else, such as an answer, is waited for.
		due = p.now.Add(p.cfg.PublishEvery)
	}
	return due
}

// Leading reports whether the planner has been elected and has read the rows.
func (p *Planner) Leading() bool { return p.leading && p.recovered }

// Token returns the fencing token of the current term.
func (p *Planner) Token() uint64 { return p.token }

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Planner) elected(e LeaseAcquired) {
	p.reset()
	p.token, p.leading, p.recovered, p.resync = e.Token, true, false, false
	p.electedAt = p.now
	p.emit(ListRows{})
}

// reset forgets all replicas and orders; the rows and the engines know them.
func (p *Planner) reset() {
	p.replicas = map[string]*replica{}
	p.transit = nil
	p.writes = 0
	for _, pl := range p.order {
		for _, m := range pl.list {
			m.replicas, m.expected, m.infeas = nil, time.Time{}, false
		}
		for _, u := range pl.members {
			u.replicas, u.claimed, u.orphans = nil, 0, nil
		}
	}
}

// catalogChanged adopts a catalogue. Upstreams and models that have left it
// stay known as long as replicas of theirs exist.
func (p *Planner) catalogChanged(index *catalog.Index) {
	p.index = index
	p.touch()
	for _, pl := range p.order {
		pl.markGone()
	}
	for i := range index.Catalog.Pools {
		c := &index.Catalog.Pools[i]
		pl := p.pool(c.Name)
		pl.cfg = c
		pl.adopt(p.now)
	}
	for _, pl := range p.order {
		pl.prune()
	}
	p.reapplyReports()
	p.lastTick = time.Time{} // housekeeping now
}

func (p *Planner) pool(name string) *pool {
	if pl := p.pools[name]; pl != nil {
		return pl
	}
	pl := &pool{name: name, models: map[string]*model{}, upstreams: map[string]*upstream{},
		ratio: [tiers]float64{Remote: 1, Disk: 0.4, Memory: 0.1}}
	p.pools[name] = pl
	at, _ := slices.BinarySearchFunc(p.order, name, func(a *pool, b string) int { return cmpString(a.name, b) })
	p.order = slices.Insert(p.order, at, pl)
	return pl
}

func (pl *pool) markGone() {
	for _, m := range pl.list {
		m.gone = true
	}
	for _, u := range pl.members {
		u.gone = true
	}
	pl.cfg = nil
}

func (pl *pool) adopt(now time.Time) {
	for _, c := range pl.cfg.Upstreams {
		if u := pl.upstreams[c.Name]; u != nil && u.cfg.Address != c.Address {
			pl.rename(u)
		}
		u := pl.upstream(c.Name)
		u.cfg, u.gone, u.disabled = c, false, pl.cfg.Disabled(c.DataCentre)
	}
	for _, c := range pl.cfg.Models {
		m := pl.model(c.Name, now)
		m.cfg, m.gone = c, false
	}
	if pl.cfg.Kind == catalog.Service {
		m := pl.model("", now)
		m.gone, m.service = false, true
	}
	pl.link()
}

// link connects adapters with their bases.
func (pl *pool) link() {
	for _, m := range pl.list {
		m.adapters, m.base = nil, nil
	}
	for _, m := range pl.list {
		if base := pl.models[m.cfg.Base]; m.cfg.Base != "" && base != nil {
			m.base = base
			base.adapters = append(base.adapters, m)
		}
	}
}

// prune drops former models and upstreams without replicas.
func (pl *pool) prune() {
	pl.list = slices.DeleteFunc(pl.list, func(m *model) bool {
		drop := m.gone && len(m.replicas) == 0
		if drop {
			delete(pl.models, m.cfg.Name)
			m.entries, m.waiting, m.running = nil, 0, 0
		}
		return drop
	})
	pl.members = slices.DeleteFunc(pl.members, func(u *upstream) bool {
		drop := u.gone && len(u.replicas) == 0
		if drop {
			delete(pl.upstreams, u.cfg.Name)
		}
		return drop
	})
	for _, m := range pl.list {
		m.held = [tiers]int{}
	}
	for _, u := range pl.members {
		u.countTiers(1)
	}
	pl.link()
}

func (pl *pool) model(name string, now time.Time) *model {
	if m := pl.models[name]; m != nil {
		return m
	}
	m := &model{pool: pl, lastUse: now, target: 1, burst: 1, cfg: catalog.Model{Name: name}}
	m.history.last = now
	pl.models[name] = m
	pl.list = append(pl.list, m)
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

// rename keeps an upstream whose name now stands for another address, until
// its replicas are unloaded.
func (pl *pool) rename(u *upstream) {
	delete(pl.upstreams, u.cfg.Name)
	u.cfg.Name = formerName(u.cfg.Name, u.cfg.Address)
	pl.upstreams[u.cfg.Name] = u
}

func formerName(name, address string) string { return name + "@" + address }

// Target is an engine whose index is to be polled.
type Target struct{ Pool, Upstream, Address string }

// Targets lists the engines to poll, those that have left the catalogue and
// may still hold replicas included.
func (p *Planner) Targets() []Target {
	var list []Target
	for _, pl := range p.order {
		for _, u := range pl.members {
			if !pl.isService() {
				list = append(list, Target{Pool: pl.name, Upstream: u.cfg.Name, Address: u.cfg.Address})
			}
		}
	}
	return list
}

// previousView takes over ramps from the view of an earlier holder.
func (p *Planner) previousView(v View) {
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
