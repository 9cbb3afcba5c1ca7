// Package usage decides how many requests of each workspace the instances report to the
// platform as begun within each window of true time. It has the counts of one instance,
// the clocks, and the leader's ledger: what is known of each window, when a window is
// decided, and what the store keeps. It does no I/O and reads no clock.
//
// True times are durations since the start of 1970.
package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// maxClockStep is the change of true time that fewer than minClocks clocks can't make:
	// which of two clocks has been stepped can't be told.
	maxClockStep = 100 * time.Millisecond
	minClocks    = 3
	// stepLife is how long the median has to differ from the estimate by more than
	// maxClockStep before it is believed. Reports show for up to a second clocks as they
	// were, so that the median of a moment may be of more stepped clocks than there are; and
	// a step of true time decides windows, which can't be undone.
	stepLife = 10 * time.Second
	// sampleLife is how long a sample of the leader's clock is preferred to later ones
	// whose messages took longer.
	sampleLife = 10 * time.Second
	// roundTripSlack is the difference of round trips that counts as none.
	roundTripSlack = 2 * time.Millisecond
)

// WindowOf returns the window that a true time lies in.
func WindowOf(at, length time.Duration) int64 { return int64(at / length) }

// Clock keeps true time on one machine as an offset from its boot clock. Until it has heard
// from a leader, the offset is that of the machine's wall clock when the process started,
// so that later steps of the wall clock have no effect.
type Clock struct {
	offset    time.Duration
	synced    bool
	roundTrip time.Duration // of the messages that gave the offset
	sampled   bootclock.Time
}

// NewClock returns the clock of a process that starts at the given readings.
func NewClock(now bootclock.Time, wall time.Duration) *Clock {
	return &Clock{offset: wall - time.Duration(now)}
}

// At returns the true time at a reading of the boot clock.
func (c *Clock) At(now bootclock.Time) time.Duration { return time.Duration(now) + c.offset }

// Synced reports whether the clock has been set by a leader.
func (c *Clock) Synced() bool { return c.synced }

// Delay returns the estimated time that a message to the leader takes.
func (c *Clock) Delay() time.Duration { return c.roundTrip / 2 }

// Sync sets the clock from a message of a leader, which has arrived now and gave the true
// time at which it was sent. The round trip includes the message of this instance that the
// leader answered. A message that took longer than the one before it is less exact, and is
// not used while that one is new, also if another leader sent it: a leader goes on with the
// time of the one before.
func (c *Clock) Sync(now bootclock.Time, sent, roundTrip time.Duration) {
	roundTrip = max(roundTrip, 0)
	if c.synced && roundTrip > c.roundTrip+roundTripSlack && now.Sub(c.sampled) < sampleLife {
		return
	}
	c.offset, c.synced = sent+roundTrip/2-time.Duration(now), true
	c.roundTrip, c.sampled = roundTrip, now
}

// Clocks estimates true time on the leader from the wall clocks of the instances. Steps of
// fewer than half of the clocks have no effect.
type Clocks struct {
	offsets  map[string]time.Duration // wall clocks less the leader's boot clock
	estimate time.Duration
	known    bool
	// stepped is the median that differs from the estimate, since steppedAt.
	stepped   time.Duration
	steppedAt bootclock.Time
}

// NewClocks returns an estimate without clocks. It begins with that of an earlier leader if
// the clock of this instance has it.
func NewClocks(own *Clock) *Clocks {
	return &Clocks{offsets: map[string]time.Duration{}, estimate: own.offset, known: own.synced}
}

// Record records that the wall clock of an instance shows a time now.
func (c *Clocks) Record(instance string, now bootclock.Time, wall time.Duration) {
	c.offsets[instance] = wall - time.Duration(now)
}

// Keep removes the clocks of the instances that are not connected any more.
func (c *Clocks) Keep(connected func(instance string) bool) {
	maps.DeleteFunc(c.offsets, func(instance string, _ time.Duration) bool { return !connected(instance) })
}

// Ready reports whether the estimate withstands the step of one clock.
func (c *Clocks) Ready() bool { return c.known || len(c.offsets) >= minClocks }

// At returns the estimated true time at a reading of the leader's boot clock.
func (c *Clocks) At(now bootclock.Time) time.Duration {
	if len(c.offsets) == 0 {
		return time.Duration(now) + c.estimate
	}
	median := c.median()
	switch {
	case !c.known || (median-c.estimate).Abs() <= maxClockStep:
		c.estimate, c.known, c.steppedAt = median, true, 0
	case len(c.offsets) < minClocks:
		c.steppedAt = 0
	case c.steppedAt == 0 || (median-c.stepped).Abs() > maxClockStep:
		c.stepped, c.steppedAt = median, now
	case now.Sub(c.steppedAt) >= stepLife:
		c.estimate, c.steppedAt = median, 0
	}
	return time.Duration(now) + c.estimate
}

// median returns the median of the offsets. Of two in the middle that are far apart it is
// the one nearer to the estimate.
func (c *Clocks) median() time.Duration {
	list := make([]time.Duration, 0, len(c.offsets))
	for _, offset := range c.offsets {
		list = append(list, offset)
	}
	slices.Sort(list)
	low, high := list[(len(list)-1)/2], list[len(list)/2]
	switch {
	case high-low <= maxClockStep || !c.known:
		return low + (high-low)/2
	case (high - c.estimate).Abs() < (low - c.estimate).Abs():
		return high
	default:
		return low
	}
}
