// Package placer runs the placement planner under the lease "placer". Every
// instance runs a Placer; the one that holds the lease decides.
package placer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/lease"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/engine"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// LeaseName is the name of the placer's lease.
const LeaseName = "placer"

// Engines drives model engines; engine.Client implements it.
type Engines interface {
	Load(ctx context.Context, address string, order engine.LoadOrder) engine.Result
	Unload(ctx context.Context, address string, order engine.UnloadOrder) engine.Result
	Index(ctx context.Context, address string) ([]engine.Entry, engine.Answer, error)
}

// Config holds the settings of a Placer.
type Config struct {
	// Instance, Incarnation and Address identify this instance.
	Instance, Incarnation, Address string
	// Planner holds the policy settings.
	Planner placement.Config
	// LeaseDuration is how long the lease lasts. Default 4s.
	LeaseDuration time.Duration
	// PollEvery is the time between two index reads of an engine, varied by a
	// fifth. Default 2s.
	PollEvery time.Duration
	// MaxPolls bounds the index reads under way. Default 16.
	MaxPolls int
	// Publish receives each view of this placer while it holds the lease. It
	// must not block.
	Publish func(placement.View)
	// Log receives one line for each decision. Default: the package logger of apex/log.
	Log log.Interface
}

// Bounds of the plumbing.
const (
	sendWithin   = time.Second // an order that could not be sent by then is not sent
	writeTimeout = 2 * time.Second
	listTimeout  = 5 * time.Second
	listPause    = 500 * time.Millisecond
	indexTimeout = 2 * time.Second
	releaseLimit = 3 * time.Second
	pollCheck    = 50 * time.Millisecond
	standbyCheck = time.Second
)

// Placer runs a planner. Its methods may be called from several goroutines.
type Placer struct {
	cfg     Config
	table   ports.Table
	engines Engines
	runner  *lease.Runner
	planner *placement.Planner // only used by the loop

	mu      sync.Mutex
	queue   []placement.Event
	wake    chan struct{}
	workers sync.WaitGroup

	// Only used by the loop.
	term     uint64 // fencing token that the planner works under, 0 if none
	epoch    int    // of the last ListRows
	polls    map[placement.Target]*poll
	polling  int
	lastScan time.Time
}

// poll is the state of polling one engine.
type poll struct {
	due   time.Time
	open  bool
	again bool // read once more after the open read
}

// rowsRead carries the epoch of the request along with the rows.
type rowsRead struct {
	placement.RowsRead
	epoch int
}

// pollDone ends an index read.
type pollDone struct {
	placement.Event // IndexRead or UpstreamDown
	target          placement.Target
}

// New returns a Placer that runs nothing yet.
func New(table ports.Table, engines Engines, cfg Config) *Placer {
	if cfg.PollEvery == 0 {
		cfg.PollEvery = 2 * time.Second
	}
	if cfg.MaxPolls == 0 {
		cfg.MaxPolls = 16
	}
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	p := &Placer{cfg: cfg, table: table, engines: engines, planner: placement.New(cfg.Planner),
		wake: make(chan struct{}, 1), polls: map[placement.Target]*poll{}}
	p.runner = lease.NewRunner(table, lease.Config{Name: LeaseName, Holder: cfg.Instance,
		Incarnation: cfg.Incarnation, Address: cfg.Address, Duration: cfg.LeaseDuration}, p.signal)
	return p
}

// Report replaces the demand that an instance has.
func (p *Placer) Report(instance string, demands []placement.Demand) {
	p.post(placement.DemandReported{Instance: instance, Demands: demands})
}

// InstanceGone drops the demand of an instance.
func (p *Placer) InstanceGone(instance string) { p.post(placement.InstanceGone{Instance: instance}) }

// SetCatalog adopts a catalogue.
func (p *Placer) SetCatalog(index *catalog.Index) { p.post(placement.CatalogChanged{Index: index}) }

// Observe takes a view that another placer has published, so that ramps
// continue if this placer takes over.
func (p *Placer) Observe(view placement.View) { p.post(placement.PreviousView{View: view}) }

// UpstreamEvent tells that a connection to an upstream broke (empty
// incarnation), or which incarnation an answer showed.
func (p *Placer) UpstreamEvent(pool, upstream, incarnation string) {
	p.post(placement.UpstreamSuspect{Pool: pool, Upstream: upstream, Incarnation: incarnation})
}

// Holding reports whether this placer holds the lease now.
func (p *Placer) Holding() bool { return p.runner.Held() }

// Holder returns the lease record as last read: where reports are to be sent.
func (p *Placer) Holder() lease.Record { return p.runner.Record() }

func (p *Placer) post(ev placement.Event) {
	p.mu.Lock()
	p.queue = append(p.queue, ev)
	p.mu.Unlock()
	p.signal()
}

func (p *Placer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run contends for the lease and places models until ctx ends, then gives the
// lease up.
func (p *Placer) Run(ctx context.Context) {
	var leasing sync.WaitGroup
	leasing.Go(func() { p.runner.Run(ctx) })
	for ctx.Err() == nil {
		p.turn(ctx)
		wait := min(time.Until(p.planner.Due()), pollCheck)
		if p.term == 0 {
			wait = standbyCheck // the lease and events wake the loop
		}
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-time.After(wait):
		}
	}
	p.workers.Wait()
	leasing.Wait()
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
	defer cancel()
	if err := p.runner.Release(release); err != nil {
		p.cfg.Log.WithError(err).Warn("placer lease not released")
	}
}

// turn handles what has happened since the last turn.
func (p *Placer) turn(ctx context.Context) {
	p.followLease(ctx)
	p.mu.Lock()
	queue := p.queue
	p.queue = nil
	p.mu.Unlock()
	for _, ev := range queue {
		switch e := ev.(type) {
		case rowsRead:
			if e.epoch == p.epoch {
				p.handle(ctx, e.RowsRead)
			}
		case pollDone:
			p.endPoll(ctx, e)
		default:
			p.handle(ctx, ev)
		}
	}
	p.handle(ctx, placement.Tick{})
	if p.term != 0 {
		p.pollAll(ctx)
	}
}

// followLease tells the planner when a term begins or ends.
func (p *Placer) followLease(ctx context.Context) {
	token := p.runner.Token()
	if token == p.term {
		return
	}
	if p.term != 0 {
		p.cfg.Log.WithField("fencing_token", p.term).Info("placer lease lost")
		p.epoch++
		p.handle(ctx, placement.LeaseLost{})
	}
	p.term = token
	if token != 0 {
		p.cfg.Log.WithField("fencing_token", token).Info("placer lease acquired")
		p.handle(ctx, placement.LeaseAcquired{Token: token})
	}
}

func (p *Placer) handle(ctx context.Context, ev placement.Event) {
	for _, action := range p.planner.Handle(time.Now(), ev) {
		switch a := action.(type) {
		case placement.ListRows:
			p.epoch++
			epoch := p.epoch
			p.workers.Go(func() { p.listRows(ctx, epoch) })
		case placement.WriteRow:
			token := p.term
			p.workers.Go(func() { p.writeRow(ctx, token, a) })
		case placement.SendLoad:
			sendBy := time.Now().Add(sendWithin)
			p.workers.Go(func() { p.sendLoad(ctx, a, sendBy) })
		case placement.SendUnload:
			sendBy := time.Now().Add(sendWithin)
			p.workers.Go(func() { p.sendUnload(ctx, a, sendBy) })
		case placement.ReadIndex:
			p.pollNow(ctx, placement.Target(a))
		case placement.Publish:
			if p.cfg.Publish != nil && p.runner.Held() {
				p.cfg.Publish(a.View)
			}
		case placement.Decision:
			p.logDecision(a)
		}
	}
}

func (p *Placer) logDecision(d placement.Decision) {
	fields := log.Fields{"decision": d.Kind, "pool": d.Pool, "model": d.Model, "upstream": d.Upstream,
		"replica": d.ID, "reason": d.Reason}
	if len(d.Alternatives) > 0 {
		fields["refused"] = d.Alternatives
	}
	p.cfg.Log.WithFields(fields).Info("placement decision")
	decisions(d.Kind).Inc()
}

// pollAll starts the index reads that are due, within the bound.
func (p *Placer) pollAll(ctx context.Context) {
	now := time.Now()
	if now.Sub(p.lastScan) < pollCheck {
		return
	}
	p.lastScan = now
	current := map[placement.Target]*poll{}
	for _, target := range p.planner.Targets() {
		state := p.polls[target]
		if state == nil {
			state = &poll{}
		}
		current[target] = state
		if !state.open && !now.Before(state.due) && p.polling < p.cfg.MaxPolls {
			p.startPoll(ctx, target, state)
		}
	}
	for target, state := range p.polls {
		if current[target] == nil && state.open {
			current[target] = state
		}
	}
	p.polls = current
}

// pollNow reads an index soon: at once if none is open, else after the open one.
func (p *Placer) pollNow(ctx context.Context, target placement.Target) {
	state := p.polls[target]
	if state == nil {
		state = &poll{}
		p.polls[target] = state
	}
	switch {
	case state.open:
		state.again = true
	case p.polling < p.cfg.MaxPolls:
		p.startPoll(ctx, target, state)
	default:
		state.due = time.Time{}
	}
}

func (p *Placer) startPoll(ctx context.Context, target placement.Target, state *poll) {
	state.open, state.again = true, false
	p.polling++
	p.workers.Go(func() { p.post(pollDone{Event: p.readIndex(ctx, target), target: target}) })
}

func (p *Placer) endPoll(ctx context.Context, e pollDone) {
	p.polling--
	if state := p.polls[e.target]; state != nil {
		state.open = false
		jitter := time.Duration(rand.Int64N(int64(p.cfg.PollEvery)/5 + 1))
		state.due = time.Now().Add(p.cfg.PollEvery - jitter)
		if state.again {
			state.due = time.Time{}
		}
	}
	p.handle(ctx, e.Event)
}
