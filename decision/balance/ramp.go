package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// ramp is the state of the slow start of an upstream, which limits its requests
// after a possible restart.
type ramp struct {
	incarnation string
	previous    []string  // earlier incarnations, which never return
	firstSeen   time.Time // when this incarnation was first seen
	start       time.Time // start of this incarnation's ramp
	suspectedAt time.Time // last broken connection since the last accepted RecordIncarnation, zero if none
	allotment   *Allotment
	rank        int
	rankEpoch   uint64
}

// Allotment is the number of concurrent requests that the placer allows this
// instance at an upstream. It is valid for one incarnation of the upstream.
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

// maxPrevious bounds the number of earlier incarnations that are stored. Views
// and responses are late by seconds, and restarts are far less frequent.
const maxPrevious = 8

// setIncarnation records an observed incarnation and reports whether it is the
// current one. An earlier incarnation is ignored, since views and responses can
// be late.
func (r *ramp) setIncarnation(now time.Time, incarnation string) bool {
	switch {
	case incarnation == "" || slices.Contains(r.previous, incarnation):
		return false
	case incarnation == r.incarnation:
		return true
	case r.incarnation != "":
		r.start = now
		r.previous = append(r.previous[max(len(r.previous)-maxPrevious+1, 0):], r.incarnation)
	case r.suspectedAt.After(r.start): // the earlier incarnation is unknown: the upstream may have restarted
		r.start = r.suspectedAt
	}
	r.incarnation, r.firstSeen = incarnation, now
	return true
}

// restartSuspected reports whether the process that an allotment was made for
// may have ended. After the length of a ramp the suspicion has no effect.
func (r *ramp) restartSuspected(now time.Time, length time.Duration) bool {
	return !r.suspectedAt.IsZero() && now.Before(r.suspectedAt.Add(length))
}

// RecordIncarnation records the incarnation that an upstream named in the response to a
// request sent at sentAt, or that a peer reported.
func (p *Picker) RecordIncarnation(now time.Time, name, incarnation string, sentAt time.Time) {
	if u := p.byName[name]; u != nil {
		u.observe(now, incarnation, sentAt)
	}
}

// SuspectRestart records a broken connection: the upstream may have restarted.
func (p *Picker) SuspectRestart(now time.Time, name string) {
	if u := p.byName[name]; u != nil {
		u.ramp.suspectedAt = now
	}
}

// RecordRunningSince records that the upstream has been running since the given time,
// as reported by a peer or the upstream itself. It ends a ramp that started only
// because this instance restarted.
func (p *Picker) RecordRunningSince(name, incarnation string, since time.Time) {
	u := p.byName[name]
	if u == nil || !u.ramp.suspectedAt.IsZero() || (u.ramp.incarnation != "" && u.ramp.incarnation != incarnation) {
		return
	}
	u.ramp.incarnation = incarnation
	if since.Before(u.ramp.start) {
		u.ramp.start = since
	}
}

// observe records an incarnation and clears the suspicion of a restart. The
// response to a request sent before the last broken connection is ignored, as
// it can come from a process that has ended since.
func (u *upstream) observe(now time.Time, incarnation string, sentAt time.Time) {
	r := &u.ramp
	if sentAt.Before(r.suspectedAt) || sentAt.Before(r.firstSeen) {
		return
	}
	if r.setIncarnation(now, incarnation) {
		r.suspectedAt = time.Time{}
	}
}

// rampStart returns the start of the ramp in effect: the latest of its start,
// the last suspected restart and the end of an ejection.
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

// limit returns the number of concurrent requests allowed to this instance at
// the upstream, the reason for refusing more, and when the limit grows, zero if
// unknown.
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

// availableConcurrency returns the part of the upstream's concurrency that other
// instances do not use according to its last report. If there are other members,
// which in turn subtract this instance's requests, it is at least an equal
// share. Without this limit, instances that count only their own requests would
// together send several times the upstream's concurrency when all are busy.
func (p *Picker) availableConcurrency(now time.Time, u *upstream) int {
	equal := 0
	if n := len(p.members); n > 1 {
		equal = max(u.Concurrency/n, 1)
	}
	return max(u.Concurrency-int(math.Ceil(p.othersInFlight(now, u))), equal)
}

// rampAllowance returns the number of concurrent requests that all instances
// together may have at an upstream of the given age.
func rampAllowance(concurrency int, age, ramp time.Duration) int {
	return 1 + int(float64(concurrency-1)*float64(max(age, 0))/float64(ramp))
}

// rampAgeFor returns the age at which rampAllowance reaches the given number of
// requests.
func rampAgeFor(concurrency, requests int, ramp time.Duration) time.Duration {
	if requests >= concurrency {
		return ramp
	}
	return time.Duration(float64(ramp) * float64(requests-1) / float64(concurrency-1))
}

// rank returns the position of this instance among the members by rendezvous
// hash, starting at 0, or -1 if it is not a member. The hash covers the
// upstream's name but not its incarnation, so that instances agree on the rank
// before all of them have seen a new incarnation.
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
