package hibiscusyard

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscusyard/hibiscusyard/filter"
	"github.com/hibiscusyard/hibiscusyard/verdict"
)

// quotaControl limits each workspace to an equal static part of its rate and
// burst at every member.
type quotaControl struct {
	instance *Instance
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

func newQuotaControl(i *Instance) *quotaControl {
	return &quotaControl{instance: i, limiters: map[string]*rate.Limiter{}}
}

func (q *quotaControl) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (q *quotaControl) release(context.Context) {}

// Admit implements filter.Limiter.
func (q *quotaControl) Admit(_ context.Context, workspace string, tokens int64) (filter.Reservation, error) {
	index, _ := q.instance.catalog.Current()
	limits := index.Workspaces()[workspace]
	members := float64(q.instance.members.Count())
	q.mu.Lock()
	limiter, ok := q.limiters[workspace]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(limits.Rate/members), int(limits.Burst/members))
		q.limiters[workspace] = limiter
	}
	q.mu.Unlock()
	reservation := limiter.ReserveN(time.Now(), int(tokens))
	if !reservation.OK() {
		return nil, verdict.New(verdict.TooLarge, "the request needs %d tokens, more than the burst", tokens)
	}
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		return nil, verdict.New(verdict.RateLimited, "workspace %q is over its rate", workspace).After(delay)
	}
	return settled{}, nil
}

type settled struct{}

func (settled) Settle(int64) {}
