package coordinator

import (
	"context"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/admission"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
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
	Service   string        `cbor:"7,keyasint"`
	Model     string        `cbor:"8,keyasint"`
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
	ledger      *admission.Ledger
	waiters     map[admission.ID]chan admission.Decision
	stepPending bool
}

func newPlaces() *places {
	return &places{ledger: admission.NewLedger(), waiters: map[admission.ID]chan admission.Decision{}}
}

// observe sets the upstreams of the services that the leader admits requests to.
func (p *places) observe(v *fleet.View) {
	capacities := map[string]admission.Capacity{}
	for service, s := range v.Config.Services {
		if !s.Admitted() {
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
		p.ledger.Cancel(id)
		delete(p.waiters, id)
		close(ch)
	}
}

// forget drops what an instance runs, and its waiting claims. They are answered, since an older
// link may still carry the answers when the newest one has gone down.
func (p *places) forget(now bootclock.Time, instance string) {
	for _, id := range p.ledger.Forget(now, instance) {
		if ch := p.waiters[id]; ch != nil {
			delete(p.waiters, id)
			close(ch)
		}
	}
}

// recordOccupancy records what an instance runs at each upstream and how long work takes
// there. The caller holds mu.
func (c *Coordinator) recordOccupancy(now bootclock.Time, from string, demands []residency.ModelDemand, paces map[string]float64) {
	if c.places == nil || c.places.ledger.Empty() {
		return
	}
	for id, pace := range paces {
		c.places.ledger.RecordPace(now, id, pace)
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

// stepPlaces decides about the waiting claims, or ends them if the term has ended: the call
// of stepDown may be delayed by the store. The caller holds mu.
func (c *Coordinator) stepPlaces(now bootclock.Time) {
	if !c.lease.Held(now) {
		c.places.end()
		return
	}
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
	if !decided || d.Upstream == "" {
		c.planner.RecordExcess(now, req.Service, req.Model)
	}
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

// TakePlace implements gateway.Places.
func (l *Client) TakePlace(ctx context.Context, service, model string, upstreams []string, priority int, prompt, tokens int64, onTime, latest time.Duration) (upstream string, retryAfter time.Duration, err error) {
	l.c.config.Metrics.GetOrCreateCounter(`hibiscusyard_places_asked_total`).Inc()
	ctx, cancel := context.WithTimeout(ctx, max(latest, 0)+peerCallTimeout)
	defer cancel()
	now := bootclock.Now()
	giveUpAt := now.Add(time.Duration(leaderWaitShare * float64(latest)))
	for {
		changed := l.Changed()
		passed := bootclock.Since(now)
		request := placeRequest{Service: service, Model: model, Upstreams: upstreams, Priority: priority, Prompt: prompt, Tokens: tokens, OnTime: onTime - passed, Latest: latest - passed}
		response, err := callLeader(ctx, l, peer.KindTakePlace, request, func(ctx context.Context, req placeRequest) (placeResponse, error) {
			return l.c.takePlace(ctx, l.c.config.Instance, req)
		})
		if err == nil || ctx.Err() != nil || !bootclock.Now().Before(giveUpAt) {
			return response.Upstream, response.RetryAfter, err
		}
		waitForLeader(ctx, changed)
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
