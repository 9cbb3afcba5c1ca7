package fairqueue

import (
	"maps"
	"math"
	"time"
)

const (
	// meterDecay is the time constant of the rate of service. Model loads and
	// ramps change capacity within tens of seconds.
	meterDecay = 10 * time.Second
	// minMeasured is the time of waiting that must be seen before the rate is
	// used to refuse a request. A shorter sample is a single answer at times.
	minMeasured = time.Second
	// minQueued separates entries that waited from those passed straight on,
	// which say nothing about the rate under load.
	minQueued = time.Millisecond
	// maxIdleClasses bounds the classes whose rate is remembered while nothing waits.
	maxIdleClasses = 256
)

// meter measures tokens served per second while entries wait.
type meter struct {
	waiting int
	mark    time.Time // start of the interval not yet counted
	tokens  float64
	busy    float64 // seconds
}

// meter returns the meter of a class. If nothing waits in it, a period in
// which entries wait begins now.
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
		m.mark = now
	}
	return m
}

// served counts an entry that was taken out for service.
func (m *meter) served(now, queued time.Time, cost int64) {
	if now.Sub(queued) < minQueued {
		return
	}
	elapsed := max(now.Sub(m.mark).Seconds(), 0)
	keep := math.Exp(-elapsed / meterDecay.Seconds())
	m.tokens = m.tokens*keep + float64(cost)
	m.busy = m.busy*keep + elapsed
	m.mark = now
}

// wait returns the expected time until the tokens ahead have been served, 0
// while too little has been measured. A stall since the last service counts.
func (m *meter) wait(now time.Time, ahead int64) time.Duration {
	if ahead == 0 || m.tokens == 0 {
		return 0
	}
	busy := m.busy + max(now.Sub(m.mark).Seconds(), 0)
	if busy < minMeasured.Seconds() {
		return 0
	}
	seconds := float64(ahead) * busy / m.tokens
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}
