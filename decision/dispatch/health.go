package dispatch

import (
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// failureWeight is the weight of the newest answer in the moving failure ratio.
	failureWeight = 0.2
	// ejectRatio is the failure ratio above which an upstream is ejected, unless
	// twice the typical ratio of its service is higher.
	ejectRatio = 0.4
	// ejectBase is the duration of the first ejection; each further one is twice
	// as long, up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 8 * time.Second
	// unreachableAfter is the number of consecutive failed connections after which
	// an upstream is ejected.
	unreachableAfter = 2
	// latencyWeight is the weight of the newest latency in the moving slowness.
	latencyWeight = 0.2
	// slowHalfLife is the half-life of the measured slowness without new latencies,
	// so that an upstream that has recovered is tried again.
	slowHalfLife = 8 * time.Second
	// maxSlowness limits the slowness, and so the effect of latencies on the choice.
	maxSlowness = 8.0
)

// health is the passive health check of one upstream.
type health struct {
	failures     float64 // moving failure ratio
	refusedInRow int     // consecutive failed connections
	ejectedUntil bootclock.Time
	ejections    int
	slow         float64 // moving ratio of measured to expected latency as of slowAt, 0 if unknown
	slowAt       bootclock.Time
}

func (h *health) ejected(now bootclock.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) recordSuccess() {
	h.failures *= 1 - failureWeight
	h.refusedInRow = 0
	if h.failures < ejectRatio/4 {
		h.ejections = 0
	}
}

func (h *health) recordFailure(now bootclock.Time, typical float64) {
	h.failures += failureWeight * (1 - h.failures)
	h.refusedInRow = 0
	if h.failures > max(ejectRatio, 2*typical) {
		h.eject(now)
	}
}

func (h *health) recordRefused(now bootclock.Time) {
	if h.refusedInRow++; h.refusedInRow >= unreachableAfter {
		h.refusedInRow = 0
		h.eject(now)
	}
}

func (h *health) eject(now bootclock.Time) {
	if h.ejected(now) {
		return
	}
	h.ejectedUntil = now.Add(min(ejectBase<<min(h.ejections, 4), ejectMax))
	h.ejections++
	// After the ejection a few consecutive failures cause the next one.
	h.failures = ejectRatio / 2
}

// slowness returns the ratio of a time to the first event to the expected time, at
// most maxSlowness.
func slowness(got, expected time.Duration) float64 {
	return min(float64(got)/float64(max(expected, time.Millisecond)), maxSlowness)
}

// recordLatency records the time to a first event.
func (h *health) recordLatency(now bootclock.Time, got, expected time.Duration) {
	before := h.slowness(now)
	h.slow = before + latencyWeight*(max(slowness(got, expected), 1)-before)
	h.slowAt = now
}

// recordMinLatency records how long a request had been waiting for its first event
// when its caller left. The latency is at least that long, so it counts only if it
// raises the slowness.
func (h *health) recordMinLatency(now bootclock.Time, got, expected time.Duration) {
	if slowness(got, expected) > h.slowness(now) {
		h.recordLatency(now, got, expected)
	}
}

// slowness returns the moving ratio of measured to expected latencies, decayed to
// now; at least 1.
func (h *health) slowness(now bootclock.Time) float64 {
	if h.slow <= 1 {
		return 1
	}
	return 1 + (h.slow-1)*math.Exp2(-float64(now.Sub(h.slowAt))/float64(slowHalfLife))
}

// coldGate limits this instance's requests to a cold upstream during its slow
// start.
type coldGate struct {
	entry     *fleet.Upstream
	coldUntil bootclock.Time
	turns     turns
}

// allows reports whether a request may be sent now. An entry gives the remaining
// time for which the upstream is cold as of when the entry was written.
func (g *coldGate) allows(now bootclock.Time, instanceID string, u *fleet.Upstream, s *fleet.Service, members int) bool {
	if g.entry != u {
		g.entry = u
		if u.ColdFor > 0 {
			g.coldUntil = now.Add(time.Duration(u.ColdFor) * time.Millisecond)
		}
	}
	if s.ColdPerSecond <= 0 || !now.Before(g.coldUntil) {
		g.turns.cycle = 0
		return true
	}
	return g.turns.wait(now, instanceID, u.ID, s.ColdPerSecond*coldShare, members) == 0
}
