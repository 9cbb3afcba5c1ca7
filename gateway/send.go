package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// sendResult is the result of one send of a request.
type sendResult struct {
	err       error
	outcome   dispatch.Outcome
	notRun    bool // the upstream certainly did not run it
	resumable bool // a begun stream can be resumed at another upstream
	reusable  bool // the connection can be reused despite the error
	broken    bool // the upstream closed the connection before the answer was complete
	crashed   bool // the upstream has ended
	closed    bool // nothing listens at the upstream's address
	framed    bool // the end of a complete answer can't be mistaken for a closed connection
	written   bool // it was sent in full, and no response shows whether it ran
	ended     bootclock.Time
}

// afterWrite returns the result of a send without a valid response after the whole request
// was sent.
func (a sendResult) afterWrite() sendResult {
	a.written = true
	return a
}

// send sends the request to an upstream and relays the response.
func (f *Route) send(ctx context.Context, r *Request, d dispatch.Demand, u *fleet.Upstream) sendResult {
	if r.Model != "" {
		defer f.Placement.RecordRunning(r.Service, r.Model, r.Adapter, u.ID)()
	}
	f.mu.Lock()
	ticket := f.balancer.Start(bootclock.Now(), u, d)
	f.mu.Unlock()
	r.Upstream, r.sentAt, r.rateLimit, r.events = u.ID, bootclock.Now(), -1, 0
	var began bootclock.Time // start of the answer
	proven := false          // the answer has shown that the request crashes no upstream
	observe := observer{
		onEvent: func() { f.recordOrigin(r, u) },
		onHead:  func(head ResponseHead, success bool) { f.recordHead(r, u, head, success) },
		onRun:   func() { f.Usage.RecordUsage(r.WorkspaceName) },
		onFirst: func() {
			now := bootclock.Now()
			if r.firstAt == 0 {
				r.firstAt = now
			}
			if began == 0 {
				began = now
			}
			if !proven && now.Sub(began) > provenAfter {
				proven = true
				f.Quarantine.RecordSuccess(r.causes(), began)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			ticket.RecordFirstEvent(now)
		},
		onLoad: func(requests int) {
			f.mu.Lock()
			defer f.mu.Unlock()
			ticket.RecordLoad(bootclock.Now(), requests)
		},
	}
	a := f.Forward.send(ctx, r, u, observe)
	a.ended = bootclock.Now()
	f.mu.Lock()
	f.balancer.Finish(a.ended, ticket, a.outcome)
	f.mu.Unlock()
	if !a.notRun {
		r.runs++
	}
	f.recordCauses(ctx, r, u, &a, began, proven)
	if a.written && !a.crashed && a.outcome != dispatch.Full && r.Route.Kind != fleet.Streaming {
		f.Usage.RecordUsage(r.WorkspaceName) // it has most likely run
	}
	if a.closed || a.crashed {
		f.Limits.RecordDeparture(u, upstreamlimit.Ended)
	}
	if errors.Is(a.err, errAbsent) {
		f.Placement.RecordAbsent(u.ID, r.Model, r.Adapter)
	}
	first := int64(-1)
	if r.firstAt != 0 {
		first = r.firstAt.Sub(r.Arrived).Milliseconds()
	}
	entry := r.Log
	if a.err != nil {
		if cause := verdict.From(a.err).Cause; cause != nil {
			entry = entry.WithField("cause", cause.Error())
		}
	}
	entry.WithFields(log.Fields{
		"fingerprint": r.Fingerprint(), "crashed": a.crashed, "parts": strings.Join(r.SharedParts(), ","), "events": r.events,
		"first_ms": first, "pause_ms": r.longestGap.Milliseconds(), "route": r.RouteName, "upstream": u.ID, "software": u.Software, "reason": r.choice.Reason, "eligible": r.choice.Eligible,
		"model": r.Model, "adapter": r.Adapter, "waited_ms": r.sentAt.Sub(r.Arrived).Milliseconds(), "waited_for": r.waitedFor, "config": r.Config, "config_age_ms": r.ConfigAge.Milliseconds(), "result": a.outcome.String(), "runs": r.runs,
		"after_ms": bootclock.Since(r.Arrived).Milliseconds(), "rate_limit": r.rateLimit,
	}).Info("upstream chosen")
	return a
}

// recordHead records what an answer says about the requests that its upstream takes.
// Answers of other upstreams say nothing about it; the end of a limit is taken from a
// signed success alone, because any process in between can answer with an error.
func (f *Route) recordHead(r *Request, u *fleet.Upstream, head ResponseHead, success bool) {
	if !head.From(u.ID) {
		return
	}
	if head.Leaving {
		f.Limits.RecordDeparture(u, upstreamlimit.Leaving)
	}
	if head.Pause > 0 {
		f.RecordPause(u, head.Pause)
	}
	s := upstreamlimit.Statement{Limited: head.HasRateLimit, Rate: head.RateLimit, Since: r.sentAt, Until: bootclock.Now()}
	if s.Limited {
		r.rateLimit = s.Rate
	} else if !success || !head.Signed || head.ID != r.ID {
		return
	}
	f.Limits.RecordLimit(u, s)
}

// RecordPause records that an upstream turned away a request or an order of this instance
// and wants nothing from it for a time.
func (f *Route) RecordPause(u *fleet.Upstream, length time.Duration) {
	now := bootclock.Now()
	f.mu.Lock()
	until, changed := f.balancer.Pause(now, u, length)
	f.mu.Unlock()
	if changed {
		f.Log.WithFields(log.Fields{"upstream": u.ID, "asked_ms": length.Milliseconds(), "pause_ms": until.Sub(now).Milliseconds()}).Info("upstream wants a pause")
	}
}

// Paused reports whether an upstream wants nothing from this instance now.
func (f *Route) Paused(upstream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return bootclock.Now().Before(f.balancer.PausedUntil(upstream))
}
