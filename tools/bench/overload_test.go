package bench

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// The engine of the overload benchmark runs 16 requests at once, of 20 tokens at
// 5 ms each: 160 requests a second.
const (
	overloadConcurrency = 16
	overloadTokens      = 20
	overloadPace        = 5 * time.Millisecond
	overloadCapacity    = 160.0
	overloadDeadline    = "2" // seconds
	smallShare          = 5   // one request in five is from the small workspace
	rampTime            = 31 * time.Second
)

// outcome is the result of one request of the benchmark.
type outcome struct {
	small, served, refused bool
	elapsed                time.Duration
}

// overload is the system under test: two instances in front of one engine.
type overload struct {
	b         *testing.B
	instances []*processtest.Instance
	client    *http.Client
}

func newOverload(b *testing.B) *overload {
	fleet := processtest.NewFleet(b)
	o := &overload{b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}}
	engine := processtest.StartStandin(b, "engine", "engine", "--fencing", "--load-remote", "10ms",
		"--pace", overloadPace.String(), "--concurrency", fmt.Sprint(overloadConcurrency))
	for _, name := range []string{"entry-1", "entry-2"} {
		o.instances = append(o.instances, fleet.StartInstance(name, "east"))
	}
	processtest.AwaitMembers(b, 2, o.instances...)
	o.instances[0].MustPut("pools", admin.PoolsDocument{Pools: []catalog.Pool{{
		Name: "drafting", Kind: catalog.Engine, Models: []catalog.Model{{Name: modelName, MemoryMB: 800}},
		Upstreams: []catalog.Upstream{{
			Name: "worker-1", Address: engine.Address, DataCentre: "east", MemoryMB: 16000, Fencing: true, Concurrency: overloadConcurrency,
		}},
	}}})
	workspace := func(name string) catalog.Workspace {
		return catalog.Workspace{Name: name, Keys: []string{catalog.HashKey("key-of-" + name)}, Rate: 1e9, Burst: 1e9}
	}
	o.instances[0].MustPut("routes", admin.RoutesDocument{Routes: []catalog.Route{{
		Name: "drafting", Pool: "drafting", Models: []string{modelName},
		Workspaces: []catalog.Workspace{workspace("large"), workspace("small")},
	}}})
	for k, i := range o.instances {
		processtest.Eventually(b, i.Name+" serves", func() bool { return o.call(k, true).served })
	}
	<-time.After(rampTime)
	return o
}

func (o *overload) call(n int, small bool) outcome {
	name := "large"
	if small {
		name = "small"
	}
	instance := o.instances[n%len(o.instances)]
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, modelName, overloadTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+instance.Caller+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		o.b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-of-"+name)
	req.Header.Set("X-Request-Timeout", overloadDeadline)
	start := time.Now()
	resp, err := o.client.Do(req)
	if err != nil {
		return outcome{small: small, elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	return outcome{
		small: small, served: resp.StatusCode == http.StatusOK,
		refused: resp.StatusCode != http.StatusOK, elapsed: time.Since(start),
	}
}

// sendAtRate sends requests at a constant rate (open loop) for the window: it
// does not wait for the answers to earlier ones.
func (o *overload) sendAtRate(perSecond float64) []outcome {
	var mu sync.Mutex
	var all []outcome
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := range int(perSecond * window.Seconds()) {
		<-ticker.C
		wg.Go(func() {
			result := o.call(n, n%smallShare == 0)
			mu.Lock()
			all = append(all, result)
			mu.Unlock()
		})
	}
	wg.Wait()
	return all
}

// Measures goodput, the latency of refusals and the served share of the small
// workspace at one, two and four times the engine's capacity.
func BenchmarkOverload(b *testing.B) {
	o := newOverload(b)
	for _, factor := range []float64{1, 2, 4} {
		b.Run(fmt.Sprintf("%.0fx", factor), func(b *testing.B) {
			for b.Loop() {
				report(b, o.sendAtRate(factor*overloadCapacity), factor)
			}
		})
	}
}

func report(b *testing.B, all []outcome, factor float64) {
	refusals := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	served, small, smallServed, unanswered := 0, 0, 0, 0
	for _, r := range all {
		if r.small {
			small++
		}
		switch {
		case r.served:
			served++
			if r.small {
				smallServed++
			}
		case r.refused:
			refusals.RecordValue(r.elapsed.Microseconds()) //nolint:errcheck // within the range.
		default:
			unanswered++
		}
	}
	b.ReportMetric(float64(served)/window.Seconds()/overloadCapacity, "goodput/capacity")
	b.ReportMetric(float64(smallServed)/float64(small), "small-served")
	b.ReportMetric(float64(refusals.ValueAtQuantile(50))/1000, "refusal-p50-ms")
	b.ReportMetric(float64(refusals.ValueAtQuantile(99))/1000, "refusal-p99-ms")
	b.ReportMetric(float64(unanswered), "without-answer")
}
