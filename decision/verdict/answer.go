package verdict

import (
	"fmt"
	"net/http"
)

// promises holds the statuses that guarantee to a caller that its request has not run and
// will not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// PromisesNotRun reports whether a status guarantees to a caller that its request has not
// run and will not run.
func PromisesNotRun(status int) bool { return promises[status] }

// Answer is what the head of an upstream's answer says.
type Answer struct {
	Status  int
	Own     bool // names the request that it answers
	Signed  bool // bears the upstream's signature
	Encoded bool // the body is not as the upstream wrote it
	Events  bool // the body is a stream of events
	NotRun  bool // states that the upstream did not run the request
}

// Expected is what a caller can be given.
type Expected struct {
	Events bool // only a stream of events answers the request
	Begun  bool // the caller has a part of a stream, so that only its rest may follow
}

// Use is what may be done with an answer.
type Use uint8

// Uses of answers.
const (
	// Discard means that nothing of the answer may reach the caller, and that the request
	// may have run.
	Discard Use = iota
	// Decline means that the upstream did not run the request.
	Decline
	// PassEvents means that the events of the body may be passed on.
	PassEvents
	// PassBody means that the status and the body may be passed on.
	PassBody
)

// Success reports whether the upstream has served the request.
func (a Answer) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Judge decides about an answer by its head alone, so that the length of the body, which
// may have no end, does not matter. The problem says why an answer is discarded.
func (a Answer) Judge(e Expected) (use Use, problem string) {
	switch {
	case a.NotRun && !a.Own:
		// It may be the refusal of another request, while the upstream runs this one.
		return Discard, "refusal that names no request"
	case a.NotRun && a.Success():
		return Discard, fmt.Sprintf("status %d of a request that was not run", a.Status)
	case a.NotRun:
		return Decline, ""
	case e.Begun && !(a.Success() && a.Events):
		return Discard, fmt.Sprintf("status %d in place of the rest of a stream", a.Status)
	case PromisesNotRun(a.Status):
		return Discard, fmt.Sprintf("status %d of a request that may have run", a.Status)
	case !a.Signed:
		return Discard, fmt.Sprintf("status %d without a signature", a.Status)
	case !a.Success():
		return PassBody, ""
	case !a.Own:
		return Discard, "success that names no request"
	case a.Encoded:
		return Discard, "encoded body"
	case a.Events:
		return PassEvents, ""
	case e.Events:
		return Discard, "no stream of events"
	default:
		return PassBody, ""
	}
}
