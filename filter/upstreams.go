package filter

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/fairqueue"
)

// Run applies catalogue changes until ctx ends, so that the age of an upstream
// counts from the change that added it and not from its first request.
func (f *Route) Run(ctx context.Context) error {
	f.mu.Lock()
	f.runCtx = ctx
	f.mu.Unlock()
	for {
		index, edited := f.Catalog.Current()
		if index != nil {
			for i := range index.Catalog.Pools {
				f.pool(index.Catalog.Pools[i].Name).refresh(time.Now(), index)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-edited:
		}
	}
}

// The methods below are called by controllers. Callers must not hold a lock that
// the methods of Directory acquire.

// SetMembers sets the instances that share the upstreams, including this one.
// Until it is called, this instance sends no requests to a new upstream.
func (f *Route) SetMembers(ids []string) {
	f.mu.Lock()
	f.members = ids
	f.mu.Unlock()
	f.forEachPool(func(_ string, p *pool) { p.picker.SetMembers(ids) })
}

// SetAllotments replaces the allotments of a pool.
func (f *Route) SetAllotments(name string, allotments []balance.Allotment) {
	f.updatePicker(name, func(now time.Time, p *balance.Picker) { p.SetAllotments(now, allotments) })
}

// RecordIncarnation records the incarnation that an upstream reported in response
// to a query sent at queriedAt.
func (f *Route) RecordIncarnation(name, upstream, incarnation string, queriedAt time.Time) {
	f.updatePicker(name, func(now time.Time, p *balance.Picker) { p.RecordIncarnation(now, upstream, incarnation, queriedAt) })
}

// RecordRunningSince records that an upstream has been running since the given time.
func (f *Route) RecordRunningSince(name, upstream, incarnation string, since time.Time) {
	f.updatePicker(name, func(_ time.Time, p *balance.Picker) { p.RecordRunningSince(upstream, incarnation, since) })
}

// Ages returns how long upstreams have been running, by pool.
func (f *Route) Ages(now time.Time) map[string][]balance.Age {
	ages := map[string][]balance.Age{}
	f.forEachPool(func(name string, p *pool) {
		if list := p.picker.Ages(now); len(list) > 0 {
			ages[name] = list
		}
	})
	return ages
}

// Backlog returns the queued work by pool and workspace.
func (f *Route) Backlog() map[string]map[string]fairqueue.Backlog {
	backlog := map[string]map[string]fairqueue.Backlog{}
	f.forEachPool(func(name string, p *pool) {
		if b := p.queue.Backlog(); len(b) > 0 {
			backlog[name] = b
		}
	})
	return backlog
}

// updatePicker applies a change to the picker of a pool and dispatches the
// requests that wait in its queue.
func (f *Route) updatePicker(name string, apply func(time.Time, *balance.Picker)) {
	p, now := f.pool(name), time.Now()
	index, _ := f.Catalog.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	if index != nil {
		p.setCatalog(now, index)
	}
	apply(now, p.picker)
	p.dispatch(now)
}

// forEachPool calls visit for each pool with f.mu and the lock of the pool held.
func (f *Route) forEachPool(visit func(string, *pool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.pools {
		p.mu.Lock()
		visit(name, p)
		p.mu.Unlock()
	}
}
