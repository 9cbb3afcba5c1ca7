package standin

import (
	"sync"
	"time"
)

// Lagged is a value that readers see some time after it was set.
type Lagged[T any] struct {
	mu      sync.Mutex
	initial T
	history []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// maxSamples bounds the history; older changes are forgotten.
const maxSamples = 10000

// NewLagged returns a lagged value that begins as initial.
func NewLagged[T any](initial T) *Lagged[T] { return &Lagged[T]{initial: initial} }

// Set changes the value.
func (l *Lagged[T]) Set(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, sample[T]{now, value})
	if len(l.history) > maxSamples {
		l.initial = l.history[0].value
		l.history = l.history[1:]
	}
}

// Get returns the value as it was lag ago.
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
