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
	// maxClaimTries bounds the rounds in which other instances change the row
	// between a read and a write.
	maxClaimTries = 3
	// activeRetryAfter is the time to come back while the first request runs.
	// Its end is not known; plain services answer within a second as a rule.
	activeRetryAfter = time.Second
	// tableRetryAfter is the time to come back while the table is unreachable.
	tableRetryAfter = 2 * time.Second
	// maxAbandoned bounds the memory for claims given up without an answer of
	// the table. A claim that is forgotten stays in doubt, which is safe.
	maxAbandoned = 1024
	// maxUnsaved bounds the ends of claims that wait for the table. With bodies
	// of MaxInline they take 4 MB.
	maxUnsaved = 64
	// sweepInterval is the time between two looks at what the table did not
	// answer to.
	sweepInterval = 2 * time.Second
	// abandonedFor bounds the time for which a late write is expected.
	abandonedFor = 10 * time.Minute
)

// Store makes and ends claims. It is safe for concurrent use.
type Store struct {
	Table   ports.Table
	Objects ports.Objects
	// Instance and Incarnation identify this process.
	Instance    string
	Incarnation string
	// Gone reports whether the incarnation of an instance has surely ended.
	Gone func(instance, incarnation string) bool
	// NewToken returns a unique token.
	NewToken func() string
	// Now returns the time.
	Now func() time.Time

	mu        sync.Mutex
	running   map[string]bool      // rows of claims that this process may have forwarded
	unsaved   map[string]*Claim    // by row, ended claims whose end is not in the table for sure
	abandoned map[string]abandoned // by token, claims that may be in the table and were never forwarded
}

type abandoned struct {
	key   string
	since time.Time
}

// Request identifies a request.
type Request struct {
	Workspace, Route, Key string
	Digest                string
}

// Claim is the right to forward one request once.
type Claim struct {
	key      string
	row      Row
	revision uint64
}

// Claim makes the claim for a request, or returns the stored outcome, or a
// refusal. Exactly one of the three is set. Only a claim permits forwarding.
func (s *Store) Claim(ctx context.Context, r Request) (*Claim, *Outcome, *verdict.Refusal) {
	if !ValidKey(r.Key) {
		return nil, nil, verdict.New(verdict.IdempotencyKeyInvalid, "an Idempotency-Key has 1 to %d printable ASCII characters", MaxKeyLength)
	}
	key := RowKey(r.Workspace, r.Route, r.Key)
	if s.isRunning(key) {
		return nil, nil, refuseDoubtful(verdict.RequestInProgress, "a request with this Idempotency-Key is running").After(activeRetryAfter)
	}
	if d, known := s.unsavedEnd(key, r.Digest); known {
		return s.answer(ctx, d)
	}
	row := Row{State: Running, Instance: s.Instance, Incarnation: s.Incarnation, Digest: r.Digest, Started: s.Now().UTC()}
	// Most keys are new, so that the first try writes without reading.
	decision := Decision{Action: Take}
	for range maxClaimTries {
		if decision.Action != Take {
			return s.answer(ctx, decision)
		}
		row.Token = s.NewToken()
		claim := &Claim{key: key, row: row, revision: decision.Revision + 1}
		taken, err := s.take(ctx, claim, decision.Revision)
		if errors.Is(err, errEarlierClaim) {
			return nil, nil, refuseDoubtful(verdict.ClaimUnavailable, "an earlier claim could not be read").After(tableRetryAfter).Because(err)
		}
		if err != nil {
			return nil, nil, verdict.New(verdict.ClaimUnavailable, "the claim could not be made").After(tableRetryAfter).Because(err)
		}
		if taken {
			s.setRunning(key, true)
			return claim, nil, nil
		}
		if decision, err = s.read(ctx, key, r.Digest); err != nil {
			// There is a row, so that an earlier request may have run.
			return nil, nil, refuseDoubtful(verdict.ClaimUnavailable, "an earlier claim could not be read").After(tableRetryAfter).Because(err)
		}
	}
	return nil, nil, refuseDoubtful(verdict.RequestInProgress, "the claim is contended").After(activeRetryAfter)
}

// take writes a claim and reports whether it is in the table. An error means
// that this could not be found out; such a claim must not be forwarded.
func (s *Store) take(ctx context.Context, c *Claim, revision uint64) (bool, error) {
	value, err := c.row.encode()
	if err != nil {
		return false, err
	}
	seen := &witness{Table: s.Table, token: c.row.Token}
	err = ports.Commit(ctx, seen, c.row.Token, ports.Write{Key: c.key, Value: value, Revision: revision})
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, ports.ErrConflict) && !errors.Is(err, ports.ErrUnknown):
		// The conflict can be with this claim itself, if its first answer was
		// lost and the table no longer knows the token of the transaction.
		row, err := s.Table.Get(ctx, c.key)
		if err != nil && !errors.Is(err, ports.ErrNotFound) {
			s.abandon(c)
		}
		return err == nil && row.Token == c.row.Token, nil
	case errors.Is(err, ports.ErrNotApplied) && !errors.Is(err, ports.ErrUnknown):
		return false, err
	}
	s.abandon(c)
	if seen.other {
		err = errors.Join(errEarlierClaim, err)
	}
	return false, err
}

// errEarlierClaim says that the row held another claim while this one failed.
var errEarlierClaim = errors.New("the row holds another claim")

// witness notes whether a read returned a row that another claim has written.
type witness struct {
	ports.Table
	token string
	other bool
}

func (w *witness) Get(ctx context.Context, key string) (ports.Row, error) {
	row, err := w.Table.Get(ctx, key)
	w.other = w.other || (err == nil && row.Token != w.token)
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
	return Begin(row, true, stored.Revision, digest, s.Gone, s.isAbandoned), nil
}

// answer turns a decision against forwarding into an outcome or a refusal.
// None of these refusals says not_run: the earlier request may have run.
func (s *Store) answer(ctx context.Context, d Decision) (*Claim, *Outcome, *verdict.Refusal) {
	switch d.Action {
	case Replay:
		outcome := *d.Outcome
		if outcome.Object == "" {
			return nil, &outcome, nil
		}
		body, err := s.Objects.Get(ctx, outcome.Object)
		if err != nil {
			return nil, nil, refuseDoubtful(verdict.AlreadyRun, "the request has run; its answer cannot be read now").After(tableRetryAfter).Because(err)
		}
		outcome.Body = body
		return nil, &outcome, nil
	case RefuseReused:
		return nil, nil, refuseDoubtful(verdict.IdempotencyKeyReused, "the Idempotency-Key belongs to another request")
	case RefuseActive:
		return nil, nil, refuseDoubtful(verdict.RequestInProgress, "a request with this Idempotency-Key is running").After(activeRetryAfter)
	case RefuseRan:
		return nil, nil, refuseDoubtful(verdict.AlreadyRun, "the request has run; its answer was not kept")
	}
	return nil, nil, refuseDoubtful(verdict.OutcomeUnknown, "an earlier request with this Idempotency-Key may have run")
}

// Complete ends a claim. The verdict must come from the attempt; outcome is
// nil if no complete answer was received. After an error the claim
// stays running in the table, so that repeats at other instances are told that
// the request may have run, until Sweep has stored the end.
func (s *Store) Complete(ctx context.Context, c *Claim, v verdict.Verdict, outcome *Outcome) error {
	defer s.setRunning(c.key, false)
	ended := &Claim{key: c.key, row: Finish(c.row, v != verdict.NotRun, s.keepBody(ctx, outcome)), revision: c.revision}
	err := s.end(ctx, ended)
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

// end writes the row of an ended claim.
func (s *Store) end(ctx context.Context, c *Claim) error {
	value, err := c.row.encode()
	if err != nil {
		return err
	}
	return ports.Commit(ctx, s.Table, s.NewToken(), ports.Write{
		Key: c.key, Value: value, Revision: c.revision, ExpiresAt: Expires(c.row, s.Now()),
	})
}

// keepBody moves a large body to the object store.
func (s *Store) keepBody(ctx context.Context, outcome *Outcome) *Outcome {
	if outcome == nil || len(outcome.Body) <= MaxInline {
		return outcome
	}
	kept := *outcome
	kept.Body, kept.Object = nil, "outcome/"+RequestDigest("", "", outcome.Body)
	if len(outcome.Body) > MaxStored || s.Objects.Put(ctx, kept.Object, outcome.Body) != nil {
		kept.Object, kept.Lost = "", true
	}
	return &kept
}

// Run sweeps until ctx ends.
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

// Sweep does what the table did not answer to before: it stores the ends of
// claims, and releases claims that this process gave up before forwarding and
// that may have reached the table. It returns the number that is left.
func (s *Store) Sweep(ctx context.Context) int {
	s.mu.Lock()
	ends, pending := maps.Clone(s.unsaved), maps.Clone(s.abandoned)
	s.mu.Unlock()
	for key, c := range ends {
		// After a conflict the row has moved on, at the latest by this end.
		if err := s.end(ctx, c); err == nil || errors.Is(err, ports.ErrConflict) {
			s.mu.Lock()
			delete(s.unsaved, key)
			s.mu.Unlock()
		}
	}
	for token, claim := range pending {
		// Where the row is absent or another's, a write that is still under
		// way can arrive later, so that the token is remembered for a while.
		if s.Now().Sub(claim.since) > abandonedFor || s.release(ctx, token, claim.key) {
			s.mu.Lock()
			delete(s.abandoned, token)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.abandoned) + len(s.unsaved)
}

func (s *Store) release(ctx context.Context, token, key string) bool {
	stored, err := s.Table.Get(ctx, key)
	if err != nil || stored.Token != token {
		return false
	}
	row, err := decodeRow(stored.Value)
	return err == nil && s.end(ctx, &Claim{key: key, row: Finish(row, false, nil), revision: stored.Revision}) == nil
}

// unsavedEnd decides a repeat by an end that this process could not store.
func (s *Store) unsavedEnd(key, digest string) (Decision, bool) {
	s.mu.Lock()
	c := s.unsaved[key]
	s.mu.Unlock()
	if c == nil {
		return Decision{}, false
	}
	d := Begin(c.row, true, c.revision, digest, s.Gone, func(string) bool { return false })
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

// refuseDoubtful returns a refusal that says may_have_run.
func refuseDoubtful(reason verdict.Reason, format string, args ...any) *verdict.Refusal {
	var earlier verdict.Attempt
	earlier.Expose()
	return earlier.Refuse(reason, format, args...)
}
