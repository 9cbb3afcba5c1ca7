// Package filter holds the chain behind the OpenAI surface and the routes of
// plain services: each filter does one job and either hands a request on or
// returns a refusal.
package filter

import (
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/chain"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// Request is a request with what the catalogue says of it.
type Request struct {
	request.Request

	Index     *catalog.Index
	Route     *catalog.Route
	Pool      *catalog.Pool
	Workspace catalog.Workspace
	KeyHash   string // empty on open routes without a key

	Chat  *Chat // nil for service routes
	Cost  int64 // tokens reserved
	Used  int64 // tokens to charge at the end
	Known bool  // Used comes from the upstream
}

// Next hands a request to the rest of the chain.
type Next = chain.Next[*Request]

// Filter does one job for every request.
type Filter = chain.Filter[*Request]

// Chain returns the filters as one Next.
func Chain(filters ...Filter) Next { return chain.New(filters...) }
