package userplatform

import (
	"sync"
	"time"
)

// Scaling starts and drains upstreams as the API's scaling calls order. It is safe for
// concurrent use.
type Scaling struct {
	// New returns an upstream that has not been started. n counts the upstreams that were
	// ordered.
	New   func(service, zone string, n int) *Upstream
	Store *Store
	// BootTime is the time from the order of an upstream to its registration, and DrainTime
	// the one from its entry as draining to its end.
	BootTime, DrainTime time.Duration

	mu      sync.Mutex
	ordered int
	groups  map[scaleGroup]*scaledUpstreams
	began   map[*Upstream]time.Time // when they were ordered, or added
	ended   map[*Upstream]time.Time // when they were drained
	closed  bool
}

type scaleGroup struct{ service, zone string }

// scaledUpstreams are the upstreams of one service in one zone.
type scaledUpstreams struct {
	desired int
	booting int
	running []*Upstream // oldest first
}

// Add adds an upstream that runs already.
func (s *Scaling) Add(u *Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(u.Service, u.Zone)
	s.began[u] = time.Now()
	g.running = append(g.running, u)
	g.desired = len(g.running)
}

// group returns the upstreams of a service in a zone. The caller holds mu.
func (s *Scaling) group(service, zone string) *scaledUpstreams {
	k := scaleGroup{service, zone}
	if s.groups == nil {
		s.groups, s.began, s.ended = map[scaleGroup]*scaledUpstreams{}, map[*Upstream]time.Time{}, map[*Upstream]time.Time{}
	}
	if s.groups[k] == nil {
		s.groups[k] = &scaledUpstreams{}
	}
	return s.groups[k]
}

// Order starts or drains upstreams so that their number is the desired one. It can be the
// OnScale of an API.
func (s *Scaling) Order(service, zone string, desired int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(service, zone)
	g.desired = desired
	for len(g.running)+g.booting < desired {
		s.ordered++
		g.booting++
		u := s.New(service, zone, s.ordered)
		s.began[u] = time.Now()
		time.AfterFunc(s.BootTime, func() { s.start(g, u) })
	}
	for len(g.running)+g.booting > desired && len(g.running) > 0 {
		last := len(g.running) - 1
		u := g.running[last]
		g.running = g.running[:last]
		s.ended[u] = time.Now()
		u.Drain() //nolint:errcheck // it fails only for an upstream that has ended.
		time.AfterFunc(s.DrainTime, func() {
			u.Close()
			s.Store.Delete("servers", u.ID)
		})
	}
}

// start starts an upstream that has booted, unless it is not wanted any longer.
func (s *Scaling) start(g *scaledUpstreams, u *Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.booting--
	if s.closed || len(g.running)+g.booting >= g.desired {
		s.ended[u] = time.Now()
		return
	}
	if u.Start(s.Store) == nil {
		g.running = append(g.running, u)
	}
}

// Desired returns the number of upstreams that was last ordered.
func (s *Scaling) Desired(service, zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group(service, zone).desired
}

// Running returns the upstreams that run and are not draining.
func (s *Scaling) Running(service, zone string) []*Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Upstream(nil), s.group(service, zone).running...)
}

// All returns all upstreams that were added or ordered, and for how long each has been
// billed.
func (s *Scaling) All() map[*Upstream]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[*Upstream]time.Duration, len(s.began))
	for u, began := range s.began {
		end, ok := s.ended[u]
		if !ok {
			end = time.Now()
		}
		all[u] = end.Sub(began)
	}
	return all
}

// Close ends all upstreams.
func (s *Scaling) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, g := range s.groups {
		for _, u := range g.running {
			u.Close()
		}
	}
}
