package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// stepDown ends the duties of a leader. The caller holds mu.
func (c *Coordinator) stepDown(reason string) {
	if !c.leading {
		return
	}
	c.leading, c.planner, c.central, c.seen = false, nil, nil, nil
	c.client.lost()
	c.config.Log.WithFields(log.Fields{"reason": reason, "token": c.lease.Token()}).Info("leadership ended")
}

// lead plans and sends orders while the lease is held.
func (c *Coordinator) lead(ctx context.Context) {
	now := bootclock.Now()
	c.mu.Lock()
	if !c.lease.Held(now) {
		c.mu.Unlock()
		return
	}
	if !c.leading {
		c.begin(now)
	}
	if v := c.config.View(); v != c.seen && v.Config != nil {
		c.seen = v
		c.planner.Observe(now, v)
		c.central.SetLimits(now, limits(v.Config))
	}
	var ask []*fleet.Upstream
	var orders []residency.Order
	if c.lease.MayOrder(now) {
		ask = c.planner.Unsure(now)
		orders = c.planner.Plan(now)
	}
	token, announce := c.lease.Token(), c.announce
	c.announce = nil
	urgent := c.gather(now)
	update, full := c.update(now)
	c.mu.Unlock()
	c.hurryTo(urgent)
	if announce != nil {
		c.hub.SetTargets(ctx, announce)
	}
	if update != nil {
		c.push(update, full)
	}
	c.pulse(now)
	for _, u := range ask {
		go c.ask(ctx, u)
	}
	for _, o := range orders {
		go c.order(ctx, o, token)
	}
}

func (c *Coordinator) begin(now bootclock.Time) {
	c.leading, c.since = true, now
	c.planner = residency.NewPlanner(c.config.StoreParallel)
	c.central = quota.NewCentral(c.config.Bounds, c.lease.FirstEver())
	levels := c.lease.Inherited()
	if c.levels != nil && c.levelsToken+1 == c.lease.Token() {
		levels = c.levels
	}
	record, _ := c.lease.Record()
	c.central.Restore(levels, record.Reserves)
	c.levels = nil
	c.seen, c.beats, c.peers = nil, map[string]beat{}, nil
	c.placements, c.unsent, c.waiters = map[string]residency.Placement{}, map[string]struct{}{}, map[string]struct{}{}
	c.relayed = map[string]*relayed{}
	c.announce = c.client.peerAddresses()
	c.config.Log.WithFields(log.Fields{"token": c.lease.Token(), "reserves": len(levels), "orders_in_ms": max(c.lease.ordersAt.Sub(now).Milliseconds(), 0)}).Info("leadership taken")
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

// ask gets the report of an upstream whose state is in doubt.
func (c *Coordinator) ask(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	asked := bootclock.Now()
	report, err := c.config.Engines.Report(ctx, u.ID, u.Address)
	if err != nil {
		c.config.Log.WithError(err).WithField("upstream", u.ID).Info("report not received")
		return
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.Reported(bootclock.Now(), asked, u.ID, u.Started, report)
	}
	c.mu.Unlock()
	c.Notify()
}

// order sends one order. The lease is checked right before, since the process
// may have been suspended since the decision.
func (c *Coordinator) order(ctx context.Context, o residency.Order, token uint64) residency.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.mu.Lock()
	may := c.lease.MayOrder(bootclock.Now()) && c.lease.Token() == token
	c.mu.Unlock()
	outcome, err := residency.NotSent, error(nil)
	if may {
		outcome, err = c.config.Engines.Order(ctx, o, c.config.Instance, token)
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.Sent(bootclock.Now(), o, outcome)
	}
	c.mu.Unlock()
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
