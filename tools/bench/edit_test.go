package bench

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

const (
	editInstances = 9
	editRounds    = 20
	pollPause     = 2 * time.Millisecond
)

// Measures the time from the acceptance of a key's withdrawal until each of nine
// instances in three data centres refuses the key to callers.
func BenchmarkWithdrawal(b *testing.B) {
	fleet := processtest.NewFleet(b)
	var instances []*processtest.Instance
	for k := range editInstances {
		instances = append(instances, fleet.StartInstance(fmt.Sprintf("entry-%d", k), fmt.Sprintf("dc-%d", k%3)))
	}
	processtest.AwaitMembers(b, editInstances, instances...)
	service := processtest.StartStandin(b, "service", "service")
	instances[0].MustPut("pools", admin.PoolsDocument{Pools: []catalog.Pool{{
		Name: "signup", Kind: catalog.Service,
		Upstreams: []catalog.Upstream{{Name: "signup-1", Address: service.Address, DataCentre: "dc-0", Concurrency: concurrency}},
	}}})
	grant := func(by int, key string) {
		instances[by].MustPut("routes", admin.RoutesDocument{Routes: []catalog.Route{{
			Name: "signup", Pool: "signup", Prefix: "/signup/",
			Workspaces: []catalog.Workspace{{Name: "law", Keys: []string{catalog.HashKey(key)}, Rate: 1e6, Burst: 1e6}},
		}}})
	}
	refused := func(i *processtest.Instance, key string) bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+i.Caller+"/v1/models", nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusUnauthorized
	}
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		for round := range editRounds {
			withdrawn := fmt.Sprintf("key-%d", round)
			grant(round%editInstances, withdrawn)
			grant((round+1)%editInstances, "other")
			accepted := time.Now()
			var mu sync.Mutex
			var wg sync.WaitGroup
			for _, i := range instances {
				wg.Go(func() {
					for !refused(i, withdrawn) {
						<-time.After(pollPause)
					}
					mu.Lock()
					defer mu.Unlock()
					times.RecordValue(max(time.Since(accepted).Microseconds(), 1)) //nolint:errcheck // within the range.
				})
			}
			wg.Wait()
		}
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(times.Max())/1000, "max-ms")
}
