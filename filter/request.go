// Package filter implements the filter chain for the OpenAI API and the routes
// of plain services. Each filter either passes a request to the next one or
// returns a refusal.
package filter

import (
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/chain"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// Request is a request with its catalogue entries and token accounting.
type Request struct {
	request.Request

	Index     *catalog.Index
	Route     *catalog.Route
	Pool      *catalog.Pool
	Workspace catalog.Workspace
	KeyHash   string // empty on open routes without a key

	Chat      *Chat // nil for service routes
	Cost      int64 // tokens reserved
	Used      int64 // tokens to charge at the end
	UsedKnown bool  // Used is known, reported by the upstream or counted from its stream
}

// Next passes a request to the rest of the chain.
type Next = chain.Next[*Request]

// Filter is one stage of the chain.
type Filter = chain.Filter[*Request]

// Chain combines the filters, in order, into one Next.
func Chain(filters ...Filter) Next { return chain.New(filters...) }
