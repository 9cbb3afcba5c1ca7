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

// pool holds the queue and the load balancer of one pool on this instance.
type pool struct {
	name      string
	directory Directory

	mu           sync.Mutex
	index        *catalog.Index // the catalogue that the picker uses
	pool         *catalog.Pool
	picker       *balance.Picker
	queue        *fairqueue.Queue[*waiter]
	serviceTimes map[string]*serviceTime // by model
}

// waiter is a queued request.
type waiter struct {
	request  *Request
	tried    []string
	decision balance.Decision
	granted  chan grant // receives once, unless the waiter is cancelled
}

// grant ends the wait of a request, with a slot on an upstream or a refusal.
type grant struct {
	ticket   *balance.Ticket
	upstream *catalog.Upstream
	decision balance.Decision
	refusal  *verdict.Refusal
}

// setCatalog applies the current catalogue to the picker.
func (p *pool) setCatalog(now time.Time, index *catalog.Index) {
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

// enqueue adds a request to the queue and dispatches waiting requests.
func (p *pool) enqueue(now time.Time, index *catalog.Index, w *waiter) *fairqueue.Item[*waiter] {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setCatalog(now, index)
	r := w.request
	item, shed := p.queue.Push(now, fairqueue.Entry[*waiter]{
		Workspace: r.Workspace.Name, Class: r.Model, Weight: r.Workspace.Weight,
		Cost: r.Cost, Deadline: p.serviceTimeOf(r.Model).latestStart(r.WallDeadline(), r.Deadline.Sub(r.Arrived)), Value: w,
	})
	p.refuseShed(shed)
	p.dispatch(now)
	return item
}

// refresh applies the current catalogue, expires requests that can't meet their
// deadline and dispatches waiting requests.
func (p *pool) refresh(now time.Time, index *catalog.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setCatalog(now, index)
	p.refuseShed(p.queue.Expire(now))
	p.dispatch(now)
}

// refuseShed refuses the requests that the queue has shed.
func (p *pool) refuseShed(entries []fairqueue.Shed[*waiter]) {
	for _, s := range entries {
		w := s.Item.Value
		message := "the queue is full"
		if s.Reason != verdict.QueueFull {
			message = "the deadline can't be met"
		}
		w.granted <- grant{refusal: w.request.Attempt.Refuse(s.Reason, "%s", message).WithRetryAfter(s.RetryAfter), decision: w.decision}
	}
}

// dispatch grants slots to waiting requests in the order of the queue. Capacity
// only shrinks during one call, so a model without a free slot is tried once.
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
			w.decision = p.picker.Pick(now, p.pickRequest(w, ready))
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

// pickRequest returns the picker's input for a waiting request. It caches the
// names of the upstreams on which a model is loaded in ready.
func (p *pool) pickRequest(w *waiter, ready map[string][]string) balance.Request {
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

// cancel removes a request from the queue, or releases the slot if one has been
// granted to it in the meantime.
func (p *pool) cancel(now time.Time, item *fairqueue.Item[*waiter]) {
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

// finish records the end of a request on an upstream, with the load that the
// upstream reported, and dispatches waiting requests.
func (p *pool) finish(now time.Time, t *balance.Ticket, upstream string, requests float64, reported bool, result balance.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reported {
		p.picker.Report(upstream, requests, now)
	}
	p.picker.Finish(now, t, result)
	p.dispatch(now)
}

// recordServiceTime records how long an upstream took for a complete request.
func (p *pool) recordServiceTime(model string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceTimeOf(model).add(took)
}

// serviceTimeOf returns the service-time estimate of a model. The caller must hold
// p.mu.
func (p *pool) serviceTimeOf(model string) *serviceTime {
	s, ok := p.serviceTimes[model]
	if !ok {
		s = &serviceTime{}
		p.serviceTimes[model] = s
	}
	return s
}

// lastDecision returns the latest decision on a waiting request.
func (p *pool) lastDecision(w *waiter) balance.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.decision
}

// digest returns the affinity key of a request: requests with the same prompt
// prefix prefer the same upstreams, and service calls are spread.
func (r *Request) digest() uint64 {
	if r.Chat == nil {
		return balance.PrefixDigest("", []byte(r.ID))
	}
	return balance.PrefixDigest(r.Chat.Model, r.Chat.Messages)
}

// sleep waits for d and reports whether it did. It returns false at once if ctx
// has a deadline within d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
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
