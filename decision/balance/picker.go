// Package balance selects the upstream of a request from a pool. It is a state
// machine: callers pass in the time, and nothing blocks or does I/O. A Picker
// is not safe for concurrent use.
package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// Defaults of Config, and fixed limits of the health check.
const (
	DefaultRamp         = 30 * time.Second
	DefaultEjectAfter   = 5
	DefaultEjectBase    = 5 * time.Second
	DefaultEjectMax     = 5 * time.Minute
	DefaultReportMaxAge = 5 * time.Second
	DefaultMaxRefused   = 16
	maxFailuresPerRoute = 3 // of DefaultEjectAfter; see health.failures
	ejectionResetAfter  = 5 * time.Minute
)

// Config holds the settings of a Picker. Zero fields take their defaults.
type Config struct {
	// Self is the ID of this instance.
	Self string
	// Ramp is the time in which the allowance of a newly started upstream grows to its concurrency. Default 30s.
	Ramp time.Duration
	// EjectAfter is the number of consecutive failures after which an upstream is ejected. Default 5.
	EjectAfter int
	// EjectBase is the duration of the first ejection; it doubles with each further one. Default 5s.
	EjectBase time.Duration
	// EjectMax bounds the duration of an ejection. Default 5m.
	EjectMax time.Duration
	// ReportMaxAge is the age above which a load report is ignored. Default 5s.
	ReportMaxAge time.Duration
	// MaxRefused bounds the number of refused alternatives listed in a Decision. Default 16.
	MaxRefused int
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Picker selects upstreams of one pool.
type Picker struct {
	config    Config
	kind      catalog.Kind
	routes    int // number of routes that use the pool
	upstreams []*upstream
	byName    map[string]*upstream
	members   []string
	epoch     uint64 // incremented at each change of members
}

// upstream is this instance's state of one upstream.
type upstream struct {
	catalog.Upstream
	hash     uint64
	disabled bool // its data centre is out of service
	leaving  bool // set by SetLeaving; the embedded Leaving is set in the pool
	inFlight int
	ramp     ramp
	health   health
	report   report
}

// New returns a Picker with an empty pool.
func New(config Config) *Picker {
	setDefault(&config.Ramp, DefaultRamp)
	setDefault(&config.EjectAfter, DefaultEjectAfter)
	setDefault(&config.EjectBase, DefaultEjectBase)
	setDefault(&config.EjectMax, DefaultEjectMax)
	setDefault(&config.ReportMaxAge, DefaultReportMaxAge)
	setDefault(&config.MaxRefused, DefaultMaxRefused)
	return &Picker{config: config, byName: map[string]*upstream{}}
}

// SetPool replaces the pool and the number of routes that use it. The state of
// upstreams whose name and address are unchanged is kept. The ramp of an
// upstream that is new or back in service starts at now, because this instance
// can't tell how long it has been running.
func (p *Picker) SetPool(now time.Time, pool *catalog.Pool, routes int) {
	previous := p.byName
	p.kind, p.routes = pool.Kind, max(routes, 1)
	p.upstreams, p.byName = make([]*upstream, 0, len(pool.Upstreams)), make(map[string]*upstream, len(pool.Upstreams))
	for _, entry := range pool.Upstreams {
		u := previous[entry.Name]
		if u == nil || u.Address != entry.Address {
			u = &upstream{hash: xxhash.Sum64String(entry.Name)}
			u.ramp.start = now
		}
		wasInService := u.inService() || u.Name == ""
		u.Upstream, u.disabled = entry, pool.Disabled(entry.DataCentre)
		if !wasInService && u.inService() {
			u.ramp.start = now
		}
		p.upstreams = append(p.upstreams, u)
		p.byName[entry.Name] = u
	}
	p.limitEjections(now)
}

// SetLeaving records whether an upstream reports that it is leaving. The ramp of
// one that is no longer leaving starts again.
func (p *Picker) SetLeaving(now time.Time, name string, leaving bool) {
	u := p.byName[name]
	if u == nil || u.leaving == leaving {
		return
	}
	if u.leaving = leaving; !leaving {
		u.ramp.start = now
	}
	p.limitEjections(now)
}

// SetMembers replaces the IDs of the instances that share the upstreams.
func (p *Picker) SetMembers(ids []string) {
	p.members = append(p.members[:0:0], ids...)
	p.epoch++
}

func (u *upstream) inService() bool { return !u.disabled && !u.leaving && !u.Leaving }

// Ticket identifies a request in flight at an upstream.
type Ticket struct {
	upstream *upstream
	started  time.Time
	probe    bool
	finished bool
}

// Kind classifies how a request at an upstream ended.
type Kind uint8

// Kinds of results.
const (
	Neutral       Kind = iota // cancelled, or declined by the upstream without an error
	Success                   // complete response
	ConnectFailed             // no connection; no byte of the request was sent
	Broken                    // the connection broke before the end of the response
	TimedOut                  // no complete response before the deadline
	InvalidAnswer             // not a response to this request
	ErrorAnswer               // a response that reports a server error
)

// Result describes how a request at an upstream ended.
type Result struct {
	Kind  Kind
	Route string
	// Incarnation is the incarnation named in the response, empty if it named none.
	Incarnation string
}

// Start counts a request in flight. It must be called after Pick without any
// change of state in between. It returns nil for an upstream that is not in the
// pool.
func (p *Picker) Start(now time.Time, name string) *Ticket {
	u := p.byName[name]
	if u == nil {
		return nil
	}
	u.inFlight++
	t := &Ticket{upstream: u, started: now, probe: u.health.ejected}
	if t.probe {
		u.health.probing = true
	}
	return t
}

// Finish records the end of a request. Further calls for the same ticket have no
// effect.
func (p *Picker) Finish(now time.Time, t *Ticket, r Result) {
	if t == nil || t.finished {
		return
	}
	t.finished = true
	u := t.upstream
	u.inFlight--
	u.observe(now, r.Incarnation, t.started)
	p.updateHealth(now, t, r)
}

// InFlight returns the number of requests that this instance has at an upstream.
func (p *Picker) InFlight(name string) int {
	if u := p.byName[name]; u != nil {
		return u.inFlight
	}
	return 0
}
