package balance

import "time"

// health is the state of the passive health check of one upstream.
type health struct {
	connectFailures int            // consecutive failures to connect
	routeFailures   map[string]int // consecutive failures after sending, by route
	ejected         bool           // until a probe succeeds
	until           time.Time      // a probe may be sent from this time on
	probing         bool
	ejections       int // reset once the upstream has been healthy for ejectionResetAfter
	readmitted      time.Time
}

// failures returns the number of consecutive failures that count towards an
// ejection. A failure after sending can be caused by the requests of one route.
// If several routes use the pool, the share of each is limited so that no
// single route can eject the upstream.
func (h *health) failures(routes, ejectAfter int) int {
	limit := ejectAfter
	if routes > 1 {
		limit = min(maxFailuresPerRoute, ejectAfter-1)
	}
	n := h.connectFailures
	for _, count := range h.routeFailures {
		n += min(count, limit)
	}
	return n
}

func (h *health) reset() {
	h.connectFailures = 0
	clear(h.routeFailures)
}

// updateHealth updates the health of an upstream at the end of a request.
func (p *Picker) updateHealth(now time.Time, t *Ticket, r Result) {
	u, h := t.upstream, &t.upstream.health
	// Requests that were in flight when a connection broke fail by the same
	// event, such as a restart, and are not counted again.
	counted := !t.started.Before(u.ramp.suspectedAt)
	if r.Kind == ConnectFailed || r.Kind == Broken {
		u.ramp.suspectedAt = now
	}
	if t.probe {
		h.probing = false
	}
	switch {
	case r.Kind == Neutral:
	case h.ejected && !t.probe: // the request was sent before the ejection
	case r.Kind == Success && h.ejected:
		p.readmit(now, u)
	case r.Kind == Success:
		h.reset()
	case h.ejected:
		p.eject(now, u)
	case counted:
		p.countFailure(now, u, r)
	}
}

func (p *Picker) countFailure(now time.Time, u *upstream, r Result) {
	h := &u.health
	if r.Kind == ConnectFailed {
		h.connectFailures++
	} else {
		if h.routeFailures == nil {
			h.routeFailures = map[string]int{}
		}
		h.routeFailures[r.Route]++
	}
	if h.failures(p.routes, p.config.EjectAfter) >= p.config.EjectAfter && p.mayEject(u) {
		p.eject(now, u)
	}
}

// mayEject reports whether at most half of the pool would be ejected with u.
func (p *Picker) mayEject(u *upstream) bool {
	ejected, inService := p.ejections()
	return u.inService() && 2*(ejected+1) <= inService
}

func (p *Picker) ejections() (ejected, inService int) {
	for _, u := range p.upstreams {
		if !u.inService() {
			continue
		}
		inService++
		if u.health.ejected {
			ejected++
		}
	}
	return ejected, inService
}

func (p *Picker) eject(now time.Time, u *upstream) {
	h := &u.health
	if !h.ejected && now.Sub(h.readmitted) > ejectionResetAfter {
		h.ejections = 0
	}
	delay := p.config.EjectBase
	for i := 0; i < h.ejections && delay < p.config.EjectMax; i++ {
		delay *= 2
	}
	h.ejected, h.until = true, now.Add(min(delay, p.config.EjectMax))
	h.ejections++
	h.reset()
}

// readmit ends an ejection. The ramp starts again, since the upstream may have
// restarted meanwhile.
func (p *Picker) readmit(now time.Time, u *upstream) {
	u.health.ejected, u.health.readmitted = false, now
	u.health.reset()
	u.ramp.start = now
}

// limitEjections readmits the upstreams whose ejections end first until at most
// half of the pool is ejected. Without it, ejections could leave a pool with no
// upstreams when the others are taken out of service.
func (p *Picker) limitEjections(now time.Time) {
	for {
		ejected, inService := p.ejections()
		if 2*ejected <= inService {
			return
		}
		var first *upstream
		for _, u := range p.upstreams {
			if u.inService() && u.health.ejected && (first == nil || u.health.until.Before(first.health.until)) {
				first = u
			}
		}
		p.readmit(now, first)
	}
}
