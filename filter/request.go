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

// ResponseWriter notes whether the answer has begun.
type ResponseWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes the status.
func (w *ResponseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *ResponseWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// Begun reports whether any part of the answer has been written.
func (w *ResponseWriter) Begun() bool { return w.status != 0 }

// Status returns the status written, 0 before.
func (w *ResponseWriter) Status() int { return w.status }

// Unwrap lets http.ResponseController reach the connection.
func (w *ResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
