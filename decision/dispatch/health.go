package dispatch

import (
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// failureWeight is the weight of the newest answer in the share of failures.
	failureWeight = 0.2
	// ejectShare is the share of failures from which an upstream is ejected,
	// on top of twice the usual share of its kind.
	ejectShare = 0.4
	// ejectBase is the first ejection; each further one is twice as long, up
	// to ejectMax.
	ejectBase = time.Second
	ejectMax  = 8 * time.Second
	// unreachableAfter is how many failed connections in a row eject.
	unreachableAfter = 2
	// latencyWeight is the weight of the newest latency.
	latencyWeight = 0.2
	// slowHalfLife is how fast a slow upstream is forgotten without new latencies,
	// so that one that has recovered is tried again.
	slowHalfLife = 8 * time.Second
	// maxSlowness bounds the effect of latencies on the choice.
	maxSlowness = 8.0
)

// health is the passive health check of one upstream.
type health struct {
	failures  float64 // moving share of failures
	refused   int     // failed connections in a row
	until     bootclock.Time
	ejections int
	slow      float64 // moving ratio of latency to the expected one, 0 if unknown
	slowAt    bootclock.Time
}

func (h *health) ejected(now bootclock.Time) bool { return now.Before(h.until) }

func (h *health) served() {
	h.failures *= 1 - failureWeight
	h.refused = 0
	if h.failures < ejectShare/4 {
		h.ejections = 0
	}
}

func (h *health) failed(now bootclock.Time, typical float64) {
	h.failures += failureWeight * (1 - h.failures)
	h.refused = 0
	if h.failures > max(ejectShare, 2*typical) {
		h.eject(now)
	}
}

func (h *health) unreachable(now bootclock.Time) {
	if h.refused++; h.refused >= unreachableAfter {
		h.refused = 0
		h.eject(now)
	}
}

func (h *health) eject(now bootclock.Time) {
	if h.ejected(now) {
		return
	}
	h.until = now.Add(min(ejectBase<<min(h.ejections, 4), ejectMax))
	h.ejections++
	// After the ejection a few failures in a row are enough for the next one.
	h.failures = ejectShare / 2
}

// slowness returns the ratio of a time to the first event to the expected one.
func slowness(got, expected time.Duration) float64 {
	return min(float64(got)/float64(max(expected, time.Millisecond)), maxSlowness)
}

// latency takes over the time to a first event.
func (h *health) latency(now bootclock.Time, got, expected time.Duration) {
	before := h.slowness(now)
	h.slow = before + latencyWeight*(max(slowness(got, expected), 1)-before)
	h.slowAt = now
}

// atLeast takes over for how long a request was without its first event when
// its caller left.
func (h *health) atLeast(now bootclock.Time, got, expected time.Duration) {
	if slowness(got, expected) > h.slowness(now) {
		h.latency(now, got, expected)
	}
}

// slowness returns the moving ratio of latencies to the expected ones, at least 1.
func (h *health) slowness(now bootclock.Time) float64 {
	if h.slow <= 1 {
		return 1
	}
	return 1 + (h.slow-1)*math.Exp2(-float64(now.Sub(h.slowAt))/float64(slowHalfLife))
}

// coldGate limits this instance's share of the requests to a cold upstream.
// Each instance has a turn of its own in a cycle as long as the sum over all
// instances allows: a bare rate for each would let all of them send one request
// in the same moment.
type coldGate struct {
	entry *fleet.Upstream
	until bootclock.Time
	next  bootclock.Time
	gap   time.Duration
}

// open reports whether a request may be sent now. An entry says for how long
// the upstream stays cold from when it was written.
func (g *coldGate) open(now bootclock.Time, self string, u *fleet.Upstream, s *fleet.Service, members int) bool {
	if g.entry != u {
		g.entry = u
		if u.ColdFor > 0 {
			g.until = now.Add(time.Duration(u.ColdFor) * time.Millisecond)
		}
	}
	if s.ColdPerSecond <= 0 || !now.Before(g.until) {
		g.gap = 0
		return true
	}
	g.gap = time.Duration(float64(time.Second) * float64(max(members, 1)) / (s.ColdPerSecond * coldShare))
	turn := time.Duration(fraction(self, u.ID) * float64(g.gap))
	sinceTurn := (time.Duration(now) + g.gap - turn) % g.gap
	return sinceTurn < coldTurn && !now.Before(g.next)
}

// sent counts a request. The next one is for the next turn.
func (g *coldGate) sent(now bootclock.Time) {
	g.next = now.Add(min(g.gap, max(g.gap-coldTurn, g.gap/2)))
}
