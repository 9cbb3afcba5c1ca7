// Package dispatch chooses the upstream that runs a request. It does no I/O and
// reads no clock: callers pass the time and the events they observe.
package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// prefillTokensPerMS is the assumed speed of reading prompts in tokens a
	// millisecond; the engines of the deployments read 19 to 22.
	prefillTokensPerMS = 20.0
	// runningCostMS is the latency that each running request adds to another one,
	// derived from the engines' slow-down per occupied slot.
	runningCostMS = 0.5
	// affinityMS is the cost reduction of the upstream with the highest session
	// affinity: about the time to read a shared prefix of some hundred tokens.
	affinityMS = 30.0
	// crossCentreMS is the cost of sending a request to another data centre,
	// derived from the price of traffic.
	crossCentreMS = 3.0
	// memoryShare is the fraction of an engine's KV cache that is filled before
	// other engines are preferred; beyond it running streams are preempted.
	memoryShare = 0.85
	// overcommitMS is the cost of an engine whose KV cache would be filled beyond
	// memoryShare or whose slots are all occupied.
	overcommitMS = 2000.0
	// placeCostMS is the cost of an upstream at which a place is granted, below all others.
	placeCostMS = -1e9
	// fullBackoff is how long an upstream that rejected a request as full is
	// avoided.
	fullBackoff = 250 * time.Millisecond
	// reportMaxAge is how long the load reported with an answer is used.
	reportMaxAge = 2 * time.Second
	// coldShare is the fraction of a cold upstream's rate limit that is used,
	// because the instances' time windows are distributed at random and not evenly.
	coldShare = 0.5
)

// Demand describes a request that needs an upstream.
type Demand struct {
	Service  string
	Model    string // empty for plain services
	Adapter  string
	Prompt   int64 // tokens
	Tokens   int64 // prompt and longest output
	Session  string
	Software fleet.VersionConstraint
	NotYet   []string // software versions at which a stream that has not begun may not begin yet
	Tried    []string // upstreams tried before; not chosen again unless they are in Retryable
	// Candidates asks for all upstreams that can run the request.
	Candidates bool
	// Place is an upstream at which the leader has granted a place. It is chosen if it can
	// run the request.
	Place     string
	Retryable []string // those of Tried that may be chosen again if no other upstream can run the request
}

// Reason is why an upstream was chosen or why none could be.
type Reason string

// Reasons of choices.
const (
	LeastLoaded Reason = "least_loaded"
	OnlyOne     Reason = "only_eligible"
	TriedAgain  Reason = "only_tried_before"      // only an upstream tried before can run the request
	NoUpstream  Reason = "no_upstream"            // the service has no usable upstream
	NoVersion   Reason = "no_upstream_of_version" // no usable upstream has the software version that began the stream
	NotLoaded   Reason = "model_not_loaded"       // no upstream serves the model
	NoAdapter   Reason = "adapter_not_loaded"
	AllExcluded Reason = "all_excluded" // all are full, ejected, cold, at their limit or tried before
)

// Exclusions counts the upstreams that were excluded although they serve the model and
// adapter of a request.
type Exclusions struct {
	Tried   int // tried before by this request
	Full    int // rejected a request as full within fullBackoff
	Ejected int // ejected by the passive health check
	Cold    int // limited to a rate of requests after a cold start
	Limited int // the limit that the upstream names is used up
	Version int // another software version began the stream
	Paused  int // wants nothing from this instance for a time, or has just wanted that
}

// onlyLimited reports whether only limits and pauses exclude upstreams that this request
// has not tried.
func (e Exclusions) onlyLimited() bool {
	return e.Limited+e.Paused > 0 && e.Full == 0 && e.Ejected == 0 && e.Cold == 0
}

// Choice is the result of Pick.
type Choice struct {
	Upstream *fleet.Upstream // nil if none was chosen
	Reason   Reason
	Eligible int
	Excluded Exclusions
	// Candidates are the upstreams that can run the request, the best one first, if
	// Demand.Candidates is set.
	Candidates []string
	// limited is the limited or paused upstream that may get a request first, at
	// limitedUntil; nil if there is none.
	limited      *load
	limitedUntil bootclock.Time
}

// LimitedFor returns the time until an upstream may get a request within its limit and
// after its pause. ok is false if upstreams are excluded for other reasons, which may end
// earlier.
func (c Choice) LimitedFor(now bootclock.Time) (d time.Duration, ok bool) {
	if c.limited == nil || !c.Excluded.onlyLimited() {
		return 0, false
	}
	return max(c.limitedUntil.Sub(now), 0), true
}

// offerLimited keeps the limited or paused upstream that may get a request first.
func (c *Choice) offerLimited(l *load, until bootclock.Time) {
	if c.limited == nil || until.Before(c.limitedUntil) {
		c.limited, c.limitedUntil = l, until
	}
}

// ServedModels returns the models, with their adapters, that an upstream serves now.
// It may be newer than the upstream's entry.
type ServedModels interface {
	Models(upstream *fleet.Upstream) map[string][]string
}

// load is this instance's state of one upstream.
type load struct {
	service    string
	started    int64     // run of the upstream that the state belongs to
	running    int       // requests in flight from this instance
	tokens     int64     // sum of Demand.Tokens of the requests in flight
	prefill    int64     // prompt tokens of requests without a first event
	unanswered []*Ticket // requests without a first event, oldest first
	reported   int       // requests of other instances according to the last answer
	reportedAt bootclock.Time
	pace       float64 // how long work takes according to the last answer that says so, 100 being usual
	paceAt     bootclock.Time
	fullUntil  bootclock.Time
	health     health
	cold       coldGate
	limit      limitGate
	pause      pauseGate
}

// Balancer chooses upstreams for one instance. It is not safe for concurrent use.
type Balancer struct {
	DataCentre string
	InstanceID string
	// Members is the number of instances that share the upstreams.
	Members int
	// Limits is nil if no upstream names a limit.
	Limits Limits

	loads map[string]*load
}

// NewBalancer returns a balancer without history.
func NewBalancer(instanceID, dataCentre string) *Balancer {
	return &Balancer{InstanceID: instanceID, DataCentre: dataCentre, Members: 1, loads: map[string]*load{}}
}

func (b *Balancer) load(u *fleet.Upstream) *load {
	l := b.loads[u.ID]
	if l == nil || l.started != u.Started {
		l = &load{service: u.Service, started: u.Started}
		b.loads[u.ID] = l
	}
	return l
}

// Pick chooses an upstream for a request.
func (b *Balancer) Pick(now bootclock.Time, v *fleet.View, r ServedModels, d Demand) Choice {
	var service *fleet.Service
	if v.Config != nil {
		service = v.Config.Services[d.Service]
	}
	if service == nil {
		return Choice{Reason: NoUpstream}
	}
	choice := Choice{Reason: NoUpstream}
	var best, bestRetry float64
	var retry *fleet.Upstream
	var candidates []candidate
	for _, u := range v.ByService[d.Service] {
		if !v.Usable(u) {
			continue
		}
		var adapters []string
		serves := true
		if d.Model != "" {
			adapters, serves = r.Models(u)[d.Model]
		}
		if !d.Software.Allows(u) || slices.Contains(d.NotYet, u.Software) {
			choice.Reason = furthest(choice.Reason, NoVersion)
			if serves {
				choice.Excluded.Version++
			}
			continue
		}
		choice.Reason = furthest(choice.Reason, NotLoaded)
		if !serves {
			continue
		}
		if d.Adapter != "" && !slices.Contains(adapters, d.Adapter) {
			choice.Reason = furthest(choice.Reason, NoAdapter)
			continue
		}
		choice.Reason = furthest(choice.Reason, AllExcluded)
		l := b.load(u)
		tried := slices.Contains(d.Tried, u.ID)
		switch {
		case tried && !slices.Contains(d.Retryable, u.ID):
			choice.Excluded.Tried++
			continue
		case now.Before(l.fullUntil):
			choice.Excluded.Full++
			continue
		case l.health.ejected(now):
			choice.Excluded.Ejected++
			continue
		case !l.cold.allows(now, b.InstanceID, u, service, b.Members):
			choice.Excluded.Cold++
			continue
		case b.deferred(now, l, u):
			choice.Excluded.Limited++
			choice.offerLimited(l, max(l.limit.until, l.pause.until))
			continue
		case l.pause.blocks(now, l.running):
			choice.Excluded.Paused++
			choice.offerLimited(l, l.pause.until)
			continue
		}
		cost := b.cost(now, l, u, service, d)
		if tried {
			if retry == nil || cost < bestRetry {
				retry, bestRetry = u, cost
			}
			continue
		}
		choice.Eligible++
		if d.Place == u.ID {
			cost = placeCostMS
		}
		if d.Candidates {
			candidates = append(candidates, candidate{u.ID, cost})
		}
		if choice.Upstream == nil || cost < best {
			choice.Upstream, best = u, cost
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id)) })
	for _, c := range candidates {
		choice.Candidates = append(choice.Candidates, c.id)
	}
	switch {
	case choice.Eligible > 1:
		choice.Reason = LeastLoaded
	case choice.Eligible == 1:
		choice.Reason = OnlyOne
	case retry != nil:
		choice.Upstream, choice.Reason = retry, TriedAgain
	}
	return choice
}

// candidate is an upstream that can run a request.
type candidate struct {
	id   string
	cost float64
}

// reasonOrder lists the reasons for no choice by how many conditions an upstream
// met, fewest first.
var reasonOrder = []Reason{NoUpstream, NoVersion, NotLoaded, NoAdapter, AllExcluded}

func furthest(a, b Reason) Reason {
	if slices.Index(reasonOrder, b) > slices.Index(reasonOrder, a) {
		return b
	}
	return a
}

// cost returns the estimated time to the first event in milliseconds, plus other
// costs of the choice in the same unit.
func (b *Balancer) cost(now bootclock.Time, l *load, u *fleet.Upstream, s *fleet.Service, d Demand) float64 {
	others := 0
	if now.Sub(l.reportedAt) < reportMaxAge {
		others = l.reported
	}
	busy := float64(l.running + others)
	var cost float64
	if s.Engine == nil {
		cost = 100 * busy / float64(max(u.Slots, 1))
	} else {
		cost = float64(l.prefill+d.Prompt)/prefillTokensPerMS + busy*runningCostMS
		if used := float64(l.tokens + d.Tokens); used > memoryShare*float64(s.Engine.KVTokens) {
			cost += overcommitMS * used / float64(max(s.Engine.KVTokens, 1))
		}
		if int(busy) >= s.Engine.Slots {
			cost += overcommitMS
		}
	}
	cost *= max(l.health.slowness(now), l.pendingSlowness(now)) * l.paceFactor(now)
	if u.DataCentre != b.DataCentre {
		cost += crossCentreMS
	}
	return cost - affinityMS*b.affinity(d, u)
}

// affinity returns a number from 0 to 1 that is the same on all instances, so
// that the requests of a session are sent to the upstream that has its prompt
// cached. For plain services it depends on the instance instead of the session,
// so that instances choose different upstreams when loads are equal.
func (b *Balancer) affinity(d Demand, u *fleet.Upstream) float64 {
	key := d.Session
	if d.Model == "" {
		key = b.InstanceID
	}
	return hashFraction(key, d.Model, u.ID)
}

// hashFraction hashes texts to a number from 0 to 1.
func hashFraction(texts ...string) float64 {
	h := xxhash.New()
	for _, text := range texts {
		h.WriteString(text)   //nolint:errcheck // a hash never fails.
		h.WriteString("\x00") //nolint:errcheck // a hash never fails.
	}
	return float64(h.Sum64()>>11) / float64(1<<53)
}

// Start records a request that is about to be sent to an upstream.
func (b *Balancer) Start(now bootclock.Time, u *fleet.Upstream, d Demand) *Ticket {
	l := b.load(u)
	l.running++
	l.tokens += d.Tokens
	l.prefill += d.Prompt
	l.cold.turns.recordSent(now)
	t := &Ticket{load: l, demand: d, started: now}
	l.unanswered = append(l.unanswered, t)
	return t
}

// Outcome is the result of a request at an upstream.
type Outcome uint8

// Outcomes.
const (
	Neutral Outcome = iota // does not count as success or failure of the upstream
	Served
	Full    // rejected for lack of capacity
	Failed  // error answer, or broken or invalid answer
	Refused // connection could not be established
)

// Finish records the end of a request. Calls after the first have no effect.
func (b *Balancer) Finish(now bootclock.Time, t *Ticket, o Outcome) {
	if t.finished {
		return
	}
	t.finished = true
	l := t.load
	l.running--
	l.tokens -= t.demand.Tokens
	if !t.first {
		l.removeUnanswered(t)
		l.prefill -= t.demand.Prompt
		if o == Neutral {
			l.health.recordMinLatency(now, now.Sub(t.started), t.expected())
		}
	}
	switch o {
	case Full:
		l.fullUntil = now.Add(fullBackoff)
	case Served:
		l.health.recordSuccess()
	case Failed:
		l.health.recordFailure(now, b.typicalFailures(l.service))
	case Refused:
		l.health.recordRefused(now)
	case Neutral:
	}
}

// typicalFailures returns the lower median of the failure ratios at the upstreams
// of a service. The lower median is used so that of two upstreams one can be
// ejected when only that one fails.
func (b *Balancer) typicalFailures(service string) float64 {
	var ratios []float64
	for _, l := range b.loads {
		if l.service == service {
			ratios = append(ratios, l.health.failures)
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}

// Running returns the number of this instance's requests in flight at an
// upstream.
func (b *Balancer) Running(id string) int {
	if l := b.loads[id]; l != nil {
		return l.running
	}
	return 0
}

// Prune deletes the state of upstreams that are no longer registered and have no
// requests in flight.
func (b *Balancer) Prune(v *fleet.View) {
	for id, l := range b.loads {
		if v.ByID[id] == nil && l.running == 0 {
			delete(b.loads, id)
		}
	}
}

// String describes a choice for logs.
func (c Choice) String() string {
	if c.Upstream == nil {
		return string(c.Reason)
	}
	return c.Upstream.ID + " (" + string(c.Reason) + ", " + strconv.Itoa(c.Eligible) + " eligible)"
}

// String describes the exclusions for logs.
func (e Exclusions) String() string {
	return fmt.Sprintf("%d tried, %d full, %d ejected, %d cold, %d limited, %d paused, %d of another version", e.Tried, e.Full, e.Ejected, e.Cold, e.Limited, e.Paused, e.Version)
}

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"neutral", "served", "full", "failed", "unreachable"}[o]
}
