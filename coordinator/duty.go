package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Duties are the calls to the platform's API that only the leader makes.
const (
	DutyUsage   = "usage_reporting"
	DutyScaling = "autoscaling"
)

const (
	// dutyTimeout bounds one call to the platform's API. The API answers within seconds
	// while it is impaired.
	dutyTimeout = 3 * time.Second
	// dutyRateShare is the share of the calls that the platform accepts that one duty uses,
	// so that no call of the other duty is refused.
	dutyRateShare = 0.25
)

// Duties makes calls to the platform's API. It does not retry. An error comes with every
// result but ports.DutyAccepted.
type Duties interface {
	// UsageBody returns the body of the usage report of a window. Equal counts give equal
	// bytes.
	UsageBody(window int64, counts map[string]int64) []byte
	ReportUsage(ctx context.Context, token uint64, body []byte) (ports.DutyResult, error)
	Scale(ctx context.Context, token uint64, service, dataCentre string, desired int) (ports.DutyResult, error)
}

// DutyConfig configures the duties of the leader.
type DutyConfig struct {
	// API makes the calls. No duty is enabled without it.
	API Duties
	// Enabled lists the duties of the deployment.
	Enabled []string
	// CallsPerS is the number of calls a second that the platform accepts from all
	// instances together.
	CallsPerS float64
	// UsageWindow is the length of a window of the usage reports, and UsageLate the time
	// after its end at which the report is due.
	UsageWindow, UsageLate time.Duration
}

// Has reports whether a duty is enabled.
func (d *DutyConfig) Has(duty string) bool {
	if d.API == nil || d.CallsPerS <= 0 || !slices.Contains(d.Enabled, duty) {
		return false
	}
	return duty != DutyUsage || d.UsageWindow > 0
}

// errTermEnded means that a call was not made because the term of its leader had ended.
var errTermEnded = errors.New("the term has ended")

// pacer spaces out the calls of one duty. It is safe for concurrent use.
type pacer struct {
	mu   sync.Mutex
	next map[string]bootclock.Time // earliest time of the next call, by duty
}

// reserve returns how long the next call of a duty has to wait.
func (p *pacer) reserve(now bootclock.Time, duty string, gap time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = map[string]bootclock.Time{}
	}
	at := max(now, p.next[duty])
	p.next[duty] = at.Add(gap)
	return at.Sub(now)
}

// sendDuty makes one call to the platform's API in the term with the given token, after
// earlier calls of the duty if they are too close. Like for an order, the lease is checked
// right before the call, and a call in flight is cancelled with the term, which resets its
// connection. A call without an answer is cancelled after dutyTimeout.
func (c *Coordinator) sendDuty(ctx context.Context, token uint64, duty string, call func(context.Context) (ports.DutyResult, error)) (ports.DutyResult, error) {
	gap := time.Duration(float64(time.Second) / (dutyRateShare * c.config.Duties.CallsPerS))
	if wait := c.dutyPacer.reserve(bootclock.Now(), duty, gap); !duration.Sleep(ctx, wait) {
		return ports.DutyNotApplied, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	c.mu.Lock()
	allowed := c.lease.OrderTime(bootclock.Now(), token) > 0
	c.mu.Unlock()
	result, err := ports.DutyNotApplied, errTermEnded
	if allowed {
		go c.cancelAfterTerm(ctx, token, cancel)
		result, err = call(ctx)
		c.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`hibiscusyard_duty_calls_total{duty=%q,outcome=%q}`, duty, result)).Inc()
	}
	return result, err
}
