package gateway

import (
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// BudgetConfig limits the retries of a service, summed over all instances, to
// Ratio times its requests plus Slack in each window.
type BudgetConfig struct {
	Ratio  float64       // retries per request of the service
	Slack  float64       // additional retries, shared by all instances
	Window time.Duration // sliding window of both counts
}

const (
	budgetBuckets = 20
	// budgetShare is the part of the budget that instances use. The rest covers
	// requests that instances count in different windows.
	budgetShare = 0.8
)

// Budget enforces one instance's share of the retry budget. Its methods are safe
// for concurrent use.
type Budget struct {
	config  BudgetConfig
	mu      sync.Mutex
	windows map[string]*window
}

// window counts requests and retries of one service over the last buckets.
type window struct {
	requests, retries [budgetBuckets]int
	newest            int64
}

// NewBudget returns a budget without any requests counted.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, windows: map[string]*window{}}
}

func (b *Budget) window(now bootclock.Time, service string) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	bucket := int64(now) / int64(b.config.Window/budgetBuckets)
	for n := 0; w.newest < bucket && n < budgetBuckets; n++ {
		w.newest = max(w.newest+1, bucket-budgetBuckets+1)
		w.requests[w.newest%budgetBuckets], w.retries[w.newest%budgetBuckets] = 0, 0
	}
	w.newest = max(w.newest, bucket)
	return w
}

// Request counts the first send of a request.
func (b *Budget) Request(now bootclock.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.newest%budgetBuckets]++
}

// Retry reports whether one more retry is within this instance's share, and
// counts it if so.
func (b *Budget) Retry(now bootclock.Time, service string, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > budgetShare*(b.config.Ratio*float64(requests)+b.config.Slack/float64(max(members, 1))) {
		return false
	}
	w.retries[w.newest%budgetBuckets]++
	return true
}
