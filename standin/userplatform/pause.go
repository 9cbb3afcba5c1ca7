package userplatform

import (
	"fmt"
	"strconv"
	"time"
)

// HeaderPause of a refusal names the seconds for which an upstream wants nothing from the
// instance.
const HeaderPause = "Retry-After"

// The rule for pauses: between pauseGrace after such a refusal and the end of its time at
// most maxPauseSends requests come from the same instance.
const (
	pauseGrace    = 500 * time.Millisecond
	maxPauseSends = 2
)

// TurnAway makes the upstream refuse all requests for a time and ask for a pause until its
// end.
func (u *Upstream) TurnAway(length time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pauseEnd, u.pauseValue = time.Now().Add(length), ""
}

// TurnAwayWith makes the upstream refuse all requests for a time with the given value in
// place of the seconds of the pause.
func (u *Upstream) TurnAwayWith(value string, length time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pauseEnd, u.pauseValue = time.Now().Add(length), value
}

// pause returns the value of HeaderPause for a request that arrives now and the pause that
// it asks for, "" if the request is not refused for a pause. The caller holds mu.
func (u *Upstream) pause() (value string, length time.Duration) {
	length = time.Until(u.pauseEnd)
	switch {
	case length <= 0:
		return "", 0
	case u.pauseValue != "":
		return u.pauseValue, 0
	}
	return strconv.FormatFloat(length.Seconds(), 'f', 3, 64), length
}

// PauseViolations describes the pauses in which more requests came through the instance
// that had been asked for it than the rule allows. same reports whether two requests came
// through the same instance, and excused, if it is set, which ones do not count.
func (u *Upstream) PauseViolations(same func(a, b Arrival) bool, excused func(Arrival) bool) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var found []string
	for i, asked := range u.arrivals {
		if asked.Pause == 0 || excused != nil && excused(asked) {
			continue
		}
		sends := 0
		for _, a := range u.arrivals[i+1:] {
			after := a.At.Sub(asked.At)
			if after > pauseGrace && after < asked.Pause && same(a, asked) && (excused == nil || !excused(a)) {
				sends++
			}
		}
		if sends > maxPauseSends {
			found = append(found, fmt.Sprintf("%s asked for a pause of %s with its answer to %s; %d requests came later than %s after it, allowed %d",
				u.ID, asked.Pause, asked.ID, sends, pauseGrace, maxPauseSends))
		}
	}
	return found
}
