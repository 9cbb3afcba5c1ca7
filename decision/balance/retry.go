package balance

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// retryRatio is the share of requests that may be retried. A larger share
	// would multiply the load on a pool in which all upstreams fail.
	retryRatio = 0.1
	// maxRetryTokens bounds the burst of retries after a period with few of them.
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

// NewBudget returns a budget with firstRetryTokens retries.
func NewBudget() *Budget { return &Budget{tokens: firstRetryTokens} }

// Request counts a request that is not a retry.
func (b *Budget) Request() { b.tokens = min(b.tokens+retryRatio, maxRetryTokens) }

// Retry takes one retry from the budget and reports whether it had one left.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewBackoff returns the delays before the retries of one request: an
// exponential backoff from 25 ms to 1 s with a jitter of ±50 %.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryDelayFirst, retryDelayMax
	b.Multiplier, b.RandomizationFactor = 2, retryJitter
	return b
}
