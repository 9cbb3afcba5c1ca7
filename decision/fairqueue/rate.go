package fairqueue

import (
	"maps"
	"math"
	"time"
)

const (
	// meterDecay is the time constant of the service rate. Model loads and ramp-ups
	// change capacity within tens of seconds.
	meterDecay = 10 * time.Second
	// minMeasured is the busy time that must be measured before the rate is used to
	// refuse a request. A shorter sample may consist of a single answer.
	minMeasured = time.Second
	// minQueued separates entries that waited from those served immediately, which
	// do not measure the rate under load.
	minQueued = time.Millisecond
	// maxIdleClasses is the number of classes from which adding another evicts the
	// rates of all classes without waiting entries.
	maxIdleClasses = 256
)

// meter measures tokens served per second while entries wait.
type meter struct {
	waiting      int
	countedUntil time.Time // start of the interval not yet counted
	tokens       float64
	busySeconds  float64 // decayed like tokens
}

// meter returns the meter of a class. If the class has no waiting entries, a busy
// period starts now.
func (q *Queue[T]) meter(now time.Time, class string) *meter {
	m, ok := q.classes[class]
	if !ok {
		if len(q.classes) >= maxIdleClasses {
			maps.DeleteFunc(q.classes, func(_ string, m *meter) bool { return m.waiting == 0 })
		}
		m = &meter{}
		q.classes[class] = m
	}
	if m.waiting == 0 {
		m.countedUntil = now
	}
	return m
}

// served records an entry that was removed for service.
func (m *meter) served(now, queued time.Time, cost int64) {
	if now.Sub(queued) < minQueued {
		return
	}
	elapsed := max(now.Sub(m.countedUntil).Seconds(), 0)
	keep := math.Exp(-elapsed / meterDecay.Seconds())
	m.tokens = m.tokens*keep + float64(cost)
	m.busySeconds = m.busySeconds*keep + elapsed
	m.countedUntil = now
}

// wait returns the expected time until the tokens ahead have been served, or 0 if
// too little has been measured. The time since the last service counts as busy, so
// that a stall lowers the rate.
func (m *meter) wait(now time.Time, ahead int64) time.Duration {
	if ahead == 0 || m.tokens == 0 {
		return 0
	}
	busy := m.busySeconds + max(now.Sub(m.countedUntil).Seconds(), 0)
	if busy < minMeasured.Seconds() {
		return 0
	}
	seconds := float64(ahead) * busy / m.tokens
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}
