// Package quotasync connects a quota ledger with the table that says who holds
// which share slot, with the other instances, and with the requests.
package quotasync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Session says whether this run of the instance may spend.
type Session interface {
	// Valid reports whether the session holds at that time. It is false after a
	// freeze until the session has been checked in the table.
	Valid(now time.Time) bool
	Instance() string
	Incarnation() string
	Address() string
}

// Transport sends a message to another instance and returns its answer. The
// messages are *quota.GrantBatch, answered by *quota.GrantAnswer, and
// *quota.SlotReleased, answered by nil.
type Transport interface {
	Send(ctx context.Context, instance string, message any) (any, error)
}

// Config holds the parts and times of a Sync.
type Config struct {
	Table     ports.Table
	Transport Transport
	Session   Session
	// Reachable reports whether messages reach an instance now. Default: always.
	Reachable func(instance string) bool
	// ListLag is the stated lag of the platform's instance list. Default 10s.
	ListLag time.Duration
	// Wait bounds how long a request waits for grants. Default 250ms.
	Wait time.Duration
	// Refresh is the least time between regular readings of the rows. Default 5s.
	// It grows by 50ms per member, which bounds the reads of all instances together.
	Refresh time.Duration
	// RebalanceAfter is how long the members must be unchanged before a slot is
	// released to the member that ranks first. Default 10s.
	RebalanceAfter time.Duration
	// Log takes the log lines. Default log.Log.
	Log log.Interface
}

// DefaultConfig returns the defaults; Table, Transport and Session are unset.
func DefaultConfig() Config {
	return Config{ListLag: 10 * time.Second, Wait: 250 * time.Millisecond,
		Refresh: 5 * time.Second, RebalanceAfter: 10 * time.Second, Log: log.Log}
}

const (
	tickInterval = 250 * time.Millisecond
	// freezeGap is the gap between ticks that counts as a freeze of the process.
	freezeGap = 3 * time.Second
	// sendTimeout bounds a message; an answer is of use for up to the life of a grant.
	sendTimeout = time.Second
	// maxRowAge is how old the rows may be while the list lacks this instance. It is
	// below the time for which a slot stays empty after it was taken over.
	maxRowAge = 2 * time.Second
)

var (
	admitted = metrics.NewCounter("hibiscusyard_quota_admitted_total")
	refused  = metrics.NewCounter("hibiscusyard_quota_refused_total")
	waited   = metrics.NewCounter("hibiscusyard_quota_waited_total")
	overrun  = metrics.NewCounter("hibiscusyard_quota_overrun_tokens_total")
	sent     = metrics.NewCounter("hibiscusyard_quota_messages_sent_total")
)

// Sync is the quota controller of one instance. Its methods are safe for
// concurrent use.
type Sync struct {
	config Config
	start  time.Time
	kick   chan struct{}
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	sends  sync.WaitGroup

	refreshing sync.Mutex // held during a refresh or the shutdown

	mu           sync.Mutex
	ledger       *quota.Ledger
	waiters      map[*quota.Ticket]chan struct{}
	lastTick     time.Time
	losses       int // times the right to spend was in doubt
	verified     bool
	spending     bool // the ledger is active
	closing      bool // spends nothing more
	closed       bool // sends nothing more
	limits       map[string]quota.Limits
	listed       bool // the platform's list has been read
	members      []Member
	membersSince time.Time
	unlisted     time.Time // since when the list lacks this run; zero while it is listed
	rowsAt       time.Time // when the last successful reading of the rows began
	owners       map[string][quota.Slots]string
	rows         map[slotKey]stored
	unsettled    bool // rows, members or limits have changed since no slot was there to take
	activated    map[slotKey]uint64
	parked       map[slotKey]parkedSlot
	absences     absences
}

// New returns a controller that spends nothing until Refresh or Run has read
// the rows.
func New(config Config) *Sync {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	return &Sync{
		config: config, start: now, kick: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
		ledger:  quota.NewLedger(uint32(xxhash.Sum64String(config.Session.Incarnation()))),
		waiters: map[*quota.Ticket]chan struct{}{}, lastTick: now,
		rows: map[slotKey]stored{}, activated: map[slotKey]uint64{}, parked: map[slotKey]parkedSlot{},
		absences: absences{lag: config.ListLag, since: map[holderKey]time.Time{}, gone: map[holderKey]bool{}},
	}
}

// gate brings the ledger's right to spend up to date and returns its time. A
// freeze or an invalid session stops spending until the rows have been read
// again, because the slots may have passed on.
func (s *Sync) gate(now time.Time) time.Duration {
	valid := s.config.Session.Valid(now)
	if !valid || now.Sub(s.lastTick) > freezeGap {
		s.losses++
		s.verified = false
	}
	if valid && !s.verified {
		s.wake()
	}
	at := now.Sub(s.start)
	s.spending = valid && s.verified && !s.closing && !s.doubtful(now)
	s.ledger.SetActive(s.spending, at)
	return at
}

// doubtful reports whether other instances may be taking the slots over,
// because the list lacks this run, and the rows were not read recently enough
// to notice it.
func (s *Sync) doubtful(now time.Time) bool {
	return !s.unlisted.IsZero() && now.Sub(s.unlisted) > s.config.ListLag/2 && now.Sub(s.rowsAt) > maxRowAge
}

func (s *Sync) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// finish hands decided tickets to their requests and returns what to send.
// The caller holds the lock and passes the result to send after it.
func (s *Sync) finish(at time.Duration, flush bool) []quota.Outgoing {
	for _, t := range s.ledger.Resolved() {
		if done := s.waiters[t]; done != nil {
			close(done)
			delete(s.waiters, t)
		}
	}
	if s.ledger.TakeMoved() {
		s.wake()
	}
	return s.ledger.Messages(at, flush)
}

// Admit charges tokens, an upper bound of the actual use, to the workspace. It
// waits for grants of other instances within the configured time and the
// deadline of ctx, and while no slot can be found, for at most slotWait. Its
// errors are *verdict.Refusal values.
func (s *Sync) Admit(ctx context.Context, workspace string, tokens int64) (*quota.Reservation, error) {
	r, err := s.admitWhereHeld(ctx, workspace, tokens)
	if err != nil {
		refused.Inc()
		return nil, err
	}
	admitted.Inc()
	return r, nil
}

// admitWhereHeld repeats a try while its refusal only shows that no slot was
// found: slots pass on when their holder leaves, and the rows are read again
// up to minRefreshGap later.
func (s *Sync) admitWhereHeld(ctx context.Context, workspace string, tokens int64) (*quota.Reservation, error) {
	waiting, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	for {
		if err := s.awaitSlots(waiting, workspace); err != nil {
			return nil, err
		}
		t, err := s.try(ctx, workspace, tokens)
		if err != nil {
			return nil, err
		}
		if t.State != quota.Refused || !t.Unlocated || ctx.Err() != nil {
			return s.outcome(ctx, t)
		}
		s.wake()
		select {
		case <-waiting.Done():
			return nil, unlocated(workspace)
		case <-time.After(slotPoll):
		}
	}
}

// try submits a request and returns its decided ticket.
func (s *Sync) try(ctx context.Context, workspace string, tokens int64) (*quota.Ticket, error) {
	now := time.Now()
	limit := now.Add(s.config.Wait)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		limit = deadline
	}
	s.mu.Lock()
	at := s.gate(now)
	if !s.spending {
		out := s.finish(at, false)
		s.mu.Unlock()
		s.send(out)
		return nil, verdict.New(verdict.NotReady, "the instance's share of the rate is not confirmed")
	}
	t := s.ledger.Submit(workspace, tokens, at, limit.Sub(s.start))
	var done chan struct{}
	if t.State == quota.Waiting {
		done = make(chan struct{})
		s.waiters[t] = done
	}
	out := s.finish(at, false)
	s.mu.Unlock()
	s.send(out)
	if done != nil {
		waited.Inc()
		s.await(ctx, t, done, time.Until(limit))
	}
	return t, nil
}

// await returns once the ticket is decided.
func (s *Sync) await(ctx context.Context, t *quota.Ticket, done chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	at := s.gate(time.Now())
	s.ledger.Expire(t, at)
	out := s.finish(at, false)
	s.mu.Unlock()
	s.send(out)
}

// outcome turns a decided ticket into the result of Admit.
func (s *Sync) outcome(ctx context.Context, t *quota.Ticket) (*quota.Reservation, error) {
	gone := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case t.State == quota.Admitted && gone:
		s.Settle(t.Reservation, 0)
	case t.State == quota.Admitted:
		return t.Reservation, nil
	}
	switch {
	case gone:
		return nil, verdict.New(verdict.CallerGone, "the caller has gone")
	case t.State == quota.TooLarge:
		return nil, verdict.New(verdict.TooLarge, "%d tokens exceed the burst of workspace %q", t.Tokens, t.Workspace)
	}
	return nil, verdict.New(verdict.RateLimited, "workspace %q has no %d tokens left", t.Workspace, t.Tokens).After(t.RetryAfter)
}

// Settle ends a reservation with the tokens actually used, also when the
// caller hung up. A second call has no effect.
func (s *Sync) Settle(r *quota.Reservation, used int64) {
	if r != nil && used > r.Tokens {
		overrun.Add(int(used - r.Tokens))
	}
	s.mu.Lock()
	at := s.gate(time.Now())
	s.ledger.Settle(r, used, at)
	out := s.finish(at, false)
	s.mu.Unlock()
	s.send(out)
}

// Handle serves a message of another instance.
func (s *Sync) Handle(from string, message any) (any, error) {
	switch m := message.(type) {
	case *quota.GrantBatch:
		s.mu.Lock()
		at := s.gate(time.Now())
		answer := s.ledger.Handle(from, m, at)
		out := s.finish(at, false)
		s.mu.Unlock()
		s.send(out)
		return answer, nil
	case *quota.SlotReleased:
		s.wake()
		return nil, nil
	}
	return nil, oops.Errorf("unexpected message %T", message)
}

// send carries messages to other instances in the background.
func (s *Sync) send(out []quota.Outgoing) {
	for _, o := range out {
		sent.Inc()
		s.background(func() {
			ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
			defer cancel()
			answer, err := s.config.Transport.Send(ctx, o.To, o.Batch)
			s.mu.Lock()
			at := s.gate(time.Now())
			if grants, ok := answer.(*quota.GrantAnswer); ok && err == nil {
				s.ledger.Answer(o.To, grants, at)
			} else {
				s.ledger.Fail(o.To, o.Batch, at)
			}
			more := s.finish(at, false)
			s.mu.Unlock()
			s.send(more)
		})
	}
}

// background runs f in a goroutine that Shutdown waits for.
func (s *Sync) background(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.sends.Go(f)
	}
}

// Tick lets times pass. Run calls it.
func (s *Sync) Tick() {
	s.mu.Lock()
	now := time.Now()
	at := s.gate(now)
	s.lastTick = now
	if !s.unlisted.IsZero() {
		s.wake()
	}
	s.ledger.Tick(at)
	out := s.finish(at, false)
	s.mu.Unlock()
	s.send(out)
}

// SetLimits takes the limits of all workspaces from the catalogue.
func (s *Sync) SetLimits(workspaces map[string]catalog.Workspace) {
	limits := map[string]quota.Limits{}
	for name, w := range workspaces {
		limits[name] = quota.Limits{Rate: w.Rate, Burst: w.Burst}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.ledger.SetLimits(limits, s.gate(time.Now()))
	s.place()
	s.unsettled = true
	s.settle()
}

// SetMembers takes one reading of the platform's instance list. It is to be
// called for each reading, also if nothing changed: a holder counts as gone
// when the readings lacked it for longer than the list's lag.
func (s *Sync) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	changed := !s.listed || !sameMembers(s.members, members)
	s.listed = true
	if slices.ContainsFunc(members, func(m Member) bool { return m.shows(s.self()) }) {
		s.unlisted = time.Time{}
	} else if s.unlisted.IsZero() {
		s.unlisted = now
	}
	if changed {
		s.members, s.membersSince = members, now
	}
	news := s.absences.observe(s.foreignHolders(), members, now)
	if changed {
		s.place()
		s.updateHolders()
	}
	if changed || news {
		s.unsettled = true
	}
	s.settle()
}

// settle asks for a refresh if it would take a slot. Looking at all slots took
// most of the time of a reading, so it is left out while nothing has changed
// since it found nothing to take.
func (s *Sync) settle() {
	if !s.unsettled {
		return
	}
	if s.unsettled = s.wants(); s.unsettled {
		s.wake()
	}
}
