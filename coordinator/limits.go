package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// takeSendRequest asks the leader for one send to a limited upstream.
type takeSendRequest struct {
	// Limit is what the sender knows of the limit.
	Limit upstreamlimit.Report `cbor:"1,keyasint"`
	// MaxWait is how long the request may wait before it is sent.
	MaxWait time.Duration `cbor:"2,keyasint,omitempty"`
}

func limitID(u *fleet.Upstream) upstreamlimit.ID {
	return upstreamlimit.ID{Upstream: u.ID, Started: u.Started}
}

// Limit implements dispatch.Limits.
func (l *Client) Limit(u *fleet.Upstream) (rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, _ := l.limits.Get(limitID(u))
	return s.AllowedRate(), s.Limited
}

// PruneLimits implements gateway.UpstreamLimits.
func (l *Client) PruneLimits(v *fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Prune(func(upstream string) bool { return v.ByID[upstream] != nil })
}

// RecordLimit implements gateway.UpstreamLimits. A change is reported to the leader,
// which passes it on to all instances.
func (l *Client) RecordLimit(u *fleet.Upstream, s upstreamlimit.Statement) {
	id := limitID(u)
	if !l.applyLimit(id, s) {
		return
	}
	leader := l.Leader()
	switch leader {
	case "":
	case l.c.config.Instance:
		l.c.limitChanged(id, s.Limited)
	default:
		go l.c.send(leader, peer.KindUpstreamLimit, upstreamlimit.NewReport(bootclock.Now(), id, s))
	}
}

// applyLimit applies a statement and reports whether it changed the limit.
func (l *Client) applyLimit(id upstreamlimit.ID, s upstreamlimit.Statement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applyLimitLocked(id, s)
}

// applyLimitLocked is applyLimit for callers that hold mu.
func (l *Client) applyLimitLocked(id upstreamlimit.ID, s upstreamlimit.Statement) bool {
	if !l.limits.Record(id, s) {
		return false
	}
	if !s.Limited {
		l.broadcast()
	}
	l.c.config.Log.WithFields(log.Fields{"upstream": id.Upstream, "limited": s.Limited, "rate_limit": s.Rate}).Info("upstream limit")
	return true
}

// applyReportLocked applies the report of another instance and reports whether it changed
// anything. The caller holds mu.
func (l *Client) applyReportLocked(now bootclock.Time, r upstreamlimit.Report) bool {
	kind := r.Departure()
	if kind == 0 {
		return l.applyLimitLocked(r.ID, r.Statement(now))
	}
	if !l.limits.RecordDeparture(r.ID, kind, now.Add(-r.DepartureAge)) {
		return false
	}
	// Without mu: the change of the view calls back.
	go l.setDeparted(r.ID, kind, "another instance")
	return true
}

// RecordDeparture implements gateway.UpstreamLimits. The other instances are told through
// the leader, so that what one has seen spares all of them.
func (l *Client) RecordDeparture(u *fleet.Upstream, kind upstreamlimit.Departure) {
	id, now := limitID(u), bootclock.Now()
	l.mu.Lock()
	changed := l.limits.RecordDeparture(id, kind, now)
	l.mu.Unlock()
	if !changed {
		return
	}
	l.setDeparted(id, kind, "this instance")
	switch leader := l.Leader(); leader {
	case "":
	case l.c.config.Instance:
		l.c.limitChanged(id, true)
	default:
		go l.c.send(leader, peer.KindUpstreamLimit, upstreamlimit.NewDepartureReport(bootclock.Now(), id, kind, now))
	}
}

func (l *Client) setDeparted(id upstreamlimit.ID, kind upstreamlimit.Departure, source string) {
	l.c.config.Log.WithFields(log.Fields{"upstream": id.Upstream, "started": id.Started, "departure": kind.String(), "source": source}).Info("upstream departs")
	l.c.config.SetDeparted(id.Upstream, fleet.Departure{Started: id.Started, Ended: kind == upstreamlimit.Ended}, true)
}

// endDepartures uses upstreams again whose departure no longer holds.
func (l *Client) endDepartures(now bootclock.Time) {
	var ended []upstreamlimit.ID
	l.mu.Lock()
	l.limits.EndDepartures(now, func(id upstreamlimit.ID) { ended = append(ended, id) })
	l.mu.Unlock()
	for _, id := range ended {
		l.c.config.Log.WithField("upstream", id.Upstream).Info("departure of an upstream no longer holds")
		l.c.config.SetDeparted(id.Upstream, fleet.Departure{Started: id.Started}, false)
	}
}

// TakeSend implements gateway.UpstreamLimits. It fails if there is no leader.
func (l *Client) TakeSend(ctx context.Context, u *fleet.Upstream, maxWait time.Duration) (upstreamlimit.Grant, error) {
	id := limitID(u)
	l.mu.Lock()
	s, _ := l.limits.Get(id)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	request := takeSendRequest{Limit: upstreamlimit.NewReport(bootclock.Now(), id, s), MaxWait: maxWait}
	grant, err := callLeader(ctx, l, peer.KindTakeSend, request, l.c.takeSend)
	if err == nil && grant.Unlimited {
		now := bootclock.Now()
		l.applyLimit(id, upstreamlimit.Statement{Since: now, Until: now})
	}
	return grant, err
}

// takeSend grants one send to a limited upstream. The lease is checked at the moment
// of the grant, since no other instance grants sends until the lease ends.
func (c *Coordinator) takeSend(_ context.Context, req takeSendRequest) (upstreamlimit.Grant, error) {
	id := req.Limit.ID
	c.recordLimit(req.Limit)
	s, known := c.client.limit(id)
	if known && !s.Limited {
		return upstreamlimit.Grant{Unlimited: true}, nil
	}
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || !c.lease.Held(now) {
		return upstreamlimit.Grant{}, errNotLeading
	}
	return c.sends.Take(now, id, s.AllowedRate(), min(req.MaxWait, c.lease.until.Sub(now))), nil
}

// limit returns the newest known statement of an upstream.
func (l *Client) limit(id upstreamlimit.ID) (upstreamlimit.Statement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Get(id)
}

func (c *Coordinator) handleUpstreamLimit(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var report upstreamlimit.Report
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	c.recordLimit(report)
	return nil, nil
}

// recordLimit applies the report of another instance.
func (c *Coordinator) recordLimit(report upstreamlimit.Report) {
	now := bootclock.Now()
	c.client.mu.Lock()
	changed := c.client.applyReportLocked(now, report)
	c.client.mu.Unlock()
	if changed {
		c.limitChanged(report.ID, report.Departure() != 0 || report.Limited)
	}
}

// limitChanged passes what an upstream said on to all instances if this instance leads.
func (c *Coordinator) limitChanged(id upstreamlimit.ID, limited bool) {
	c.mu.Lock()
	if c.leading {
		c.unsentLimits[id] = struct{}{}
		if !limited {
			c.sends.Remove(id)
		}
	}
	c.mu.Unlock()
	c.Notify()
}

// limitReports returns the reports of the changed limits and of all limits. The caller
// holds mu.
func (c *Coordinator) limitReports(now bootclock.Time) (changed, all []upstreamlimit.Report) {
	add := func(r upstreamlimit.Report) {
		all = append(all, r)
		if _, ok := c.unsentLimits[r.ID]; ok {
			changed = append(changed, r)
		}
	}
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.client.limits.All(func(id upstreamlimit.ID, s upstreamlimit.Statement) {
		add(upstreamlimit.NewReport(now, id, s))
	})
	c.client.limits.AllDepartures(func(id upstreamlimit.ID, kind upstreamlimit.Departure, at bootclock.Time) {
		add(upstreamlimit.NewDepartureReport(now, id, kind, at))
	})
	return changed, all
}
