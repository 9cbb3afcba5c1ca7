package upstreamlimit

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// GrantLife is how long after its delay a grant may be used.
	GrantLife = 500 * time.Millisecond
	// burst is the number of requests that an upstream may get at once after a pause.
	burst = 2.0
	// maxQueue bounds the time by which refused requests delay the retries of later
	// ones.
	maxQueue = 5 * time.Second
)

// Buckets holds the token bucket of each limited upstream at the leader, the one
// instance that grants requests to it. It is not safe for concurrent use.
type Buckets struct {
	buckets map[ID]*bucket
}

type bucket struct {
	rate       float64 // requests a second
	level      float64 // negative while grants with a delay are outstanding
	queued     float64 // refused requests that are expected to return
	refilledAt bootclock.Time
}

// NewBuckets returns empty buckets: a previous leader may just have granted the
// bursts.
func NewBuckets() *Buckets { return &Buckets{buckets: map[ID]*bucket{}} }

// Grant is the answer to a request for one send to a limited upstream.
type Grant struct {
	// Unlimited is set if the upstream names no limit any longer.
	Unlimited bool `cbor:"1,keyasint,omitempty"`
	Granted   bool `cbor:"2,keyasint,omitempty"`
	// Delay is the time after which a grant may be used, or after which the upstream
	// may get a request again.
	Delay time.Duration `cbor:"3,keyasint,omitempty"`
	// RetryAfter is the time after which the caller of a refused request can return,
	// behind those refused before.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Take asks for one send at the given rate that need not wait longer than maxWait.
// Requests that can't wait are not expected to return.
func (b *Buckets) Take(now bootclock.Time, id ID, rate float64, maxWait time.Duration) Grant {
	k := b.buckets[id]
	if k == nil {
		k = &bucket{refilledAt: now}
		b.buckets[id] = k
	}
	k.refill(now)
	k.rate = rate
	delay := k.timeFor(1 - k.level)
	if delay <= maxWait {
		k.level--
		return Grant{Granted: true, Delay: delay}
	}
	refusal := Grant{Delay: delay, RetryAfter: k.timeFor(1 - k.level + k.queued)}
	if maxWait > 0 && refusal.RetryAfter < maxQueue {
		k.queued++
	}
	return refusal
}

// Remove deletes the bucket of an upstream that names no limit any longer.
func (b *Buckets) Remove(id ID) { delete(b.buckets, id) }

func (k *bucket) refill(now bootclock.Time) {
	gain := k.rate * max(now.Sub(k.refilledAt), 0).Seconds()
	k.level = min(k.level+gain, burst)
	k.queued = max(k.queued-gain, 0)
	k.refilledAt = now
}

// timeFor returns the time in which the bucket gains the given number of tokens.
func (k *bucket) timeFor(tokens float64) time.Duration {
	return time.Duration(max(tokens, 0) / k.rate * float64(time.Second))
}
