package usage

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// resendAfter is how long a report may be without confirmation before its counts are
	// sent again.
	resendAfter = 1500 * time.Millisecond
	// maxWindows bounds the windows that an instance keeps while no leader decides them: an
	// hour with windows of 5 s.
	maxWindows = 720
)

// Run identifies one run of an instance's process.
type Run uint64

// RunOf returns the identity of the run of an instance with the given incarnation.
func RunOf(instance, incarnation string) Run {
	return Run(xxhash.Sum64String(instance + "\x00" + incarnation))
}

// WindowCounts are the requests that began within a window, by workspace.
type WindowCounts struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint"`
}

// Report is what an instance tells the leader. Counts are those of its whole run, so that a
// report that is lost or repeated changes nothing.
type Report struct {
	// Wall is the sender's wall clock at the estimated time of the report's arrival.
	Wall time.Duration `cbor:"1,keyasint"`
	// Open is the first window that may still get requests, 0 if true time is not known.
	Open int64 `cbor:"2,keyasint,omitempty"`
	// From is the first window that the sender has counted from its start, 0 if it has
	// been reported.
	From int64 `cbor:"3,keyasint,omitempty"`
	// Counts are those that have changed or that the leader has not confirmed.
	Counts []WindowCounts `cbor:"4,keyasint,omitempty"`
}

// cell is the count of one workspace in one window.
type cell struct {
	count     int64
	sent      int64 // count last sent to the current leader
	sentAt    bootclock.Time
	confirmed int64 // count that the current leader has
	received  int64 // highest count that a leader has confirmed
}

// Counter counts the requests that began on one instance. It is not safe for concurrent
// use.
type Counter struct {
	length  time.Duration
	started bootclock.Time
	windows map[int64]map[string]*cell
	open    int64 // first window that may still get requests
	decided int64 // windows before it have been decided
	full    bool  // the next report has all that the leader needs of this run
	sentAt  bootclock.Time
	sent    int64 // Open of the last report
}

// NewCounter returns a counter of windows with the given length.
func NewCounter(now bootclock.Time, length time.Duration) *Counter {
	return &Counter{length: length, started: now, windows: map[int64]map[string]*cell{}, full: true}
}

// Record counts a request that began at a true time. A window that has been reported
// complete gets no more requests: the next one gets them.
func (c *Counter) Record(at time.Duration, workspace string) {
	k := max(WindowOf(at, c.length), c.open)
	w := c.windows[k]
	if w == nil {
		if len(c.windows) >= maxWindows {
			delete(c.windows, slices.Min(slices.Collect(maps.Keys(c.windows))))
		}
		w = map[string]*cell{}
		c.windows[k] = w
	}
	if w[workspace] == nil {
		w[workspace] = &cell{}
	}
	w[workspace].count++
}

// Due reports whether a report is due at now: interval after the last one, or if a window
// has ended since it.
func (c *Counter) Due(now bootclock.Time, clock *Clock, interval time.Duration) bool {
	return c.full || now.Sub(c.sentAt) >= interval || clock.Synced() && WindowOf(clock.At(now), c.length) > c.sent
}

// Report returns the report to send now.
func (c *Counter) Report(now bootclock.Time, clock *Clock, wall time.Duration) *Report {
	r := &Report{Wall: wall + clock.Delay()}
	if clock.Synced() {
		c.open = max(c.open, WindowOf(clock.At(now), c.length))
		r.Open = c.open
	}
	if c.full {
		r.From = max(WindowOf(clock.At(c.started), c.length)+1, 1)
	}
	c.full, c.sentAt, c.sent = false, now, r.Open
	for _, k := range slices.Sorted(maps.Keys(c.windows)) {
		counts := map[string]int64{}
		for workspace, n := range c.windows[k] {
			if n.count > n.sent || n.sent > n.confirmed && now.Sub(n.sentAt) > resendAfter {
				n.sent, n.sentAt = n.count, now
				counts[workspace] = n.count
			}
		}
		if len(counts) > 0 {
			r.Counts = append(r.Counts, WindowCounts{Window: k, Counts: counts})
		}
	}
	return r
}

// Final returns the last report of a run that ends: all of its counts, which are complete.
func (c *Counter) Final(now bootclock.Time, clock *Clock, wall time.Duration) *Report {
	c.Reset()
	r := c.Report(now, clock, wall)
	r.Open = math.MaxInt64
	return r
}

// Reset makes the next report a full one, for a new leader or a new link to it.
func (c *Counter) Reset() {
	c.full = true
	for _, w := range c.windows {
		for _, n := range w {
			n.sent, n.sentAt, n.confirmed = 0, 0, 0
		}
	}
}

// Confirm records that the leader has the reports sent up to a time.
func (c *Counter) Confirm(sent bootclock.Time) {
	for _, w := range c.windows {
		for _, n := range w {
			if n.sentAt != 0 && !n.sentAt.After(sent) {
				n.confirmed = n.sent
				n.received = max(n.received, n.sent)
			}
		}
	}
}

// Decided drops the counts of windows before the given one, which the leader has decided.
// It returns those that no leader had confirmed by then, and that may be missing from the
// reports. A leader that ended before it confirmed them may have had them.
func (c *Counter) Decided(window int64) (late []WindowCounts) {
	c.decided = max(c.decided, window)
	for _, k := range slices.Sorted(maps.Keys(c.windows)) {
		if k >= c.decided {
			break
		}
		counts := map[string]int64{}
		for workspace, n := range c.windows[k] {
			if n.count > n.received {
				counts[workspace] = n.count - n.received
			}
		}
		if len(counts) > 0 {
			late = append(late, WindowCounts{Window: k, Counts: counts})
		}
		delete(c.windows, k)
	}
	return late
}

// UntilEnd returns the time from now until the current window ends.
func (c *Counter) UntilEnd(now bootclock.Time, clock *Clock) time.Duration {
	return c.length - clock.At(now)%c.length
}
