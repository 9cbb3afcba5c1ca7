package filter

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Reservation holds the tokens of one admitted request.
type Reservation interface {
	// Settle charges the actual use and gives the rest back. Calls after the
	// first have no effect.
	Settle(used int64)
}

// Limiter enforces the rate and burst of workspaces over all instances.
type Limiter interface {
	// Admit reserves tokens or returns a *verdict.Refusal.
	Admit(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}

// Session tells whether this process may act on its state.
type Session interface {
	Valid(now time.Time) bool
}

// Admit reserves tokens at admission and settles them at the end.
type Admit struct{ Limiter Limiter }

// Serve implements Filter.
func (f Admit) Serve(ctx context.Context, r *Request, next Next) error {
	r.Cost = r.Route.RequestTokens
	if r.Sized {
		r.Cost = r.PromptTokens + r.OutputTokens
	}
	reservation, err := f.Limiter.Admit(ctx, r.Workspace.Name, r.Cost)
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(r.charge()) }()
	return next(ctx, r)
}

// charge returns the tokens that the request has used: nothing if it did not
// run, what the upstream has reported or streamed, else all that was reserved.
func (r *Request) charge() int64 {
	switch {
	case r.Attempt.Verdict() == verdict.NotRun:
		return 0
	case r.Known:
		return min(r.Used, r.Cost)
	default:
		return r.Cost
	}
}
