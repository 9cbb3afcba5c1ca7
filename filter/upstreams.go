package filter

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/fairqueue"
)

// Run follows the catalogue until ctx ends, so that the age of an upstream
// counts from the edit that brought it and not from its first request.
func (f *Route) Run(ctx context.Context) error {
	f.mu.Lock()
	f.life = ctx
	f.mu.Unlock()
	for {
		index, edited := f.Catalog.Current()
		if index != nil {
			for i := range index.Catalog.Pools {
				f.pool(index.Catalog.Pools[i].Name).advance(time.Now(), index)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-edited:
		}
	}
}

// The methods below are for controllers. Their callers must hold no lock that
// the methods of Directory take.

// SetMembers takes over the instances that share the upstreams, this one
// included. Until then a fresh upstream gets nothing from this instance.
func (f *Route) SetMembers(ids []string) {
	f.mu.Lock()
	f.members = ids
	f.mu.Unlock()
	f.each(func(_ string, p *pool) { p.picker.SetMembers(ids) })
}

// SetAllotments replaces the allotments of a pool.
func (f *Route) SetAllotments(name string, allotments []balance.Allotment) {
	f.change(name, func(now time.Time, p *balance.Picker) { p.SetAllotments(now, allotments) })
}

// ObserveUpstream records the incarnation that an upstream gave in an answer
// to a question asked at that time.
func (f *Route) ObserveUpstream(name, upstream, incarnation string, asked time.Time) {
	f.change(name, func(now time.Time, p *balance.Picker) { p.Observe(now, upstream, incarnation, asked) })
}

// Established records that an upstream has been running since that time.
func (f *Route) Established(name, upstream, incarnation string, since time.Time) {
	f.change(name, func(_ time.Time, p *balance.Picker) { p.Established(upstream, incarnation, since) })
}

// Ages returns by pool how long upstreams have been running.
func (f *Route) Ages(now time.Time) map[string][]balance.Age {
	ages := map[string][]balance.Age{}
	f.each(func(name string, p *pool) {
		if list := p.picker.Ages(now); len(list) > 0 {
			ages[name] = list
		}
	})
	return ages
}

// Backlog returns what waits, by pool and workspace.
func (f *Route) Backlog() map[string]map[string]fairqueue.Backlog {
	backlog := map[string]map[string]fairqueue.Backlog{}
	f.each(func(name string, p *pool) {
		if b := p.queue.Backlog(); len(b) > 0 {
			backlog[name] = b
		}
	})
	return backlog
}

// change applies a change to the picker of a pool and serves its queue.
func (f *Route) change(name string, apply func(time.Time, *balance.Picker)) {
	p, now := f.pool(name), time.Now()
	index, _ := f.Catalog.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	if index != nil {
		p.follow(now, index)
	}
	apply(now, p.picker)
	p.dispatch(now)
}

func (f *Route) each(visit func(string, *pool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.pools {
		p.mu.Lock()
		visit(name, p)
		p.mu.Unlock()
	}
}
