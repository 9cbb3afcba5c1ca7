package dispatch

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// turnLength is how long it is one instance's turn in a cycle.
const turnLength = 400 * time.Millisecond

// turns limits this instance's requests to one upstream without asking the other
// instances. Each instance has its own time window in a cycle that is long enough to
// keep the sum over all instances within a rate. With only a rate limit per instance,
// all of them could send a request at the same moment.
type turns struct {
	next  bootclock.Time
	cycle time.Duration
}

// wait returns the time until this instance may send a request, 0 if it may now. The
// rate is in requests a second.
func (t *turns) wait(now bootclock.Time, instanceID, upstream string, rate float64, members int) time.Duration {
	t.cycle = time.Duration(float64(time.Second) * float64(max(members, 1)) / rate)
	if now.Before(t.next) {
		return t.next.Sub(now)
	}
	offset := time.Duration(hashFraction(instanceID, upstream) * float64(t.cycle))
	sinceOffset := (time.Duration(now) + t.cycle - offset) % t.cycle
	if sinceOffset < turnLength {
		return 0
	}
	return t.cycle - sinceOffset
}

// recordSent records a request that is being sent. The next one is allowed in the
// next time window.
func (t *turns) recordSent(now bootclock.Time) {
	t.next = now.Add(min(t.cycle, max(t.cycle-turnLength, t.cycle/2)))
}
