// Package chain composes the filters that a request passes. Each filter does
// one job and either hands the request on or returns a refusal.
package chain

import (
	"context"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Next hands a request to the rest of the chain. A nil error means that the
// answer is complete.
type Next[R any] func(ctx context.Context, r R) error

// Filter does one job for every request.
type Filter[R any] interface {
	Serve(ctx context.Context, r R, next Next[R]) error
}

// New returns the filters as one Next.
func New[R any](filters ...Filter[R]) Next[R] {
	next := Next[R](func(context.Context, R) error {
		return verdict.New(verdict.InternalError, "the chain has no last filter")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		f, inner := filters[i], next
		next = func(ctx context.Context, r R) error { return f.Serve(ctx, r, inner) }
	}
	return next
}
