package idempotency

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// maxClaimTries is the maximum number of attempts to write a claim while
	// other instances change the row between the read and the write.
	maxClaimTries = 3
	// activeRetryAfter is the Retry-After while the first request is running.
	// When that request ends is unknown; services usually answer within a second.
	activeRetryAfter = time.Second
	// tableRetryAfter is the Retry-After while the table or the object store is
	// unreachable.
	tableRetryAfter = 2 * time.Second
	// memoryRetryAfter is the Retry-After while there is no room for a stored body.
	memoryRetryAfter = time.Second
	// maxAbandoned bounds the number of remembered claims that were abandoned
	// because the table did not answer. A claim beyond the bound stays running in
	// the table, so that repeats are refused, which is safe.
	maxAbandoned = 1024
	// maxUnsaved bounds the number of ended claims whose final row is not yet
	// stored. With bodies of MaxInline they take 4 MB.
	maxUnsaved = 64
	// sweepInterval is the time between two retries of writes that the table did
	// not confirm.
	sweepInterval = 2 * time.Second
	// abandonedRetention is how long an abandoned claim is remembered, in case
	// its write reaches the table late.
	abandonedRetention = 10 * time.Minute
)

// Store creates and ends claims. It is safe for concurrent use.
type Store struct {
	Table   ports.Table
	Objects ports.ObjectStore
	// Instance and Incarnation identify this process.
	Instance    string
	Incarnation string
	// IncarnationEnded reports whether the incarnation of an instance has ended for certain.
	IncarnationEnded func(instance, incarnation string) bool
	// NewToken returns a unique token.
	NewToken func() string
	// Now returns the current time.
	Now func() time.Time

	mu        sync.Mutex
	running   map[string]bool      // rows of claims that this process may have forwarded
	unsaved   map[string]*Claim    // by row key, ended claims whose final row is not confirmed to be stored
	abandoned map[string]abandoned // by token, claims that were never forwarded and may be in the table
}

type abandoned struct {
	key   string
	since time.Time
}

// Request identifies a request.
type Request struct {
	Workspace, Route, Key string
	Digest                string
	// Reserve takes memory for a stored body before it is read. Nil means no bound.
	Reserve func(ctx context.Context, bytes int64) error
}

// reserve takes memory for the body of an outcome.
func (r Request) reserve(ctx context.Context, o *Outcome) error {
	switch {
	case r.Reserve == nil:
		return nil
	case o.Object == "":
		return r.Reserve(ctx, int64(len(o.Body)))
	case o.Length == 0:
		return r.Reserve(ctx, MaxStored)
	}
	return r.Reserve(ctx, o.Length)
}

// Claim permits forwarding one request once.
type Claim struct {
	key      string
	row      Row
	revision uint64
}

// Claim creates the claim for a request, or returns the stored outcome or a
// refusal. Exactly one of the three results is set. Only a claim permits
// forwarding.
func (s *Store) Claim(ctx context.Context, r Request) (*Claim, *Outcome, *verdict.Refusal) {
	if !ValidKey(r.Key) {
		return nil, nil, verdict.New(verdict.IdempotencyKeyInvalid, "an Idempotency-Key has 1 to %d printable ASCII characters", MaxKeyLength)
	}
	key := RowKey(r.Workspace, r.Route, r.Key)
	if s.isRunning(key) {
		return nil, nil, refuseMayHaveRun(verdict.RequestInProgress, "a request with this Idempotency-Key is running").WithRetryAfter(activeRetryAfter)
	}
	if d, known := s.decideUnsaved(key, r.Digest); known {
		return s.resolve(ctx, r, d)
	}
	row := Row{State: Running, Instance: s.Instance, Incarnation: s.Incarnation, Digest: r.Digest, Started: s.Now().UTC()}
	// Most keys are new, so the first attempt writes without reading.
	decision := Decision{Action: Take}
	for range maxClaimTries {
		if decision.Action != Take {
			return s.resolve(ctx, r, decision)
		}
		row.Token = s.NewToken()
		claim := &Claim{key: key, row: row, revision: decision.Revision + 1}
		written, err := s.writeClaim(ctx, claim, decision.Revision)
		if errors.Is(err, errEarlierClaim) {
			return nil, nil, refuseMayHaveRun(verdict.ClaimUnavailable, "an earlier claim could not be read").WithRetryAfter(tableRetryAfter).WithCause(err)
		}
		if err != nil {
			return nil, nil, verdict.New(verdict.ClaimUnavailable, "the claim could not be made").WithRetryAfter(tableRetryAfter).WithCause(err)
		}
		if written {
			s.setRunning(key, true)
			return claim, nil, nil
		}
		if decision, err = s.read(ctx, key, r.Digest); err != nil {
			// The row exists, so an earlier request may have run.
			return nil, nil, refuseMayHaveRun(verdict.ClaimUnavailable, "an earlier claim could not be read").WithRetryAfter(tableRetryAfter).WithCause(err)
		}
	}
	return nil, nil, refuseMayHaveRun(verdict.RequestInProgress, "the claim is contended").WithRetryAfter(activeRetryAfter)
}

// writeClaim writes a claim and reports whether it is in the table. A claim for
// which it returns an error must not be forwarded.
func (s *Store) writeClaim(ctx context.Context, c *Claim, revision uint64) (bool, error) {
	value, err := c.row.encode()
	if err != nil {
		return false, err
	}
	observer := &claimObserver{Table: s.Table, token: c.row.Token}
	err = ports.Commit(ctx, observer, c.row.Token, ports.Write{Key: c.key, Value: value, Revision: revision})
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, ports.ErrConflict) && !errors.Is(err, ports.ErrUnknown):
		// The conflict can be with this claim's own write, if the table's first
		// answer was lost and the table has since dropped the transaction token.
		row, err := s.Table.Get(ctx, c.key)
		if err != nil && !errors.Is(err, ports.ErrNotFound) {
			s.abandon(c)
		}
		return err == nil && row.Token == c.row.Token, nil
	case errors.Is(err, ports.ErrNotApplied) && !errors.Is(err, ports.ErrUnknown):
		return false, err
	}
	s.abandon(c)
	if observer.sawOtherClaim {
		err = errors.Join(errEarlierClaim, err)
	}
	return false, err
}

// errEarlierClaim means that the row held another claim when this claim failed.
var errEarlierClaim = errors.New("claim row belongs to another claim")

// claimObserver records whether a read returned a row written by another claim.
type claimObserver struct {
	ports.Table
	token         string
	sawOtherClaim bool
}

func (o *claimObserver) Get(ctx context.Context, key string) (ports.Row, error) {
	row, err := o.Table.Get(ctx, key)
	o.sawOtherClaim = o.sawOtherClaim || (err == nil && row.Token != o.token)
	return row, err
}

func (s *Store) read(ctx context.Context, key, digest string) (Decision, error) {
	stored, err := s.Table.Get(ctx, key)
	if errors.Is(err, ports.ErrNotFound) {
		return Decision{Action: Take}, nil
	}
	if err != nil {
		return Decision{}, err
	}
	row, err := decodeRow(stored.Value)
	if err != nil {
		return Decision{}, err
	}
	return Begin(row, true, stored.Revision, digest, s.IncarnationEnded, s.isAbandoned), nil
}

// resolve turns a decision against forwarding into an outcome or a refusal.
// None of these refusals has the verdict not_run, because the earlier request
// may have run.
func (s *Store) resolve(ctx context.Context, r Request, d Decision) (*Claim, *Outcome, *verdict.Refusal) {
	switch d.Action {
	case Replay:
		outcome := *d.Outcome
		if err := r.reserve(ctx, &outcome); err != nil {
			return nil, nil, refuseMayHaveRun(verdict.MemoryFull, "the request has run; this instance has no room for its answer now").WithRetryAfter(memoryRetryAfter).WithCause(err)
		}
		if outcome.Object == "" {
			return nil, &outcome, nil
		}
		body, err := s.Objects.Get(ctx, outcome.Object)
		if err != nil {
			return nil, nil, refuseMayHaveRun(verdict.AlreadyRun, "the request has run; its answer cannot be read now").WithRetryAfter(tableRetryAfter).WithCause(err)
		}
		outcome.Body = body
		return nil, &outcome, nil
	case RefuseReused:
		return nil, nil, refuseMayHaveRun(verdict.IdempotencyKeyReused, "the Idempotency-Key belongs to another request")
	case RefuseActive:
		return nil, nil, refuseMayHaveRun(verdict.RequestInProgress, "a request with this Idempotency-Key is running").WithRetryAfter(activeRetryAfter)
	case RefuseRan:
		return nil, nil, refuseMayHaveRun(verdict.AlreadyRun, "the request has run; its answer was not kept")
	}
	return nil, nil, refuseMayHaveRun(verdict.OutcomeUnknown, "an earlier request with this Idempotency-Key may have run")
}

// Complete ends a claim. The verdict must come from the attempt; outcome is
// nil if no complete response was received. After an error the claim stays
// running in the table, and other instances refuse repeats with may_have_run,
// until Sweep has stored the final row.
func (s *Store) Complete(ctx context.Context, c *Claim, v verdict.Verdict, outcome *Outcome) error {
	defer s.setRunning(c.key, false)
	ended := &Claim{key: c.key, row: Finish(c.row, v != verdict.NotRun, s.storeBody(ctx, outcome)), revision: c.revision}
	err := s.writeEnd(ctx, ended)
	if err != nil && !errors.Is(err, ports.ErrConflict) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.unsaved == nil {
			s.unsaved = map[string]*Claim{}
		}
		if len(s.unsaved) < maxUnsaved {
			s.unsaved[c.key] = ended
		}
	}
	return err
}

// writeEnd writes the final row of an ended claim.
func (s *Store) writeEnd(ctx context.Context, c *Claim) error {
	value, err := c.row.encode()
	if err != nil {
		return err
	}
	return ports.Commit(ctx, s.Table, s.NewToken(), ports.Write{
		Key: c.key, Value: value, Revision: c.revision, ExpiresAt: Expires(c.row, s.Now()),
	})
}

// storeBody moves a body larger than MaxInline to the object store. It marks the
// outcome as lost if the body exceeds MaxStored or cannot be stored.
func (s *Store) storeBody(ctx context.Context, outcome *Outcome) *Outcome {
	if outcome == nil || len(outcome.Body) <= MaxInline {
		return outcome
	}
	kept := *outcome
	kept.Body, kept.Object, kept.Length = nil, "outcome/"+RequestDigest("", "", outcome.Body), int64(len(outcome.Body))
	if len(outcome.Body) > MaxStored || s.Objects.Put(ctx, kept.Object, outcome.Body) != nil {
		kept.Object, kept.Lost = "", true
	}
	return &kept
}

// Run calls Sweep periodically until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.Sweep(ctx)
		}
	}
}

// Sweep retries writes that the table did not confirm: it stores the final rows
// of ended claims, and releases claims that this process abandoned before
// forwarding and that may have reached the table. It returns the number of
// claims that remain pending.
func (s *Store) Sweep(ctx context.Context) int {
	s.mu.Lock()
	ends, pending := maps.Clone(s.unsaved), maps.Clone(s.abandoned)
	s.mu.Unlock()
	for key, c := range ends {
		// After a conflict the row has changed, possibly by an earlier write of
		// this final row.
		if err := s.writeEnd(ctx, c); err == nil || errors.Is(err, ports.ErrConflict) {
			s.mu.Lock()
			delete(s.unsaved, key)
			s.mu.Unlock()
		}
	}
	for token, claim := range pending {
		// If the row is absent or belongs to another claim, a write still in
		// flight can arrive later, so the token is kept for abandonedRetention.
		if s.Now().Sub(claim.since) > abandonedRetention || s.release(ctx, token, claim.key) {
			s.mu.Lock()
			delete(s.abandoned, token)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.abandoned) + len(s.unsaved)
}

// release releases an abandoned claim and reports whether the row was written. It
// returns false if the row does not hold the claim with this token.
func (s *Store) release(ctx context.Context, token, key string) bool {
	stored, err := s.Table.Get(ctx, key)
	if err != nil || stored.Token != token {
		return false
	}
	row, err := decodeRow(stored.Value)
	return err == nil && s.writeEnd(ctx, &Claim{key: key, row: Finish(row, false, nil), revision: stored.Revision}) == nil
}

// decideUnsaved decides on a repeat from a final row that this process has not
// been able to store. It returns false if there is none or if the key is free.
func (s *Store) decideUnsaved(key, digest string) (Decision, bool) {
	s.mu.Lock()
	c := s.unsaved[key]
	s.mu.Unlock()
	if c == nil {
		return Decision{}, false
	}
	d := Begin(c.row, true, c.revision, digest, s.IncarnationEnded, func(string) bool { return false })
	return d, d.Action != Take
}

func (s *Store) isRunning(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[key]
}

func (s *Store) setRunning(key string, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !running {
		delete(s.running, key)
		return
	}
	if s.running == nil {
		s.running = map[string]bool{}
	}
	s.running[key] = true
}

// abandon records a claim that is not forwarded and may be in the table, so that
// Sweep releases it.
func (s *Store) abandon(c *Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned == nil {
		s.abandoned = map[string]abandoned{}
	}
	if len(s.abandoned) < maxAbandoned {
		s.abandoned[c.row.Token] = abandoned{key: c.key, since: s.Now()}
	}
}

func (s *Store) isAbandoned(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.abandoned[token]
	return ok
}

// refuseMayHaveRun returns a refusal with the verdict may_have_run.
func refuseMayHaveRun(reason verdict.Reason, format string, args ...any) *verdict.Refusal {
	var earlier verdict.Attempt
	earlier.MarkSent()
	return earlier.Refuse(reason, format, args...)
}
