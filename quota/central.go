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
}

type centralBucket struct {
	limit CentralLimit
	burst float64
	level float64
	at    bootclock.Time
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
	b.level = min(b.burst, b.level+b.limit.Rate*now.Sub(b.at).Seconds())
	b.at = now
}

// Take spends tokens, or returns after which time they will be there. A request
// larger than the burst passes when the bucket is full.
func (c *Central) Take(now bootclock.Time, workspace string, tokens int64) (granted bool, after time.Duration) {
	b := c.buckets[workspace]
	if b == nil {
		return false, time.Second
	}
	b.refill(now)
	needed := min(float64(tokens), b.burst)
	if b.level >= needed {
		b.level -= float64(tokens)
		return true, 0
	}
	if b.limit.Rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((needed - b.level) / b.limit.Rate * float64(time.Second))
}
