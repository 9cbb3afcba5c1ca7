package coordinator

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

func newDutyCoordinator() *Coordinator {
	return New(Config{
		Instance: "a", Boot: "a1", Address: "1.1.1.1:1", LeaseGap: testLeaseGap,
		Duties: DutyConfig{CallsPerS: 1e6}, Log: discardLog(), Metrics: metrics.NewSet(),
	})
}

// Guards against a call to the platform's API that is made, or on its way, after the term of
// its leader: it would arrive among those of the next holder.
func TestDutyCallIsBoundToItsTerm(t *testing.T) {
	const left = 200 * time.Millisecond // of the term when the call is made
	s, c, now := &rowStore{}, newDutyCoordinator(), bootclock.Now()
	if !take(t, c.lease, s, now.Add(left+clockMargin-leaseTerm)) {
		t.Fatal("the lease is not held")
	}
	token := c.lease.Token()
	calls := 0
	call := func(ctx context.Context) (ports.DutyResult, error) {
		calls++
		<-ctx.Done()
		return ports.DutyUnknown, ctx.Err()
	}
	if result, err := c.sendDuty(t.Context(), token+1, DutyUsage, call); result != ports.DutyNotApplied || !errors.Is(err, errTermEnded) || calls != 0 {
		t.Errorf("call of another term: got %s, error %v, %d calls; want no call", result, err, calls)
	}
	if result, err := c.sendDuty(t.Context(), token, DutyUsage, call); result != ports.DutyUnknown || !errors.Is(err, context.Canceled) || calls != 1 {
		t.Errorf("call at the end of the term: got %s, error %v, %d calls; want its cancellation", result, err, calls)
	}
	if result, err := c.sendDuty(t.Context(), token, DutyUsage, call); result != ports.DutyNotApplied || !errors.Is(err, errTermEnded) || calls != 1 {
		t.Errorf("call after the term: got %s, error %v, %d calls; want no call", result, err, calls)
	}
	var text strings.Builder
	c.config.Metrics.WritePrometheus(&text)
	if want := `hibiscusyard_duty_calls_total{duty="usage_reporting",outcome="unknown"} 1`; !strings.Contains(text.String(), want) {
		t.Errorf("got metrics %q, want %s", text.String(), want)
	}
}

// Guards against more calls a second than the platform accepts: those of one duty are
// spaced out, and those of another are not delayed by them.
func TestDutyCallsAreSpacedOut(t *testing.T) {
	var p pacer
	now, gap := bootclock.Time(time.Hour), 80*time.Millisecond
	for i := range 5 {
		if wait := p.reserve(now, DutyScaling, gap); wait != time.Duration(i)*gap {
			t.Errorf("call %d waits %s, want %s", i, wait, time.Duration(i)*gap)
		}
	}
	if wait := p.reserve(now, DutyUsage, gap); wait != 0 {
		t.Errorf("the call of another duty waits %s", wait)
	}
	if wait := p.reserve(now.Add(time.Second), DutyScaling, gap); wait != 0 {
		t.Errorf("a call after a pause waits %s", wait)
	}
}

// Guards against a duty that runs although the deployment does not enable it.
func TestDutiesAreOffByDefault(t *testing.T) {
	api := unusedAPI{}
	for name, tc := range map[string]struct {
		config DutyConfig
		usage  bool
	}{
		"nothing set":   {DutyConfig{}, false},
		"no API":        {DutyConfig{Enabled: []string{DutyUsage}, CallsPerS: 50, UsageWindow: time.Second}, false},
		"not listed":    {DutyConfig{API: api, Enabled: []string{DutyScaling}, CallsPerS: 50, UsageWindow: time.Second}, false},
		"no window":     {DutyConfig{API: api, Enabled: []string{DutyUsage}, CallsPerS: 50}, false},
		"usage enabled": {DutyConfig{API: api, Enabled: []string{DutyUsage}, CallsPerS: 50, UsageWindow: time.Second}, true},
	} {
		if got := tc.config.Has(DutyUsage); got != tc.usage {
			t.Errorf("%s: usage reports enabled: got %v, want %v", name, got, tc.usage)
		}
	}
}

// unusedAPI is an API to which no call may be made.
type unusedAPI struct{}

func (unusedAPI) UsageBody(int64, map[string]int64) []byte { panic("unexpected call") }

func (unusedAPI) ReportUsage(context.Context, uint64, []byte) (ports.DutyResult, error) {
	panic("unexpected call")
}

func (unusedAPI) Scale(context.Context, uint64, string, string, int) (ports.DutyResult, error) {
	panic("unexpected call")
}
