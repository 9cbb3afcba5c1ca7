package dispatch

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// leaderlessShare is the fraction of an upstream's limit that the instances use
	// while no leader grants requests, because their turns are distributed at random
	// and some of them may still get grants.
	leaderlessShare = 0.35
	// maxRetryQueue bounds the time by which refused requests delay the retries of
	// later ones.
	maxRetryQueue = 5 * time.Second
	// askPerInstance is the shortest time between two questions about one limited
	// upstream, per instance of the fleet. It bounds what the leader is asked to 500
	// questions a second for each limited upstream.
	askPerInstance = 2 * time.Millisecond
)

// Limits holds the limits that upstreams name.
type Limits interface {
	// Limit returns the requests a second that may be sent to an upstream. limited is
	// false if it names no limit.
	Limit(upstream *fleet.Upstream) (rate float64, limited bool)
}

// limitGate excludes a limited upstream until it may get a request again.
type limitGate struct {
	until   bootclock.Time
	retryAt bootclock.Time // when the caller of the next refused request can return
	rate    float64        // requests a second that the upstream takes
	turns   turns
}

// Defer excludes a limited upstream until it may get a request again. Callers that
// are refused meanwhile can return from retryAt on.
func (b *Balancer) Defer(now bootclock.Time, u *fleet.Upstream, rate float64, until, retryAt bootclock.Time) {
	gate := &b.load(u).limit
	until = max(until, now.Add(time.Duration(b.Members)*askPerInstance))
	gate.rate, gate.until, gate.retryAt = rate, until, max(until, retryAt)
}

// TakeTurn returns the time until this instance may send a request to a limited
// upstream while there is no leader. If it is 0, the turn is used.
func (b *Balancer) TakeTurn(now bootclock.Time, u *fleet.Upstream, rate float64) time.Duration {
	t := &b.load(u).limit.turns
	wait := t.wait(now, b.InstanceID, u.ID, rate*leaderlessShare, b.Members)
	if wait == 0 {
		t.recordSent(now)
	}
	return wait
}

// deferred reports whether a limited upstream may not get a request yet. A changed
// limit ends the wait.
func (b *Balancer) deferred(now bootclock.Time, l *load, u *fleet.Upstream) bool {
	if b.Limits == nil || !now.Before(l.limit.until) {
		return false
	}
	rate, limited := b.Limits.Limit(u)
	return limited && rate == l.limit.rate
}

// RetryAfter returns the time after which the caller of a request that is refused
// because of a limit or a pause can return, behind those refused before.
func (b *Balancer) RetryAfter(now bootclock.Time, c Choice) time.Duration {
	if c.limited.pause.allowed > 0 {
		return c.limited.pause.retryAfter(now)
	}
	gate := &c.limited.limit
	after := max(gate.retryAt, gate.until).Sub(now)
	if after < maxRetryQueue {
		// The other instances refuse as many requests as this one.
		gate.retryAt = gate.retryAt.Add(time.Duration(float64(time.Second) * float64(max(b.Members, 1)) / gate.rate))
	}
	return after
}
