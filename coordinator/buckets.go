package coordinator

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// grantMargin is the part at the end of a lease in which no grant takes effect that has to
// wait for its tokens. A process that restarts within the lease of its earlier run refuses
// requests for as long as these grants may still be used; a restart takes half a second.
const grantMargin = leaseTerm / 2

// leaderBuckets ties the token buckets of the leader to the lease: a term begins with
// what the row promises, or with the buckets of this run's last term if no other
// instance has held the lease since, and what the row may still promise to a successor
// is not spent. It does no I/O, reads no clock and is not safe for concurrent use.
type leaderBuckets struct {
	lease   *Lease
	bounds  quota.CentralBounds
	central *quota.Central // of the last term, nil before the first one
	taken   uint64         // the value of lease.Taken in that term
	// reserved is the nonce of the write that carries the reserves last proposed, 0 once
	// they are in force.
	reserved uint64
	// handoverLevels are the bucket levels received in a handover, and handoverToken is
	// the fencing token of the term that ended with it.
	handoverLevels map[string]float64
	handoverToken  uint64
}

// begin starts a term and returns the number of workspaces whose level is known.
func (b *leaderBuckets) begin() int {
	if b.current() {
		return b.central.Size()
	}
	b.central, b.taken, b.reserved = quota.NewCentral(b.bounds, b.lease.FirstEver()), b.lease.Taken(), 0
	levels, since := b.lease.Inherited(), b.lease.FreeSince()
	if b.handoverLevels != nil && b.handoverToken+1 == b.lease.Taken() {
		// These are exact, and count all grants.
		levels, since = b.handoverLevels, min(since, b.lease.received)
	}
	if received := b.lease.received; since.After(received) {
		// The lease of an earlier run on this machine, whose grants end before it.
		since = max(received, since.Add(-grantMargin))
	}
	record, _ := b.lease.Record()
	b.central.Restore(since, levels, record.Reserves)
	b.handoverLevels = nil
	return len(levels)
}

// current reports whether the buckets are exact: only this run has granted tokens since
// it began with them.
func (b *leaderBuckets) current() bool {
	return b.central != nil && b.lease.OwnsRow() && b.taken == b.lease.Taken()
}

// recordHandover records the levels that the holder of a term has handed over.
func (b *leaderBuckets) recordHandover(token uint64, levels map[string]float64) {
	b.handoverLevels, b.handoverToken = levels, token
}

// levels returns the levels for a successor, nil if they are not known.
func (b *leaderBuckets) levels(now bootclock.Time) map[string]float64 {
	if !b.current() {
		return nil
	}
	return b.central.Levels(now)
}

// propose returns the write that takes or renews the lease, and whether there is one
// to send now.
func (b *leaderBuckets) propose(now bootclock.Time) (ports.Change, bool) {
	var reserves map[string]float64
	// While the outcome of a write is unknown, its reserves stay the last proposed ones.
	if b.current() && !b.lease.Unsettled() {
		reserves = b.central.Reserve(now)
	}
	change, ok := b.lease.Propose(now, reserves)
	if ok && reserves != nil {
		b.reserved = b.lease.nonce
	}
	return change, ok
}

// confirm frees the tokens of earlier reserves once the row is known to carry the
// reserves last proposed.
func (b *leaderBuckets) confirm() {
	if b.current() && b.reserved != 0 && b.lease.inForce(b.reserved) {
		b.central.ConfirmReserve()
		b.reserved = 0
	}
}

// take spends tokens of a workspace, and reports whether the lease is held. It is
// checked at the moment of the grant, since no other instance grants tokens until the
// lease ends.
func (b *leaderBuckets) take(now bootclock.Time, workspace string, tokens int64, maxWait time.Duration) (granted bool, after time.Duration, held bool) {
	if !b.current() || !b.lease.Held(now) {
		return false, 0, false
	}
	// A grant that takes effect after the lease ends would add to the grants of the
	// next holder.
	granted, after = b.central.Take(now, workspace, tokens, min(maxWait, max(b.lease.until.Sub(now)-grantMargin, 0)))
	return granted, after, true
}
