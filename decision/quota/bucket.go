// Package quota decides which requests fit a workspace's rate and burst over
// all instances together. It is a set of deterministic state machines: the
// caller passes in the time and transports the messages.
package quota

import (
	"slices"
	"time"
)

// ChargeID identifies a charge of a Bucket for a later refund.
type ChargeID uint64

// historyPoints bounds the history of a Bucket. With 64 points, the limit of a
// refund is too low by at most 1/64 of the capacity.
const historyPoints = 64

// lowPoint records the room, the capacity neither filled nor lent, just before a
// charge.
type lowPoint struct {
	charge ChargeID
	room   float64
}

// Bucket is a token bucket with refunds and loans. Level plus loans never
// exceed the capacity. A refund gives the level that the bucket would have had
// if the refunded part had never been charged, so the bound of rate and
// capacity also holds for the charges as reduced by their refunds.
type Bucket struct {
	rate     float64 // tokens per second
	capacity float64
	level    float64
	lent     float64
	at       time.Duration
	charges  ChargeID
	// history holds the suffix minima of the room: older points have less room.
	history []lowPoint
}

// NewBucket returns a bucket that starts to fill at the time start.
func NewBucket(rate, capacity, level float64, start time.Duration) *Bucket {
	return &Bucket{rate: rate, capacity: capacity, level: max(0, min(level, capacity)), at: start}
}

func (b *Bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level += b.rate * (now - b.at).Seconds()
	b.at = now
	b.clip()
}

// clip keeps level plus loans within the capacity.
func (b *Bucket) clip() { b.level = max(0, min(b.level, b.capacity-b.lent)) }

func (b *Bucket) room() float64 { return max(0, b.capacity-b.lent-b.level) }

// recordRoom records the room before a charge and returns the ID of the charge.
func (b *Bucket) recordRoom() ChargeID {
	b.charges++
	room := b.room()
	for len(b.history) > 0 && b.history[len(b.history)-1].room >= room {
		b.history = b.history[:len(b.history)-1]
	}
	if n := len(b.history); n > 0 && room-b.history[n-1].room < b.capacity/historyPoints {
		b.history[n-1].charge = b.charges
		return b.charges
	}
	b.history = append(b.history, lowPoint{b.charges, room})
	if len(b.history) > historyPoints {
		// The merged point keeps the smaller room and the later charge, which only lowers refunds.
		b.history[1].room = b.history[0].room
		b.history = slices.Delete(b.history, 0, 1)
	}
	return b.charges
}

// Level returns the tokens that can be charged now.
func (b *Bucket) Level(now time.Duration) float64 {
	b.advance(now)
	return b.level
}

// Lent returns the tokens in open loans.
func (b *Bucket) Lent() float64 { return b.lent }

// Reserve charges n tokens if the level covers them.
func (b *Bucket) Reserve(n float64, now time.Duration) (ChargeID, bool) {
	b.advance(now)
	if n > b.level {
		return 0, false
	}
	charge := b.recordRoom()
	b.level -= n
	return charge, true
}

// Refund returns up to n tokens of a charge to the level and reports how many were
// restored: at most the smallest room since the charge.
func (b *Bucket) Refund(charge ChargeID, n float64, now time.Duration) float64 {
	b.advance(now)
	first, _ := slices.BinarySearchFunc(b.history, charge+1, func(p lowPoint, m ChargeID) int {
		if p.charge < m {
			return -1
		}
		return 1
	})
	limit := b.room()
	if first < len(b.history) {
		limit = min(limit, b.history[first].room)
	}
	n = max(0, min(n, limit))
	b.level += n
	// The refund raises the level at every moment since the charge, which
	// limits later refunds of other charges.
	for i := first; i < len(b.history); i++ {
		b.history[i].room -= n
	}
	keep := first
	for first < len(b.history) && keep > 0 && b.history[keep-1].room >= b.history[first].room {
		keep--
	}
	b.history = slices.Delete(b.history, keep, first)
	return n
}

// Lend moves n tokens from the level to the loans if the level covers them.
func (b *Bucket) Lend(n float64, now time.Duration) bool {
	b.advance(now)
	if n > b.level {
		return false
	}
	b.level -= n
	b.lent += n
	return true
}

// AddLoan adds a loan made by a former holder of the slot. Its tokens are not
// taken from the level.
func (b *Bucket) AddLoan(n float64, now time.Duration) {
	b.advance(now)
	b.lent += n
	b.clip()
}

// CloseLoan ends a loan of n tokens: unused tokens return to the level and the
// rest is charged. It returns the ID of that charge.
func (b *Bucket) CloseLoan(n, unused float64, now time.Duration) ChargeID {
	b.advance(now)
	charge := b.recordRoom()
	b.lent = max(0, b.lent-n)
	b.level += unused
	b.clip()
	return charge
}

// SetLimits changes rate and capacity. It creates no tokens: a larger capacity
// fills at the rate, and a smaller one cuts the level.
func (b *Bucket) SetLimits(rate, capacity float64, now time.Duration) {
	b.advance(now)
	b.recordRoom()
	b.rate, b.capacity = rate, capacity
	b.clip()
	b.recordRoom()
}
