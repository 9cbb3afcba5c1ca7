package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/autoscale"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// stepDown stops leading and discards the leader's state. It does nothing if this
// instance does not lead. The caller holds mu.
func (c *Coordinator) stepDown(reason string) {
	if !c.leading {
		return
	}
	c.leading, c.planner, c.observedView = false, nil, nil
	c.places.end()
	c.places = nil
	c.stopScaling()
	c.client.clearLeader()
	c.config.Log.WithFields(log.Fields{"reason": reason, "token": c.lease.Token()}).Info("leadership ended")
}

// lead runs one round of planning and sends orders, updates and heartbeats, if the
// lease is held.
func (c *Coordinator) lead(ctx context.Context) {
	now := bootclock.Now()
	c.mu.Lock()
	if !c.lease.Held(now) {
		c.mu.Unlock()
		return
	}
	if !c.leading {
		c.startLeading(now)
	}
	if v := c.config.View(); v != c.observedView && v.Config != nil {
		c.observedView = v
		c.planner.Observe(now, v)
		c.places.observe(v)
		c.buckets.central.SetLimits(now, limits(v.Config))
	}
	var uncertain []*fleet.Upstream
	var orders []residency.Order
	var scaling []autoscale.Call
	var scaled autoscale.Input
	if c.lease.MayOrder(now) {
		uncertain = c.planner.UpstreamsToQuery(now)
		orders = c.planner.Plan(now)
		scaling, scaled = c.planScaling(now)
	}
	token, announce := c.lease.Token(), c.announceTo
	c.announceTo = nil
	urgent := c.collectUpdates(now)
	update, full := c.nextPush(now)
	c.mu.Unlock()
	c.sendUrgent(urgent)
	if announce != nil {
		c.hub.SetTargets(ctx, announce)
	}
	if update != nil {
		c.push(update, full)
	}
	c.sendHeartbeats(now)
	for _, u := range uncertain {
		go c.requestReport(ctx, u)
	}
	for _, o := range orders {
		go c.sendOrder(ctx, o, token)
	}
	for _, call := range scaling {
		go c.sendScale(ctx, call, scaled.Services[call.Service], token)
	}
}

func (c *Coordinator) startLeading(now bootclock.Time) {
	c.leading, c.leadingSince = true, now
	c.planner = residency.NewPlanner(c.config.StoreParallel)
	reserves := c.buckets.begin()
	c.observedView, c.reports, c.sentPeers = nil, map[string]instanceReport{}, nil
	c.placements, c.unsent, c.waiters = map[string]residency.Placement{}, map[string]struct{}{}, map[string]struct{}{}
	c.places = newPlaces()
	c.sends, c.unsentLimits = upstreamlimit.NewBuckets(), map[upstreamlimit.ID]struct{}{}
	c.relayProgress = map[string]*relayProgress{}
	c.startOrigins(now)
	c.startUsage()
	c.startScaling(now)
	c.announceTo = c.client.peerAddresses()
	c.client.startJudging(now)
	c.sentCrashesAt = 0
	c.config.Log.WithFields(log.Fields{"token": c.lease.Token(), "reserves": reserves, "orders_in_ms": max(c.lease.ordersAt.Sub(now).Milliseconds(), 0)}).Info("leadership taken")
}

func limits(config *fleet.Config) []quota.CentralLimit {
	list := make([]quota.CentralLimit, 0, len(config.Workspaces))
	for _, w := range config.Workspaces {
		if w.Limited() {
			list = append(list, quota.CentralLimit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
		}
	}
	return list
}

// requestReport fetches the report of an upstream whose state is uncertain.
func (c *Coordinator) requestReport(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if c.config.Paused(u.ID) {
		return
	}
	requestedAt := bootclock.Now()
	report, err := c.config.Engines.Report(ctx, u.ID, u.Address)
	if err != nil {
		if connpool.IsRefused(err) {
			c.client.RecordDeparture(u, upstreamlimit.Ended)
		}
		c.config.Log.WithError(err).WithField("upstream", u.ID).Info("no report received from the upstream")
		return
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.ApplyReport(bootclock.Now(), requestedAt, u.ID, u.Started, report)
	}
	c.mu.Unlock()
	c.Notify()
}

// errPaused means that an order was not sent because its upstream wants a pause.
var errPaused = errors.New("the upstream wants a pause")

// cancelAfterTerm calls cancel when the term with the token ends before ctx does.
func (c *Coordinator) cancelAfterTerm(ctx context.Context, token uint64, cancel func()) {
	for {
		c.mu.Lock()
		left := c.lease.OrderTime(bootclock.Now(), token)
		c.mu.Unlock()
		if left == 0 {
			cancel()
			return
		}
		if !duration.Sleep(ctx, min(left, tick)) {
			return
		}
	}
}

// sendOrder sends one order. It checks the lease again right before sending, since
// the process may have been suspended after the decision. An order without an answer is
// given up with its term, so that it does not arrive among those of the next holder.
func (c *Coordinator) sendOrder(ctx context.Context, o residency.Order, token uint64) residency.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.mu.Lock()
	allowed := c.lease.OrderTime(bootclock.Now(), token) > 0
	c.mu.Unlock()
	outcome, err := residency.NotSent, error(nil)
	switch {
	case allowed && c.config.Paused(o.Upstream):
		err = errPaused
	case allowed:
		go c.cancelAfterTerm(ctx, token, cancel)
		outcome, err = c.config.Engines.Order(ctx, o, c.config.Instance, token)
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.RecordOutcome(bootclock.Now(), o, outcome)
	}
	c.mu.Unlock()
	if connpool.IsRefused(err) {
		c.client.RecordDeparture(&fleet.Upstream{ID: o.Upstream, Started: o.Started}, upstreamlimit.Ended)
	}
	entry := c.config.Log.WithFields(log.Fields{
		"upstream": o.Upstream, "unload": o.Unload, "model": o.Model, "adapter": o.Adapter, "source": o.Source.String(),
		"sequence": o.Sequence, "token": token, "outcome": outcome.String(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("placement decision")
	c.config.Metrics.GetOrCreateCounter(`hibiscusyard_orders_total{outcome="` + outcome.String() + `"}`).Inc()
	if o.Unload && outcome == residency.Accepted {
		time.AfterFunc(residency.UnloadTime, c.Notify)
	}
	c.Notify()
	return outcome
}
