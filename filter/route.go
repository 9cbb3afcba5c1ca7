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

// Directory knows on which upstreams models are loaded. Its methods are
// called with locks of Route held and must not call Route.
type Directory interface {
	// Ready lists upstreams of the pool on which the model is loaded, and a
	// channel that is closed when that changes. It is asked for models only.
	Ready(pool *catalog.Pool, model string) ([]*catalog.Upstream, <-chan struct{})
	// Wait reports a request that waits for a model; done ends the report.
	Wait(pool, model, workspace string, deadline time.Time) (done func())
	// Run reports a request that runs at an upstream; done ends the report.
	Run(pool, model, workspace, upstream string) (done func())
	// ComeBack returns a refusal if no load can make the deadline, else nil.
	ComeBack(pool, model string, deadline time.Time) *verdict.Refusal
}

// recheckInterval bounds the time between two looks at a waiting request. A
// place can become free by time alone, as a ramp grows or a report ages out.
const recheckInterval = 250 * time.Millisecond

// Route holds a request until an upstream can run it, hands it to Forward and
// retries it where that is safe.
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
	// life is the context of Run, and verifying holds the upstreams whose
	// incarnation is being asked for.
	life      context.Context
	verifying map[[2]string]bool
}

// pool returns the state of a pool.
func (f *Route) pool(name string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[name]
	if !ok {
		p = &pool{name: name, directory: f.Directory, picker: balance.New(f.Balance), queue: fairqueue.New[*waiter](f.Queue), times: map[string]*serviceTime{}}
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
	p, delays := f.pool(r.Pool.Name), balance.NewBackoff()
	var failed, full []string // upstreams that are not tried again, and not before others
	var last error
	for {
		g, err := f.acquire(ctx, r, p, slices.Concat(failed, full), last)
		if err == nil {
			err = f.forward(ctx, r, p, g)
			if err == nil || !f.mayRetry(ctx, r, err) {
				return err
			}
			if turnedAway(err) {
				full = append(full, g.upstream.Name)
			} else {
				failed = append(failed, g.upstream.Name)
			}
			last = err
		} else if err == last && len(full) > 0 {
			full = nil // no other upstream has room: ask these again
		} else {
			return err
		}
		if !pause(ctx, delays.NextBackOff()) {
			return last
		}
	}
}

// forward runs a granted request once. The catalogue is looked at last, since
// an edit can have come between the grant and now.
func (f *Route) forward(ctx context.Context, r *Request, p *pool, g grant) error {
	var result balance.Result
	requests, reported := 0.0, false
	defer func() {
		p.finish(time.Now(), g.ticket, g.upstream.Name, requests, reported, result)
		if broke := result.Kind == balance.Broken || result.Kind == balance.ConnectFailed; broke && r.Pool.Kind == catalog.Engine {
			f.verify(p, g.upstream)
		}
	}()
	if r.KeyHash != "" && !f.Catalog.Fresh(time.Now()) {
		return r.Attempt.Refuse(verdict.ConfigurationStale, "this instance can't prove that its catalogue is current")
	}
	if err := f.stillServed(r, g.upstream); err != nil {
		return err
	}
	if r.Chat != nil {
		defer f.Directory.Run(r.Pool.Name, r.Model, r.Workspace.Name, g.upstream.Name)()
	}
	ctx, stop := watchKey(ctx, f.Catalog, r)
	defer stop()
	started := time.Now()
	result, header, err := f.Forward.Try(ctx, r, g.upstream)
	if result.Kind == balance.Success {
		p.served(r.Model, time.Since(started))
	}
	if header != nil {
		requests, reported = reportedRequests(header, g.upstream.Concurrency)
	}
	return err
}

// stillServed refuses a request that the catalogue in force no longer allows.
func (f *Route) stillServed(r *Request, u *catalog.Upstream) error {
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
	now := pool.Upstream(u.Name)
	if now == nil || now.Address != u.Address || now.Leaving || pool.Disabled(now.DataCentre) {
		return r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s was taken out", u.Name)
	}
	return nil
}

// turnedAway reports whether an upstream took nothing of a request because it
// had no room or the model was not loaded. The request waits for room like one
// that was not sent yet: several instances share an upstream, and each learns
// of the others' requests from reports that lag. It costs the upstream nothing
// that would have to be kept in the retry budget.
func turnedAway(err error) bool {
	return verdict.From(err).Reason == verdict.UpstreamOverloaded
}

// mayRetry decides whether a request is tried again at another upstream.
func (f *Route) mayRetry(ctx context.Context, r *Request, err error) bool {
	refusal := verdict.From(err)
	if turnedAway(err) {
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

// acquire waits for a place at an upstream. Last is the refusal of an earlier
// try, nil at first.
func (f *Route) acquire(ctx context.Context, r *Request, p *pool, tried []string, last error) (grant, error) {
	started := time.Now()
	index, edited := f.Catalog.Current()
	changed := f.changed(index, r)
	w := &waiter{request: r, tried: tried, granted: make(chan grant, 1)}
	item := p.enter(started, index, w)
	var done func()
	defer func() {
		if done != nil {
			done()
		}
	}()
	for {
		select {
		case g := <-w.granted:
			return f.settle(r, g, started, last)
		default:
		}
		d := p.last(w)
		if refusal := f.hopeless(r, d, last); refusal != nil {
			p.leave(time.Now(), item)
			f.logDecision(r, d, "", started)
			return grant{}, refusal
		}
		if done == nil && r.Chat != nil {
			done = f.Directory.Wait(r.Pool.Name, r.Model, r.Workspace.Name, r.WallDeadline())
		}
		g, refusal := f.wait(ctx, r, w, d, changed, edited)
		if refusal != nil {
			p.leave(time.Now(), item)
			f.logDecision(r, d, "", started)
			return grant{}, refusal
		}
		if g != nil {
			return f.settle(r, *g, started, last)
		}
		index, edited = f.Catalog.Current()
		changed = f.changed(index, r)
		p.advance(time.Now(), index)
	}
}

// changed returns the channel that is closed when the upstreams with the
// request's model change, nil for services.
func (f *Route) changed(index *catalog.Index, r *Request) <-chan struct{} {
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

// wait waits for a grant or for a change after which the queue is looked at
// again.
func (f *Route) wait(ctx context.Context, r *Request, w *waiter, d balance.Decision, changed, edited <-chan struct{}) (*grant, error) {
	recheck := recheckInterval
	if d.RetryAfter > 0 {
		recheck = min(recheck, d.RetryAfter)
	}
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	var hangUp <-chan struct{}
	if r.Attempt.Verdict() == verdict.NotRun {
		hangUp = r.HTTP.Context().Done() // also of a claimed request, which nothing has run yet
	}
	select {
	case g := <-w.granted:
		return &g, nil
	case <-ctx.Done():
		return nil, f.gaveUp(ctx, r, d)
	case <-hangUp:
		return nil, f.gaveUp(r.HTTP.Context(), r, d)
	case <-edited:
		return nil, f.stillServed(r, nil)
	case <-changed:
	case <-timer.C:
	}
	return nil, nil
}

func (f *Route) gaveUp(ctx context.Context, r *Request, d balance.Decision) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection")
	}
	return r.Attempt.Refuse(verdict.DeadlineExceeded, "no upstream was free in time").After(d.RetryAfter)
}

// settle logs a grant and returns it or its refusal.
func (f *Route) settle(r *Request, g grant, started time.Time, last error) (grant, error) {
	if g.refusal != nil {
		f.logDecision(r, g.decision, string(g.refusal.Reason), started)
		if last != nil {
			return grant{}, last
		}
		return grant{}, g.refusal
	}
	f.logDecision(r, g.decision, "", started)
	return g, nil
}

// hopeless returns the refusal of a request that waiting does not help.
func (f *Route) hopeless(r *Request, d balance.Decision, last error) error {
	left := r.Left(bootclock.Now())
	switch {
	case d.OK():
		return nil
	case d.Wait && (d.Sooner || d.RetryAfter <= left):
		return nil
	case last != nil && !(d.Wait && turnedAway(last)):
		return last
	case d.Wait:
		return r.Attempt.Refuse(verdict.DeadlineTooShort, "no upstream becomes free before the deadline").After(d.RetryAfter)
	case r.Chat == nil:
		return r.Attempt.Refuse(verdict.NoUpstream, "no upstream of pool %q is in service", r.Pool.Name)
	}
	if refusal := f.Directory.ComeBack(r.Pool.Name, r.Model, r.WallDeadline()); refusal != nil {
		return r.Attempt.Refuse(refusal.Reason, "%s", refusal.Message).After(refusal.RetryAfter).Because(refusal.Cause)
	}
	return nil
}

// logDecision writes the line of one routing decision.
func (f *Route) logDecision(r *Request, d balance.Decision, shed string, started time.Time) {
	fields := log.Fields{
		"route": r.Route.Name, "pool": r.Pool.Name, "workspace": r.Workspace.Name,
		"reason": d.Reason, "refused": d.Refused, "omitted": d.Omitted,
		"waited_ms": time.Since(started).Milliseconds(),
	}
	if r.Chat != nil {
		fields["model"] = r.Chat.Model
	}
	if d.OK() && shed == "" {
		fields["upstream"] = d.Upstream
		r.Log.WithFields(fields).Info("upstream chosen")
		return
	}
	if shed != "" {
		fields["reason"] = shed
	}
	r.Log.WithFields(fields).Info("no upstream chosen")
}
