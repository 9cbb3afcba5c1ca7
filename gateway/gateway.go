// Package gateway takes the requests of callers on the platform's ingress and
// carries them through a chain of filters to an upstream. The decisions stand
// in packages dispatch, quota and residency; this package holds the I/O.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/chain"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// Forwarding is what the system tells an upstream beside the caller's request.
type Forwarding struct {
	Remaining time.Duration // time for the answer
	Upstream  string        // the only upstream that may run it
	Workspace string
	Priority  int    // -1 for none
	Resume    string // last event that was passed on, empty from the start
}

// AnswerHead is what the headers of an upstream's answer say.
type ResponseHead struct {
	NotRun   bool // the upstream did not run the request
	Signed   bool // the upstream vouches for the answer
	Upstream string
	ID       string
	Load     int // requests at the upstream, if Loaded
	HasLoad  bool
}

// Dialect translates the headers of one kind of ingress.
type Dialect interface {
	IDHeader() string
	// Read fills a request from a caller's headers.
	Read(http.Header, *request.Request) error
	Forward(http.Header, Forwarding)
	ReadResponse(status int, h http.Header) ResponseHead
	RetryAfter(time.Duration) string
}

// State is what the instance knows of the system.
type State interface {
	View() *fleet.View
	// Age is how long ago the desired state was proved to be the newest.
	Age(now bootclock.Time) time.Duration
	// Members is the number of instances.
	Members() int
}

// Placement brings models to upstreams. Its methods may be called from
// several goroutines.
type Placement interface {
	dispatch.Residence
	// Changed returns a channel that is closed at the next change of what is
	// served where.
	Changed() <-chan struct{}
	// Want reports a request that waits for a model; done ends it.
	Want(service, model string, deadline bootclock.Time) (done func())
	// Ran reports that a request runs at an upstream; done ends it.
	Ran(service, model, adapter, upstream string) (done func())
	// Adapter has an adapter loaded beside its model.
	Adapter(ctx context.Context, service, model, adapter string) error
	// ReadyIn estimates when a model that is not loaded will be served. It is
	// not known as long as nothing was decided.
	ReadyIn(service, model string) (d time.Duration, known bool)
	// OrdersIn returns how long nothing can be loaded, because a new leader has
	// to wait for the orders of the one before.
	OrdersIn() time.Duration
	// Absent records that an upstream does not hold what it was thought to hold.
	Absent(upstream, model, adapter string)
}

// Limiter enforces the limits of workspaces over all instances.
type Limiter interface {
	// Take spends tokens, after a wait that is no longer than patience, or
	// returns a refusal.
	Take(ctx context.Context, workspace *fleet.Workspace, tokens int64, patience time.Duration) *verdict.Refusal
}

// Request is a request with what the desired state says of it.
type Request struct {
	request.Request

	// Patience is when the caller gives up a stream that has not begun.
	FirstEventDeadline bootclock.Time
	// Quit is closed when the instance ends requests that still wait.
	Quit <-chan struct{}

	View      *fleet.View
	Route     *fleet.Route
	Service   string
	Workspace *fleet.Workspace // nil on public routes and without workspaces

	runs   int // upstreams that may have run it
	choice dispatch.Choice
	// waitedFor is what the request waited for before it was sent last, empty if
	// it did not wait.
	waitedFor  string
	sentAt     bootclock.Time // when it was sent last
	firstAt    bootclock.Time // when the first event or the whole answer came, 0 before
	eventAt    bootclock.Time // when the last event came
	longestGap time.Duration  // the longest one between two events
	// adapterLogged says that a failed load of the adapter has been logged.
	adapterLogged bool
	// grantedAt is when the workspace's tokens were granted, 0 before.
	grantedAt bootclock.Time
}

// WaitLeft returns the time for which the request may wait for an upstream.
func (r *Request) WaitLeft(now bootclock.Time) time.Duration {
	return min(r.Deadline, r.FirstEventDeadline).Sub(now)
}

// Tokens returns the cost of the request against its workspace's limit.
func (r *Request) Tokens() int64 {
	if r.Sized {
		return r.PromptTokens + r.OutputTokens
	}
	if r.Workspace != nil {
		return r.Workspace.PlainTokens
	}
	return 0
}

// Next and Filter are the chain of this package.
type (
	Next   = chain.Next[*Request]
	Filter = chain.Filter[*Request]
)
