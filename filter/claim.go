package filter

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/idempotency"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// IdempotencyKeyHeader makes a request run at most once.
const IdempotencyKeyHeader = "Idempotency-Key"

// ReplayedHeader marks a response that was stored by an earlier run.
const ReplayedHeader = "Idempotency-Replayed"

const (
	claimTimeout    = 3 * time.Second
	completeTimeout = 5 * time.Second
)

// Claims ensures that a request with an Idempotency-Key runs at most once across
// all instances, and replays the stored response to repeated requests.
type Claims struct{ Store *idempotency.Store }

// Serve implements Filter.
func (f Claims) Serve(ctx context.Context, r *Request, next Next) error {
	values := r.HTTP.Header.Values(IdempotencyKeyHeader)
	if len(values) == 0 {
		return next(ctx, r)
	}
	if len(values) > 1 {
		return verdict.New(verdict.IdempotencyKeyInvalid, "more than one Idempotency-Key")
	}
	claim, outcome, err := f.claim(ctx, r, values[0])
	if err != nil {
		return err
	}
	if outcome != nil {
		return replay(r.Writer, outcome)
	}
	return f.run(ctx, r, claim, next)
}

func (f Claims) claim(ctx context.Context, r *Request, key string) (*idempotency.Claim, *idempotency.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, outcome, refusal := f.Store.Claim(ctx, idempotency.Request{
		Workspace: r.Workspace.Name, Route: r.Route.Name, Key: key,
		Digest:  idempotency.RequestDigest(r.HTTP.Method, r.HTTP.URL.RequestURI(), r.Body),
		Reserve: r.Hold,
	})
	if refusal != nil {
		return nil, nil, refusal
	}
	return claim, outcome, nil
}

// run forwards a claimed request. The request runs to completion or to its
// deadline even if the caller disconnects, because a repeated request needs the
// stored outcome.
func (f Claims) run(ctx context.Context, r *Request, claim *idempotency.Claim, next Next) (err error) {
	r.Repeatable = false
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.WallDeadline())
	defer cancel()
	r.Record(runCtx, idempotency.MaxStored)
	complete := false
	defer func() { f.complete(ctx, r, claim, complete) }() // also after a panic
	err = next(runCtx, r)
	complete = err == nil
	if complete && r.Writer.CallerGone() {
		return r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection; the outcome was kept")
	}
	return err
}

func (f Claims) complete(ctx context.Context, r *Request, claim *idempotency.Claim, complete bool) {
	var outcome *idempotency.Outcome
	if complete {
		body, overflow := r.Writer.Recorded()
		outcome = &idempotency.Outcome{
			Status: r.Writer.Status(), Headers: idempotency.KeepHeaders(r.Writer.Header().Get),
			Body: body, Lost: overflow,
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	defer cancel()
	if err := f.Store.Complete(ctx, claim, r.Attempt.Verdict(), outcome); err != nil {
		r.Log.WithError(err).Warn("outcome of a claimed request not stored")
	}
}

// replay writes a stored outcome as the response.
func replay(w *request.Writer, outcome *idempotency.Outcome) error {
	for name, value := range outcome.Headers {
		w.Header().Set(name, value)
	}
	w.Header().Set(ReplayedHeader, "true")
	w.WriteHeader(outcome.Status)
	if err := w.Send(outcome.Body, true); err != nil {
		return callerGoneAfterRun("the caller closed the connection").WithCause(err)
	}
	return nil
}

// callerGoneAfterRun returns a CallerGone refusal with the verdict MayHaveRun,
// since an earlier request with the same key has run.
func callerGoneAfterRun(message string) *verdict.Refusal {
	var earlier verdict.Attempt
	earlier.MarkSent()
	return earlier.Refuse(verdict.CallerGone, "%s", message)
}
