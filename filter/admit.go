package filter

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Reservation is the set of tokens reserved for one admitted request.
type Reservation interface {
	// Settle charges the used tokens and releases the rest. Only the first
	// call has an effect.
	Settle(used int64)
}

// Limiter enforces the rate and burst of workspaces across all instances.
type Limiter interface {
	// Admit reserves tokens or returns a *verdict.Refusal.
	Admit(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}

// Session reports whether this process may still act on its local state.
type Session interface {
	Valid(now time.Time) bool
}

// Admit reserves rate-limit tokens before a request runs and settles the
// reservation when it ends.
type Admit struct{ Limiter Limiter }

// Serve implements Filter.
func (f Admit) Serve(ctx context.Context, r *Request, next Next) error {
	r.Cost = r.Route.RequestTokens
	if r.TokensKnown {
		r.Cost = r.PromptTokens + r.OutputTokens
	}
	reservation, err := f.Limiter.Admit(ctx, r.Workspace.Name, r.Cost)
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(r.charge()) }()
	return next(ctx, r)
}

// charge returns the tokens to charge: 0 if the request did not run, the number
// that the upstream reported or streamed if that is known, and otherwise the
// whole reservation.
func (r *Request) charge() int64 {
	switch {
	case r.Attempt.Verdict() == verdict.NotRun:
		return 0
	case r.UsedKnown:
		return min(r.Used, r.Cost)
	default:
		return r.Cost
	}
}
