// Package gateway receives requests on the platform's ingress and forwards
// them through a chain of filters to an upstream. The decisions are made in
// packages dispatch, quota and residency; this package does the I/O.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/decision/quarantine"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/chain"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// Forwarding holds the values that the gateway adds to the headers of a
// forwarded request.
type Forwarding struct {
	Remaining time.Duration // time until the deadline
	Upstream  string        // the only upstream that may run it
	Workspace string
	Priority  int    // -1 for none
	Resume    string // ID of the last event that the caller received, empty to start from the beginning
}

// ResponseHead holds the values that the gateway reads from the headers of an
// upstream's response.
type ResponseHead struct {
	NotRun bool // the upstream did not run the request
	// Misdirected is set if another upstream may have answered at the address.
	Misdirected bool
	Signed      bool // the response has the upstream's signature header
	Upstream    string
	ID          string
	Load        int // requests running or waiting at the upstream, if HasLoad
	HasLoad     bool
	// Pace is how long work takes at the upstream now, 100 being usual; 0 if it does not say.
	Pace float64
	// RateLimit is the number of requests a second that the upstream takes from all
	// instances together, if HasRateLimit.
	RateLimit    float64
	HasRateLimit bool
	Leaving      bool // the upstream says that it leaves
	// Pause is the time for which the upstream wants nothing from this instance, 0 if it
	// turned no request away for a time.
	Pause time.Duration
}

// From reports whether an answer at the address of an upstream is that upstream's own.
func (h ResponseHead) From(upstream string) bool {
	return h.Upstream == upstream || h.Upstream == "" && !h.Misdirected
}

// Dialect reads and writes the headers of one kind of ingress.
type Dialect interface {
	IDHeader() string
	// Read fills a request from a caller's headers.
	Read(http.Header, *request.Request) error
	Forward(http.Header, Forwarding)
	ReadResponse(status int, h http.Header) ResponseHead
	RetryAfter(time.Duration) string
}

// State provides the instance's current view of the system.
type State interface {
	View() *fleet.View
	// Age returns the time since the desired state was last confirmed to be the
	// newest version.
	Age(now bootclock.Time) time.Duration
	// Members returns the number of instances.
	Members() int
}

// Placement tracks and requests the loading of models on upstreams. Its methods
// are safe for concurrent use.
type Placement interface {
	dispatch.ServedModels
	// Changed returns a channel that is closed at the next change of the
	// placement of models.
	Changed() <-chan struct{}
	// RecordWaiting records a request that waits for a model, until done is called.
	RecordWaiting(service, model string, deadline bootclock.Time) (done func())
	// RecordRunning records a request that runs at an upstream, until done is called.
	RecordRunning(service, model, adapter, upstream string) (done func())
	// RecordRefused records a request for a model that is refused because no upstream can
	// serve it in time.
	RecordRefused(service, model string)
	// LoadAdapter loads an adapter on an upstream that has its model and that software
	// allows.
	LoadAdapter(ctx context.Context, service, model, adapter string, software fleet.VersionConstraint) error
	// ReadyIn estimates the time until a model that is not loaded will be
	// served. known is false if there is no estimate because no load of it
	// has been decided.
	ReadyIn(service, model string) (d time.Duration, known bool)
	// TimeUntilOrders returns the time during which nothing can be loaded because a new
	// leader still waits for the orders of its predecessor, 0 otherwise.
	TimeUntilOrders() time.Duration
	// RecordAbsent records that an upstream does not have a model or adapter that it
	// was expected to have.
	RecordAbsent(upstream, model, adapter string)
}

// Limiter enforces the rate limits of workspaces across all instances.
type Limiter interface {
	// Take takes tokens from the workspace's limit, waiting for them at most
	// maxWait, or returns a refusal.
	Take(ctx context.Context, workspace *fleet.Workspace, tokens int64, maxWait time.Duration) *verdict.Refusal
}

// UpstreamLimits keeps the limits that upstreams name, over all instances. Its methods
// are safe for concurrent use.
type UpstreamLimits interface {
	dispatch.Limits
	// RecordLimit records what an answer of an upstream said about its limit.
	RecordLimit(upstream *fleet.Upstream, s upstreamlimit.Statement)
	// RecordDeparture records that the run of an upstream leaves or has ended.
	RecordDeparture(upstream *fleet.Upstream, kind upstreamlimit.Departure)
	// TakeSend asks for one send to a limited upstream that waits at most maxWait.
	TakeSend(ctx context.Context, upstream *fleet.Upstream, maxWait time.Duration) (upstreamlimit.Grant, error)
	// PruneLimits forgets upstreams that are no longer registered.
	PruneLimits(v *fleet.View)
}

// Places admits requests to engines over all instances, in services with fleet.Service.Admitted.
// Its methods are safe for concurrent use.
type Places interface {
	// TakePlace asks for a place at one of several upstreams, the preferred one first. It waits at most until the
	// latest useful start, and returns no upstream but the time to return if the request is
	// refused. It fails if there is no leader.
	TakePlace(ctx context.Context, service, model string, upstreams []string, priority int, prompt, tokens int64, onTime, latest time.Duration) (upstream string, retryAfter time.Duration, err error)
	// RecordPace records how long work takes at an upstream, as it says in an answer.
	RecordPace(upstream string, pace float64)
}

// Usage counts requests for the usage reports. Its methods are safe for concurrent use.
type Usage interface {
	// RecordUsage records that a request of a workspace begins to run at an upstream now.
	// Requests without a workspace are not counted.
	RecordUsage(workspace string)
}

// Quarantine keeps requests that crash upstreams from being sent. Its methods are safe
// for concurrent use.
type Quarantine interface {
	// Blocked returns the quarantined cause of a request that has to wait longest, and
	// the time until it may be tried again, 0 if a trial is due. blocked is false if
	// there is none.
	Blocked(now bootclock.Time, causes []quarantine.Cause) (cause quarantine.Cause, wait time.Duration, blocked bool)
	// TakeTrial asks for one request with a quarantined cause to be sent. It fails if
	// there is no leader.
	TakeTrial(ctx context.Context, cause quarantine.Cause) (quarantine.Trial, error)
	// RecordCrash records that an upstream crashed while it had a request with the
	// causes.
	RecordCrash(upstream *fleet.Upstream, causes []quarantine.Cause)
	// RecordSuccess records that an upstream began to answer a request with the causes
	// and went on.
	RecordSuccess(causes []quarantine.Cause, began bootclock.Time)
	// MayRepeat reports whether a request may be sent again after its upstream crashed.
	MayRepeat(causes []quarantine.Cause) bool
}

// Origins knows which software version began a stream, over all instances. Its methods are
// safe for concurrent use.
type Origins interface {
	// RecordOrigin records that the attempt with the request ID brought the first event of a
	// stream.
	RecordOrigin(request string, o origin.Origin)
	// VersionsNotYet returns the software versions of a service at which no stream may begin
	// yet.
	VersionsNotYet(service string) []string
	// FindOrigin returns where the stream began that the attempt with the request ID brought
	// the first event of: at one of the services of a route, the given one unless the stream
	// is recorded. It waits for other instances at most maxWait. final is set if a later call can't
	// find more than this one.
	FindOrigin(ctx context.Context, request string, services []string, service string, maxWait time.Duration) (o origin.Origin, source origin.Source, final bool)
}

// Request is a request with the route, service and workspace that the desired
// state assigns to it.
type Request struct {
	request.Request

	// FirstEventDeadline is when the caller abandons a stream that has not
	// delivered an event. For routes of other kinds it equals Deadline.
	FirstEventDeadline bootclock.Time
	// Quit is closed when the instance sends no more requests to upstreams, except the rest
	// of streams that callers have a part of.
	Quit <-chan struct{}

	View      *fleet.View
	Route     *fleet.Route
	Service   string
	Workspace *fleet.Workspace // nil on public routes and without workspaces

	// software is the version at which a stream that has begun may go on.
	software fleet.VersionConstraint

	runs   int // sends that an upstream may have run
	choice dispatch.Choice
	// waitedFor is the reason of the wait before the last send, empty if there
	// was none.
	waitedFor  string
	sentAt     bootclock.Time // time of the last send
	firstAt    bootclock.Time // arrival of the first event or the complete response, 0 before
	eventAt    bootclock.Time // arrival of the last event
	longestGap time.Duration  // longest time between two events
	events     int            // events of the last send that were relayed
	// rateLimit is the limit that the last response named, -1 if it named none.
	rateLimit float64
	// adapterLogged is set once a failed load of the adapter has been logged.
	adapterLogged bool
	// crashCauses holds the result of causes, nil before its first call.
	crashCauses []quarantine.Cause
	// trialOf is the quarantined cause that the request may be sent with, if trialTaken
	// is set.
	trialOf    quarantine.Cause
	trialTaken bool
	// place is the upstream at which the request has a place since placeAt.
	place   string
	placeAt bootclock.Time
	// grantedAt is when the workspace's tokens were granted, 0 if they were not.
	grantedAt bootclock.Time
}

// WaitLeft returns the time for which the request may wait for an upstream.
func (r *Request) WaitLeft(now bootclock.Time) time.Duration {
	return min(r.Deadline, r.FirstEventDeadline).Sub(now)
}

// Tokens returns the cost of the request against its workspace's limit.
func (r *Request) Tokens() int64 {
	if r.TokensKnown {
		return r.PromptTokens + r.OutputTokens
	}
	if r.Workspace != nil {
		return r.Workspace.PlainTokens
	}
	return 0
}

// causes returns what the request may crash an upstream with. The body must have been
// read.
func (r *Request) causes() []quarantine.Cause {
	if r.crashCauses == nil {
		r.crashCauses = quarantine.Causes(r.SharedParts(), r.Fingerprint())
	}
	return r.crashCauses
}

// mustQuit reports whether Quit is closed.
func (r *Request) mustQuit() bool {
	select {
	case <-r.Quit:
		return true
	default:
		return false
	}
}

// canceled returns the refusal of a request whose context is done: its caller has left, or
// this instance ends.
func (r *Request) canceled(ctx context.Context) *verdict.Refusal {
	if !errors.Is(context.Cause(ctx), errEnded) {
		return r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection")
	}
	refusal := r.Attempt.Refuse(verdict.Draining, "this instance ended before the answer")
	if refusal.Verdict() == verdict.NotRun {
		refusal.RetryAfter = drainingRetryAfter
	}
	return refusal
}

// Next and Filter are the types of this package's filter chain.
type (
	Next   = chain.Next[*Request]
	Filter = chain.Filter[*Request]
)
