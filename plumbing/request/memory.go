package request

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hibiscusyard/hibiscusyard/decision/memory"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// maxMemoryWait bounds the wait of a body for memory. Most bodies arrive and are
	// answered within it.
	maxMemoryWait = 250 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests that are refused for lack of memory.
	memoryRetryAfter = time.Second
)

// Memory bounds what callers make an instance keep in memory: connections, heads, bodies
// and buffered responses. It is safe for concurrent use. A nil Memory bounds nothing.
type Memory struct {
	mu      sync.Mutex
	budget  *memory.Budget
	changed chan struct{} // closed when memory is released; nil if nobody waits
	// connections is the account of callers' connections, nil before Listen.
	connections *memory.Connections

	waits, refusals, evictions, streamed *metrics.Counter
}

// NewMemory returns a bound of capacity bytes for requests that have been admitted.
func NewMemory(capacity int64, set *metrics.Set) *Memory {
	m := &Memory{
		budget:    memory.New(memory.Config{Capacity: capacity}),
		waits:     set.NewCounter(`hibiscusyard_memory_waits_total`),
		refusals:  set.NewCounter(`hibiscusyard_memory_refusals_total`),
		evictions: set.NewCounter(`hibiscusyard_memory_evictions_total`),
		streamed:  set.NewCounter(`hibiscusyard_memory_unbuffered_responses_total`),
	}
	for n, pool := range []string{"small", "large"} {
		set.NewGauge(fmt.Sprintf(`hibiscusyard_memory_held_bytes{pool=%q}`, pool), func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			small, large := m.budget.Used()
			return float64([]int64{small, large}[n])
		})
	}
	return m
}

// group identifies the caller of a request: its workspace, its key or its address.
func (r *Request) group() string {
	switch {
	case r.WorkspaceName != "":
		return r.WorkspaceName
	case r.Key != "":
		return r.Key
	}
	host, _, err := net.SplitHostPort(r.HTTP.RemoteAddr)
	if err != nil {
		return r.HTTP.RemoteAddr
	}
	return host
}

// admit puts the head of a request into the account of its group, out of that of its
// connection, and records that its body begins to arrive.
func (m *Memory) admit(r *Request) error {
	if m == nil {
		return nil
	}
	r.held.Group, r.held.Owner = r.group(), r
	m.mu.Lock()
	m.budget.Begin(bootclock.Now(), &r.held)
	m.mu.Unlock()
	cost := headOf(r.HTTP).Cost()
	if err := m.grow(r.HTTP.Context(), r, cost, 0); err != nil {
		return err
	}
	r.headCost = cost
	if c := r.conn(); c != nil {
		c.releaseHead()
	}
	return nil
}

// grow makes a request hold add bytes more, for which it may have to wait a short time.
// received is the length of the part of its body that has arrived.
func (m *Memory) grow(ctx context.Context, r *Request, add, received int64) error {
	return m.await(ctx, r, add, received, maxMemoryWait)
}

// await is grow with a limit on the wait. A limit of 0 means that it ends with ctx.
func (m *Memory) await(ctx context.Context, r *Request, add, received int64, limit time.Duration) error {
	if m == nil {
		return nil
	}
	var timeout <-chan time.Time
	waits := false
	for {
		m.mu.Lock()
		if r.held.Owner == nil {
			r.held.Group, r.held.Owner = r.group(), r
		}
		if m.budget.Grow(&r.held, add, received) {
			m.mu.Unlock()
			return nil
		}
		now := bootclock.Now()
		for _, victim := range m.budget.Evict(now, &r.held, add) {
			m.evictions.Inc()
			victim.Owner.(*Request).interruptRead()
		}
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if !waits {
			waits = true
			m.waits.Inc()
			if limit > 0 {
				timer := time.NewTimer(limit)
				defer timer.Stop()
				timeout = timer.C
			}
		}
		select {
		case <-changed:
		case <-timeout:
			m.refusals.Inc()
			return verdict.New(verdict.MemoryFull, "this instance has no room for the request now").WithRetryAfter(memoryRetryAfter)
		case <-ctx.Done():
			return verdict.New(verdict.CallerGone, "the caller closed the connection")
		}
	}
}

// shrink takes bytes from what a request holds.
func (m *Memory) shrink(r *Request, n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Shrink(&r.held, n)
	m.notify()
}

// complete records that the body of a request has arrived.
func (m *Memory) complete(r *Request) {
	if m != nil {
		m.mu.Lock()
		m.budget.Complete(&r.held)
		m.mu.Unlock()
	}
	if c := r.conn(); c != nil {
		c.setPhase(memory.Received)
	}
}

// releaseBody takes everything but its head from a request.
func (m *Memory) releaseBody(r *Request) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Complete(&r.held)
	m.budget.Shrink(&r.held, r.held.Size()-r.headCost)
	m.notify()
}

// release takes everything from a request.
func (m *Memory) release(r *Request) {
	if m == nil || r.held.Owner == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(&r.held)
	m.notify()
}

// evicted reports whether the body of a request was given up while it was read.
func (m *Memory) evicted(r *Request) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.held.Evicted()
}

func (m *Memory) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// HoldResponse reports whether n bytes of a response may be kept in memory until the
// request ends. It does not wait.
func (r *Request) HoldResponse(n int64) bool {
	m := r.memory
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.held.Owner == nil {
		r.held.Group, r.held.Owner = r.group(), r
	}
	if m.budget.Grow(&r.held, n, 0) {
		return true
	}
	m.streamed.Inc()
	return false
}

// interruptRead makes the read of the body fail.
func (r *Request) interruptRead() {
	http.NewResponseController(r.Writer.ResponseWriter).SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // a broken connection ends the read too.
}
