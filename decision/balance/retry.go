package balance

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// retryRatio is the share of requests that may be retried. More would
	// multiply the load on a pool that fails as a whole.
	retryRatio = 0.1
	// maxRetryTokens bounds what a quiet time saves up for a burst of retries.
	maxRetryTokens = 10.0
	// firstRetryTokens lets an instance retry before it has served ten requests.
	firstRetryTokens = 3.0

	retryDelayFirst = 25 * time.Millisecond
	retryDelayMax   = time.Second
	retryJitter     = 0.5
)

// Budget limits the retries of an instance to a share of its requests.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget with a small reserve.
func NewBudget() *Budget { return &Budget{tokens: firstRetryTokens} }

// Request counts a request that is not a retry.
func (b *Budget) Request() { b.tokens = min(b.tokens+retryRatio, maxRetryTokens) }

// Retry takes a retry out of the budget and reports whether there was one.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewBackoff returns the delays before the retries of one request: growing
// from 25 ms to 1 s, with jitter of half the delay to either side.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryDelayFirst, retryDelayMax
	b.Multiplier, b.RandomizationFactor = 2, retryJitter
	return b
}
