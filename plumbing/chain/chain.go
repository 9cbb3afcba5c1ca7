// Package chain composes the filters that a request passes through. Each filter
// has one responsibility and either passes the request on or returns a refusal.
package chain

import (
	"context"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Next passes a request to the rest of the chain. A nil error means that the
// response is complete.
type Next[R any] func(ctx context.Context, r R) error

// Filter is one processing step of a chain.
type Filter[R any] interface {
	Serve(ctx context.Context, r R, next Next[R]) error
}

// New composes the filters, in the given order, into one Next.
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
