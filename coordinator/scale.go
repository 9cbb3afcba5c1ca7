package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/autoscale"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// scaleInterval is the time between two decisions on the numbers of upstreams.
	scaleInterval = 200 * time.Millisecond
	// reportedFor is how long after its last report an instance counts as heard.
	reportedFor = 3 * time.Second
	// heardShare is the share of the instances that must be heard before upstreams are
	// given up.
	heardShare = 0.9
	// membersTTL is how long instances that are no longer connected count as missing. The
	// demand of instances that can't be reached is not known.
	membersTTL = 3 * time.Minute
	// maxScaleAge is the age of the tables, in multiples of the shortest bound, above which
	// nothing is decided.
	maxScaleAge = 2
)

// orderedUpstreams is the number of upstreams that a leader last ordered. Each instance
// keeps it for the next leader.
type orderedUpstreams struct {
	Service    string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Number     int    `cbor:"3,keyasint"`
	Answered   bool   `cbor:"4,keyasint,omitempty"`
}

// scaleState is what an instance knows of the numbers of upstreams that were ordered, and
// what it needs to decide on them while it leads.
type scaleState struct {
	decider *autoscale.Decider // nil unless this instance leads
	next    bootclock.Time     // next decision
	// members is the highest number of connected instances since membersAt.
	members   int
	membersAt bootclock.Time
	metrics   map[string]struct{} // names of the registered metrics
	// ordered are the numbers that the leader of the term with orderedToken last ordered.
	ordered      []orderedUpstreams
	orderedToken uint64
}

// startScaling starts deciding on the numbers of upstreams in a new term. The caller holds
// mu.
func (c *Coordinator) startScaling(now bootclock.Time) {
	s := &c.scale
	s.decider = nil
	if !c.config.Duties.Has(DutyScaling) {
		return
	}
	// Numbers of an earlier term than the last one may have been replaced since.
	var known []autoscale.Ordered
	if s.orderedToken+1 >= c.lease.Token() {
		for _, o := range s.ordered {
			known = append(known, autoscale.Ordered{Subject: autoscale.Subject{Service: o.Service, DataCentre: o.DataCentre}, Number: o.Number, Answered: o.Answered})
		}
	}
	s.decider, s.next = autoscale.New(now, dutyRateShare*c.config.Duties.CallsPerS, known), 0
	s.members, s.membersAt = c.client.Members(), now // as the last leader counted them
}

// stopScaling ends the decisions of a term. The caller holds mu.
func (c *Coordinator) stopScaling() {
	c.scale.decider = nil
	for name := range c.scale.metrics {
		c.config.Metrics.UnregisterMetric(name)
	}
	c.scale.metrics = nil
}

// recordOrdered keeps the numbers that the leader last ordered. The caller holds mu.
func (c *Coordinator) recordOrdered(token uint64, ordered []orderedUpstreams) {
	if token >= c.scale.orderedToken {
		c.scale.ordered, c.scale.orderedToken = ordered, token
	}
}

// orderedNumbers returns the numbers that were last ordered in this term, nil if none are
// known. The caller holds mu.
func (c *Coordinator) orderedNumbers() []orderedUpstreams {
	if c.scale.decider == nil {
		return nil
	}
	var list []orderedUpstreams
	for _, o := range c.scale.decider.Ordered() {
		list = append(list, orderedUpstreams{o.Service, o.DataCentre, o.Number, o.Answered})
	}
	return list
}

// planScaling returns the calls to make now, with the state of their services. The caller
// holds mu.
func (c *Coordinator) planScaling(now bootclock.Time) ([]autoscale.Call, autoscale.Input) {
	s := &c.scale
	if s.decider == nil || c.observedView == nil || now.Before(s.next) {
		return nil, autoscale.Input{}
	}
	s.next = now.Add(scaleInterval)
	for _, source := range c.config.Sources {
		if source.Age(now) > maxScaleAge*c.config.ShortestBound {
			return nil, autoscale.Input{}
		}
	}
	in := c.scaleInput(now)
	calls := s.decider.Decide(now, in)
	if len(calls) > 0 {
		c.lastHeartbeat = 0 // the next leader has to know them, be it soon
	}
	c.recordOrdered(c.lease.Token(), c.orderedNumbers())
	for _, o := range s.ordered {
		c.setWanted(o)
	}
	return calls, in
}

func (c *Coordinator) setWanted(o orderedUpstreams) {
	name := fmt.Sprintf(`hibiscusyard_wanted_upstreams{service=%q,data_centre=%q}`, o.Service, o.DataCentre)
	if c.scale.metrics == nil {
		c.scale.metrics = map[string]struct{}{}
	}
	c.scale.metrics[name] = struct{}{}
	c.config.Metrics.GetOrCreateGauge(name, nil).Set(float64(o.Number))
}

// scaleInput returns the state of the services that may be scaled. The caller holds mu.
func (c *Coordinator) scaleInput(now bootclock.Time) autoscale.Input {
	view := c.observedView
	in := autoscale.Input{Services: map[string]autoscale.Service{}, Complete: c.mostHeard(now)}
	for name, service := range view.Config.Services {
		if service.Scale == nil {
			continue
		}
		// The demand for services without an engine is not known to the leader.
		usage, ok := c.planner.Usage(now, name)
		if !ok {
			continue
		}
		in.Services[name] = autoscale.Service{
			Scale: *service.Scale, Sites: sites(view, name), Evacuated: view.Evacuated, Places: usage.Places, PlacesPerUpstream: usage.PlacesPerEngine, Free: usage.Free,
			Requests: usage.Running + usage.WaitingForSlot, Slots: service.Engine.Slots, RefusedForSlot: usage.RefusedForSlot,
			Waiting: usage.Waiting, Refused: usage.Refused, LoadsPerSecond: usage.LoadsPerSecond,
		}
	}
	return in
}

// sites counts the upstreams of a service by data centre.
func sites(view *fleet.View, service string) map[string]autoscale.Site {
	sites := map[string]autoscale.Site{}
	for _, u := range view.ByService[service] {
		site := sites[u.DataCentre]
		if d, departed := view.Departed[u.ID]; !u.Leaving && !(departed && d.Started == u.Started) {
			site.Present++
		}
		if view.Usable(u) {
			site.Usable++
		}
		sites[u.DataCentre] = site
	}
	return sites
}

// mostHeard reports whether nearly all instances have lately reported their demand. The
// caller holds mu.
func (c *Coordinator) mostHeard(now bootclock.Time) bool {
	s := &c.scale
	connected := c.hub.Connected()
	heard := 1
	for _, id := range connected {
		if report, ok := c.reports[id.Instance]; ok && now.Sub(report.received) < reportedFor {
			heard++
		}
	}
	if n := len(connected) + 1; n >= s.members || now.Sub(s.membersAt) > membersTTL {
		s.members, s.membersAt = n, now
	}
	return float64(heard) >= heardShare*float64(s.members)
}

// sendScale makes one scaling call in the term with the given token.
func (c *Coordinator) sendScale(ctx context.Context, call autoscale.Call, service autoscale.Service, token uint64) {
	result, err := c.sendDuty(ctx, token, DutyScaling, func(ctx context.Context) (ports.DutyResult, error) {
		return c.config.Duties.API.Scale(ctx, token, call.Service, call.DataCentre, call.Number)
	})
	outcome := autoscale.Unanswered
	switch result {
	case ports.DutyAccepted:
		outcome = autoscale.Accepted
	case ports.DutyThrottled:
		outcome = autoscale.Rejected
	}
	c.mu.Lock()
	if c.scale.decider != nil && c.lease.Token() == token {
		c.scale.decider.Record(bootclock.Now(), call, outcome)
	}
	c.mu.Unlock()
	site := service.Sites[call.DataCentre]
	entry := c.config.Log.WithFields(log.Fields{
		"service": call.Service, "upstream_data_centre": call.DataCentre, "number": call.Number, "before": call.Before, "reason": call.Reason,
		"outcome": result.String(), "token": token, "present": site.Present, "usable": site.Usable, "places_wanted": service.Places,
		"places_free": service.Free, "requests": service.Requests, "waiting": service.Waiting, "refused_per_s": service.Refused,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("scaling decision")
}
