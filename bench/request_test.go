package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscusyard/hibiscusyard/processtest"
)

// streams at 5 ms between tokens make about 12,800 tokens a second, a little
// over the 11,400 that the target asks of an instance.
const (
	streams      = 64
	streamPace   = 5 * time.Millisecond
	streamTokens = 220 // 11,400 tokens over 52 requests
)

// Measures the processor time of the instance for each relayed token, with
// each token in an event and a packet of its own.
func BenchmarkRelayedToken(b *testing.B) {
	s := newScene(b, streamPace)
	var tokens atomic.Int64
	stop := s.load(streams, func(ctx context.Context) error {
		_, err := s.follow(ctx, s.instance.Caller, streamTokens, true, &tokens)
		return err
	})
	defer stop()
	processtest.Eventually(b, "all streams run", func() bool { return s.engine.Engine().Running >= streams*9/10 })
	for b.Loop() {
		before := tokens.Load()
		u := s.measure()
		n := float64(tokens.Load() - before)
		b.ReportMetric(u.instance.Seconds()*1e6/n, "µs/token")
		b.ReportMetric(u.engine.Seconds()*1e6/n, "engine-µs/token")
		b.ReportMetric(n/window.Seconds(), "tokens/s")
		b.ReportMetric(u.instance.Seconds()/window.Seconds(), "cores")
	}
}

// Measures how many requests with one token a core of the instance serves.
func BenchmarkRequestsPerCore(b *testing.B) {
	s := newScene(b, 0)
	var requests atomic.Int64
	stop := s.load(16, func(ctx context.Context) error {
		_, err := s.call(ctx, s.instance.Caller, 1, false)
		requests.Add(1)
		return err
	})
	defer stop()
	for b.Loop() {
		before := requests.Load()
		u := s.measure()
		n := float64(requests.Load() - before)
		b.ReportMetric(n/u.instance.Seconds(), "requests/s/core")
		b.ReportMetric(u.instance.Seconds()*1e6/n, "µs/request")
		b.ReportMetric(n/window.Seconds(), "requests/s")
	}
}

// Measures what the instance adds to the time of a request, against the same
// request sent straight to the engine in turn with it.
func BenchmarkAddedLatency(b *testing.B) {
	s := newScene(b, 0)
	const callers, rounds = 4, 500
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	for b.Loop() {
		direct, through := histogram(), histogram()
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for range rounds {
					for address, into := range map[string]*hdrhistogram.Histogram{s.engine.Address: direct, s.instance.Caller: through} {
						start := time.Now()
						_, err := s.call(context.Background(), address, 1, true)
						took := time.Since(start)
						mu.Lock()
						if err != nil || into.RecordValue(took.Microseconds()) != nil {
							b.Errorf("request to %s: %v", address, err)
						}
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		for name, q := range map[string]float64{"p50": 50, "p99": 99} {
			d, t := float64(direct.ValueAtQuantile(q)), float64(through.ValueAtQuantile(q))
			b.ReportMetric(d, name+"-direct-µs")
			b.ReportMetric(t-d, name+"-added-µs")
			b.ReportMetric(t/d, name+"-ratio")
		}
	}
}
