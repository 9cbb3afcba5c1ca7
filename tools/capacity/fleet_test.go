package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
	"github.com/hibiscusyard/hibiscusyard/tools/bench"
)

func TestMain(m *testing.M) { processtest.Main(m) }

const (
	fleetKey = "key-of-the-fleet"
	// settleTime is the wait until links, share slots and the ramp-up of the
	// upstream have reached a steady state.
	settleTime = 35 * time.Second
	// measurementTime is the length of one measurement of a fleet.
	measurementTime = 10 * time.Second
	// requestInterval is the time between two requests to each instance under
	// light load.
	requestInterval = 200 * time.Millisecond
)

// Measures the resources used by instances that run as separate processes, for
// fleets of several sizes: idle, and with five requests of ten tokens per second
// to each instance.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			f := newFleet(b, n)
			b.Run("idle", func(b *testing.B) { f.measure(b) })
			b.Run("light", func(b *testing.B) {
				stop := f.load(b)
				defer stop()
				f.measure(b)
			})
		})
	}
}

type fleet struct {
	*processtest.Fleet
	instances []*processtest.Instance
}

func newFleet(b *testing.B, n int) *fleet {
	f := &fleet{Fleet: processtest.NewFleet(b)}
	engine := processtest.StartStandin(b, "engine", "engine", "--fencing", "--load-remote", "10ms", "--concurrency", "256")
	for i := range n {
		f.instances = append(f.instances, f.StartInstance(fmt.Sprintf("entry-%d", i), fmt.Sprintf("dc-%d", i%3)))
	}
	processtest.AwaitMembers(b, n, f.instances...)
	f.instances[0].MustPut("pools", admin.PoolsDocument{Pools: []catalog.Pool{{
		Name: "drafting", Kind: catalog.Engine, Models: []catalog.Model{{Name: "small", MemoryMB: 800}},
		Upstreams: []catalog.Upstream{{Name: "worker-1", Address: engine.Address, DataCentre: "dc-0", MemoryMB: 16000, Fencing: true, Concurrency: 256}},
	}}})
	routes := admin.RoutesDocument{Routes: []catalog.Route{{Name: "drafting", Pool: "drafting", Models: []string{"small"}}}}
	for w := range 5 {
		routes.Routes[0].Workspaces = append(routes.Routes[0].Workspaces, catalog.Workspace{
			Name: fmt.Sprintf("workspace-%d", w), Keys: []string{catalog.HashKey(fmt.Sprint(fleetKey, w))}, Rate: 1e6, Burst: 1e6,
		})
	}
	f.instances[0].MustPut("routes", routes)
	for _, i := range f.instances {
		processtest.Eventually(b, i.Name+" is ready", i.Ready)
	}
	<-time.After(settleTime)
	return f
}

// fleetSnapshot holds the cumulative counters of a fleet: table calls, processor
// time and metrics.
type fleetSnapshot struct {
	table         [2]int64 // reads, writes
	processorTime []bench.Usage
	metrics       []map[string]float64
}

func (f *fleet) snapshot(b *testing.B) fleetSnapshot {
	counts := f.Table.TableCounts()
	r := fleetSnapshot{table: [2]int64{counts.Reads, counts.Transactions}}
	for _, i := range f.instances {
		used, err := bench.ProcessorTime(i.PID())
		if err != nil {
			b.Fatal(err)
		}
		values, err := bench.Metrics(i.Admin)
		if err != nil {
			b.Fatal(err)
		}
		r.processorTime, r.metrics = append(r.processorTime, used), append(r.metrics, values)
	}
	return r
}

// measure reports the means over the instances, and the maximum of one instance
// for processor time and memory.
func (f *fleet) measure(b *testing.B) {
	for b.Loop() {
		before := f.snapshot(b)
		<-time.After(measurementTime)
		after := f.snapshot(b)
		n, seconds := float64(len(f.instances)), measurementTime.Seconds()
		var cores, memory, anonymous []float64
		for k, i := range f.instances {
			cores = append(cores, 100*after.processorTime[k].Sub(before.processorTime[k]).Total().Seconds()/seconds)
			resident, err := bench.ResidentMemory(i.PID())
			if err != nil {
				b.Fatal(err)
			}
			memory = append(memory, float64(resident.Total)/(1<<20))
			anonymous = append(anonymous, float64(resident.Anonymous)/(1<<20))
		}
		b.ReportMetric(mean(cores), "%core")
		b.ReportMetric(slices.Max(cores), "max-%core")
		b.ReportMetric(mean(memory), "MB")
		b.ReportMetric(slices.Max(memory), "max-MB")
		b.ReportMetric(mean(anonymous), "anon-MB")
		b.ReportMetric(float64(after.table[0]-before.table[0])/seconds/n, "table-reads/s")
		b.ReportMetric(float64(after.table[1]-before.table[1])/seconds/n, "table-writes/s")
		rate := func(names ...string) float64 {
			sum := 0.0
			for k := range f.instances {
				for _, name := range names {
					sum += after.metrics[k][name] - before.metrics[k][name]
				}
			}
			return sum / seconds / n
		}
		b.ReportMetric(rate("hibiscusyard_peer_messages_sent_total"), "peer-messages-sent/s")
		b.ReportMetric(rate("hibiscusyard_peer_sent_bytes_total", "hibiscusyard_peer_received_bytes_total"), "peer-B/s")
		b.ReportMetric(rate("hibiscusyard_platform_sent_bytes_total", "hibiscusyard_platform_received_bytes_total"), "platform-B/s")
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// load sends requests at a constant rate to every instance until stop is called.
func (f *fleet) load(b *testing.B) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for k, i := range f.instances {
		wg.Go(func() {
			ticker := time.NewTicker(requestInterval)
			defer ticker.Stop()
			for ctx.Err() == nil {
				if err := request(ctx, i.Caller, fmt.Sprint(fleetKey, k%5)); err != nil && ctx.Err() == nil {
					b.Logf("%s: %v", i.Name, err)
				}
				<-ticker.C
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func request(ctx context.Context, address, key string) error {
	body := `{"model":"small","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return err
}
