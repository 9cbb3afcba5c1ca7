// Package filter holds the chain that every caller's request passes: each
// filter does one job and either hands the request on or returns a refusal.
package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/catalog"
	"github.com/hibiscusyard/hibiscusyard/verdict"
)

// Request is one caller's request on its way through the chain. It belongs to
// one goroutine.
type Request struct {
	ID       string
	Arrived  time.Time
	Deadline time.Time
	HTTP     *http.Request
	Writer   *ResponseWriter

	Index     *catalog.Index
	Route     *catalog.Route
	Pool      *catalog.Pool
	Workspace catalog.Workspace
	KeyHash   string // empty on open routes without a key

	Body  []byte
	Chat  *Chat // nil for service routes
	Cost  int64 // tokens reserved
	Used  int64 // tokens to charge at the end
	Known bool  // Used comes from the upstream
	// Claimed says that the request holds a claim and must run at most once.
	Claimed bool

	Attempt verdict.Attempt
	Log     log.Interface
}

// Model returns the model that the request names, empty for service routes.
func (r *Request) Model() string {
	if r.Chat == nil {
		return ""
	}
	return r.Chat.Model
}

// Next hands a request to the rest of the chain. A nil error means that the
// answer is complete.
type Next func(ctx context.Context, r *Request) error

// Filter does one job for every request.
type Filter interface {
	Serve(ctx context.Context, r *Request, next Next) error
}

// Chain returns the filters as one Next.
func Chain(filters ...Filter) Next {
	next := Next(func(_ context.Context, r *Request) error {
		return r.Attempt.Refuse(verdict.InternalError, "the chain has no last filter")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		f, inner := filters[i], next
		next = func(ctx context.Context, r *Request) error { return f.Serve(ctx, r, inner) }
	}
	return next
}
