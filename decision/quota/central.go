package quota

import (
	"maps"
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// CentralLimit is the rate and burst of a workspace in tokens.
type CentralLimit struct {
	Workspace   string
	Rate, Burst float64
}

// CentralBounds defines by how much the tokens spent in a sliding window may
// exceed the limits.
type CentralBounds struct {
	Window  time.Duration
	Overage float64 // share of rate x window + burst
	Slack   float64 // tokens added to the bound
}

const (
	// CentralGrantLife is how long after its request a grant may be used. A later use
	// would count in another window.
	CentralGrantLife = 500 * time.Millisecond
	// maxWait bounds the delay after which a grant may be used.
	maxWait = 2 * time.Second
	// maxQueueDelay bounds the growth of retry delays: a refused request whose delay
	// is not below it adds nothing to the delays of later requests.
	maxQueueDelay = 5 * time.Second
	// boundShare is the share of the bound that is used.
	boundShare = 0.97
	// burstFactor raises the burst above that of the limit where the bound allows it,
	// because requests sent at different times can arrive together.
	burstFactor = 1.25
)

// Central holds the token buckets of all workspaces at the leader, the one instance
// that grants tokens. It reads no clock and is not safe for concurrent use.
type Central struct {
	bounds  CentralBounds
	buckets map[string]*centralBucket
	// withdrawn holds the buckets of workspaces without a limit until they are full, as
	// the limit may come back before.
	withdrawn    map[string]*centralBucket
	initialShare float64 // share of the burst that a new bucket holds
	// restored holds the levels that the previous leader leaves at restoredAt, and floors the
	// initial levels already reserved for a successor of this one.
	restored, floors map[string]float64
	restoredAt       bootclock.Time
}

type centralBucket struct {
	limit CentralLimit
	burst float64
	level float64 // negative while granted tokens are not yet refilled
	// floor is the level that the leader does not spend below, because a successor
	// may begin with it. proposed is the floor of the last Reserve, which may not
	// be in force.
	floor, proposed float64
	// largestRefused is the largest request refused since the last Reserve, in tokens.
	largestRefused float64
	// queued counts the tokens of refused requests that are expected to retry.
	queued     float64
	refilledAt bootclock.Time
}

// NewCentral returns a Central whose buckets start empty, because a previous leader
// may just have granted the bursts. If full is set (there was no previous leader),
// they start full. Restore sets the levels that the previous leader is known to
// have left.
func NewCentral(bounds CentralBounds, full bool) *Central {
	c := &Central{bounds: bounds, buckets: map[string]*centralBucket{}, withdrawn: map[string]*centralBucket{}}
	if full {
		c.initialShare = 1
	}
	return c
}

// SetLimits replaces the limits of all workspaces.
func (c *Central) SetLimits(now bootclock.Time, limits []CentralLimit) {
	kept := make(map[string]*centralBucket, len(limits))
	maps.Copy(c.withdrawn, c.buckets)
	for _, l := range limits {
		b := c.withdrawn[l.Workspace]
		delete(c.withdrawn, l.Workspace)
		burst := c.burst(l)
		if b == nil {
			b = &centralBucket{level: c.initialShare * burst, refilledAt: now}
			if level, ok := c.restored[l.Workspace]; ok {
				b.level = level
			}
			if c.restoredAt != 0 {
				b.level += l.Rate * min(now.Sub(c.restoredAt).Seconds(), 0)
				b.refilledAt = min(c.restoredAt, now)
			}
			b.floor = c.floors[l.Workspace]
			b.proposed = b.floor
			// Those of workspaces without a limit stay, as it may come back.
			delete(c.restored, l.Workspace)
			delete(c.floors, l.Workspace)
		} else {
			b.refill(now)
		}
		b.limit, b.burst = l, burst
		b.refill(now)
		b.level = min(b.level, burst)
		b.floor = max(0, min(b.floor, burst))
		kept[l.Workspace] = b
	}
	maps.DeleteFunc(c.withdrawn, func(_ string, b *centralBucket) bool {
		b.refill(now)
		return b.level >= b.burst && b.floor == 0
	})
	c.buckets = kept
}

// burst returns the level up to which a bucket fills. It keeps the tokens granted in
// a window and in the lifetime of a grant before it within the bound.
func (c *Central) burst(l CentralLimit) float64 {
	window := c.bounds.Window.Seconds()
	bound := (l.Rate*window+l.Burst)*(1+c.bounds.Overage) + c.bounds.Slack
	room := boundShare*bound - l.Rate*(window+CentralGrantLife.Seconds())
	return max(min(l.Burst*burstFactor, room), 0)
}

func (b *centralBucket) refill(now bootclock.Time) {
	gain := b.limit.Rate * now.Sub(b.refilledAt).Seconds()
	b.level = min(b.burst, b.level+gain)
	b.queued = max(0, b.queued-gain)
	b.refilledAt = now
}

// Size returns the number of workspaces with a bucket.
func (c *Central) Size() int { return len(c.buckets) }

// Levels returns the current levels by workspace, to hand over to a successor. Those
// whose limit has been withdrawn lately are among them.
func (c *Central) Levels(now bootclock.Time) map[string]float64 {
	levels := make(map[string]float64, len(c.buckets))
	for _, buckets := range []map[string]*centralBucket{c.buckets, c.withdrawn} {
		for name, b := range buckets {
			b.refill(now)
			levels[name] = b.level
		}
	}
	return levels
}

// Restore sets the levels that the previous leader left at the given time, after which
// none of its grants is used, and the floors reserved for a successor of this leader at
// its takeover. Each applies once SetLimits names its workspace.
func (c *Central) Restore(at bootclock.Time, levels, floors map[string]float64) {
	c.restoredAt, c.restored, c.floors = at, maps.Clone(levels), maps.Clone(floors)
}

const (
	// reserveShare is the share of a level that a successor may begin with. The rest
	// can be granted until the next Reserve; the levels of workspaces that stay
	// within their limits are near the burst.
	reserveShare = 0.5
	// refusedFactor is the multiple of the largest refused request that is not
	// reserved, so that requests refused because of the floor can be granted.
	refusedFactor = 2
	// maxReserves bounds the number of workspaces in a reserve.
	maxReserves = 64
)

// Reserve proposes the levels that a successor may begin with if this leader is
// lost. From now on the leader does not spend below them. The previous levels stay
// reserved as well until ConfirmReserve confirms that the new ones are in force.
func (c *Central) Reserve(now bootclock.Time) map[string]float64 {
	levels := map[string]float64{}
	for name, b := range c.buckets {
		b.refill(now)
		b.proposed = 0
		if len(levels) < maxReserves {
			b.proposed = math.Floor(max(0, min(b.level*reserveShare, b.level-refusedFactor*b.largestRefused)))
		}
		if b.proposed > 0 {
			levels[name] = b.proposed
		}
		b.floor, b.largestRefused = max(b.floor, b.proposed), 0
	}
	for _, b := range c.withdrawn {
		b.proposed = 0
	}
	return levels
}

// ConfirmReserve records that the levels last proposed by Reserve are in force.
func (c *Central) ConfirmReserve() {
	for _, b := range c.buckets {
		b.floor = b.proposed
	}
	for _, b := range c.withdrawn {
		b.floor = b.proposed
	}
	// The row shows nothing else any longer.
	c.floors = nil
}

// Take spends tokens. A grant may be used after the returned delay, which is at most
// maxDelay and maxWait. For a refusal it returns the delay after which to retry,
// behind the requests refused before. A request larger than the burst is granted
// when the bucket is full.
func (c *Central) Take(now bootclock.Time, workspace string, tokens int64, maxDelay time.Duration) (granted bool, after time.Duration) {
	b := c.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return false, time.Second
	}
	b.refill(now)
	needed, free := min(float64(tokens), b.burst), b.level-b.floor
	wait := b.refillTime(needed - free)
	if wait <= min(maxDelay, maxWait) {
		b.level -= float64(tokens)
		return true, wait
	}
	b.largestRefused = max(b.largestRefused, float64(tokens))
	wait = b.refillTime(needed - free + b.queued)
	if wait < maxQueueDelay {
		b.queued += float64(tokens)
	}
	return false, wait
}

// refillTime returns the time in which the bucket gains the missing tokens.
func (b *centralBucket) refillTime(missing float64) time.Duration {
	return time.Duration(max(missing, 0) / b.limit.Rate * float64(time.Second))
}
