package balance

import "time"

// health is the passive health check of one upstream.
type health struct {
	connect    int            // failures to connect in a row
	answers    map[string]int // failures after sending in a row, by route
	ejected    bool           // until a probe succeeds
	until      time.Time      // a probe may be sent from then on
	probing    bool
	ejections  int // without a long healthy time in between
	readmitted time.Time
}

// failures counts the failures in a row that speak against the upstream. What
// happens after sending can be the fault of one route, so that with several
// routes no single one contributes enough for an ejection.
func (h *health) failures(routes, ejectAfter int) int {
	limit := ejectAfter
	if routes > 1 {
		limit = min(maxFailuresPerRoute, ejectAfter-1)
	}
	n := h.connect
	for _, count := range h.answers {
		n += min(count, limit)
	}
	return n
}

func (h *health) reset() {
	h.connect = 0
	clear(h.answers)
}

// judge updates the health of an upstream after a request.
func (p *Picker) updateHealth(now time.Time, t *Ticket, r Result) {
	u, h := t.upstream, &t.upstream.health
	// Requests that were under way when a connection broke end by the same
	// event and are not further failures.
	counted := !t.started.Before(u.ramp.suspectedAt)
	if r.Kind == ConnectFailed || r.Kind == Broken {
		u.ramp.suspectedAt = now
	}
	if t.probe {
		h.probing = false
	}
	switch {
	case r.Kind == Neutral:
	case h.ejected && !t.probe: // a request from before the ejection proves nothing
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
		h.connect++
	} else {
		if h.answers == nil {
			h.answers = map[string]int{}
		}
		h.answers[r.Route]++
	}
	if h.failures(p.routes, p.config.EjectAfter) >= p.config.EjectAfter && p.mayEject(u) {
		p.eject(now, u)
	}
}

// mayEject reports whether at most half of the pool stays ejected with u.
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

// readmit ends an ejection. The upstream may have restarted meanwhile, so
// that its ramp begins again.
func (p *Picker) readmit(now time.Time, u *upstream) {
	u.health.ejected, u.health.readmitted = false, now
	u.health.reset()
	u.ramp.start = now
}

// limitEjections readmits the upstreams whose ejection ends first until at
// most half of the pool is ejected. Ejections are to relieve a pool, not to
// close it when the rest of it is taken out.
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
