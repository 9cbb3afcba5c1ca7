// Package quotasync connects a quota ledger with the table that records the
// holder of each share slot, with the other instances, and with the requests.
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

// Session reports whether this incarnation of the instance may spend.
type Session interface {
	// Valid reports whether the session is valid at that time. It is false after
	// the process was suspended, until the session has been checked in the table.
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

// Config holds the dependencies and time limits of a Sync.
type Config struct {
	Table     ports.Table
	Transport Transport
	Session   Session
	// Reachable reports whether an instance can be reached now. Default: always.
	Reachable func(instance string) bool
	// ListLag is the stated lag of the platform's instance list. Default 10s.
	ListLag time.Duration
	// Wait bounds how long a request waits for grants. Default 250ms.
	Wait time.Duration
	// Refresh is the shortest interval of the regular refreshes. Default 5s. The
	// interval is at least 50ms per member, which bounds the total read rate of all
	// instances.
	Refresh time.Duration
	// RebalanceAfter is how long the members must be unchanged before a slot is
	// released for the member that ranks first. Default 10s.
	RebalanceAfter time.Duration
	// Log is the logger. Default log.Log.
	Log log.Interface
}

// DefaultConfig returns the defaults; Table, Transport and Session are unset.
func DefaultConfig() Config {
	return Config{ListLag: 10 * time.Second, Wait: 250 * time.Millisecond,
		Refresh: 5 * time.Second, RebalanceAfter: 10 * time.Second, Log: log.Log}
}

const (
	tickInterval = 250 * time.Millisecond
	// maxTickGap is the time without a tick after which the process is considered
	// to have been suspended.
	maxTickGap = 3 * time.Second
	// sendTimeout bounds a message and its answer; an answer is useful only within
	// the lifetime of a grant.
	sendTimeout = time.Second
	// maxRowAge is the greatest age of the rows at which this instance still spends
	// while the list lacks it. It is below the time for which a slot stays empty
	// after it was taken over.
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
	config        Config
	start         time.Time
	refreshSignal chan struct{}
	ctx           context.Context // ends with Shutdown
	cancel        context.CancelFunc
	sends         sync.WaitGroup

	refreshMu sync.Mutex // held during a refresh or Shutdown

	mu              sync.Mutex
	ledger          *quota.Ledger
	waiters         map[*quota.Ticket]chan struct{}
	lastTick        time.Time
	invalidations   int // times that the right to spend became unconfirmed
	verified        bool
	spending        bool // the ledger is active
	closing         bool // Shutdown has begun: no more spending
	closed          bool // Shutdown has ended: no more messages
	limits          map[string]quota.Limits
	listReceived    bool // SetMembers has been called
	members         []Member
	membersSince    time.Time
	unlistedSince   time.Time // when the list was first seen without this incarnation; zero while it is listed
	rowsReadAt      time.Time // start of the last successful read of the rows
	owners          map[string][quota.Slots]string
	rows            map[slotKey]storedRow
	takesUnchecked  bool // rows, members or limits have changed since the last check that found no slot to take
	activated       map[slotKey]uint64
	pendingReleases map[slotKey]pendingRelease
	absences        absences
}

// New returns a controller that admits no request until Refresh or Run has
// read the rows.
func New(config Config) *Sync {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	return &Sync{
		config: config, start: now, refreshSignal: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
		ledger:  quota.NewLedger(uint32(xxhash.Sum64String(config.Session.Incarnation()))),
		waiters: map[*quota.Ticket]chan struct{}{}, lastTick: now,
		rows: map[slotKey]storedRow{}, activated: map[slotKey]uint64{}, pendingReleases: map[slotKey]pendingRelease{},
		absences: absences{lag: config.ListLag, since: map[holderKey]time.Time{}, gone: map[holderKey]bool{}},
	}
}

// updateSpending re-evaluates whether the ledger may spend and returns the
// ledger's time for now. A suspended process or an invalid session stops
// spending until the rows have been reread, because other instances may have
// taken the slots. The caller holds the lock.
func (s *Sync) updateSpending(now time.Time) time.Duration {
	valid := s.config.Session.Valid(now)
	if !valid || now.Sub(s.lastTick) > maxTickGap {
		s.invalidations++
		s.verified = false
	}
	if valid && !s.verified {
		s.requestRefresh()
	}
	at := now.Sub(s.start)
	s.spending = valid && s.verified && !s.closing && !s.ownershipUncertain(now)
	s.ledger.SetActive(s.spending, at)
	return at
}

// ownershipUncertain reports whether other instances may be taking over the
// slots because the list lacks this incarnation, and the rows were not read
// recently enough to detect it.
func (s *Sync) ownershipUncertain(now time.Time) bool {
	return !s.unlistedSince.IsZero() && now.Sub(s.unlistedSince) > s.config.ListLag/2 && now.Sub(s.rowsReadAt) > maxRowAge
}

func (s *Sync) requestRefresh() {
	select {
	case s.refreshSignal <- struct{}{}:
	default:
	}
}

// resolveTickets wakes the requests whose tickets are decided and returns the
// messages to send. The caller holds the lock and passes the messages to send
// after releasing it.
func (s *Sync) resolveTickets(at time.Duration, flush bool) []quota.Outgoing {
	for _, t := range s.ledger.Resolved() {
		if done := s.waiters[t]; done != nil {
			close(done)
			delete(s.waiters, t)
		}
	}
	if s.ledger.TakeMoved() {
		s.requestRefresh()
	}
	return s.ledger.Messages(at, flush)
}

// Admit charges tokens, an upper bound of the actual use, to the workspace. It
// waits for grants of other instances up to Config.Wait and the deadline of
// ctx, and up to slotWait while no holder of a slot is reachable. Its errors
// are *verdict.Refusal values.
func (s *Sync) Admit(ctx context.Context, workspace string, tokens int64) (*quota.Reservation, error) {
	r, err := s.admitWithRetry(ctx, workspace, tokens)
	if err != nil {
		refused.Inc()
		return nil, err
	}
	admitted.Inc()
	return r, nil
}

// admitWithRetry submits the request again while it is refused only because no
// holder of a slot was reachable: slots change hands when their holder leaves,
// and the rows are reread up to minRefreshGap later.
func (s *Sync) admitWithRetry(ctx context.Context, workspace string, tokens int64) (*quota.Reservation, error) {
	slotCtx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	for {
		if err := s.awaitSlots(slotCtx, workspace); err != nil {
			return nil, err
		}
		t, err := s.submit(ctx, workspace, tokens)
		if err != nil {
			return nil, err
		}
		if t.State != quota.Refused || !t.Unlocated || ctx.Err() != nil {
			return s.ticketResult(ctx, t)
		}
		s.requestRefresh()
		select {
		case <-slotCtx.Done():
			return nil, noReachableHolder(workspace)
		case <-time.After(slotPoll):
		}
	}
}

// submit submits a request to the ledger and returns its decided ticket.
func (s *Sync) submit(ctx context.Context, workspace string, tokens int64) (*quota.Ticket, error) {
	now := time.Now()
	limit := now.Add(s.config.Wait)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		limit = deadline
	}
	s.mu.Lock()
	at := s.updateSpending(now)
	if !s.spending {
		out := s.resolveTickets(at, false)
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
	out := s.resolveTickets(at, false)
	s.mu.Unlock()
	s.send(out)
	if done != nil {
		waited.Inc()
		s.awaitTicket(ctx, t, done, time.Until(limit))
	}
	return t, nil
}

// awaitTicket waits until the ticket is decided; at the limit or the end of ctx
// it expires the ticket.
func (s *Sync) awaitTicket(ctx context.Context, t *quota.Ticket, done chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	at := s.updateSpending(time.Now())
	s.ledger.Expire(t, at)
	out := s.resolveTickets(at, false)
	s.mu.Unlock()
	s.send(out)
}

// ticketResult converts a decided ticket into the result of Admit. The tokens
// of a ticket whose caller has disconnected are returned.
func (s *Sync) ticketResult(ctx context.Context, t *quota.Ticket) (*quota.Reservation, error) {
	callerGone := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case t.State == quota.Admitted && callerGone:
		s.Settle(t.Reservation, 0)
	case t.State == quota.Admitted:
		return t.Reservation, nil
	}
	switch {
	case callerGone:
		return nil, verdict.New(verdict.CallerGone, "the caller has gone")
	case t.State == quota.TooLarge:
		return nil, verdict.New(verdict.TooLarge, "%d tokens exceed the burst of workspace %q", t.Tokens, t.Workspace)
	}
	return nil, verdict.New(verdict.RateLimited, "workspace %q has no %d tokens left", t.Workspace, t.Tokens).WithRetryAfter(t.RetryAfter)
}

// Settle ends a reservation with the tokens actually used. It is also called
// when the caller disconnected. A second call has no effect.
func (s *Sync) Settle(r *quota.Reservation, used int64) {
	if r != nil && used > r.Tokens {
		overrun.Add(int(used - r.Tokens))
	}
	s.mu.Lock()
	at := s.updateSpending(time.Now())
	s.ledger.Settle(r, used, at)
	out := s.resolveTickets(at, false)
	s.mu.Unlock()
	s.send(out)
}

// Handle processes a message from another instance and returns the answer.
func (s *Sync) Handle(from string, message any) (any, error) {
	switch m := message.(type) {
	case *quota.GrantBatch:
		s.mu.Lock()
		at := s.updateSpending(time.Now())
		answer := s.ledger.Handle(from, m, at)
		out := s.resolveTickets(at, false)
		s.mu.Unlock()
		s.send(out)
		return answer, nil
	case *quota.SlotReleased:
		s.requestRefresh()
		return nil, nil
	}
	return nil, oops.Errorf("unexpected message %T", message)
}

// send sends messages to other instances in the background and passes their
// answers to the ledger.
func (s *Sync) send(out []quota.Outgoing) {
	for _, o := range out {
		sent.Inc()
		s.background(func() {
			ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
			defer cancel()
			answer, err := s.config.Transport.Send(ctx, o.To, o.Batch)
			s.mu.Lock()
			at := s.updateSpending(time.Now())
			if grants, ok := answer.(*quota.GrantAnswer); ok && err == nil {
				s.ledger.RecordAnswer(o.To, grants, at)
			} else {
				s.ledger.RecordFailure(o.To, o.Batch, at)
			}
			more := s.resolveTickets(at, false)
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

// Tick advances the ledger's time. Run calls it every tickInterval.
func (s *Sync) Tick() {
	s.mu.Lock()
	now := time.Now()
	at := s.updateSpending(now)
	s.lastTick = now
	if !s.unlistedSince.IsZero() {
		s.requestRefresh()
	}
	s.ledger.Tick(at)
	out := s.resolveTickets(at, false)
	s.mu.Unlock()
	s.send(out)
}

// SetLimits applies the limits of all workspaces in the catalogue.
func (s *Sync) SetLimits(workspaces map[string]catalog.Workspace) {
	limits := map[string]quota.Limits{}
	for name, w := range workspaces {
		limits[name] = quota.Limits{Rate: w.Rate, Burst: w.Burst}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.ledger.SetLimits(limits, s.updateSpending(time.Now()))
	s.computeOwners()
	s.takesUnchecked = true
	s.requestRefreshForTakes()
}

// SetMembers applies one snapshot of the platform's instance list. It must be
// called for each snapshot, even if nothing changed: a holder counts as gone
// when the snapshots lacked it for longer than the list's lag.
func (s *Sync) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	changed := !s.listReceived || !sameMembers(s.members, members)
	s.listReceived = true
	if slices.ContainsFunc(members, func(m Member) bool { return m.matches(s.self()) }) {
		s.unlistedSince = time.Time{}
	} else if s.unlistedSince.IsZero() {
		s.unlistedSince = now
	}
	if changed {
		s.members, s.membersSince = members, now
	}
	absencesChanged := s.absences.observe(s.foreignHolders(), members, now)
	if changed {
		s.computeOwners()
		s.updateHolders()
	}
	if changed || absencesChanged {
		s.takesUnchecked = true
	}
	s.requestRefreshForTakes()
}

// requestRefreshForTakes requests a refresh if one would take a slot. Checking
// all slots took most of the time of processing a list snapshot, so the check
// is skipped while nothing has changed since it last found no slot to take.
func (s *Sync) requestRefreshForTakes() {
	if !s.takesUnchecked {
		return
	}
	if s.takesUnchecked = s.hasSlotToTake(); s.takesUnchecked {
		s.requestRefresh()
	}
}
