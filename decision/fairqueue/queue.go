// Package fairqueue queues requests while capacity is short and serves workspaces by
// start-time fair queueing with weights and token costs. It is a state machine: the
// caller passes in the time and nothing blocks. A Queue is not safe for concurrent
// use.
package fairqueue

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Policy selects the order of service.
type Policy uint8

// Policies.
const (
	Fair Policy = iota // start-time fair queueing by workspace
	FIFO               // order of arrival; the baseline
)

// Defaults of the bounds.
const (
	DefaultMaxEntries      = 1024
	DefaultMaxPerWorkspace = 512
)

// Config bounds a queue.
type Config struct {
	// Policy is the order of service. Default Fair.
	Policy Policy
	// MaxEntries bounds all waiting entries. Default 1024.
	MaxEntries int
	// MaxPerWorkspace bounds the waiting entries of one workspace. Default 512.
	MaxPerWorkspace int
}

// Entry describes a queued request.
type Entry[T any] struct {
	Workspace string
	// Class names the resource that the entry waits for, such as a model. The expected
	// start is computed from the entries and the service rate of the same class.
	Class string
	// Weight is the share of the workspace; the latest value holds for all its entries.
	Weight float64
	// Cost is the number of tokens the request is charged, at least 1.
	Cost int64
	// Deadline is the latest useful start of service; zero means none.
	Deadline time.Time
	// NotBefore is the earliest possible start, such as the expected end of a
	// model load; zero means at once.
	NotBefore time.Time
	Value     T
}

// Item is an entry in a queue. NotBefore may be changed while it waits.
type Item[T any] struct {
	Entry[T]
	flow       *flow[T]
	prev, next *Item[T]
	seq        uint64
	queued     time.Time
}

// Shed is an entry that the queue dropped.
type Shed[T any] struct {
	Item   *Item[T]
	Reason verdict.Reason
	// RetryAfter is the time after which a retry can be served, 0 if unknown.
	RetryAfter time.Duration
}

// Queue is a bounded queue of entries. Every pushed entry leaves it exactly
// once: by Pop, by Cancel, or as a Shed returned by Push or Expire.
type Queue[T any] struct {
	config  Config
	flows   map[string]*flow[T]
	active  flowHeap[T]
	virtual float64 // start tag of the entry served last
	length  int
	cost    int64
	seq     uint64
	classes map[string]*meter
}

// New returns an empty queue.
func New[T any](config Config) *Queue[T] {
	if config.MaxEntries <= 0 {
		config.MaxEntries = DefaultMaxEntries
	}
	if config.MaxPerWorkspace <= 0 {
		config.MaxPerWorkspace = DefaultMaxPerWorkspace
	}
	return &Queue[T]{config: config, flows: map[string]*flow[T]{}, classes: map[string]*meter{}}
}

// Push adds an entry and returns the entries shed as a result, which can include
// the new one.
func (q *Queue[T]) Push(now time.Time, e Entry[T]) (*Item[T], []Shed[T]) {
	e.Cost = max(e.Cost, 1)
	f := q.flow(e.Workspace)
	if e.Weight > 0 {
		f.weight = e.Weight
	}
	q.seq++
	item := &Item[T]{Entry: e, seq: q.seq, queued: now}
	q.meter(now, e.Class).waiting++
	q.insert(f, item)
	if !e.Deadline.IsZero() {
		if start := q.estimate(now, item); e.missesDeadline(start) {
			return item, []Shed[T]{q.shedLate(now, item, start)}
		}
	}
	if victim := q.overflowVictim(f); victim != nil {
		start := q.estimate(now, victim)
		q.remove(victim)
		return item, []Shed[T]{{Item: victim, Reason: verdict.QueueFull, RetryAfter: max(start.Sub(now), 0)}}
	}
	return item, nil
}

// Cancel removes a waiting entry and reports whether it was still waiting.
func (q *Queue[T]) Cancel(item *Item[T]) bool {
	if item.flow == nil {
		return false
	}
	q.remove(item)
	return true
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.length }

// Backlog counts the waiting entries of a workspace and their tokens.
type Backlog struct {
	Entries int
	Tokens  int64
}

// Backlog returns the backlog of each workspace with waiting entries.
func (q *Queue[T]) Backlog() map[string]Backlog {
	backlog := make(map[string]Backlog, len(q.active))
	for _, f := range q.active {
		backlog[f.name] = Backlog{Entries: f.length, Tokens: f.cost}
	}
	return backlog
}

// Each calls visit for each waiting entry, by workspace and order of arrival.
// Visit must not change the queue.
func (q *Queue[T]) Each(visit func(*Item[T])) {
	for _, f := range q.active {
		for item := f.head; item != nil; item = item.next {
			visit(item)
		}
	}
}
