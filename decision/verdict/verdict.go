// Package verdict defines the refusals of requests that are not served. Each
// states whether an upstream may have run the request.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Verdict states whether an upstream may have run a request, that is, whether a
// retry could run it twice.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an unset verdict never marks a
	// request as safe to retry.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream can have run the request; a retry is safe.
	NotRun
)

// String returns the verdict as it appears in responses and logs.
func (v Verdict) String() string {
	if v == NotRun {
		return "not_run"
	}
	return "may_have_run"
}

// Reason is the machine-readable code of a refusal.
type Reason string

// Reasons of refusals. Each maps to one HTTP status.
const (
	BadRequest            Reason = "bad_request"
	BodyTooLarge          Reason = "body_too_large"
	HeadersTooLarge       Reason = "headers_too_large"
	MissingKey            Reason = "missing_key"
	InvalidKey            Reason = "invalid_key"
	KeyWithdrawn          Reason = "key_withdrawn"
	Forbidden             Reason = "forbidden"
	UnknownRoute          Reason = "unknown_route"
	UnknownModel          Reason = "unknown_model"
	MethodNotAllowed      Reason = "method_not_allowed"
	RateLimited           Reason = "rate_limited"
	TooLarge              Reason = "exceeds_burst"
	QueueFull             Reason = "queue_full"
	DeadlineTooShort      Reason = "deadline_too_short"
	DeadlineExceeded      Reason = "deadline_exceeded"
	NoUpstream            Reason = "no_upstream"
	PlacementUnavailable  Reason = "placement_unavailable"
	ConfigurationStale    Reason = "configuration_stale"
	NotReady              Reason = "not_ready"
	Draining              Reason = "draining"
	UpstreamFailed        Reason = "upstream_failed"
	UpstreamOverloaded    Reason = "upstream_overloaded"
	UpstreamInvalidAnswer Reason = "upstream_invalid_answer"
	UpstreamTruncated     Reason = "upstream_truncated"
	Quarantined           Reason = "quarantined"
	OriginUnknown         Reason = "stream_origin_unknown" // which software version began the stream
	VersionGone           Reason = "software_version_gone" // the one that began the stream
	ClaimUnavailable      Reason = "claim_unavailable"
	AlreadyRun            Reason = "already_run"
	OutcomeUnknown        Reason = "outcome_unknown"
	IdempotencyKeyReused  Reason = "idempotency_key_reused"
	IdempotencyKeyInvalid Reason = "idempotency_key_invalid"
	RequestInProgress     Reason = "request_in_progress"
	MemoryFull            Reason = "memory_full" // of this instance
	CallerGone            Reason = "caller_gone"
	InternalError         Reason = "internal_error"
)

var statuses = map[Reason]int{
	BadRequest:            http.StatusBadRequest,
	BodyTooLarge:          http.StatusRequestEntityTooLarge,
	HeadersTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
	MissingKey:            http.StatusUnauthorized,
	InvalidKey:            http.StatusUnauthorized,
	KeyWithdrawn:          http.StatusUnauthorized,
	Forbidden:             http.StatusForbidden,
	UnknownRoute:          http.StatusNotFound,
	UnknownModel:          http.StatusNotFound,
	MethodNotAllowed:      http.StatusMethodNotAllowed,
	RateLimited:           http.StatusTooManyRequests,
	TooLarge:              http.StatusBadRequest,
	QueueFull:             http.StatusServiceUnavailable,
	DeadlineTooShort:      http.StatusServiceUnavailable,
	DeadlineExceeded:      http.StatusGatewayTimeout,
	NoUpstream:            http.StatusServiceUnavailable,
	PlacementUnavailable:  http.StatusServiceUnavailable,
	ConfigurationStale:    http.StatusServiceUnavailable,
	NotReady:              http.StatusServiceUnavailable,
	Draining:              http.StatusServiceUnavailable,
	UpstreamFailed:        http.StatusBadGateway,
	UpstreamOverloaded:    http.StatusServiceUnavailable,
	UpstreamInvalidAnswer: http.StatusBadGateway,
	UpstreamTruncated:     http.StatusBadGateway,
	Quarantined:           http.StatusServiceUnavailable,
	OriginUnknown:         http.StatusServiceUnavailable,
	VersionGone:           http.StatusServiceUnavailable,
	ClaimUnavailable:      http.StatusServiceUnavailable,
	AlreadyRun:            http.StatusConflict,
	OutcomeUnknown:        http.StatusConflict,
	IdempotencyKeyReused:  http.StatusUnprocessableEntity,
	IdempotencyKeyInvalid: http.StatusBadRequest,
	RequestInProgress:     http.StatusConflict,
	MemoryFull:            http.StatusServiceUnavailable,
	CallerGone:            499,
	InternalError:         http.StatusInternalServerError,
}

// Refusal is the error of a request that is not served. Its verdict is set
// only by the constructors and by an Attempt.
type Refusal struct {
	Reason     Reason
	Message    string
	RetryAfter time.Duration // time after which a retry can succeed; 0 if unknown
	Cause      error
	verdict    Verdict
}

// New returns a refusal of a request that was never sent to an upstream.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Message: fmt.Sprintf(format, args...), verdict: NotRun}
}

// Verdict reports whether the request may have run.
func (r *Refusal) Verdict() Verdict { return r.verdict }

// Status returns the HTTP status that belongs to the reason.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WithRetryAfter sets the time after which a retry can succeed and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithCause sets the underlying error and returns r. The error is logged but not
// sent to the caller.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Cause = err
	return r
}

func (r *Refusal) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", r.Reason, r.verdict, r.Message, r.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.verdict, r.Message)
}

func (r *Refusal) Unwrap() error { return r.Cause }

// From returns the refusal in err's chain. An error without one becomes an
// internal error that may have run.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Reason: InternalError, Message: "internal error", Cause: err}
}

// Attempt tracks the tries of one request that may have reached an upstream.
// After forwarding has begun, all refusals of the request must come from its
// Refuse method. Its methods are safe for concurrent use.
type Attempt struct {
	exposed atomic.Int32 // tries that may have reached an upstream, less those that it reported as not run
}

// MarkSent records that a byte of the request may reach an upstream. It must be
// called before the first write of a try.
func (a *Attempt) MarkSent() { a.exposed.Add(1) }

// MarkNotRun records that the upstream reported that it did not run the last
// exposed try.
func (a *Attempt) MarkNotRun() { a.exposed.Add(-1) }

// Verdict reports whether any try may have run.
func (a *Attempt) Verdict() Verdict {
	if a.exposed.Load() == 0 {
		return NotRun
	}
	return MayHaveRun
}

// Refuse returns a refusal with the verdict of the tries so far.
func (a *Attempt) Refuse(reason Reason, format string, args ...any) *Refusal {
	r := New(reason, format, args...)
	r.verdict = a.Verdict()
	return r
}
