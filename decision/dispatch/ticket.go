package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Ticket represents a request in flight at an upstream.
type Ticket struct {
	load     *load
	demand   Demand
	started  bootclock.Time
	first    bool
	finished bool
}

// pendingSlowness returns the ratio of the time for which the oldest request has
// been waiting for its first event to the expected time, 0 if no request waits.
// Without it an upstream that does not answer would look idle, since it does not
// report its load either.
func (l *load) pendingSlowness(now bootclock.Time) float64 {
	if len(l.unanswered) == 0 {
		return 0
	}
	return slowness(now.Sub(l.unanswered[0].started), l.unanswered[0].expected())
}

// removeUnanswered removes a request from those without a first event.
func (l *load) removeUnanswered(t *Ticket) {
	if i := slices.Index(l.unanswered, t); i >= 0 {
		l.unanswered = slices.Delete(l.unanswered, i, i+1)
	}
}

// RecordFirstEvent records the first event of a request, by which time its prompt has been
// read. Calls after the first have no effect.
func (t *Ticket) RecordFirstEvent(now bootclock.Time) {
	if t.first {
		return
	}
	t.first = true
	t.load.pause.recordAnswer(now)
	t.load.removeUnanswered(t)
	t.load.prefill -= t.demand.Prompt
	t.load.health.recordLatency(now, now.Sub(t.started), t.expected())
}

// expected returns the expected time to the first event at an idle upstream.
func (t *Ticket) expected() time.Duration {
	return time.Duration(float64(t.demand.Prompt)/prefillTokensPerMS*float64(time.Millisecond)) + 60*time.Millisecond
}

// RecordLoad records the number of requests at the upstream that an answer reports.
func (t *Ticket) RecordLoad(now bootclock.Time, requests int) {
	t.load.reported = max(requests-t.load.running, 0)
	t.load.reportedAt = now
}

// paceHalfLife is the time in which what an upstream says about its pace loses half of its
// worth. The pace changes many times a second.
const paceHalfLife = 250 * time.Millisecond

// RecordPace records how long work takes at the upstream, 100 being usual.
func (t *Ticket) RecordPace(now bootclock.Time, pace float64) {
	t.load.pace, t.load.paceAt = pace, now
}

// paceFactor returns the factor by which work at the upstream takes longer than usual, drawn
// towards 1 with the age of what the upstream has said.
func (l *load) paceFactor(now bootclock.Time) float64 {
	if l.paceAt == 0 {
		return 1
	}
	worth := math.Exp2(-float64(now.Sub(l.paceAt)) / float64(paceHalfLife))
	return 1 + (l.pace/100-1)*worth
}
