// Package placer runs the placement planner under the lease "placer". Every
// instance runs a Placer; only the one that holds the lease places models.
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

// Engines loads, unloads and lists models at engines; engine.Client implements it.
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
	// LeaseDuration is the duration of the lease. Default 4s.
	LeaseDuration time.Duration
	// PollEvery is the maximum interval between two index reads of an engine. A
	// random jitter of up to a fifth is subtracted. Default 2s.
	PollEvery time.Duration
	// MaxPolls is the maximum number of concurrent index reads. Default 16.
	MaxPolls int
	// Publish receives each view of this placer while it holds the lease. It
	// must not block.
	Publish func(placement.View)
	// Log receives one line for each decision. Default: the package logger of apex/log.
	Log log.Interface
}

// Timeouts and intervals of table and engine calls.
const (
	sendTimeout      = time.Second // an order that is not sent within this time is dropped
	writeTimeout     = 2 * time.Second
	listTimeout      = 5 * time.Second
	listRetryDelay   = 500 * time.Millisecond
	indexTimeout     = 2 * time.Second
	releaseTimeout   = 3 * time.Second
	pollScanInterval = 50 * time.Millisecond
	standbyInterval  = time.Second
)

// Placer runs a planner and executes its actions. Its methods are safe for
// concurrent use.
type Placer struct {
	cfg     Config
	table   ports.Table
	engines Engines
	runner  *lease.Runner
	planner *placement.Planner // used only by the goroutine of Run

	mu      sync.Mutex
	queue   []placement.Event
	wake    chan struct{}
	workers sync.WaitGroup

	// Used only by the goroutine of Run.
	term          uint64 // fencing token of the current term, 0 if the lease is not held
	epoch         int    // incremented by each ListRows action and when the lease is lost
	polls         map[placement.Target]*poll
	pollsInFlight int
	lastPollScan  time.Time
}

// poll is the state of polling one engine.
type poll struct {
	due      time.Time
	inFlight bool
	repeat   bool // read again after the read in flight
}

// rowsRead is the result of a ListRows action with the epoch of the request, so
// that results of an earlier request are ignored.
type rowsRead struct {
	placement.RowsRead
	epoch int
}

// pollDone is the result of an index read.
type pollDone struct {
	placement.Event // IndexRead or UpstreamDown
	target          placement.Target
}

// New returns a Placer. Run must be called to start it.
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

// Report replaces the reported demand of an instance.
func (p *Placer) Report(instance string, demands []placement.Demand) {
	p.post(placement.DemandReported{Instance: instance, Demands: demands})
}

// InstanceGone removes the demand of an instance that has left.
func (p *Placer) InstanceGone(instance string) { p.post(placement.InstanceGone{Instance: instance}) }

// SetCatalog replaces the catalogue.
func (p *Placer) SetCatalog(index *catalog.Index) { p.post(placement.CatalogChanged{Index: index}) }

// RecordView records a view that another placer has published, so that upstreams
// continue their ramp-up if this placer acquires the lease.
func (p *Placer) RecordView(view placement.View) { p.post(placement.PreviousView{View: view}) }

// UpstreamEvent reports that a connection to an upstream broke, if the incarnation
// is empty, or the incarnation in an upstream's answer.
func (p *Placer) UpstreamEvent(pool, upstream, incarnation string) {
	p.post(placement.UpstreamSuspect{Pool: pool, Upstream: upstream, Incarnation: incarnation})
}

// Holding reports whether this placer holds the lease now.
func (p *Placer) Holding() bool { return p.runner.Held() }

// Holder returns the last lease record that was read. Reports are sent to its
// holder.
func (p *Placer) Holder() lease.Record { return p.runner.Record() }

// post queues an event for the goroutine of Run.
func (p *Placer) post(ev placement.Event) {
	p.mu.Lock()
	p.queue = append(p.queue, ev)
	p.mu.Unlock()
	p.signal()
}

// signal wakes the goroutine of Run without blocking.
func (p *Placer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run contends for the lease and places models while it holds it. When ctx ends,
// Run waits for calls in flight and releases the lease.
func (p *Placer) Run(ctx context.Context) {
	var leasing sync.WaitGroup
	leasing.Go(func() { p.runner.Run(ctx) })
	for ctx.Err() == nil {
		p.processEvents(ctx)
		wait := min(time.Until(p.planner.Due()), pollScanInterval)
		if p.term == 0 {
			wait = standbyInterval // lease changes and events wake the loop earlier
		}
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-time.After(wait):
		}
	}
	p.workers.Wait()
	leasing.Wait()
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := p.runner.Release(release); err != nil {
		p.cfg.Log.WithError(err).Warn("placer lease not released")
	}
}

// processEvents handles lease changes and the queued events, advances the planner
// and starts due index reads.
func (p *Placer) processEvents(ctx context.Context) {
	p.handleLeaseChange(ctx)
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
		p.startDuePolls(ctx)
	}
}

// handleLeaseChange notifies the planner if the lease was acquired or lost since
// the last call.
func (p *Placer) handleLeaseChange(ctx context.Context) {
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

// handle passes an event to the planner and executes the resulting actions.
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
			sendBy := time.Now().Add(sendTimeout)
			p.workers.Go(func() { p.sendLoad(ctx, a, sendBy) })
		case placement.SendUnload:
			sendBy := time.Now().Add(sendTimeout)
			p.workers.Go(func() { p.sendUnload(ctx, a, sendBy) })
		case placement.ReadIndex:
			p.pollSoon(ctx, placement.Target(a))
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
	decisionCounter(d.Kind).Inc()
}

// startDuePolls starts the index reads that are due, up to MaxPolls concurrent
// reads, and drops the state of engines that are no longer targets and have no
// read in flight.
func (p *Placer) startDuePolls(ctx context.Context) {
	now := time.Now()
	if now.Sub(p.lastPollScan) < pollScanInterval {
		return
	}
	p.lastPollScan = now
	current := map[placement.Target]*poll{}
	for _, target := range p.planner.Targets() {
		state := p.polls[target]
		if state == nil {
			state = &poll{}
		}
		current[target] = state
		if !state.inFlight && !now.Before(state.due) && p.pollsInFlight < p.cfg.MaxPolls {
			p.startPoll(ctx, target, state)
		}
	}
	for target, state := range p.polls {
		if current[target] == nil && state.inFlight {
			current[target] = state
		}
	}
	p.polls = current
}

// pollSoon starts an index read if none of the engine is in flight and MaxPolls
// permits it. Otherwise it schedules one to start as early as possible.
func (p *Placer) pollSoon(ctx context.Context, target placement.Target) {
	state := p.polls[target]
	if state == nil {
		state = &poll{}
		p.polls[target] = state
	}
	switch {
	case state.inFlight:
		state.repeat = true
	case p.pollsInFlight < p.cfg.MaxPolls:
		p.startPoll(ctx, target, state)
	default:
		state.due = time.Time{}
	}
}

func (p *Placer) startPoll(ctx context.Context, target placement.Target, state *poll) {
	state.inFlight, state.repeat = true, false
	p.pollsInFlight++
	p.workers.Go(func() { p.post(pollDone{Event: p.readIndex(ctx, target), target: target}) })
}

// endPoll schedules the engine's next index read and handles the result.
func (p *Placer) endPoll(ctx context.Context, e pollDone) {
	p.pollsInFlight--
	if state := p.polls[e.target]; state != nil {
		state.inFlight = false
		jitter := time.Duration(rand.Int64N(int64(p.cfg.PollEvery)/5 + 1))
		state.due = time.Now().Add(p.cfg.PollEvery - jitter)
		if state.repeat {
			state.due = time.Time{}
		}
	}
	p.handle(ctx, e.Event)
}
