package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

const (
	// recheckInterval bounds the time between two attempts to find an upstream for
	// a waiting request: upstreams can become eligible by the passage of time
	// alone, without a change of placement.
	recheckInterval = 50 * time.Millisecond
	// deadlineReserve is the time before the deadline that is kept for the refusal
	// to reach the caller.
	deadlineReserve = 100 * time.Millisecond
	// adapterLoadTimeout bounds one call to load an adapter.
	adapterLoadTimeout = time.Second
	// busyWaitShare bounds the wait while all upstreams are excluded, as a share
	// of the latency objective: a response after the objective is valued at a
	// third.
	busyWaitShare = 0.5
	// limitWaitShare bounds the wait for the workspace's tokens, as a share of the
	// latency objective.
	limitWaitShare = 0.5
	// maxSends bounds the sends of one request, including those that an upstream
	// rejected because it was full.
	maxSends = 4
	// leaderRecheck is how long a limited upstream is excluded before the leader is asked
	// again after it could not be reached, and leaderRetryAfter the Retry-After meanwhile.
	leaderRecheck    = 500 * time.Millisecond
	leaderRetryAfter = time.Second
	// tokenReserve is the rest of the life of the workspace's tokens that is kept when a
	// request waits for its upstream.
	tokenReserve = 50 * time.Millisecond
	// waitedForUpstreamLimit is the logged reason of a wait for the upstream's limit.
	waitedForUpstreamLimit = "upstream_limit"
	// waitedForLimit is the logged reason of a wait for the workspace's tokens;
	// other waits are logged with the reason of the choice.
	waitedForLimit = "limit"
	// limitWaitThreshold is the duration above which a call of the limiter is
	// logged as a wait; a call normally takes two or three trips between data
	// centres.
	limitWaitThreshold = 20 * time.Millisecond
)

// Route selects an upstream for a request, waits for one if waiting can help,
// and retries if that is safe. It is the last filter of the chain.
type Route struct {
	State     State
	Placement Placement
	Limiter   Limiter
	Limits    UpstreamLimits
	// Quarantine is asked before each send of a request.
	Quarantine Quarantine
	Origins    Origins
	Places     Places
	Usage      Usage
	Forward    *Forward
	Budget     *Budget
	Log        log.Interface
	// StaleAfter has the same meaning as in Identify.
	StaleAfter time.Duration

	mu       sync.Mutex
	balancer *dispatch.Balancer
}

// NewRoute returns a filter with a new balancer for the instance.
func NewRoute(instance, dataCentre string) *Route {
	return &Route{balancer: dispatch.NewBalancer(instance, dataCentre)}
}

// Forget drops the statistics of upstreams that are no longer registered.
func (f *Route) Forget(v *fleet.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.Prune(v)
	f.Limits.PruneLimits(v)
}

// Serve implements Filter.
func (f *Route) Serve(ctx context.Context, r *Request, _ Next) error {
	r.Service = pickService(r.Route.Targets)
	if refusal := f.findOrigin(ctx, r); refusal != nil {
		return refusal
	}
	demand := dispatch.Demand{
		Service: r.Service, Model: r.Model, Adapter: r.Adapter, Prompt: r.PromptTokens,
		Tokens: r.PromptTokens + r.OutputTokens, Session: r.Session(),
	}
	f.Budget.Request(r.Arrived, r.Service)
	if refusal := f.checkCauses(r.Arrived, r); refusal != nil {
		return refusal
	}
	var last error
	unsent := false // nothing listened at the last upstream: the next refusal says more
	for sends := 0; ; sends++ {
		demand.Software = r.software
		u, refusal := f.admit(ctx, r, demand, last != nil)
		if refusal != nil {
			if last != nil && !unsent {
				return last
			}
			return refusal
		}
		res := f.send(ctx, r, demand, u)
		if res.err == nil {
			return nil
		}
		last, unsent = res.err, res.closed && r.Attempt.Verdict() == verdict.NotRun
		demand.Tried = append(demand.Tried, u.ID)
		if res.outcome == dispatch.Failed && r.MayRepeat() {
			// The upstream was reached and only its response failed, so that it
			// may be chosen again if there is no other.
			demand.Retryable = append(demand.Retryable, u.ID)
		}
		if sends+1 >= maxSends || !f.mayRetry(ctx, r, res) {
			return last
		}
		r.Log.WithFields(log.Fields{"upstream": u.ID, "result": res.outcome.String(), "resume": res.resumable}).Info("request is tried once more")
	}
}

// admit waits for an upstream, then for the workspace's tokens and then for the
// upstream's own limit, so that tokens are taken only when the request can be sent.
// After a wait for tokens it selects the upstream again: the first one may be leaving
// by then.
func (f *Route) admit(ctx context.Context, r *Request, d dispatch.Demand, retry bool) (*fleet.Upstream, error) {
	for {
		u, err := f.acquire(ctx, r, d, retry)
		if err != nil {
			return nil, err
		}
		if again, refusal := f.takePlace(ctx, r, u); refusal != nil {
			return nil, refusal
		} else if again {
			continue
		}
		now := bootclock.Now()
		if r.Workspace != nil && f.State.Age(now) > f.StaleAfter {
			return nil, r.Attempt.Refuse(verdict.ConfigurationStale, "this instance can't prove that keys are current").WithRetryAfter(defaultRetryAfter)
		}
		if r.Workspace == nil || !r.Workspace.Limited() || r.hasTokens(now) {
			ok, err := f.takeSend(ctx, r, u)
			if ok {
				err = f.takeTrial(ctx, r)
			}
			if ok || err != nil {
				return u, err
			}
			continue
		}
		limited, cancel := context.WithTimeout(ctx, r.WaitLeft(now)-deadlineReserve)
		refusal := f.Limiter.Take(limited, r.Workspace, r.Tokens(), r.maxLimitWait(now))
		cancel()
		if refusal != nil {
			return nil, refusal
		}
		r.grantedAt = bootclock.Now()
		if r.grantedAt.Sub(now) > limitWaitThreshold {
			r.waitedFor = waitedForLimit
		}
	}
}

// takeSend takes one send from the limit that an upstream names, and reports whether
// the request may be sent. If not, the upstream is excluded until it may get a
// request again.
func (f *Route) takeSend(ctx context.Context, r *Request, u *fleet.Upstream) (bool, error) {
	rate, limited := f.Limits.Limit(u)
	if !limited {
		return true, nil
	}
	grant, err := f.Limits.TakeSend(ctx, u, r.maxSendWait(bootclock.Now()))
	if ctx.Err() != nil {
		return false, r.canceled(ctx)
	}
	now := bootclock.Now()
	if err != nil {
		grant = f.takeTurn(now, u, rate)
	}
	if !grant.Unlimited && !grant.Granted {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.balancer.Defer(now, u, rate, now.Add(grant.Delay), now.Add(grant.RetryAfter))
		return false, nil
	}
	if grant.Granted && grant.Delay > 0 {
		r.waitedFor = waitedForUpstreamLimit
		duration.Sleep(ctx, grant.Delay)
	}
	return bootclock.Since(now) < grant.Delay+upstreamlimit.GrantLife && f.mayStillSend(r, u), nil
}

// takeTurn decides about one send while there is no leader.
func (f *Route) takeTurn(now bootclock.Time, u *fleet.Upstream, rate float64) upstreamlimit.Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := f.balancer.TakeTurn(now, u, rate)
	return upstreamlimit.Grant{Granted: wait == 0, Delay: min(wait, leaderRecheck), RetryAfter: min(wait, leaderRetryAfter)}
}

// mayStillSend reports whether what allowed a request before the question for its
// upstream's limit still holds: the upstream is in service and wants no pause, and the
// workspace's key and tokens are valid.
func (f *Route) mayStillSend(r *Request, u *fleet.Upstream) bool {
	now, view := bootclock.Now(), f.State.View()
	current := view.ByID[u.ID]
	if current == nil || !current.SameRun(u) || !view.Usable(current) {
		return false
	}
	if f.checkCauses(now, r) != nil || f.Paused(u.ID) {
		return false
	}
	return r.Workspace == nil || f.State.Age(now) <= f.StaleAfter && (!r.Workspace.Limited() || r.hasTokens(now))
}

// maxSendWait returns how long the request may wait for the limit of its upstream: not
// at all if there is another upstream, and not beyond the life of its tokens.
func (r *Request) maxSendWait(now bootclock.Time) time.Duration {
	if r.choice.Eligible > 1 {
		return 0
	}
	wait := min(r.maxLimitWait(now), r.WaitLeft(now)-deadlineReserve)
	if r.Workspace != nil && r.Workspace.Limited() && r.runs == 0 {
		wait = min(wait, r.grantedAt.Add(quota.CentralGrantLife).Sub(now)-tokenReserve)
	}
	return max(wait, 0)
}

// hasTokens reports whether the request holds valid tokens. A grant expires if
// it is not used within quota.CentralGrantLife; once an upstream may have run
// the request, the grant covers all retries.
func (r *Request) hasTokens(now bootclock.Time) bool {
	return r.runs > 0 || (r.grantedAt != 0 && now.Sub(r.grantedAt) < quota.CentralGrantLife)
}

// maxLimitWait returns how long the request may wait for its workspace's
// tokens: until limitWaitShare of its latency objective has passed since its
// arrival.
func (r *Request) maxLimitWait(now bootclock.Time) time.Duration {
	objective := r.Arrived.Add(time.Duration(limitWaitShare * float64(r.Route.LatencyObjective))).Sub(now)
	return max(objective, 0)
}

// acquire waits for an upstream that can run the request.
func (f *Route) acquire(ctx context.Context, r *Request, d dispatch.Demand, retry bool) (*fleet.Upstream, error) {
	var done func()
	defer func() {
		if done != nil {
			done()
		}
	}()
	for {
		changed := f.Placement.Changed()
		now := bootclock.Now()
		if refusal := f.checkCauses(now, r); refusal != nil {
			return nil, refusal
		}
		if r.mustQuit() && !r.Writer.Begun() {
			return nil, r.Attempt.Refuse(verdict.Draining, "this instance is about to end").WithRetryAfter(drainingRetryAfter)
		}
		view := f.State.View()
		if r.Route.Kind == fleet.Streaming && !d.Software.Bound {
			d.NotYet = f.Origins.VersionsNotYet(r.Service)
		}
		f.mu.Lock()
		f.balancer.Members, f.balancer.Limits = f.State.Members(), f.Limits
		d.Place, d.Candidates = "", d.Model != "" && view.Config != nil && view.Config.Services[d.Service].Admitted()
		if r.hasPlace(now) {
			d.Place = r.place
		}
		choice := f.balancer.Pick(now, view, f.Placement, d)
		f.mu.Unlock()
		r.choice = choice
		if choice.Upstream != nil {
			return choice.Upstream, nil
		}
		if refusal := f.checkWait(now, r, choice, retry); refusal != nil {
			if d.Model != "" && !retry && lacksCapacity(choice, refusal) {
				f.Placement.RecordRefused(d.Service, d.Model)
			}
			return nil, refusal
		}
		r.waitedFor = string(choice.Reason)
		if choice.Reason == dispatch.NoAdapter {
			if err := f.loadAdapter(ctx, r, d.Software); err == nil {
				continue
			}
		}
		if done == nil && d.Model != "" {
			done = f.Placement.RecordWaiting(d.Service, d.Model, min(r.Deadline, r.FirstEventDeadline))
		}
		timer := time.NewTimer(min(recheckInterval, max(r.WaitLeft(now), time.Millisecond)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, r.canceled(ctx)
		case <-r.Quit:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (f *Route) loadAdapter(ctx context.Context, r *Request, software fleet.VersionConstraint) error {
	ctx, cancel := context.WithTimeout(ctx, min(adapterLoadTimeout, r.WaitLeft(bootclock.Now())-deadlineReserve))
	defer cancel()
	err := f.Placement.LoadAdapter(ctx, r.Service, r.Model, r.Adapter, software)
	if err != nil && ctx.Err() == nil && !r.adapterLogged {
		r.adapterLogged = true
		r.Log.WithError(err).WithField("adapter", r.Adapter).Info("adapter not loaded")
	}
	return err
}

// checkWait returns a refusal if the request should not wait any longer, nil if
// it should.
func (f *Route) checkWait(now bootclock.Time, r *Request, c dispatch.Choice, retry bool) error {
	left, waited := r.WaitLeft(now), now.Sub(r.Arrived)
	switch {
	case left <= deadlineReserve:
		return r.Attempt.Refuse(verdict.DeadlineTooShort, "no upstream became free in time: %s", c.Reason)
	case r.software.Bound && (c.Reason == dispatch.NoVersion || c.Reason == dispatch.NotLoaded && c.Excluded.Version > 0):
		// A model that is served is not loaded again for the version of this stream.
		return r.Attempt.Refuse(verdict.VersionGone, "no upstream of %s with software %q, which began the stream, serves the model", r.Service, r.software.Version)
	case c.Reason == dispatch.NoUpstream:
		return r.Attempt.Refuse(verdict.NoUpstream, "no upstream of %s is in service", r.Service).WithRetryAfter(defaultRetryAfter)
	case c.Reason == dispatch.AllExcluded && f.limitTooLong(now, r, c, retry):
		f.mu.Lock()
		after := f.balancer.RetryAfter(now, c)
		f.mu.Unlock()
		return r.Attempt.Refuse(verdict.UpstreamOverloaded, "the upstreams take no more requests for now: %s", c.Excluded).WithRetryAfter(after)
	case c.Reason == dispatch.AllExcluded && (retry || waited > time.Duration(busyWaitShare*float64(r.Route.LatencyObjective))):
		return r.Attempt.Refuse(verdict.QueueFull, "no upstream has room: %s", c.Excluded).WithRetryAfter(defaultRetryAfter)
	case c.Reason == dispatch.NotLoaded:
		ready, known := f.Placement.ReadyIn(r.Service, r.Model)
		if known && ready > left-deadlineReserve {
			return r.Attempt.Refuse(verdict.DeadlineTooShort, "the model will be served in %d ms", ready.Milliseconds()).WithRetryAfter(ready)
		}
	case c.Reason == dispatch.NoAdapter:
		if ready := f.Placement.TimeUntilOrders(); ready > left-deadlineReserve {
			return r.Attempt.Refuse(verdict.DeadlineTooShort, "the adapter can be loaded in %d ms", ready.Milliseconds()).WithRetryAfter(ready + deadlineReserve)
		}
	}
	return nil
}

// lacksCapacity reports whether a refusal is due to too few upstreams: the model can't be
// loaded in time, or those that serve it are full.
func lacksCapacity(c dispatch.Choice, refusal error) bool {
	var r *verdict.Refusal
	if !errors.As(refusal, &r) || c.Reason != dispatch.NotLoaded && c.Reason != dispatch.AllExcluded {
		return false
	}
	return r.Reason == verdict.DeadlineTooShort || r.Reason == verdict.QueueFull
}

// limitTooLong reports whether the request would wait too long for an upstream that
// has used up its limit.
func (f *Route) limitTooLong(now bootclock.Time, r *Request, c dispatch.Choice, retry bool) bool {
	wait, ok := c.LimitedFor(now)
	return ok && (retry || wait > r.maxLimitWait(now))
}

// mayRetry reports whether the request is sent again, and counts the retry in
// the budget unless the connection was refused.
func (f *Route) mayRetry(ctx context.Context, r *Request, res sendResult) bool {
	if ctx.Err() != nil || r.TimeLeft(bootclock.Now()) <= deadlineReserve || r.Writer.Complete() {
		return false
	}
	switch {
	case r.Writer.Begun() && !res.resumable:
		return false
	case res.notRun && res.outcome == dispatch.Refused:
		return true // no upstream received anything
	case res.notRun:
	case res.crashed && !f.Quarantine.MayRepeat(r.causes()):
		return false
	case !r.MayRepeat() || r.runs >= r.Route.Attempts:
		return false
	}
	return f.Budget.Retry(bootclock.Now(), r.Service, f.State.Members())
}

// pickService selects one of a route's services at random by weight.
func pickService(targets []fleet.Target) string {
	total := 0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total > 0 {
		n := rand.IntN(total)
		for _, t := range targets {
			if n -= max(t.Weight, 0); n < 0 {
				return t.Service
			}
		}
	}
	return targets[0].Service
}
