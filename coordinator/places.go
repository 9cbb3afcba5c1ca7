package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/admission"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// placeRequest asks the leader for a place for one request at one of several
// engines.
type placeRequest struct {
	Upstreams []string      `cbor:"1,keyasint"`
	Priority  int           `cbor:"2,keyasint"`
	Prompt    int64         `cbor:"3,keyasint"`
	Tokens    int64         `cbor:"4,keyasint"`
	OnTime    time.Duration `cbor:"5,keyasint"` // until the latest start that meets the objective
	Latest    time.Duration `cbor:"6,keyasint"` // until the latest start that is of use
}

// placeResponse names the upstream at which the request has a place, or refuses it.
type placeResponse struct {
	Upstream   string        `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}

// placeStep is the longest time between two decisions about waiting claims.
const placeStep = 10 * time.Millisecond

// places is the leader's side of the admission to engines. Coordinator.mu
// guards it.
type places struct {
	ledger  *admission.Ledger
	waiters map[admission.ID]chan admission.Decision
	// services are those whose upstreams say how long work takes on their machines, which
	// they share with others. Only these are admitted to by the leader.
	services map[string]struct{}
	// sent are the services that all instances have been told of.
	sent        []string
	stepPending bool
}

func newPlaces(services []string) *places {
	p := &places{
		ledger: admission.NewLedger(), waiters: map[admission.ID]chan admission.Decision{},
		services: map[string]struct{}{},
	}
	for _, service := range services {
		p.services[service] = struct{}{}
	}
	return p
}

// admissionKey is the row of Table with the services whose requests the leader admits: after
// a restart of all instances the first requests come before any upstream has answered.
const admissionKey = "admission"

// applySavedAdmission takes over the services in the row.
func (c *Coordinator) applySavedAdmission(page ports.Page) {
	for _, row := range page.Rows {
		if row.Table != Table || row.Key != admissionKey {
			continue
		}
		var services []string
		if err := json.Unmarshal(row.Value, &services); err != nil {
			c.config.Log.WithError(err).Warn("row of the admitted services can't be read")
		}
		c.mu.Lock()
		c.savedAdmission, c.admissionRow = services, row.Version
		if c.places == nil {
			c.client.setAdmitted(services)
		}
		c.mu.Unlock()
	}
}

// saveAdmission writes the services whose requests the leader admits if they have changed.
func (c *Coordinator) saveAdmission() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || c.savingAdmission || len(c.places.services) == 0 {
		return
	}
	services := slices.Sorted(maps.Keys(c.places.services))
	if slices.Equal(services, c.savedAdmission) {
		return
	}
	value, err := json.Marshal(services)
	if err != nil {
		panic(err) // a list of texts
	}
	c.savingAdmission = true
	change := ports.Change{Table: Table, Key: admissionKey, Value: value, ExpectedVersion: c.admissionRow}
	go c.writeAdmission(change, services)
}

func (c *Coordinator) writeAdmission(change ports.Change, services []string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	page, err := c.config.Store.Commit(ctx, change)
	if err == nil {
		c.mu.Lock()
		c.savedAdmission, c.admissionRow, c.savingAdmission = services, page.Version, false
		c.mu.Unlock()
		return
	}
	c.config.Log.WithError(err).Info("admitted services not saved; retrying")
	if errors.Is(err, ports.ErrConflict) {
		c.applySavedAdmission(page)
	}
	duration.Sleep(ctx, storeTimeout/2)
	c.mu.Lock()
	c.savingAdmission = false
	c.mu.Unlock()
}

// observe sets the upstreams of the services that the leader admits requests to.
func (p *places) observe(v *fleet.View) {
	capacities := map[string]admission.Capacity{}
	for service := range p.services {
		s := v.Config.Services[service]
		if s == nil || s.Engine == nil {
			continue
		}
		for _, u := range v.ByService[service] {
			if v.Usable(u) {
				capacities[u.ID] = admission.Capacity{Slots: s.Engine.Slots, KVTokens: s.Engine.KVTokens}
			}
		}
	}
	p.ledger.Observe(capacities)
}

// end refuses to decide about the waiting claims: their instances ask the next leader.
func (p *places) end() {
	for id, ch := range p.waiters {
		delete(p.waiters, id)
		close(ch)
	}
}

// recordOccupancy records what an instance runs at each upstream and how long work takes
// there. The caller holds mu.
func (c *Coordinator) recordOccupancy(now bootclock.Time, from string, demands []residency.ModelDemand, paces map[string]float64) {
	if c.places == nil {
		return
	}
	for id, pace := range paces {
		if u := c.observedUpstream(id); u != nil {
			if _, known := c.places.services[u.Service]; !known {
				c.places.services[u.Service] = struct{}{}
				c.places.observe(c.observedView)
				c.config.Log.WithField("service", u.Service).Info("requests to the service are admitted by the leader")
			}
			c.places.ledger.RecordPace(now, id, pace)
		}
	}
	if len(c.places.services) == 0 {
		return
	}
	running := map[string]int{}
	for _, d := range demands {
		for id, n := range d.Running {
			running[id] += n
		}
	}
	c.places.ledger.RecordReport(now, from, running)
	c.stepPlaces(now)
}

func (c *Coordinator) observedUpstream(id string) *fleet.Upstream {
	if c.observedView == nil {
		return nil
	}
	return c.observedView.ByID[id]
}

// stepPlaces decides about the waiting claims. The caller holds mu.
func (c *Coordinator) stepPlaces(now bootclock.Time) {
	for _, d := range c.places.ledger.Step(now) {
		if ch := c.places.waiters[d.ID]; ch != nil {
			delete(c.places.waiters, d.ID)
			ch <- d.Decision
		}
	}
	if c.places.ledger.Waiting() == 0 || c.places.stepPending {
		return
	}
	places := c.places
	places.stepPending = true
	time.AfterFunc(placeStep, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		places.stepPending = false
		if c.places == places {
			c.stepPlaces(bootclock.Now())
		}
	})
}

// admittedServices returns the services whose requests the leader admits, and whether the
// instances have to be told. The caller holds mu.
func (c *Coordinator) admittedServices() ([]string, bool) {
	list := slices.Sorted(maps.Keys(c.places.services))
	return list, !slices.Equal(list, c.places.sent)
}

func (c *Coordinator) handleTakePlace(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var req placeRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	return c.takePlace(ctx, from.Instance, req)
}

// takePlace waits until an upstream has room for a request, or refuses it.
func (c *Coordinator) takePlace(ctx context.Context, from string, req placeRequest) (placeResponse, error) {
	now := bootclock.Now()
	c.mu.Lock()
	if !c.leading || c.observedView == nil || !c.lease.Held(now) {
		c.mu.Unlock()
		return placeResponse{}, errNotLeading
	}
	places := c.places
	id, d, decided := places.ledger.Ask(now, admission.Claim{
		Instance: from, Upstreams: req.Upstreams, Priority: req.Priority, Prompt: req.Prompt, Tokens: req.Tokens,
		OnTime: now.Add(req.OnTime), Latest: now.Add(req.Latest),
	})
	if decided {
		c.mu.Unlock()
		return c.placeDecided(d, 0), nil
	}
	ch := make(chan admission.Decision, 1)
	places.waiters[id] = ch
	c.stepPlaces(now)
	c.mu.Unlock()
	select {
	case d, ok := <-ch:
		if !ok {
			return placeResponse{}, errNotLeading
		}
		return c.placeDecided(d, bootclock.Since(now)), nil
	case <-ctx.Done():
		c.mu.Lock()
		places.ledger.Cancel(id)
		delete(places.waiters, id)
		c.mu.Unlock()
		return placeResponse{}, ctx.Err()
	}
}

func (c *Coordinator) placeDecided(d admission.Decision, waited time.Duration) placeResponse {
	outcome := "granted"
	if d.Upstream == "" {
		outcome = "refused"
	}
	c.config.Metrics.GetOrCreateCounter(`hibiscusyard_places_total{outcome="` + outcome + `"}`).Inc()
	c.config.Metrics.GetOrCreateHistogram(`hibiscusyard_place_wait_seconds{outcome="` + outcome + `"}`).Update(waited.Seconds())
	return placeResponse{Upstream: d.Upstream, RetryAfter: d.RetryAfter}
}

func (l *Client) setAdmitted(services []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitted = services
}

// Admitted implements gateway.Places.
func (l *Client) Admitted(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader != "" && slices.Contains(l.admitted, service)
}

// TakePlace implements gateway.Places.
func (l *Client) TakePlace(ctx context.Context, upstreams []string, priority int, prompt, tokens int64, onTime, latest time.Duration) (upstream string, retryAfter time.Duration, err error) {
	l.c.config.Metrics.GetOrCreateCounter(`hibiscusyard_places_asked_total`).Inc()
	ctx, cancel := context.WithTimeout(ctx, max(latest, 0)+peerCallTimeout)
	defer cancel()
	now := bootclock.Now()
	giveUpAt := now.Add(time.Duration(leaderWaitShare * float64(latest)))
	for {
		changed := l.Changed()
		passed := bootclock.Since(now)
		request := placeRequest{Upstreams: upstreams, Priority: priority, Prompt: prompt, Tokens: tokens, OnTime: onTime - passed, Latest: latest - passed}
		response, err := callLeader(ctx, l, peer.KindTakePlace, request, func(ctx context.Context, req placeRequest) (placeResponse, error) {
			return l.c.takePlace(ctx, l.c.config.Instance, req)
		})
		if err == nil || ctx.Err() != nil || !bootclock.Now().Before(giveUpAt) {
			return response.Upstream, response.RetryAfter, err
		}
		timer := time.NewTimer(tick)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// RecordPace implements gateway.Places.
func (l *Client) RecordPace(upstream string, pace float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paces[upstream] = pace
}

// takePaces returns the paces recorded since the last call. The caller holds mu.
func (l *Client) takePaces() map[string]float64 {
	if len(l.paces) == 0 {
		return nil
	}
	paces := maps.Clone(l.paces)
	clear(l.paces)
	return paces
}
