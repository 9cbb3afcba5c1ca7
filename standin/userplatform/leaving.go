package userplatform

import (
	"fmt"
	"net/http"
	"time"
)

// HeaderLeaving is 1 in all answers of an upstream that leaves.
const HeaderLeaving = "Server-Leaving"

// SayLeaving makes the upstream say in all its answers that it leaves, until it restarts.
// Its entry in the store does not change.
func (u *Upstream) SayLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leavingAt.IsZero() {
		u.leavingAt = time.Now()
	}
}

func (u *Upstream) addLeaving(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.leavingAt.IsZero() {
		h.Set(HeaderLeaving, "1")
	}
}

// LeavingViolations describes the requests that reached the upstream later than grace
// after the first one that it answered with the word that it leaves. same reports whether
// two requests came through the same instance; nil takes all instances for one. Requests
// that excused, if it is set, excuses do not count.
func (u *Upstream) LeavingViolations(grace time.Duration, same func(a, b Arrival) bool, excused func(Arrival) bool) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var found []string
	var told []Arrival // the first ones of their instances since the word
	for _, a := range u.arrivals {
		if u.leavingAt.IsZero() || a.At.Before(u.leavingAt) || excused != nil && excused(a) {
			continue
		}
		first := true
		for _, t := range told {
			if same != nil && !same(a, t) {
				continue
			}
			first = false
			if a.At.Sub(t.At) > grace {
				found = append(found, fmt.Sprintf("%s reached %s %s after it had said that it leaves", a.ID, u.ID, a.At.Sub(t.At)))
			}
		}
		if first {
			told = append(told, a)
		}
	}
	return found
}
