package dispatch

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// maxPause bounds the pause that one answer can ask for: a wrong value, or an upstream
	// that has recovered, is noticed within a minute.
	maxPause = time.Minute
	// rampEnd is the number of requests in flight at which the ramp after a pause ends.
	rampEnd = 16
	// pauseSpacing is the time between the returns of two callers that are refused during
	// a pause.
	pauseSpacing = 20 * time.Millisecond
)

// pauseGate excludes an upstream that wants nothing from this instance for a time. After
// the pause it admits one request, and with each one that is answered two more, so that
// the requests that came meanwhile do not all return at once.
type pauseGate struct {
	until bootclock.Time
	// allowed is the number of requests that may be in flight, 0 for no bound.
	allowed int
	retryAt bootclock.Time // when the caller of the next refused request can return
}

// Pause records that an upstream turned a request away and wants nothing for a time from
// this instance. It returns the end of the pause and whether that is new.
func (b *Balancer) Pause(now bootclock.Time, u *fleet.Upstream, length time.Duration) (until bootclock.Time, changed bool) {
	gate := &b.load(u).pause
	until = now.Add(min(length, maxPause))
	if length <= 0 || until <= gate.until {
		return gate.until, false
	}
	changed = now >= gate.until
	gate.until, gate.allowed = until, 1
	return until, changed
}

// blocks reports whether the upstream may not get a request of this instance, which has a
// number of them in flight there.
func (g *pauseGate) blocks(now bootclock.Time, running int) bool {
	return now.Before(g.until) || g.allowed > 0 && running >= g.allowed
}

// PausedUntil returns the end of the pause of an upstream, 0 if it never wanted one.
func (b *Balancer) PausedUntil(id string) bootclock.Time {
	if l := b.loads[id]; l != nil {
		return l.pause.until
	}
	return 0
}

// retryAfter returns the time after which the caller of a request that is refused during
// the pause can return, behind those refused before.
func (g *pauseGate) retryAfter(now bootclock.Time) time.Duration {
	at := max(g.retryAt, g.until, now)
	if at.Sub(max(g.until, now)) < maxRetryQueue {
		g.retryAt = at.Add(pauseSpacing)
	}
	return at.Sub(now)
}

// recordAnswer widens the ramp after a request was answered.
func (g *pauseGate) recordAnswer(now bootclock.Time) {
	if g.allowed == 0 || now.Before(g.until) {
		return
	}
	if g.allowed += 2; g.allowed >= rampEnd {
		g.allowed = 0
	}
}
