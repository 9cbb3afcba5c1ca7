package filter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/fairqueue"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Directory records on which upstreams models are loaded. Its methods are called
// with locks of Route held and must not call Route.
type Directory interface {
	// Ready returns the upstreams of the pool on which the model is loaded, and
	// a channel that is closed when the list changes. It is called for models
	// only, not for services.
	Ready(pool *catalog.Pool, model string) ([]*catalog.Upstream, <-chan struct{})
	// TrackWaiting registers a request that waits for a model; done removes it.
	TrackWaiting(pool, model, workspace string, deadline time.Time) (done func())
	// Run registers a request that runs on an upstream; done removes it.
	TrackRunning(pool, model, workspace, upstream string) (done func())
	// DeadlineRefusal returns a refusal if no load of the model can complete before
	// the deadline, else nil.
	DeadlineRefusal(pool, model string, deadline time.Time) *verdict.Refusal
}

// recheckInterval bounds the time between two evaluations of a waiting request.
// Capacity can become free without an event, as a ramp-up proceeds or a load
// report expires.
const recheckInterval = 250 * time.Millisecond

// Route queues a request until an upstream has capacity, forwards it and retries
// it where that is safe.
type Route struct {
	Directory Directory
	Catalog   Catalog
	Forward   *Forward
	// Balance configures the balancers of all pools; Self must be set.
	Balance balance.Config
	// Queue configures the queues of all pools.
	Queue fairqueue.Config

	mu      sync.Mutex
	pools   map[string]*pool
	members []string
	budget  *balance.Budget
	// runCtx is the context of Run, and verifying holds the pool and upstream
	// names of incarnation queries in flight.
	runCtx    context.Context
	verifying map[[2]string]bool
}

// pool returns the state of a pool and creates it if needed.
func (f *Route) pool(name string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[name]
	if !ok {
		p = &pool{name: name, directory: f.Directory, picker: balance.New(f.Balance), queue: fairqueue.New[*waiter](f.Queue), serviceTimes: map[string]*serviceTime{}}
		p.picker.SetMembers(f.members)
		if f.pools == nil {
			f.pools = map[string]*pool{}
		}
		f.pools[name] = p
	}
	return p
}

// withBudget calls use with the retry budget of the instance.
func (f *Route) withBudget(use func(*balance.Budget) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budget == nil {
		f.budget = balance.NewBudget()
	}
	return use(f.budget)
}

// Serve implements Filter; it is the last filter of the chain.
func (f *Route) Serve(ctx context.Context, r *Request, _ Next) error {
	f.withBudget(func(b *balance.Budget) bool { b.Request(); return true })
	p, backoff := f.pool(r.Pool.Name), balance.NewBackoff()
	var failed, overloaded []string // upstreams not to try again, and upstreams to try after all others
	var lastErr error
	for {
		g, err := f.acquire(ctx, r, p, slices.Concat(failed, overloaded), lastErr)
		if err == nil {
			err = f.forward(ctx, r, p, g)
			if err == nil || !f.mayRetry(ctx, r, err) {
				return err
			}
			if isOverloaded(err) {
				overloaded = append(overloaded, g.upstream.Name)
			} else {
				failed = append(failed, g.upstream.Name)
			}
			lastErr = err
		} else if err == lastErr && len(overloaded) > 0 {
			overloaded = nil // no other upstream has capacity: try these again
		} else {
			return err
		}
		if !sleep(ctx, backoff.NextBackOff()) {
			return lastErr
		}
	}
}

// forward runs a granted request once. It checks the catalogue again, because it
// may have changed since the grant.
func (f *Route) forward(ctx context.Context, r *Request, p *pool, g grant) error {
	var result balance.Result
	requests, reported := 0.0, false
	defer func() {
		p.finish(time.Now(), g.ticket, g.upstream.Name, requests, reported, result)
		if broke := result.Kind == balance.Broken || result.Kind == balance.ConnectFailed; broke && r.Pool.Kind == catalog.Engine {
			f.verifyIncarnation(p, g.upstream)
		}
	}()
	if r.KeyHash != "" && !f.Catalog.Fresh(time.Now()) {
		return r.Attempt.Refuse(verdict.ConfigurationStale, "this instance can't prove that its catalogue is current")
	}
	if err := f.checkCatalog(r, g.upstream); err != nil {
		return err
	}
	if r.Chat != nil {
		defer f.Directory.TrackRunning(r.Pool.Name, r.Model, r.Workspace.Name, g.upstream.Name)()
	}
	ctx, stop := watchKey(ctx, f.Catalog, r)
	defer stop()
	started := time.Now()
	result, header, err := f.Forward.Try(ctx, r, g.upstream)
	if result.Kind == balance.Success {
		p.recordServiceTime(r.Model, time.Since(started))
	}
	if header != nil {
		requests, reported = reportedRequests(header, g.upstream.Concurrency)
	}
	return err
}

// checkCatalog refuses a request that the current catalogue no longer allows, or
// whose upstream u, if not nil, is no longer in service.
func (f *Route) checkCatalog(r *Request, u *catalog.Upstream) error {
	if !StillAllowed(f.Catalog, r) {
		return r.Attempt.Refuse(verdict.KeyWithdrawn, "the key was withdrawn while the request waited")
	}
	index, _ := f.Catalog.Current()
	pool := index.Pool(r.Pool.Name)
	if pool == nil {
		return r.Attempt.Refuse(verdict.NoUpstream, "pool %q was removed", r.Pool.Name)
	}
	if u == nil {
		return nil
	}
	current := pool.Upstream(u.Name)
	if current == nil || current.Address != u.Address || current.Leaving || pool.Disabled(current.DataCentre) {
		return r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s was taken out", u.Name)
	}
	return nil
}

// isOverloaded reports whether an upstream rejected a request because it had no
// capacity or the model was not loaded. Such a request waits for capacity like
// one that has not been sent: several instances share an upstream, and each
// learns of the others' requests only from delayed load reports. The rejection
// costs the upstream no work, so the retry does not count against the budget.
func isOverloaded(err error) bool {
	return verdict.From(err).Reason == verdict.UpstreamOverloaded
}

// mayRetry reports whether a request may be tried again.
func (f *Route) mayRetry(ctx context.Context, r *Request, err error) bool {
	refusal := verdict.From(err)
	if isOverloaded(err) {
		return !r.Writer.Begun() && ctx.Err() == nil
	}
	switch refusal.Reason {
	case verdict.UpstreamFailed, verdict.UpstreamTruncated, verdict.UpstreamInvalidAnswer:
	default:
		return false
	}
	if r.Writer.Begun() || ctx.Err() != nil {
		return false
	}
	if !r.MayRepeat() {
		return false
	}
	return f.withBudget((*balance.Budget).Retry)
}

// acquire waits for a slot on an upstream. lastErr is the refusal of the previous
// try, nil for the first.
func (f *Route) acquire(ctx context.Context, r *Request, p *pool, tried []string, lastErr error) (grant, error) {
	started := time.Now()
	index, edited := f.Catalog.Current()
	changed := f.readyChanges(index, r)
	w := &waiter{request: r, tried: tried, granted: make(chan grant, 1)}
	item := p.enqueue(started, index, w)
	var done func()
	defer func() {
		if done != nil {
			done()
		}
	}()
	for {
		select {
		case g := <-w.granted:
			return f.resolveGrant(r, g, started, lastErr)
		default:
		}
		d := p.lastDecision(w)
		if refusal := f.refuseUnservable(r, d, lastErr); refusal != nil {
			p.cancel(time.Now(), item)
			f.logDecision(r, d, "", started)
			return grant{}, refusal
		}
		if done == nil && r.Chat != nil {
			done = f.Directory.TrackWaiting(r.Pool.Name, r.Model, r.Workspace.Name, r.WallDeadline())
		}
		g, refusal := f.awaitGrant(ctx, r, w, d, changed, edited)
		if refusal != nil {
			p.cancel(time.Now(), item)
			f.logDecision(r, d, "", started)
			return grant{}, refusal
		}
		if g != nil {
			return f.resolveGrant(r, *g, started, lastErr)
		}
		index, edited = f.Catalog.Current()
		changed = f.readyChanges(index, r)
		p.refresh(time.Now(), index)
	}
}

// readyChanges returns a channel that is closed when the list of upstreams on
// which the request's model is loaded changes. It is nil for services.
func (f *Route) readyChanges(index *catalog.Index, r *Request) <-chan struct{} {
	if r.Chat == nil {
		return nil
	}
	pool := index.Pool(r.Pool.Name)
	if pool == nil {
		return nil
	}
	_, changed := f.Directory.Ready(pool, r.Chat.Model)
	return changed
}

// awaitGrant waits for a grant. It returns nil without a refusal after a change
// or a time-out that makes another evaluation of the request worthwhile.
func (f *Route) awaitGrant(ctx context.Context, r *Request, w *waiter, d balance.Decision, changed, edited <-chan struct{}) (*grant, error) {
	recheck := recheckInterval
	if d.RetryAfter > 0 {
		recheck = min(recheck, d.RetryAfter)
	}
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	var callerGone <-chan struct{}
	if r.Attempt.Verdict() == verdict.NotRun {
		callerGone = r.HTTP.Context().Done() // also for a claimed request, as long as no upstream can have run it
	}
	select {
	case g := <-w.granted:
		return &g, nil
	case <-ctx.Done():
		return nil, f.waitEnded(ctx, r, d)
	case <-callerGone:
		return nil, f.waitEnded(r.HTTP.Context(), r, d)
	case <-edited:
		return nil, f.checkCatalog(r, nil)
	case <-changed:
	case <-timer.C:
	}
	return nil, nil
}

// waitEnded returns the refusal of a request whose context ended while it waited.
func (f *Route) waitEnded(ctx context.Context, r *Request, d balance.Decision) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection")
	}
	return r.Attempt.Refuse(verdict.DeadlineExceeded, "no upstream was free in time").WithRetryAfter(d.RetryAfter)
}

// resolveGrant logs a grant and returns it or its refusal. A refusal of the
// previous try, lastErr, takes precedence over that of the queue.
func (f *Route) resolveGrant(r *Request, g grant, started time.Time, lastErr error) (grant, error) {
	if g.refusal != nil {
		f.logDecision(r, g.decision, string(g.refusal.Reason), started)
		if lastErr != nil {
			return grant{}, lastErr
		}
		return grant{}, g.refusal
	}
	f.logDecision(r, g.decision, "", started)
	return g, nil
}

// refuseUnservable returns a refusal if waiting can't help the request, else nil.
func (f *Route) refuseUnservable(r *Request, d balance.Decision, lastErr error) error {
	left := r.TimeLeft(bootclock.Now())
	switch {
	case d.OK():
		return nil
	case d.WaitHelps && (d.MayBeSooner || d.RetryAfter <= left):
		return nil
	case lastErr != nil && !(d.WaitHelps && isOverloaded(lastErr)):
		return lastErr
	case d.WaitHelps:
		return r.Attempt.Refuse(verdict.DeadlineTooShort, "no upstream becomes free before the deadline").WithRetryAfter(d.RetryAfter)
	case r.Chat == nil:
		return r.Attempt.Refuse(verdict.NoUpstream, "no upstream of pool %q is in service", r.Pool.Name)
	}
	if refusal := f.Directory.DeadlineRefusal(r.Pool.Name, r.Model, r.WallDeadline()); refusal != nil {
		return r.Attempt.Refuse(refusal.Reason, "%s", refusal.Message).WithRetryAfter(refusal.RetryAfter).WithCause(refusal.Cause)
	}
	return nil
}

// logDecision logs one routing decision.
func (f *Route) logDecision(r *Request, d balance.Decision, shedReason string, started time.Time) {
	fields := log.Fields{
		"route": r.Route.Name, "pool": r.Pool.Name, "workspace": r.Workspace.Name,
		"reason": d.Reason, "refused": d.Refused, "omitted": d.Omitted,
		"waited_ms": time.Since(started).Milliseconds(),
	}
	if r.Chat != nil {
		fields["model"] = r.Chat.Model
	}
	if d.OK() && shedReason == "" {
		fields["upstream"] = d.Upstream
		r.Log.WithFields(fields).Info("upstream chosen")
		return
	}
	if shedReason != "" {
		fields["reason"] = shedReason
	}
	r.Log.WithFields(fields).Info("no upstream chosen")
}
