package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// settleTime is how long an instance runs before it is offered the lease: it
// has to know the tables first.
const settleTime = time.Second

// adapterPoll is the pause before an order that has to wait for another one.
const adapterPoll = 10 * time.Millisecond

var (
	errNotLeading = errors.New("this instance does not hold the lease")
	errNoHost     = errors.New("no upstream serves the model")
)

type takeQuestion struct {
	Workspace string `cbor:"1,keyasint"`
	Tokens    int64  `cbor:"2,keyasint"`
	// Patience is how long the request may wait for its tokens.
	Patience time.Duration `cbor:"3,keyasint"`
}

// takeAnswer grants tokens for use after a time, or tells after which time to
// ask again.
type takeAnswer struct {
	Granted bool          `cbor:"1,keyasint"`
	After   time.Duration `cbor:"2,keyasint"`
}

type adapterQuestion struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint"`
}

type adapterAnswer struct {
	Upstream string `cbor:"1,keyasint"`
}

func (c *Coordinator) handleNeeds(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var b beat
	if err := cbor.Unmarshal(body, &b); err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.leading {
		c.beats[from.Instance] = b
	}
	c.mu.Unlock()
	c.needs(from.Instance, b.Needs)
	return nil, nil
}

// needs takes over an instance's report while this instance leads.
func (c *Coordinator) needs(from string, needs []residency.Need) {
	urgent := false
	for _, n := range needs {
		urgent = urgent || n.Waiting > 0
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.Needs(bootclock.Now(), from, needs)
		if urgent {
			c.waiters[from] = struct{}{}
		}
	}
	c.mu.Unlock()
	if urgent {
		c.Notify()
	}
}

func (c *Coordinator) handleTake(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var q takeQuestion
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return c.take(ctx, q)
}

// take spends tokens of a workspace. The lease is checked at the moment of the
// grant: nobody else grants until it ends.
func (c *Coordinator) take(_ context.Context, q takeQuestion) (takeAnswer, error) {
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || c.seen == nil || !c.lease.Held(now) {
		return takeAnswer{}, errNotLeading
	}
	// A grant for later than the lease would count beside those of the next holder.
	patience := min(q.Patience, c.lease.until.Sub(now))
	granted, after := c.central.Take(now, q.Workspace, q.Tokens, patience)
	return takeAnswer{Granted: granted, After: after}, nil
}

func (c *Coordinator) handleAdapter(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var q adapterQuestion
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return c.loadAdapter(ctx, q)
}

// loadAdapter has an adapter loaded and waits until an upstream serves it.
func (c *Coordinator) loadAdapter(ctx context.Context, q adapterQuestion) (adapterAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		now := bootclock.Now()
		c.mu.Lock()
		if !c.leading || !c.lease.MayOrder(now) {
			c.mu.Unlock()
			return adapterAnswer{}, errNotLeading
		}
		step, token := c.planner.Adapter(now, q.Service, q.Model, q.Adapter), c.lease.Token()
		c.mu.Unlock()
		pause := adapterPoll
		switch {
		case step.Loaded:
			return adapterAnswer{Upstream: step.Upstream}, nil
		case step.Order != nil:
			if c.order(ctx, *step.Order, token) == residency.Accepted && !step.Order.Unload {
				pause = residency.AdapterReady
			}
		case !step.Wait:
			return adapterAnswer{}, errNoHost
		}
		if !duration.Sleep(ctx, pause) {
			return adapterAnswer{}, ctx.Err()
		}
	}
}

// handover is what a leader that can't renew its lease tells its successor.
type handover struct {
	Token uint64 `cbor:"1,keyasint"`
	// Ready asks only whether the successor reaches the store.
	Ready  bool               `cbor:"2,keyasint"`
	Levels map[string]float64 `cbor:"3,keyasint"` // of the workspaces' buckets
}

func (c *Coordinator) handleHandover(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var h handover
	if err := cbor.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	if h.Ready {
		return c.readyToLead(ctx, h.Token)
	}
	c.mu.Lock()
	c.lease.Handed(from.Instance, h.Token)
	c.levels, c.levelsToken = h.Levels, h.Token
	c.looked, c.outdated = 0, true
	c.mu.Unlock()
	c.client.lost()
	c.config.Log.WithFields(log.Fields{"from": from.Instance, "token": h.Token}).Info("leadership offered")
	c.Notify()
	return nil, nil
}

// readyToLead reports whether this instance could take the lease of a term.
func (c *Coordinator) readyToLead(ctx context.Context, token uint64) (bool, error) {
	c.mu.Lock()
	resigned := c.resigned
	c.mu.Unlock()
	if resigned {
		return false, nil
	}
	c.read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.lease.Record()
	return ok && record.Token == token && bootclock.Since(c.lease.received) < renewTimeout, nil
}

// successor returns the instance that the lease is offered to: of those that
// are not weak the one that started last, as it is the last that a rolling
// restart comes to again. The caller holds mu.
func (c *Coordinator) successor(peers []peer.Identity) string {
	best, youngest := "", time.Duration(0)
	for _, id := range peers {
		b, ok := c.beats[id.Instance]
		if ok && !b.Weak && !b.Resigned && b.Uptime >= settleTime && (best == "" || b.Uptime < youngest) {
			best, youngest = id.Instance, b.Uptime
		}
	}
	if best == "" {
		best = peers[rand.N(len(peers))].Instance
	}
	return best
}

// handOver offers the lease to another instance, since this one can't renew
// it, and reports whether it was given up. An instance that does not reach the
// store either does not get it: the store may be down for all.
func (c *Coordinator) handOver(ctx context.Context) bool {
	peers := c.hub.Connected()
	if len(peers) == 0 {
		return false
	}
	c.mu.Lock()
	token := c.lease.Token()
	to := c.successor(peers)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	ready := false
	if err := c.hub.Call(ctx, to, peer.KindHandover, handover{Token: token, Ready: true}, &ready); err != nil || !ready {
		c.config.Log.WithFields(log.Fields{"to": to, "token": token, "reachable": err == nil}).Info("leadership kept: the other instance can't take it")
		return false
	}
	now := bootclock.Now()
	c.mu.Lock()
	if !c.leading || c.lease.Abandon(now) == 0 {
		c.mu.Unlock()
		return false
	}
	h := handover{Token: token, Levels: c.central.Levels(now)}
	c.looked = now.Add(leaderSilence)
	c.stepDown("lease can't be renewed")
	c.mu.Unlock()
	err := c.hub.Notify(ctx, to, peer.KindHandover, h)
	c.config.Log.WithFields(log.Fields{"to": to, "token": token, "sent": err == nil}).Info("leadership handed over")
	return true
}
