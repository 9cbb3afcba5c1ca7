package quota

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/bootclock"
)

// CentralLimit is the rate and burst of a workspace in tokens.
type CentralLimit struct {
	Workspace   string
	Rate, Burst float64
}

// CentralBounds is how far the sum of what is spent may exceed the limits in a
// sliding window.
type CentralBounds struct {
	Window  time.Duration
	Overage float64 // share of rate x window + burst
	Slack   float64 // tokens on top
}

const (
	// CentralGrantLife is how long a grant may be used after it was asked for. Later
	// it would count in another window.
	CentralGrantLife = 500 * time.Millisecond
	// maxWait bounds the time until a grant may be used.
	maxWait = 2 * time.Second
	// maxQueue bounds the time that callers are told to wait.
	maxQueue = 5 * time.Second
	// boundShare is the part of the bound that is used.
	boundShare = 0.97
	// burstStretch lets the burst exceed the limit's a little where the bound
	// allows it, since requests that were sent apart arrive together.
	burstStretch = 1.25
)

// Central holds the token buckets of all workspaces at the one instance that
// grants. It reads no clock and is not safe for concurrent use.
type Central struct {
	bounds  CentralBounds
	buckets map[string]*centralBucket
	start   float64 // share of the burst that a new bucket holds
	// restored are the levels that a predecessor has handed over.
	restored map[string]float64
}

type centralBucket struct {
	limit CentralLimit
	burst float64
	level float64 // below zero while grants for later are open
	// queued are the tokens of requests that were told to come back.
	queued float64
	at     bootclock.Time
}

// NewCentral returns buckets that are empty, because a holder before this one
// may have granted the bursts a moment ago, or full if there was none.
func NewCentral(bounds CentralBounds, full bool) *Central {
	c := &Central{bounds: bounds, buckets: map[string]*centralBucket{}}
	if full {
		c.start = 1
	}
	return c
}

// SetLimits takes over the limits in force.
func (c *Central) SetLimits(now bootclock.Time, limits []CentralLimit) {
	kept := make(map[string]*centralBucket, len(limits))
	for _, l := range limits {
		b := c.buckets[l.Workspace]
		burst := c.burst(l)
		if b == nil {
			b = &centralBucket{level: c.start * burst, at: now}
			if level, ok := c.restored[l.Workspace]; ok {
				b.level = level
			}
		} else {
			b.refill(now)
		}
		b.limit, b.burst = l, burst
		b.level = min(b.level, burst)
		kept[l.Workspace] = b
	}
	c.buckets = kept
}

// burst returns the level up to which a bucket fills, so that what is granted
// in a window, and in the life of a grant before it, stays within the bound.
func (c *Central) burst(l CentralLimit) float64 {
	window := c.bounds.Window.Seconds()
	bound := (l.Rate*window+l.Burst)*(1+c.bounds.Overage) + c.bounds.Slack
	room := boundShare*bound - l.Rate*(window+CentralGrantLife.Seconds())
	return max(min(l.Burst*burstStretch, room), 0)
}

func (b *centralBucket) refill(now bootclock.Time) {
	gain := b.limit.Rate * now.Sub(b.at).Seconds()
	b.level = min(b.burst, b.level+gain)
	b.queued = max(0, b.queued-gain)
	b.at = now
}

// Levels returns what the buckets hold, for a successor.
func (c *Central) Levels(now bootclock.Time) map[string]float64 {
	levels := make(map[string]float64, len(c.buckets))
	for name, b := range c.buckets {
		b.refill(now)
		levels[name] = b.level
	}
	return levels
}

// Restore takes over the levels of a predecessor that has stopped granting.
func (c *Central) Restore(levels map[string]float64) { c.restored = levels }

// Take spends tokens. The grant is for use after a time that is no longer than
// the patience; a refusal tells after which time to ask again, behind those
// that were refused before. A request larger than the burst passes when the
// bucket is full.
func (c *Central) Take(now bootclock.Time, workspace string, tokens int64, patience time.Duration) (granted bool, after time.Duration) {
	b := c.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return false, time.Second
	}
	b.refill(now)
	needed := min(float64(tokens), b.burst)
	wait := b.until(needed - b.level)
	if wait <= min(patience, maxWait) {
		b.level -= float64(tokens)
		return true, wait
	}
	wait = b.until(needed - b.level + b.queued)
	if wait < maxQueue {
		b.queued += float64(tokens)
	}
	return false, wait
}

// until returns the time in which the bucket gains tokens.
func (b *centralBucket) until(missing float64) time.Duration {
	return time.Duration(max(missing, 0) / b.limit.Rate * float64(time.Second))
}
