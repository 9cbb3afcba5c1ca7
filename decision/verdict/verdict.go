// Package verdict says, for every request that is not served, whether an
// upstream may have run it.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Verdict tells a caller whether repeating a request can run it twice.
type Verdict uint8

const (
	// MayHaveRun is the zero value, so that an unset verdict never claims too much.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream can have run the request.
	NotRun
)

// String returns the verdict as it appears in answers and logs.
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
	ClaimUnavailable      Reason = "claim_unavailable"
	AlreadyRun            Reason = "already_run"
	OutcomeUnknown        Reason = "outcome_unknown"
	IdempotencyKeyReused  Reason = "idempotency_key_reused"
	IdempotencyKeyInvalid Reason = "idempotency_key_invalid"
	RequestInProgress     Reason = "request_in_progress"
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
	ClaimUnavailable:      http.StatusServiceUnavailable,
	AlreadyRun:            http.StatusConflict,
	OutcomeUnknown:        http.StatusConflict,
	IdempotencyKeyReused:  http.StatusUnprocessableEntity,
	IdempotencyKeyInvalid: http.StatusBadRequest,
	RequestInProgress:     http.StatusConflict,
	CallerGone:            499,
	InternalError:         http.StatusInternalServerError,
}

// Refusal is the error of a request that is not served. Its verdict is set
// only by the constructors and by an Attempt.
type Refusal struct {
	Reason     Reason
	Message    string
	RetryAfter time.Duration // 0 when no time to come back is known
	Cause      error
	verdict    Verdict
}

// New returns a refusal of a request that was never handed to an upstream.
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

// After sets the time after which a repeat can succeed.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Because records the error behind the refusal; it is logged, not sent.
func (r *Refusal) Because(err error) *Refusal {
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

// Attempt tracks what has been handed to upstreams for one request. It is the
// only source of refusals after forwarding has begun. Its methods may be
// called from several goroutines.
type Attempt struct {
	exposed atomic.Int32 // tries of which a byte may have reached an upstream and that were not disowned
}

// Expose records that a byte of the request may leave for an upstream. It
// must be called before the write.
func (a *Attempt) Expose() { a.exposed.Add(1) }

// Disown records that the upstream itself said that it did not run the last
// exposed try.
func (a *Attempt) Disown() { a.exposed.Add(-1) }

// Verdict reports whether any try may have run.
func (a *Attempt) Verdict() Verdict {
	if a.exposed.Load() == 0 {
		return NotRun
	}
	return MayHaveRun
}

// Refuse returns a refusal whose verdict follows from the tries so far.
func (a *Attempt) Refuse(reason Reason, format string, args ...any) *Refusal {
	r := New(reason, format, args...)
	r.verdict = a.Verdict()
	return r
}
