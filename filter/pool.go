package filter

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/fairqueue"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// pool is the queue and the balancer of one pool at this instance.
type pool struct {
	name      string
	directory Directory

	mu     sync.Mutex
	index  *catalog.Index // the catalogue that the picker follows
	pool   *catalog.Pool
	picker *balance.Picker
	queue  *fairqueue.Queue[*waiter]
	times  map[string]*serviceTime // by model
}

// waiter is a request in the queue.
type waiter struct {
	request  *Request
	tried    []string
	decision balance.Decision
	granted  chan grant // receives once, unless the waiter is cancelled
}

// grant ends the wait: with a place at an upstream or with a refusal.
type grant struct {
	ticket   *balance.Ticket
	upstream *catalog.Upstream
	decision balance.Decision
	refusal  *verdict.Refusal
}

// follow takes over the catalogue in force.
func (p *pool) follow(now time.Time, index *catalog.Index) {
	if index == p.index {
		return
	}
	p.index, p.pool = index, index.Pool(p.name)
	if p.pool == nil {
		p.pool = &catalog.Pool{Name: p.name}
	}
	routes := 0
	for i := range index.Catalog.Routes {
		if index.Catalog.Routes[i].Pool == p.name {
			routes++
		}
	}
	p.picker.SetPool(now, p.pool, routes)
}

// enter queues a request and serves the queue.
func (p *pool) enter(now time.Time, index *catalog.Index, w *waiter) *fairqueue.Item[*waiter] {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(now, index)
	r := w.request
	item, shed := p.queue.Push(now, fairqueue.Entry[*waiter]{
		Workspace: r.Workspace.Name, Class: r.Model, Weight: r.Workspace.Weight,
		Cost: r.Cost, Deadline: p.time(r.Model).latestStart(r.WallDeadline(), r.Deadline.Sub(r.Arrived)), Value: w,
	})
	p.shed(shed)
	p.dispatch(now)
	return item
}

// advance serves the queue after a change.
func (p *pool) advance(now time.Time, index *catalog.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(now, index)
	p.shed(p.queue.Expire(now))
	p.dispatch(now)
}

func (p *pool) shed(entries []fairqueue.Shed[*waiter]) {
	for _, s := range entries {
		w := s.Item.Value
		message := "the queue is full"
		if s.Reason != verdict.QueueFull {
			message = "the deadline can't be met"
		}
		w.granted <- grant{refusal: w.request.Attempt.Refuse(s.Reason, "%s", message).After(s.RetryAfter), decision: w.decision}
	}
}

// dispatch grants places to waiting requests in the queue's order. Within one
// call capacity only shrinks, so that a model without a place is tried once.
func (p *pool) dispatch(now time.Time) {
	ready, refused := map[string][]string{}, map[string]balance.Decision{}
	for {
		item, ok := p.queue.PopFunc(now, func(item *fairqueue.Item[*waiter]) bool {
			w := item.Value
			model := w.request.Model
			if d, known := refused[model]; known && len(w.tried) == 0 {
				w.decision = d
				return false
			}
			w.decision = p.picker.Pick(now, p.question(w, ready))
			if !w.decision.OK() && len(w.tried) == 0 {
				refused[model] = w.decision
			}
			return w.decision.OK()
		})
		if !ok {
			return
		}
		w := item.Value
		w.granted <- grant{
			ticket:   p.picker.Start(now, w.decision.Upstream),
			upstream: p.pool.Upstream(w.decision.Upstream), decision: w.decision,
		}
	}
}

func (p *pool) question(w *waiter, ready map[string][]string) balance.Request {
	r := w.request
	q := balance.Request{Digest: r.digest(), Tried: w.tried}
	if r.Chat == nil {
		return q
	}
	names, known := ready[r.Chat.Model]
	if !known {
		upstreams, _ := p.directory.Ready(p.pool, r.Chat.Model)
		for _, u := range upstreams {
			names = append(names, u.Name)
		}
		ready[r.Chat.Model] = names
	}
	q.Models, q.Ready = true, names
	return q
}

// leave takes a request out of the queue and returns a place that it was
// granted meanwhile.
func (p *pool) leave(now time.Time, item *fairqueue.Item[*waiter]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Cancel(item) {
		return
	}
	select {
	case g := <-item.Value.granted:
		p.picker.Finish(now, g.ticket, balance.Result{})
		p.dispatch(now)
	default:
	}
}

// finish ends a request at an upstream and serves the queue.
func (p *pool) finish(now time.Time, t *balance.Ticket, upstream string, requests float64, reported bool, result balance.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reported {
		p.picker.Report(upstream, requests, now)
	}
	p.picker.Finish(now, t, result)
	p.dispatch(now)
}

// served records how long an upstream took for a complete request.
func (p *pool) served(model string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.time(model).observe(took)
}

// time returns the estimate of a model; the caller holds the lock.
func (p *pool) time(model string) *serviceTime {
	s, ok := p.times[model]
	if !ok {
		s = &serviceTime{}
		p.times[model] = s
	}
	return s
}

// last returns the latest decision on a waiting request.
func (p *pool) last(w *waiter) balance.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.decision
}

// digest steers requests with the same prompt prefix to the same upstreams
// and spreads calls of services.
func (r *Request) digest() uint64 {
	if r.Chat == nil {
		return balance.PrefixDigest("", []byte(r.ID))
	}
	return balance.PrefixDigest(r.Chat.Model, r.Chat.Messages)
}

// pause waits unless the deadline comes first.
func pause(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
