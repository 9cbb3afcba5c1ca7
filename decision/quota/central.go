package quota

import (
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
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
	// restored are the levels that a predecessor has left, and floors those that
	// a successor may begin with from the start.
	restored, floors map[string]float64
}

type centralBucket struct {
	limit CentralLimit
	burst float64
	level float64 // below zero while grants for later are open
	// floor is the level that the present holder does not go below, because its
	// successor may begin with it. proposed is the one of the last reserve, which
	// may not be in force.
	floor, proposed float64
	// wanted is the largest request since the last reserve that was not granted.
	wanted float64
	// queued are the tokens of requests that were told to come back.
	queued float64
	at     bootclock.Time
}

// NewCentral returns buckets that are empty, because a holder before this one
// may have granted the bursts a moment ago, or full if there was none. Restore
// tells what the holder before has certainly left.
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
			b.floor = c.floors[l.Workspace]
			b.proposed = b.floor
		} else {
			b.refill(now)
		}
		b.limit, b.burst = l, burst
		b.level = min(b.level, burst)
		b.floor = max(0, min(b.floor, b.level))
		kept[l.Workspace] = b
	}
	c.buckets, c.restored, c.floors = kept, nil, nil
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

// Restore takes over what a predecessor has left, and the floors that were
// promised to a successor of this holder when it took over.
func (c *Central) Restore(levels, floors map[string]float64) { c.restored, c.floors = levels, floors }

const (
	// reserveShare is the part of a level that a successor may begin with. The
	// rest is for the time until the next reserve; the levels of workspaces that
	// stay within their limits are near the burst.
	reserveShare = 0.5
	// wantedShare makes room for requests that the floor kept waiting.
	wantedShare = 2
	// maxReserves bounds the workspaces that a reserve names.
	maxReserves = 64
)

// Reserve proposes the levels that a successor may begin with if this holder
// is lost. The holder keeps to them from now on, and to those before until
// Reserved tells that the new ones are in force.
func (c *Central) Reserve(now bootclock.Time) map[string]float64 {
	levels := map[string]float64{}
	for name, b := range c.buckets {
		b.refill(now)
		b.proposed = 0
		if len(levels) < maxReserves {
			b.proposed = math.Floor(max(0, min(b.level*reserveShare, b.level-wantedShare*b.wanted)))
		}
		if b.proposed > 0 {
			levels[name] = b.proposed
		}
		b.floor, b.wanted = max(b.floor, b.proposed), 0
	}
	return levels
}

// Reserved records that what Reserve proposed last is in force.
func (c *Central) Reserved() {
	for _, b := range c.buckets {
		b.floor = b.proposed
	}
}

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
	needed, free := min(float64(tokens), b.burst), b.level-b.floor
	wait := b.until(needed - free)
	if wait <= min(patience, maxWait) {
		b.level -= float64(tokens)
		return true, wait
	}
	b.wanted = max(b.wanted, float64(tokens))
	wait = b.until(needed - free + b.queued)
	if wait < maxQueue {
		b.queued += float64(tokens)
	}
	return false, wait
}

// until returns the time in which the bucket gains tokens.
func (b *centralBucket) until(missing float64) time.Duration {
	return time.Duration(max(missing, 0) / b.limit.Rate * float64(time.Second))
}
