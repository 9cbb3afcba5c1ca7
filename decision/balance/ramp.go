package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// ramp is what limits an upstream that may have started a short time ago.
type ramp struct {
	incarnation string
	previous    []string  // the incarnations before it, which never come back
	firstSeen   time.Time // when the incarnation was first seen
	start       time.Time // start of the ramp of this incarnation
	suspectedAt time.Time // last broken connection since, zero if none
	allotment   *Allotment
	rank        int
	rankEpoch   uint64
}

// Allotment is the number of requests that the placer lets this instance have
// at an upstream at once. It holds for one incarnation of the upstream.
type Allotment struct {
	Upstream    string
	Incarnation string
	Limit       int
}

// SetAllotments replaces all allotments.
func (p *Picker) SetAllotments(now time.Time, allotments []Allotment) {
	for _, u := range p.upstreams {
		u.ramp.allotment = nil
	}
	for _, a := range allotments {
		u := p.byName[a.Upstream]
		if u == nil {
			continue
		}
		u.ramp.allotment = &a
		u.ramp.setIncarnation(now, a.Incarnation)
	}
}

// maxPast bounds the incarnations that are remembered. Views and answers lag
// by seconds, and an upstream restarts far less often.
const maxPrevious = 8

// adopt takes over an incarnation and reports whether it is the present one.
// One that has ended is ignored, since views and answers can be late.
func (r *ramp) setIncarnation(now time.Time, incarnation string) bool {
	switch {
	case incarnation == "" || slices.Contains(r.previous, incarnation):
		return false
	case incarnation == r.incarnation:
		return true
	case r.incarnation != "":
		r.start = now
		r.previous = append(r.previous[max(len(r.previous)-maxPrevious+1, 0):], r.incarnation)
	case r.suspectedAt.After(r.start): // nothing to compare with: it may have restarted
		r.start = r.suspectedAt
	}
	r.incarnation, r.firstSeen = incarnation, now
	return true
}

// suspect reports whether the process that an allotment was made for may have
// ended. After the length of a ramp it no longer matters.
func (r *ramp) restartSuspected(now time.Time, length time.Duration) bool {
	return !r.suspectedAt.IsZero() && now.Before(r.suspectedAt.Add(length))
}

// Observe records the incarnation that an upstream gave in an answer to a
// question asked at that time, or that a peer reported.
func (p *Picker) Observe(now time.Time, name, incarnation string, sentAt time.Time) {
	if u := p.byName[name]; u != nil {
		u.observe(now, incarnation, sentAt)
	}
}

// Suspect records a broken connection: the upstream may have restarted.
func (p *Picker) SuspectRestart(now time.Time, name string) {
	if u := p.byName[name]; u != nil {
		u.ramp.suspectedAt = now
	}
}

// Established records that the upstream has been running since that time, as
// a peer or the upstream says. It ends a ramp that only this instance's own
// restart began.
func (p *Picker) Established(name, incarnation string, since time.Time) {
	u := p.byName[name]
	if u == nil || !u.ramp.suspectedAt.IsZero() || (u.ramp.incarnation != "" && u.ramp.incarnation != incarnation) {
		return
	}
	u.ramp.incarnation = incarnation
	if since.Before(u.ramp.start) {
		u.ramp.start = since
	}
}

// observe takes over an incarnation. An answer to a question from before the
// last suspicion can come from the process that has ended since.
func (u *upstream) observe(now time.Time, incarnation string, sentAt time.Time) {
	r := &u.ramp
	if sentAt.Before(r.suspectedAt) || sentAt.Before(r.firstSeen) {
		return
	}
	if r.setIncarnation(now, incarnation) {
		r.suspectedAt = time.Time{}
	}
}

// freshSince returns the start of the ramp that is in force.
func (u *upstream) rampStart() time.Time {
	since := u.ramp.start
	if u.ramp.suspectedAt.After(since) {
		since = u.ramp.suspectedAt
	}
	if u.health.ejected && u.health.until.After(since) {
		since = u.health.until
	}
	return since
}

// limit returns how many requests this instance may have at the upstream,
// what sets the limit, and when it grows, if that is known.
func (p *Picker) limit(now time.Time, u *upstream) (limit int, cause Reason, growsAt time.Time) {
	if a := u.ramp.allotment; a != nil && !u.ramp.restartSuspected(now, p.config.Ramp) && a.Incarnation != "" && a.Incarnation == u.ramp.incarnation {
		if a.Limit >= u.Concurrency {
			return p.availableConcurrency(now, u), AtConcurrency, time.Time{}
		}
		return a.Limit, OverAllotment, time.Time{}
	}
	since := u.rampStart()
	end := since.Add(p.config.Ramp)
	if !now.Before(end) {
		return p.availableConcurrency(now, u), AtConcurrency, time.Time{}
	}
	rank := p.rank(u)
	if rank < 0 {
		return 0, Ramping, end
	}
	if p.kind == catalog.Engine {
		if rank == 0 {
			return 1, Ramping, end
		}
		return 0, Ramping, end
	}
	allowance := rampAllowance(u.Concurrency, now.Sub(since), p.config.Ramp)
	members := len(p.members)
	share := (allowance - rank + members - 1) / members
	return share, Ramping, since.Add(rampAgeFor(u.Concurrency, rank+share*members+1, p.config.Ramp))
}

// unreserved is the part of an upstream's concurrency that other instances do
// not use by its last report, at least an equal part if there are others that
// may report it in use by this one. Without it, instances
// that each count only their own requests send several times what the upstream
// bears as soon as they are busy together.
func (p *Picker) availableConcurrency(now time.Time, u *upstream) int {
	equal := 0
	if n := len(p.members); n > 1 {
		equal = max(u.Concurrency/n, 1)
	}
	return max(u.Concurrency-int(math.Ceil(p.othersInFlight(now, u))), equal)
}

// allowance is the number of requests that all instances together may have at
// an upstream of that age.
func rampAllowance(concurrency int, age, ramp time.Duration) int {
	return 1 + int(float64(concurrency-1)*float64(max(age, 0))/float64(ramp))
}

// reaches returns the age at which the allowance reaches a number of requests.
func rampAgeFor(concurrency, requests int, ramp time.Duration) time.Duration {
	if requests >= concurrency {
		return ramp
	}
	return time.Duration(float64(ramp) * float64(requests-1) / float64(concurrency-1))
}

// rank returns the place of this instance among the members by rendezvous
// hash, -1 if it is not a member. It depends on the upstream's name only, so
// that instances agree on it before all know an incarnation.
func (p *Picker) rank(u *upstream) int {
	if u.ramp.rankEpoch == p.epoch && p.epoch > 0 {
		return u.ramp.rank
	}
	own, rank, member := memberScore(p.config.Self, u.hash), 0, false
	for _, id := range p.members {
		if id == p.config.Self {
			member = true
			continue
		}
		if score := memberScore(id, u.hash); score > own || (score == own && id > p.config.Self) {
			rank++
		}
	}
	if !member {
		rank = -1
	}
	u.ramp.rank, u.ramp.rankEpoch = rank, p.epoch
	return rank
}

func memberScore(id string, upstream uint64) uint64 { return mix(xxhash.Sum64String(id), upstream) }
