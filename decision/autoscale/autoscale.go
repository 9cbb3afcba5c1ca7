// Package autoscale decides how many upstreams of each service run in each data centre.
// One instance, the leader, decides at a time. The package does no I/O and reads no clock.
package autoscale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// riseAfter is how long a demand must have lasted until upstreams are ordered for it.
	riseAfter = 2 * time.Second
	// holdTime is how long the demand must have been lower until upstreams are given up. An
	// upstream costs about 20 s of its price until it has booted and loaded its models, so
	// keeping it for less than a few times that is cheaper than ordering it again. It is
	// also the shortest time from an order of more upstreams to one of fewer.
	holdTime = 75 * time.Second
	// maxHoldTime bounds the hold time, which doubles when upstreams are ordered again
	// within reorderTime after some were given up, and is halved when that has not
	// happened for calmTime.
	maxHoldTime = 5 * time.Minute
	reorderTime = 3 * time.Minute
	calmTime    = 10 * time.Minute
	// stepPause is the time between two orders of fewer upstreams.
	stepPause = 20 * time.Second
	// settleTime is the time after the start of a term until the instances have reported
	// to the new leader.
	settleTime = 2 * time.Second
	// maxGap is the longest time between two decisions that counts as uninterrupted.
	maxGap = time.Second
	// fillTime is the time within which ordered upstreams have to be filled with models.
	// More than the weight store fills in it would be paid for without being of use.
	fillTime = 30 * time.Second
	// minRise is the number of upstreams that may always be ordered at a time.
	minRise = 3
	// slotShare is the share of the slots that is used at most, so that bursts find room.
	slotShare = 0.8
	// lossTime is how long upstreams that were in place are gone until they are ordered
	// again. One that has crashed is back, as a rule, after 2 to 3 s. An order of the number
	// in force costs little and changes nothing if the platform replaces them by itself.
	lossTime = 5 * time.Second
	// slotTime is how long a refused request is taken to occupy a slot.
	slotTime = 5 * time.Second
	// minRefused is the number of refusals a second from which none are given up.
	minRefused = 0.1
	// smallLoss is the share of the ordered upstreams of a data centre up to which those
	// that have not come may be made up for there.
	smallLoss = 0.1
	// arrivalMargin is added to twice the boot time before upstreams that have not come
	// are ordered again.
	arrivalMargin = 10 * time.Second
	// minRepeat and maxRepeat bound the growing pauses between repeats of a call without a
	// response.
	minRepeat = time.Second
	maxRepeat = 8 * time.Second
)

// Subject is what one number is ordered for.
type Subject struct{ Service, DataCentre string }

// Site is the state of a service in one data centre.
type Site struct {
	// Present is the number of registered upstreams that are not leaving, and Usable the
	// number of those that requests may be sent to.
	Present, Usable int
}

// Service is the state of a service that may be scaled.
type Service struct {
	Scale     fleet.Scale
	Sites     map[string]Site // by data centre
	Evacuated map[string]bool // data centres out of service
	// Places is the number of models, with replicas, whose demand pays for a place at an
	// upstream, and PlacesPerUpstream how many an upstream holds. Free is the number of
	// places without a model at the usable upstreams.
	Places, PlacesPerUpstream, Free int
	// Requests is the number of running requests and of those that wait for a slot, and
	// Slots the number that an upstream runs at a time. RefusedForSlot is the number a
	// second that were lately refused since no slot was free.
	Requests, Slots int
	RefusedForSlot  float64
	// Waiting is the number of requests that wait for a model whose demand pays for a
	// place, and Refused the number of such requests a second that were lately refused for
	// lack of capacity.
	Waiting int
	Refused float64
	// LoadsPerSecond is the number of models a second that the weight store loads.
	LoadsPerSecond float64
}

// Input is the state on which a decision is based.
type Input struct {
	Services map[string]Service
	// Complete is set if nearly all instances have lately reported their demand. Without
	// it the demand may be higher than it seems, so that no upstreams are given up.
	Complete bool
}

// Call is an order of upstreams for the platform.
type Call struct {
	Subject
	Number, Before int // now and when a call was last made
	Reason         string
}

// Outcome is the result of a call.
type Outcome uint8

// Outcomes of calls.
const (
	Unanswered Outcome = iota // the call may be carried out, also later
	Accepted
	Rejected // the call is not carried out
)

// Ordered is the last number that was ordered for a subject, which the next leader has to
// know.
type Ordered struct {
	Subject
	Number int
	// Answered is set if the platform has accepted the number.
	Answered bool
}

// Decider decides on the numbers. It is not safe for concurrent use.
type Decider struct {
	started  bootclock.Time
	last     bootclock.Time // last decision
	interval time.Duration  // between two calls
	nextCall bootclock.Time
	known    map[Subject]Ordered
	services map[string]*serviceState
}

// serviceState is the state of a service that is scaled.
type serviceState struct {
	sites map[string]*siteState
}

// siteState is the state of a service in one data centre.
type siteState struct {
	ordered  int // last number that was called for, or in place at the start
	known    bool
	answered bool
	inFlight bool
	// nextCall is the earliest time of the next call, and repeats counts those without a
	// response in a row.
	nextCall bootclock.Time
	repeats  int
	reason   string

	rise         window // of the number for which upstreams are ordered
	need         window // of the number below which none are given up
	loweredAt    bootclock.Time
	hold         time.Duration
	calmSince    bootclock.Time
	differsSince bootclock.Time // since when another number is in place than was ordered, 0 if not
	reached      bool           // the ordered number has been in place since the last call
	shortSince   bootclock.Time // since when fewer are usable than were ordered, 0 if not
	wanted       int
}

// New returns the decider of a new term. known are the numbers that were last ordered, as
// far as known. callsPerSecond is the number of calls a second that it may make.
func New(now bootclock.Time, callsPerSecond float64, known []Ordered) *Decider {
	d := &Decider{started: now, known: map[Subject]Ordered{}, services: map[string]*serviceState{}}
	if callsPerSecond > 0 {
		d.interval = time.Duration(float64(time.Second) / callsPerSecond)
	}
	for _, o := range known {
		d.known[o.Subject] = o
	}
	return d
}

// Decide returns the calls to make now and records them as made.
func (d *Decider) Decide(now bootclock.Time, in Input) []Call {
	if d.last != 0 && now.Sub(d.last) > maxGap {
		d.reset()
	}
	d.last = now
	for name := range d.services {
		if _, ok := in.Services[name]; !ok {
			delete(d.services, name)
		}
	}
	var calls []Call
	for _, name := range slices.Sorted(maps.Keys(in.Services)) {
		service := in.Services[name]
		state := d.services[name]
		if state == nil {
			state = &serviceState{sites: map[string]*siteState{}}
			d.services[name] = state
		}
		d.observe(now, name, state, service)
		state.sample(now, service, in.Complete)
		if !d.Settled(now, name, service) {
			continue
		}
		for _, dataCentre := range slices.Sorted(maps.Keys(state.sites)) {
			s := state.sites[dataCentre]
			s.decide(now, service)
			if !s.due(now, service, service.Evacuated[dataCentre]) || now.Before(d.nextCall) {
				continue
			}
			d.nextCall = now.Add(d.interval)
			calls = append(calls, s.call(now, Subject{name, dataCentre}))
		}
	}
	return calls
}

// settle returns the time after the start of a term until the state of a service is known.
// If it is not known what was ordered, upstreams that were ordered just before may still
// boot.
func (d *Decider) settle(name string, service Service) time.Duration {
	for dataCentre := range service.Sites {
		if _, ok := d.known[Subject{name, dataCentre}]; !ok {
			return settleTime + service.Scale.BootTime
		}
	}
	return settleTime
}

// reset forgets what the demand was, since it is not known for some time.
func (d *Decider) reset() {
	for _, service := range d.services {
		for _, s := range service.sites {
			s.rise.reset()
			s.need.reset()
		}
	}
}

// observe updates the sites to the upstreams in place.
func (d *Decider) observe(now bootclock.Time, name string, state *serviceState, service Service) {
	settled := d.Settled(now, name, service)
	for dataCentre, site := range service.Sites {
		s := state.sites[dataCentre]
		if s == nil {
			s = &siteState{hold: holdTime, calmSince: now, answered: true}
			if o, ok := d.known[Subject{name, dataCentre}]; ok {
				s.ordered, s.answered, s.known = o.Number, o.Answered, true
			} else {
				s.ordered = clamp(site.Present, service.Scale)
			}
			s.wanted = s.ordered
			state.sites[dataCentre] = s
		}
		if !s.known && !settled {
			s.ordered = clamp(site.Present, service.Scale)
			s.wanted = s.ordered
		}
		s.known = s.known || settled
		s.reached = s.reached || site.Present >= s.ordered
		setSince(&s.differsSince, now, s.answered && site.Present != s.ordered)
		setSince(&s.shortSince, now, s.answered && site.Usable < s.ordered)
	}
	for dataCentre, s := range state.sites {
		if _, ok := service.Sites[dataCentre]; !ok {
			// All upstreams are gone. Those that were ordered are still expected.
			setSince(&s.differsSince, now, s.answered)
			setSince(&s.shortSince, now, s.answered)
		}
	}
}

func setSince(since *bootclock.Time, now bootclock.Time, holds bool) {
	switch {
	case !holds:
		*since = 0
	case *since == 0:
		*since = now
	}
}

// arrivalTime returns the time within which an order shows in the upstreams in place.
func arrivalTime(service Service) time.Duration { return 2*service.Scale.BootTime + arrivalMargin }

// sample records the numbers that the demand asks for.
func (s *serviceState) sample(now bootclock.Time, service Service, complete bool) {
	need := upstreams(service)
	bounded := min(need, usable(service)+riseLimit(service))
	rise, hold := s.spread(now, service, bounded), s.spread(now, service, need)
	for dataCentre, site := range s.sites {
		site.rise.add(now, rise[dataCentre], max(riseAfter, maxGap))
		if complete {
			site.need.add(now, hold[dataCentre], maxHoldTime)
		} else {
			site.need.reset()
		}
	}
}

// upstreams returns the number of upstreams that the demand asks for in all data centres.
func upstreams(service Service) int {
	models := ceilDiv(service.Places, service.PlacesPerUpstream)
	slots := 0
	if service.Slots > 0 {
		requests := float64(service.Requests) + service.RefusedForSlot*slotTime.Seconds()
		slots = int(math.Ceil(requests / (slotShare * float64(service.Slots))))
	}
	return max(models, slots)
}

func usable(service Service) int {
	n := 0
	for _, site := range service.Sites {
		n += site.Usable
	}
	return n
}

// riseLimit returns how many upstreams more than there are can be filled with models.
func riseLimit(service Service) int {
	fill := int(service.LoadsPerSecond*fillTime.Seconds()) - service.Free
	return max(fill/max(service.PlacesPerUpstream, 1), minRise)
}

// spread spreads a number of upstreams evenly over the data centres in service. Ordered
// upstreams that have not come are made up for; where many have not, no more are ordered.
func (s *serviceState) spread(now bootclock.Time, service Service, number int) map[string]int {
	var inService, sound []string
	rest := number
	for _, dataCentre := range slices.Sorted(maps.Keys(s.sites)) {
		site, present := s.sites[dataCentre], service.Sites[dataCentre]
		if service.Evacuated[dataCentre] {
			continue
		}
		inService = append(inService, dataCentre)
		missing := 0
		if site.shortSince != 0 && now.Sub(site.shortSince) > arrivalTime(service) {
			missing = site.ordered - present.Usable
		}
		if missing > max(int(smallLoss*float64(site.ordered)), 1) {
			rest -= present.Usable
			continue
		}
		sound = append(sound, dataCentre)
		rest += missing
	}
	shares := make(map[string]int, len(s.sites))
	for dataCentre, site := range s.sites {
		shares[dataCentre] = service.Scale.Minimum
		if n := len(inService); slices.Contains(inService, dataCentre) {
			shares[dataCentre] = clamp(min(ceilDiv(number, n), site.ordered), service.Scale)
		}
	}
	for i, dataCentre := range sound {
		n := max(rest, 0) / len(sound)
		if i < max(rest, 0)%len(sound) {
			n++
		}
		shares[dataCentre] = clamp(n, service.Scale)
	}
	return shares
}

// decide sets the wanted number of a site.
func (s *siteState) decide(now bootclock.Time, service Service) {
	scale := service.Scale
	if now.Sub(s.calmSince) > calmTime {
		s.hold, s.calmSince = max(s.hold/2, holdTime), now
	}
	s.wanted = clamp(s.ordered, scale)
	if s.wanted != s.ordered {
		s.reason = "range"
		return
	}
	if low, ok := s.rise.lowest(now, riseAfter); ok && low > s.ordered {
		s.wanted, s.reason = low, riseReason(service)
		return
	}
	if service.Waiting > 0 || service.Refused >= minRefused || s.loweredAt != 0 && now.Sub(s.loweredAt) < stepPause {
		return
	}
	if high, ok := s.need.highest(now, s.hold); ok && high < s.ordered {
		s.wanted, s.reason = s.ordered-ceilDiv(s.ordered-high, 2), "low_use"
	}
}

// riseReason names what there is too little of.
func riseReason(service Service) string {
	if ceilDiv(service.Places, service.PlacesPerUpstream) >= upstreams(service) {
		return "models"
	}
	return "slots"
}

// due reports whether a call has to be made now.
func (s *siteState) due(now bootclock.Time, service Service, evacuated bool) bool {
	if s.inFlight || now.Before(s.nextCall) {
		return false
	}
	if s.wanted != s.ordered {
		return true
	}
	if !s.answered {
		s.reason = "repeat"
		return true
	}
	patience := arrivalTime(service)
	if s.reached && s.shortSince != 0 {
		patience = min(patience, lossTime)
	}
	if s.differsSince != 0 && now.Sub(s.differsSince) > patience && !evacuated {
		s.reason, s.differsSince = "not_in_place", now
		return true
	}
	return false
}

// call records a call as made.
func (s *siteState) call(now bootclock.Time, subject Subject) Call {
	before := s.ordered
	switch {
	case s.wanted > s.ordered:
		if s.loweredAt != 0 && now.Sub(s.loweredAt) < reorderTime {
			s.hold, s.calmSince = min(2*s.hold, maxHoldTime), now
		}
		s.repeats = 0
	case s.wanted < s.ordered:
		s.loweredAt, s.repeats = now, 0
	}
	if s.wanted != s.ordered {
		s.differsSince, s.shortSince = 0, 0
	}
	s.ordered, s.answered, s.inFlight, s.reached = s.wanted, false, true, false
	return Call{subject, s.ordered, before, s.reason}
}

// Record records the outcome of a call.
func (d *Decider) Record(now bootclock.Time, c Call, outcome Outcome) {
	service := d.services[c.Service]
	if service == nil || service.sites[c.DataCentre] == nil {
		return
	}
	s := service.sites[c.DataCentre]
	s.inFlight = false
	if outcome == Accepted {
		s.answered, s.repeats, s.nextCall = true, 0, now.Add(minRepeat)
		return
	}
	pause := min(minRepeat<<min(s.repeats, 3), maxRepeat)
	if outcome == Rejected {
		pause = maxRepeat // another try is of little use
	}
	s.repeats++
	s.nextCall = now.Add(pause)
}

// Ordered lists the last numbers that were ordered, as far as known, for the next leader.
func (d *Decider) Ordered() []Ordered {
	var list []Ordered
	for name, service := range d.services {
		for dataCentre, s := range service.sites {
			if s.known {
				list = append(list, Ordered{Subject{name, dataCentre}, s.ordered, s.answered})
			}
		}
	}
	slices.SortFunc(list, func(a, b Ordered) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return list
}

// Settled reports whether the state of a service is known.
func (d *Decider) Settled(now bootclock.Time, name string, service Service) bool {
	return now.Sub(d.started) >= d.settle(name, service)
}

func clamp(n int, scale fleet.Scale) int { return min(max(n, scale.Minimum, 1), scale.Maximum) }

func ceilDiv(a, b int) int {
	if b <= 0 {
		return 0
	}
	return (a + b - 1) / b
}
