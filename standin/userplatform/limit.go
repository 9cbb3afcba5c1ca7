package userplatform

import (
	"fmt"
	"time"
)

// HeaderLimit names the number of requests a second that an upstream takes from all
// instances together.
const HeaderLimit = "Server-Limit"

// The rule for upstreams that name a limit: in each window of limitWindow they get at
// most limitFactor times what the limit allows, and limitSlack requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// namedLimit is a period in which the upstream names a limit.
type namedLimit struct {
	rate        float64 // requests a second
	from, until time.Time
}

// NameLimit makes the upstream name a limit in its answers from now on.
func (u *Upstream) NameLimit(rate float64) {
	u.StopNamingLimit()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limits = append(u.limits, namedLimit{rate: rate, from: time.Now()})
}

// StopNamingLimit makes the upstream name no limit from now on.
func (u *Upstream) StopNamingLimit() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l := u.currentLimit(); l != nil {
		l.until = time.Now()
	}
}

// NamesLimit reports whether the upstream names a limit now.
func (u *Upstream) NamesLimit() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.currentLimit() != nil
}

// currentLimit returns the limit that the upstream names, nil if there is none. The
// caller holds mu.
func (u *Upstream) currentLimit() *namedLimit {
	if n := len(u.limits); n > 0 && u.limits[n-1].until.IsZero() {
		return &u.limits[n-1]
	}
	return nil
}

// LimitViolations describes the windows in which the upstream got more requests, from
// all instances together, than the limit that it named allowed. Arrivals earlier than
// grace after the limit was named do not count, nor do those that excused, if it is
// set, excuses.
func (u *Upstream) LimitViolations(grace time.Duration, excused func(Arrival) bool) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var found []string
	for _, l := range u.limits {
		allowed := limitFactor*l.rate*limitWindow.Seconds() + limitSlack
		var window []time.Time
		for _, a := range u.arrivals {
			if a.At.Before(l.from.Add(grace)) || (!l.until.IsZero() && a.At.After(l.until)) || (excused != nil && excused(a)) {
				continue
			}
			window = append(window, a.At)
			for a.At.Sub(window[0]) > limitWindow {
				window = window[1:]
			}
			if float64(len(window)) > allowed {
				found = append(found, fmt.Sprintf("%s named a limit of %g a second and got %d requests in %s, allowed %g", u.ID, l.rate, len(window), limitWindow, allowed))
				window = nil
			}
		}
	}
	return found
}
