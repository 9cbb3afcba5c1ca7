// Package dispatch decides which upstream runs a request. It does no I/O and
// reads no clock: callers pass the time and what they have seen.
package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// prefillPerMS is the assumed speed of reading prompts in tokens a
	// millisecond; the engines of the deployments read 19 to 22.
	prefillPerMS = 20.0
	// runningCostMS is what each running request adds to the latency of
	// another one, by the engines' slow-down per occupied slot.
	runningCostMS = 0.5
	// affinityMS is the advantage of the upstream that a session prefers: it
	// is about the time to read a shared prefix of some hundred tokens.
	affinityMS = 30.0
	// crossingMS is the cost of leaving the data centre, by the traffic price.
	crossingMS = 3.0
	// memoryShare is the part of an engine's memory that is filled before
	// others are preferred; beyond it running streams are preempted.
	memoryShare = 0.85
	// crowdedMS is the cost of an engine whose memory would be overcommitted.
	crowdedMS = 2000.0
	// fullFor is how long an upstream that turned a request away is avoided.
	fullFor = 250 * time.Millisecond
	// reportAge is how long the load that an answer carried is used.
	reportAge = 2 * time.Second
	// coldShare is the part of a cold upstream's rate that is used, since the
	// instances' turns are spread by chance and not evenly.
	coldShare = 0.5
	// coldTurn is how long an instance's turn at a cold upstream lasts.
	coldTurn = 400 * time.Millisecond
)

// Demand describes a request that needs an upstream.
type Demand struct {
	Service string
	Model   string // empty for plain services
	Adapter string
	Prompt  int64 // tokens
	Tokens  int64 // prompt and longest output
	Session string
	Tried   []string // upstreams that are chosen again only if they are in Again
	Again   []string // those of Tried that may run the request once more if no other can
}

// Reason says why a choice was made or none was possible.
type Reason string

// Reasons of choices.
const (
	LeastLoaded Reason = "least_loaded"
	OnlyOne     Reason = "only_eligible"
	TriedAgain  Reason = "only_tried_before" // no other can run it
	NoUpstream  Reason = "no_upstream"       // the service has none in service
	NotLoaded   Reason = "model_not_loaded"  // none has the model
	NoAdapter   Reason = "adapter_not_loaded"
	AllBusy     Reason = "all_excluded" // full, ejected, cold or tried
)

// Exclusions counts the upstreams that hold what a request needs and were left
// out all the same.
type Exclusions struct {
	Tried   int // by this request
	Full    int // turned a request away a moment ago
	Ejected int // failed too often
	Cold    int // get only so many requests a second
}

// Choice is the result of Pick.
type Choice struct {
	Upstream *fleet.Upstream // nil without one
	Reason   Reason
	Eligible int
	Excluded Exclusions
}

// Residence tells where models are served now, beyond what the entries say.
// A nil answer leaves the entry in force.
type Residence interface {
	Models(upstream *fleet.Upstream) map[string][]string
}

// load is what this instance knows of one upstream.
type load struct {
	service  string
	started  int64 // run of the upstream that the figures belong to
	running  int
	tokens   int64
	prefill  int64     // prompt tokens of requests without a first event
	silent   []*Ticket // requests without a first event, the oldest first
	reported int       // requests of other instances by the last answer
	at       bootclock.Time
	fullTill bootclock.Time
	health   health
	cold     coldGate
}

// Balancer chooses upstreams for one instance. It is not safe for concurrent use.
type Balancer struct {
	DataCentre string
	Self       string
	// Members is the number of instances that share the upstreams.
	Members int

	loads map[string]*load
}

// NewBalancer returns a balancer without history.
func NewBalancer(self, dataCentre string) *Balancer {
	return &Balancer{Self: self, DataCentre: dataCentre, Members: 1, loads: map[string]*load{}}
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
func (b *Balancer) Pick(now bootclock.Time, v *fleet.View, r Residence, d Demand) Choice {
	var service *fleet.Service
	if v.Config != nil {
		service = v.Config.Services[d.Service]
	}
	if service == nil {
		return Choice{Reason: NoUpstream}
	}
	choice := Choice{Reason: NoUpstream}
	var best, bestAgain float64
	var again *fleet.Upstream
	for _, u := range v.ByService[d.Service] {
		if !v.Usable(u) {
			continue
		}
		choice.Reason = worse(choice.Reason, NotLoaded)
		if d.Model != "" {
			adapters, ok := r.Models(u)[d.Model]
			if !ok {
				continue
			}
			if d.Adapter != "" && !slices.Contains(adapters, d.Adapter) {
				choice.Reason = worse(choice.Reason, NoAdapter)
				continue
			}
		}
		choice.Reason = worse(choice.Reason, AllBusy)
		l := b.load(u)
		tried := slices.Contains(d.Tried, u.ID)
		switch {
		case tried && !slices.Contains(d.Again, u.ID):
			choice.Excluded.Tried++
			continue
		case now.Before(l.fullTill):
			choice.Excluded.Full++
			continue
		case l.health.ejected(now):
			choice.Excluded.Ejected++
			continue
		case !l.cold.open(now, b.Self, u, service, b.Members):
			choice.Excluded.Cold++
			continue
		}
		cost := b.cost(now, l, u, service, d)
		if tried {
			if again == nil || cost < bestAgain {
				again, bestAgain = u, cost
			}
			continue
		}
		choice.Eligible++
		if choice.Upstream == nil || cost < best {
			choice.Upstream, best = u, cost
		}
	}
	switch {
	case choice.Eligible > 1:
		choice.Reason = LeastLoaded
	case choice.Eligible == 1:
		choice.Reason = OnlyOne
	case again != nil:
		choice.Upstream, choice.Reason = again, TriedAgain
	}
	return choice
}

// order of the reasons from the least to the most that was available.
var order = []Reason{NoUpstream, NotLoaded, NoAdapter, AllBusy}

func worse(a, b Reason) Reason {
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}

// cost estimates the time to the first event in milliseconds, with what a
// request costs otherwise expressed in the same unit.
func (b *Balancer) cost(now bootclock.Time, l *load, u *fleet.Upstream, s *fleet.Service, d Demand) float64 {
	others := 0
	if now.Sub(l.at) < reportAge {
		others = l.reported
	}
	busy := float64(l.running + others)
	var cost float64
	if s.Engine == nil {
		cost = 100 * busy / float64(max(u.Slots, 1))
	} else {
		cost = float64(l.prefill+d.Prompt)/prefillPerMS + busy*runningCostMS
		if used := float64(l.tokens + d.Tokens); used > memoryShare*float64(s.Engine.KVTokens) {
			cost += crowdedMS * used / float64(max(s.Engine.KVTokens, 1))
		}
		if int(busy) >= s.Engine.Slots {
			cost += crowdedMS
		}
	}
	cost *= max(l.health.slowness(now), l.silence(now))
	if u.DataCentre != b.DataCentre {
		cost += crossingMS
	}
	return cost - affinityMS*b.affinity(d, u)
}

// affinity returns a number from 0 to 1 that is the same on all instances, so
// that the requests of a session meet the upstream that keeps its prompt. For
// plain services it depends on the instance, which spreads equal loads.
func (b *Balancer) affinity(d Demand, u *fleet.Upstream) float64 {
	key := d.Session
	if d.Model == "" {
		key = b.Self
	}
	return fraction(key, d.Model, u.ID)
}

// fraction returns a number from 0 to 1 that depends on the texts only.
func fraction(texts ...string) float64 {
	h := xxhash.New()
	for _, text := range texts {
		h.WriteString(text)   //nolint:errcheck // a hash never fails.
		h.WriteString("\x00") //nolint:errcheck // as above.
	}
	return float64(h.Sum64()>>11) / float64(1<<53)
}

// Ticket stands for a request at an upstream.
type Ticket struct {
	load     *load
	demand   Demand
	started  bootclock.Time
	first    bool
	finished bool
}

// Start counts a request that is about to be sent.
func (b *Balancer) Start(now bootclock.Time, u *fleet.Upstream, d Demand) *Ticket {
	l := b.load(u)
	l.running++
	l.tokens += d.Tokens
	l.prefill += d.Prompt
	l.cold.sent(now)
	t := &Ticket{load: l, demand: d, started: now}
	l.silent = append(l.silent, t)
	return t
}

// silence compares the time for which the oldest request has been without its
// first event with the expected one. An upstream that answers nothing reports
// no load either, and would look idle.
func (l *load) silence(now bootclock.Time) float64 {
	if len(l.silent) == 0 {
		return 0
	}
	return slowness(now.Sub(l.silent[0].started), l.silent[0].expected())
}

// answered takes a request off those without a first event.
func (l *load) answered(t *Ticket) {
	if i := slices.Index(l.silent, t); i >= 0 {
		l.silent = slices.Delete(l.silent, i, i+1)
	}
}

// First records the first event of a request, after which its prompt has been read.
func (t *Ticket) First(now bootclock.Time) {
	if t.first {
		return
	}
	t.first = true
	t.load.answered(t)
	t.load.prefill -= t.demand.Prompt
	t.load.health.latency(now, now.Sub(t.started), t.expected())
}

// expected is the time to the first event of an idle upstream.
func (t *Ticket) expected() time.Duration {
	return time.Duration(float64(t.demand.Prompt)/prefillPerMS*float64(time.Millisecond)) + 60*time.Millisecond
}

// Reported records the requests that an answer says are at the upstream.
func (t *Ticket) Reported(now bootclock.Time, requests int) {
	t.load.reported = max(requests-t.load.running, 0)
	t.load.at = now
}

// Outcome is how a request at an upstream ended.
type Outcome uint8

// Outcomes.
const (
	Neutral Outcome = iota // says nothing about the upstream's health
	Served
	Full    // turned away for want of room
	Failed  // an error answer, a broken or invalid answer
	Refused // no connection
)

// Finish ends a request. Calls after the first have no effect.
func (b *Balancer) Finish(now bootclock.Time, t *Ticket, o Outcome) {
	if t.finished {
		return
	}
	t.finished = true
	l := t.load
	l.running--
	l.tokens -= t.demand.Tokens
	if !t.first {
		l.answered(t)
		l.prefill -= t.demand.Prompt
		if o == Neutral {
			l.health.atLeast(now, now.Sub(t.started), t.expected())
		}
	}
	switch o {
	case Full:
		l.fullTill = now.Add(fullFor)
	case Served:
		l.health.served()
	case Failed:
		l.health.failed(now, b.typical(l.service))
	case Refused:
		l.health.unreachable(now)
	case Neutral:
	}
}

// typical returns the usual share of failures at upstreams of a service, as
// their lower median: of two, one alone may fail.
func (b *Balancer) typical(service string) float64 {
	var shares []float64
	for _, l := range b.loads {
		if l.service == service {
			shares = append(shares, l.health.failures)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// Running returns this instance's requests at each upstream and model.
func (b *Balancer) Running(id string) int {
	if l := b.loads[id]; l != nil {
		return l.running
	}
	return 0
}

// Forget drops the history of upstreams that are not registered any more and
// have no requests.
func (b *Balancer) Forget(v *fleet.View) {
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
	return fmt.Sprintf("%d tried, %d full, %d ejected, %d cold", e.Tried, e.Full, e.Ejected, e.Cold)
}

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"neutral", "served", "full", "failed", "unreachable"}[o]
}
