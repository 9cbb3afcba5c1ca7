package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// minSuccessorUptime is how long an instance must have been running before it is
// offered the lease, since it has to read the tables first.
const minSuccessorUptime = time.Second

// adapterPoll is the pause before trying again an order that has to wait for another one.
const adapterPoll = 10 * time.Millisecond

var (
	errNotLeading = errors.New("this instance does not hold the lease")
	errNoHost     = errors.New("no upstream serves the model")
)

type takeRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Tokens    int64  `cbor:"2,keyasint"`
	// MaxWait is how long the request may wait for its tokens.
	MaxWait time.Duration `cbor:"3,keyasint"`
}

// takeResponse grants tokens for use after the time After, or refuses them and sets
// After to the time after which to retry.
type takeResponse struct {
	Granted bool          `cbor:"1,keyasint"`
	After   time.Duration `cbor:"2,keyasint"`
}

type adapterRequest struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint"`
	// Software limits the upstreams at which the adapter is of use.
	Software fleet.VersionConstraint `cbor:"4,keyasint"`
}

type adapterResponse struct {
	Upstream string `cbor:"1,keyasint"`
}

func (c *Coordinator) handleDemandReport(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var report instanceReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	now := bootclock.Now()
	report.received = now
	c.mu.Lock()
	if c.leading {
		c.reports[from.Instance] = report
		c.recordUsageReport(now, from, report.Usage)
	}
	c.mu.Unlock()
	c.recordDemand(from.Instance, report.Demands)
	c.recordEvidence(report.Evidence)
	return nil, nil
}

// recordDemand passes the demand of an instance to the planner if this instance leads.
func (c *Coordinator) recordDemand(from string, demands []residency.ModelDemand) {
	urgent := false
	for _, n := range demands {
		urgent = urgent || n.Waiting > 0
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.RecordDemand(bootclock.Now(), from, demands)
		if urgent {
			c.waiters[from] = struct{}{}
		}
	}
	c.mu.Unlock()
	if urgent {
		c.Notify()
	}
}

// take spends tokens of a workspace.
func (c *Coordinator) take(_ context.Context, req takeRequest) (takeResponse, error) {
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || c.observedView == nil {
		return takeResponse{}, errNotLeading
	}
	granted, after, held := c.buckets.take(now, req.Workspace, req.Tokens, req.MaxWait)
	if !held {
		return takeResponse{}, errNotLeading
	}
	return takeResponse{Granted: granted, After: after}, nil
}

// loadAdapter orders an adapter to be loaded and waits until an upstream serves it.
func (c *Coordinator) loadAdapter(ctx context.Context, req adapterRequest) (adapterResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		now := bootclock.Now()
		c.mu.Lock()
		if !c.leading || !c.lease.MayOrder(now) {
			c.mu.Unlock()
			return adapterResponse{}, errNotLeading
		}
		step, token := c.planner.Adapter(now, req.Service, req.Model, req.Adapter, req.Software), c.lease.Token()
		c.mu.Unlock()
		pause := adapterPoll
		switch {
		case step.Loaded:
			return adapterResponse{Upstream: step.Upstream}, nil
		case step.Order != nil:
			if c.sendOrder(ctx, *step.Order, token) == residency.Accepted && !step.Order.Unload {
				pause = residency.AdapterLoadTime
			}
		case !step.Wait:
			return adapterResponse{}, errNoHost
		}
		if !duration.Sleep(ctx, pause) {
			return adapterResponse{}, ctx.Err()
		}
	}
}

// handover is the message with which a leader offers its lease to a successor.
type handover struct {
	Token uint64 `cbor:"1,keyasint"`
	// Probe marks a query whether the successor could take the lease, which includes
	// that it reaches the store. The lease is not offered yet.
	Probe  bool               `cbor:"2,keyasint"`
	Levels map[string]float64 `cbor:"3,keyasint"` // levels of the workspaces' token buckets
}

func (c *Coordinator) handleHandover(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var h handover
	if err := cbor.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	if h.Probe {
		return c.readyToLead(ctx, h.Token)
	}
	c.mu.Lock()
	c.lease.RecordOffer(from.Instance, h.Token)
	c.buckets.recordHandover(h.Token, h.Levels)
	c.nextLeaseRead, c.leaseRowStale = 0, true
	c.mu.Unlock()
	c.client.clearLeader()
	c.config.Log.WithFields(log.Fields{"from": from.Instance, "token": h.Token}).Info("leadership offered")
	c.Notify()
	return nil, nil
}

// readyToLead reports whether this instance could take over the lease of the term
// with the given token: it has not resigned and has just read that term from the store.
func (c *Coordinator) readyToLead(ctx context.Context, token uint64) (bool, error) {
	c.mu.Lock()
	resigned := c.resigned
	c.mu.Unlock()
	if resigned {
		return false, nil
	}
	c.readLease(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.lease.Record()
	return ok && record.Token == token && bootclock.Since(c.lease.received) < renewTimeout, nil
}

// successor returns the instance to offer the lease to: the most recently started of
// those that are not weak, not shutting down and running for minSuccessorUptime, as a
// rolling restart reaches that one last. Without such an instance it is a random one.
// The caller holds mu.
func (c *Coordinator) successor(peers []peer.Identity) string {
	best, youngest := "", time.Duration(0)
	for _, id := range peers {
		report, ok := c.reports[id.Instance]
		if ok && !report.Weak && !report.Resigned && report.Uptime >= minSuccessorUptime && (best == "" || report.Uptime < youngest) {
			best, youngest = id.Instance, report.Uptime
		}
	}
	if best == "" {
		best = peers[rand.N(len(peers))].Instance
	}
	return best
}

// handOver offers the lease to another instance, and reports whether the lease was
// given up. It is kept if the other instance can't reach the store, as the store may
// then be down for all instances.
func (c *Coordinator) handOver(ctx context.Context) bool {
	peers := c.hub.Connected()
	if len(peers) == 0 {
		return false
	}
	c.mu.Lock()
	token := c.lease.Token()
	to := c.successor(peers)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	ready := false
	if err := c.hub.Call(ctx, to, peer.KindHandover, handover{Token: token, Probe: true}, &ready); err != nil || !ready {
		c.config.Log.WithFields(log.Fields{"to": to, "token": token, "reachable": err == nil}).Info("leadership kept: the other instance can't take it")
		return false
	}
	now := bootclock.Now()
	c.mu.Lock()
	if !c.leading || c.lease.Abandon(now) == 0 {
		c.mu.Unlock()
		return false
	}
	h := handover{Token: token, Levels: c.buckets.levels(now)}
	c.nextLeaseRead = now.Add(leaderSilence)
	c.stepDown("lease can't be renewed")
	c.mu.Unlock()
	err := c.hub.Notify(ctx, to, peer.KindHandover, h)
	c.config.Log.WithFields(log.Fields{"to": to, "token": token, "sent": err == nil}).Info("leadership handed over")
	return true
}
