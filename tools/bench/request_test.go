package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// 64 streams with 5 ms between tokens make about 12,800 tokens a second, a little
// more than the 11,400 a second for each instance at the target size.
const (
	streams      = 64
	streamPace   = 5 * time.Millisecond
	streamTokens = 220 // 11,400 tokens over 52 requests
)

// Measures the processor time of the instance for each relayed token, compared
// with a byte relay that ran under the same load just before. In "paced" each
// token arrives in a packet of its own, as from real engines; in "burst" the
// engine sends as fast as it can, so that a packet contains several tokens.
func BenchmarkRelayedToken(b *testing.B) {
	for name, l := range map[string]load{"paced": {streams, streamPace, streamTokens}, "burst": {8, 0, 4000}} {
		b.Run(name, func(b *testing.B) {
			s := newSystem(b, l.pace)
			relay, relayPID := startRelay(b, s.engine.Address)
			idle, err := ResidentMemory(s.instance.PID())
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				relayUsed, count := s.tokens(l, relay, relayPID)
				used, n := s.tokens(l, s.instance.Caller, s.instance.PID())
				b.ReportMetric(micros(used.User)/n, "user-µs/token")
				b.ReportMetric(micros(used.Total())/n, "µs/token")
				b.ReportMetric(micros(relayUsed.Total())/count, "relay-µs/token")
				b.ReportMetric(micros(used.Total())/n/(micros(relayUsed.Total())/count), "ratio")
				b.ReportMetric(n/window.Seconds(), "tokens/s")
				busy, err := ResidentMemory(s.instance.PID())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(busy.Total-idle.Total)/1024/float64(l.streams), "KB/stream")
			}
		})
	}
}

// load describes the concurrent streams of a benchmark.
type load struct {
	streams int
	pace    time.Duration
	tokens  int // for each stream
}

func micros(d time.Duration) float64 { return d.Seconds() * 1e6 }

// Measures how many requests for one token the instance serves for each second
// of processor time.
func BenchmarkRequestsPerCore(b *testing.B) {
	s := newSystem(b, 0)
	var requests atomic.Int64
	stop := s.load(16, func(ctx context.Context) error {
		_, err := s.call(ctx, s.instance.Caller, 1, false)
		requests.Add(1)
		return err
	})
	defer stop()
	for b.Loop() {
		used, n := measure(b, s.instance.PID(), &requests)
		b.ReportMetric(n/used.Total().Seconds(), "requests/s/core")
		b.ReportMetric(micros(used.Total())/n, "µs/request")
		b.ReportMetric(n/window.Seconds(), "requests/s")
	}
}

// Measures the latency that the instance adds to a request, compared with the
// same request sent directly to the engine. Both kinds of requests alternate.
func BenchmarkAddedLatency(b *testing.B) {
	s := newSystem(b, 0)
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

// tokens keeps the streams running through an address and returns the processor
// time that the process used in the window and the tokens that arrived in it.
func (s *system) tokens(l load, address string, pid int) (used Usage, count float64) {
	s.b.Helper()
	var tokens atomic.Int64
	stop := s.load(l.streams, func(ctx context.Context) error {
		_, err := s.chat(ctx, address, l.tokens, true, &tokens)
		return err
	})
	defer stop()
	processtest.Eventually(s.b, "all streams run", func() bool { return s.engine.EngineCounts().Running >= l.streams*3/4 })
	return measure(s.b, pid, &tokens)
}
