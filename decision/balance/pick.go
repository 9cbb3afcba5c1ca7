package balance

import (
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// Reason is the reason for selecting or refusing an upstream.
type Reason string

// Reasons for selecting an upstream.
const (
	LeastLoad    Reason = "least_load"    // lower load than the upstream with the best affinity
	BestAffinity Reason = "best_affinity" // best affinity, and its load is not above that of the second
	OnlyEligible Reason = "only_eligible"
)

// Reasons for refusing an upstream.
const (
	DataCentreDisabled Reason = "data_centre_disabled"
	Leaving            Reason = "leaving"
	Ejected            Reason = "ejected"
	ProbeInFlight      Reason = "probe_in_flight"
	ReplicaNotReady    Reason = "replica_not_ready"
	AlreadyTried       Reason = "already_tried"
	AtConcurrency      Reason = "at_concurrency"
	OverAllotment      Reason = "over_allotment"
	Ramping            Reason = "ramping"
	HigherLoad         Reason = "higher_load"
	LowerAffinity      Reason = "lower_affinity"
	EmptyPool          Reason = "empty_pool"
)

// Request holds the properties of a request that the selection depends on.
type Request struct {
	// Digest is the prefix digest; for plain services, any value that distributes requests.
	Digest uint64
	// Models restricts the selection to the upstreams in Ready, which have a replica.
	Models bool
	Ready  []string
	// Tried lists the upstreams to which this request has already been sent.
	Tried []string
}

// Alternative is an upstream that was not selected.
type Alternative struct {
	Upstream string `json:"upstream"`
	Reason   Reason `json:"reason"`
}

// Decision is the outcome of a Pick.
type Decision struct {
	// Upstream and Address are empty if no upstream is eligible.
	Upstream string
	Address  string
	// Reason is the reason for selecting the upstream or, if none is eligible,
	// the refusal reason with the highest eligibilityRank.
	Reason Reason
	// RetryAfter is the time until an upstream becomes eligible, 0 if unknown.
	RetryAfter time.Duration
	// WaitHelps reports whether an upstream can become eligible by waiting.
	WaitHelps bool
	// MayBeSooner reports whether this can happen before RetryAfter, such as when a request ends.
	MayBeSooner bool
	// Refused lists at most Config.MaxRefused alternatives.
	Refused []Alternative
	// Omitted is the number of further alternatives that are not listed.
	Omitted int
}

// OK reports whether an upstream was selected.
func (d *Decision) OK() bool { return d.Upstream != "" }

// eligibilityRank orders the refusal reasons by how close the upstream is to
// being eligible: the higher, the closer.
func eligibilityRank(r Reason) int {
	switch r {
	case DataCentreDisabled:
		return 1
	case Leaving:
		return 2
	case AlreadyTried:
		return 3
	case ReplicaNotReady:
		return 4
	case Ejected:
		return rankEjected
	case ProbeInFlight:
		return 6
	case Ramping:
		return 7
	case OverAllotment:
		return 8
	case AtConcurrency:
		return 9
	}
	return 0
}

// rankEjected is the lowest eligibilityRank of a reason for which waiting can help.
const rankEjected = 5

// Pick selects an upstream. It does not change the Picker's state.
func (p *Picker) Pick(now time.Time, r Request) Decision {
	s := selection{picker: p, now: now, request: r, decision: Decision{Reason: EmptyPool}}
	if r.Models {
		for _, name := range r.Ready {
			if u := p.byName[name]; u != nil {
				s.consider(u)
			}
		}
		s.refuseUnready()
	} else {
		for _, u := range p.upstreams {
			s.consider(u)
		}
	}
	s.choose()
	return s.decision
}

// selection is the state of one Pick.
type selection struct {
	picker                 *Picker
	now                    time.Time
	request                Request
	decision               Decision
	best, second           *upstream // by affinity
	bestScore, secondScore uint64
}

func (s *selection) consider(u *upstream) {
	if reason, eligibleAt := s.picker.ineligible(s.now, u, s.request.Tried); reason != "" {
		s.refuse(u, reason, eligibleAt)
		return
	}
	score := mix(s.request.Digest, u.hash)
	switch {
	case s.best == nil || score > s.bestScore:
		if s.second != nil {
			s.refuse(s.second, LowerAffinity, time.Time{})
		}
		s.second, s.secondScore = s.best, s.bestScore
		s.best, s.bestScore = u, score
	case s.second == nil || score > s.secondScore:
		if s.second != nil {
			s.refuse(s.second, LowerAffinity, time.Time{})
		}
		s.second, s.secondScore = u, score
	default:
		s.refuse(u, LowerAffinity, time.Time{})
	}
}

// refuseUnready refuses the upstreams without a ready replica.
func (s *selection) refuseUnready() {
	for _, u := range s.picker.upstreams {
		if !slices.Contains(s.request.Ready, u.Name) {
			s.refuse(u, ReplicaNotReady, time.Time{})
		}
	}
}

func (s *selection) refuse(u *upstream, reason Reason, eligibleAt time.Time) {
	d := &s.decision
	if len(d.Refused) < s.picker.config.MaxRefused {
		d.Refused = append(d.Refused, Alternative{Upstream: u.Name, Reason: reason})
	} else {
		d.Omitted++
	}
	if reason == LowerAffinity || reason == HigherLoad {
		return // eligible: does not affect RetryAfter
	}
	if eligibilityRank(reason) > eligibilityRank(d.Reason) {
		d.Reason = reason
	}
	d.WaitHelps = d.WaitHelps || eligibilityRank(reason) >= rankEjected
	d.MayBeSooner = d.MayBeSooner || s.mayBeEligibleSooner(u, reason)
	if eligibleAt.After(s.now) {
		if after := eligibleAt.Sub(s.now); d.RetryAfter == 0 || after < d.RetryAfter {
			d.RetryAfter = after
		}
	}
}

// mayBeEligibleSooner reports whether a refused upstream can become eligible
// before the computed time: when a request ends or, for an engine, by a new view
// from the placer or a response that names its incarnation.
func (s *selection) mayBeEligibleSooner(u *upstream, reason Reason) bool {
	switch reason {
	case AtConcurrency, OverAllotment:
		return true
	case Ramping:
		return u.inFlight > 0 || s.picker.kind == catalog.Engine
	case ProbeInFlight:
		return true
	}
	return false
}

func (s *selection) choose() {
	chosen, reason := s.best, BestAffinity
	switch {
	case s.best == nil:
		return
	case s.second == nil:
		reason = OnlyEligible
	case s.picker.load(s.now, s.second) < s.picker.load(s.now, s.best):
		chosen, reason = s.second, LeastLoad
		s.refuse(s.best, HigherLoad, time.Time{})
	default:
		s.refuse(s.second, HigherLoad, time.Time{})
	}
	d := &s.decision
	d.Upstream, d.Address, d.Reason = chosen.Name, chosen.Address, reason
	d.RetryAfter, d.WaitHelps, d.MayBeSooner = 0, false, false
}

// ineligible returns the reason for refusing an upstream, "" if it is eligible,
// and when that reason ends, zero if unknown.
func (p *Picker) ineligible(now time.Time, u *upstream, tried []string) (Reason, time.Time) {
	switch {
	case u.disabled:
		return DataCentreDisabled, time.Time{}
	case u.leaving || u.Leaving:
		return Leaving, time.Time{}
	case slices.Contains(tried, u.Name):
		return AlreadyTried, time.Time{}
	case u.health.ejected && now.Before(u.health.until):
		return Ejected, u.health.until
	case u.health.probing:
		return ProbeInFlight, time.Time{}
	}
	limit, cause, growsAt := p.limit(now, u)
	if u.inFlight >= limit {
		return cause, growsAt
	}
	return "", time.Time{}
}
