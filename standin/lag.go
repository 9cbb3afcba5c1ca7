package standin

import (
	"sync"
	"time"
)

// Lagged holds a value whose changes become visible to readers after a lag.
// It is safe for concurrent use.
type Lagged[T any] struct {
	mu      sync.Mutex
	initial T
	history []lagSample[T]
}

type lagSample[T any] struct {
	at    time.Time
	value T
}

// maxSamples bounds the history; the oldest changes are discarded beyond it.
const maxSamples = 10000

// NewLagged returns a lagged value with an initial value.
func NewLagged[T any](initial T) *Lagged[T] { return &Lagged[T]{initial: initial} }

// Set records a new value as of now.
func (l *Lagged[T]) Set(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, lagSample[T]{now, value})
	if len(l.history) > maxSamples {
		l.initial = l.history[0].value
		l.history = l.history[1:]
	}
}

// Get returns the value that was in effect at now minus lag.
func (l *Lagged[T]) Get(now time.Time, lag time.Duration) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.history) - 1; i >= 0; i-- {
		if now.Sub(l.history[i].at) >= lag {
			return l.history[i].value
		}
	}
	return l.initial
}
