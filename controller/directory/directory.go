// Package directory holds the placement state of an instance: the latest view
// published by the placer, and the demand that the instance reports to it.
package directory

import (
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

const (
	// viewStaleAfter is the age of the latest view above which the placer counts
	// as unavailable. A placer republishes its view every 2 s.
	viewStaleAfter = 7 * time.Second
	// leaseTakeoverTime is the expected time until another instance has acquired
	// the placer's lease and published its first view.
	leaseTakeoverTime = 6 * time.Second
)

type modelKey struct{ pool, model string }

// Directory looks up the upstreams that have a model loaded, and tracks demand.
// Its methods are safe for concurrent use.
type Directory struct {
	self    string
	started time.Time

	mu       sync.Mutex
	view     placement.View
	received time.Time // zero before the first view
	models   map[modelKey]placement.ModelView
	changed  chan struct{}
	ledger   demandLedger
}

// New returns a directory without a view.
func New(self string, now time.Time) *Directory {
	return &Directory{self: self, started: now, changed: make(chan struct{}), ledger: newDemandLedger()}
}

// SetView replaces the view if the given one is newer. It reports whether the
// view was replaced.
func (d *Directory) SetView(now time.Time, view placement.View) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.received.IsZero() && !view.Newer(d.view) {
		return false
	}
	d.view, d.received = view, now
	d.models = make(map[modelKey]placement.ModelView, len(view.Models))
	for _, m := range view.Models {
		d.models[modelKey{m.Pool, m.Model}] = m
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return true
}

// View returns the latest view.
func (d *Directory) View() placement.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// Allotments returns, by pool, the maximum number of concurrent requests that the
// view allows this instance at each upstream.
func (d *Directory) Allotments() map[string][]balance.Allotment {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := map[string][]balance.Allotment{}
	for _, u := range d.view.Upstreams {
		limit := u.Limit
		if u.Limited {
			limit = u.Allotments[d.self]
		}
		pools[u.Pool] = append(pools[u.Pool], balance.Allotment{Upstream: u.Upstream, Incarnation: u.Incarnation, Limit: limit})
	}
	return pools
}

// Incarnation returns the incarnation of an upstream in the view, empty if the
// view does not list the upstream.
func (d *Directory) Incarnation(pool, upstream string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.view.Upstreams {
		if u.Pool == pool && u.Upstream == upstream {
			return u.Incarnation
		}
	}
	return ""
}

// Ready implements filter.Directory.
func (d *Directory) Ready(pool *catalog.Pool, model string) ([]*catalog.Upstream, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ready []*catalog.Upstream
	for _, replica := range d.models[modelKey{pool.Name, model}].Ready {
		if u := pool.Upstream(replica.Upstream); u != nil {
			ready = append(ready, u)
		}
	}
	return ready, d.changed
}

// DeadlineRefusal implements filter.Directory. It refuses a request without waiting if
// the view is stale or no load can complete before the deadline.
func (d *Directory) DeadlineRefusal(pool, model string, deadline time.Time) *verdict.Refusal {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if since := d.lastViewTime(); now.Sub(since) > viewStaleAfter {
		return verdict.New(verdict.PlacementUnavailable, "model %q is not loaded and no placement controller is at work", model).WithRetryAfter(leaseTakeoverTime)
	}
	m, known := d.models[modelKey{pool, model}]
	if !known || len(m.Ready) > 0 || m.Expected == 0 {
		return nil
	}
	wait := m.Expected
	if m.RetryAfter > 0 {
		wait = m.RetryAfter
	}
	at := d.received.Add(wait)
	if !at.After(deadline) {
		return nil
	}
	return verdict.New(verdict.DeadlineTooShort, "model %q can't be loaded before the deadline", model).WithRetryAfter(at.Sub(now))
}

// lastViewTime returns when the latest view was received, or the start time before
// the first view.
func (d *Directory) lastViewTime() time.Time {
	if d.received.IsZero() {
		return d.started
	}
	return d.received
}

// TrackWaiting implements filter.Directory.
func (d *Directory) TrackWaiting(pool, model, workspace string, deadline time.Time) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lockedOnce(d.ledger.wait(demandKey{modelKey{pool, model}, workspace}, deadline))
}

// TrackRunning implements filter.Directory.
func (d *Directory) TrackRunning(pool, model, workspace, upstream string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lockedOnce(d.ledger.run(demandKey{modelKey{pool, model}, workspace}, upstream))
}

// lockedOnce wraps done so that it runs under the lock and at most once.
func (d *Directory) lockedOnce(done func()) func() {
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		done()
	})
}

// Report returns the demand to report to the placer. Arrivals are counted since
// the last call.
func (d *Directory) Report(now time.Time) []placement.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.report(now)
}

// WaitingChanged returns a channel that is signalled when a request starts or stops
// waiting.
func (d *Directory) WaitingChanged() <-chan struct{} { return d.ledger.waitingChanged }

// minDeadline is the shortest time to a deadline in a report, because zero means
// that no request is waiting.
const minDeadline = time.Millisecond

func timeLeft(now, deadline time.Time) time.Duration {
	return max(deadline.Sub(now), minDeadline)
}
