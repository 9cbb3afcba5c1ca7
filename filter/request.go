// Package filter holds the chain that every caller's request passes: each
// filter does one job and either hands the request on or returns a refusal.
package filter

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/catalog"
	"github.com/hibiscusyard/hibiscusyard/chain"
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

// Next hands a request to the rest of the chain.
type Next = chain.Next[*Request]

// Filter does one job for every request.
type Filter = chain.Filter[*Request]

// Chain returns the filters as one Next.
func Chain(filters ...Filter) Next { return chain.New(filters...) }
