package autoscale

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	simTick = 200 * time.Millisecond
	simName = "engine"
)

var simScale = fleet.Scale{Minimum: 17, Maximum: 40, BootTime: 8 * time.Second}

// load is the demand for a service at one time.
type load struct {
	models   int // with a place each
	requests int
	waiting  int
	refused  float64
}

// platformSim simulates the platform with one service in some data centres: it starts
// upstreams that are ordered and drains those beyond the order.
type platformSim struct {
	t       *testing.T
	now     bootclock.Time
	started bootclock.Time
	d       *Decider
	scale   fleet.Scale
	sites   map[string]*simSite
	load    func(at time.Duration) load
	down    func(at time.Duration) bool // whether calls get no response and are not carried out
	blind   func(at time.Duration) bool // whether the leader can't decide
	partial bool                        // instances have not reported
	calls   []simCall
	loads   float64
}

type simSite struct {
	desired   int
	present   int
	booting   []bootclock.Time // when they register
	unusable  int
	evacuated bool
	stuck     bool // ordered upstreams don't come
}

type simCall struct {
	at   time.Duration
	call Call
	from int // number that was in force
}

func newSim(t *testing.T, demand func(at time.Duration) load) *platformSim {
	s := &platformSim{t: t, now: bootclock.Time(time.Hour), scale: simScale, sites: map[string]*simSite{}, load: demand, loads: 10}
	s.started = s.now
	for _, dataCentre := range []string{"a", "b", "c"} {
		s.sites[dataCentre] = &simSite{desired: simScale.Minimum, present: simScale.Minimum}
	}
	s.d = New(s.now, 1000, nil)
	return s
}

func (s *platformSim) at() time.Duration { return s.now.Sub(s.started) }

func (s *platformSim) input() Input {
	l := s.load(s.at())
	service := Service{
		Scale: s.scale, Sites: map[string]Site{}, Evacuated: map[string]bool{}, Places: l.models, PlacesPerUpstream: 3, Requests: l.requests, Slots: 12,
		Waiting: l.waiting, Refused: l.refused, RefusedForSlot: l.refused, LoadsPerSecond: s.loads,
	}
	for dataCentre, site := range s.sites {
		usable := site.present - site.unusable
		if site.evacuated {
			usable = 0
		}
		service.Evacuated[dataCentre] = site.evacuated
		if site.present > 0 {
			service.Sites[dataCentre] = Site{Present: site.present, Usable: usable}
		}
	}
	return Input{Services: map[string]Service{simName: service}, Complete: !s.partial}
}

// step runs the platform and the decider for one tick.
func (s *platformSim) step() {
	s.now = s.now.Add(simTick)
	for _, site := range s.sites {
		for len(site.booting) > 0 && !s.now.Before(site.booting[0]) {
			site.booting = site.booting[1:]
			site.present++
		}
		for !site.stuck && site.present+len(site.booting) < site.desired {
			site.booting = append(site.booting, s.now.Add(s.scale.BootTime))
		}
		for len(site.booting) > 0 && site.present+len(site.booting) > site.desired {
			site.booting = site.booting[:len(site.booting)-1]
		}
		site.present = min(site.present, site.desired)
	}
	if s.blind != nil && s.blind(s.at()) {
		return
	}
	for _, c := range s.d.Decide(s.now, s.input()) {
		site := s.sites[c.DataCentre]
		s.calls = append(s.calls, simCall{s.at(), c, site.desired})
		if c.Number < s.scale.Minimum || c.Number > s.scale.Maximum {
			s.t.Errorf("at %s: ordered %d, want between %d and %d", s.at(), c.Number, s.scale.Minimum, s.scale.Maximum)
		}
		if s.down != nil && s.down(s.at()) {
			s.d.Record(s.now, c, Unanswered)
			continue
		}
		site.desired = c.Number
		s.d.Record(s.now, c, Accepted)
	}
}

func (s *platformSim) run(until time.Duration) {
	for s.at() < until {
		s.step()
	}
}

// total returns the number of upstreams that are ordered.
func (s *platformSim) total() int {
	n := 0
	for _, site := range s.sites {
		n += site.desired
	}
	return n
}

func constant(l load) func(time.Duration) load { return func(time.Duration) load { return l } }

// lowered counts the calls that ordered fewer upstreams than before.
func (s *platformSim) lowered(from, to time.Duration) int {
	n := 0
	for _, c := range s.calls {
		if c.at >= from && c.at < to && c.call.Number < c.from {
			n++
		}
	}
	return n
}

// swings counts the orders of fewer upstreams in a data centre that follow one of more.
func (s *platformSim) swings(dataCentre string) int {
	n, raised := 0, false
	for _, c := range s.calls {
		switch {
		case c.call.DataCentre != dataCentre || c.call.Number == c.from:
		case c.call.Number > c.from:
			raised = true
		case raised:
			n, raised = n+1, false
		}
	}
	return n
}
