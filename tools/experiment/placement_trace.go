// Package experiment simulates policies and their baselines on virtual time and
// prints their costs.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// Deployment holds the sizes of one of the deployments of the design document.
type Deployment struct {
	Name                                   string
	DataCentres, Workers, Models, Adapters int
	Instances                              int
	AdapterLoad                            [2]time.Duration
}

// Deployments are the two deployments of the design document, section 3.
var Deployments = []Deployment{
	{Name: "A", DataCentres: 3, Workers: 10, Models: 50, Adapters: 40, Instances: 8,
		AdapterLoad: [2]time.Duration{4 * time.Millisecond, 10 * time.Millisecond}},
	{Name: "B", DataCentres: 4, Workers: 12, Models: 65, Adapters: 80, Instances: 9,
		AdapterLoad: [2]time.Duration{6 * time.Millisecond, 20 * time.Millisecond}},
}

// Shape of the traces.
const (
	workerMemory       = 40_000 // MiB
	burstWindow        = 2 * time.Second
	meanTailGapSeconds = 20.0  // mean seconds between requests after a burst
	meanTailSeconds    = 240.0 // mean seconds that a model stays in use after a burst
	batchesPerNight    = 4     // times per night at which many models start together
	batchModels        = 12    // mean number of models in a batch
	floodModels        = 20    // models requested at once by one workspace, once per night
	initialCachedShare = 0.25  // share of the models that a worker has on disk initially
)

// workspaces are a few large and several small ones. share is the fraction of
// the requests, weight the one in the catalogue.
var workspaces = []struct {
	name   string
	share  float64
	weight float64
}{{"w1", 0.45, 4}, {"w2", 0.30, 3}, {"w3", 0.15, 1}, {"w4", 0.07, 1}, {"w5", 0.03, 1}}

// request is one arrival of a trace.
type request struct {
	at        time.Duration
	model     string
	workspace string
	instance  int
	timeout   time.Duration
	service   time.Duration
	retried   bool // second attempt, after a refusal
}

// trace is a catalogue and the request arrivals of several days.
type trace struct {
	catalog  *catalog.Catalog
	requests []request
}

func newTrace(d Deployment, days int, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 7))
	t := &trace{catalog: newCatalog(d, r)}
	pool := &t.catalog.Pools[0]
	// Popularity follows a power law: a few models are used every hour, most
	// are idle for days.
	perDay := make([]float64, len(pool.Models))
	for i, rank := range r.Perm(len(pool.Models)) {
		perDay[i] = 12 / math.Pow(float64(rank+1), 1.1)
	}
	for day := range days {
		midnight := time.Duration(day) * 24 * time.Hour
		for i, m := range pool.Models {
			for range poisson(r, perDay[i]) {
				t.burst(r, d, midnight+timeOfDay(r), m.Name, pickWorkspace(r), 5+r.IntN(40))
			}
		}
		for range batchesPerNight {
			at := midnight + time.Duration((22+6*r.Float64())*float64(time.Hour))
			workspace := pickWorkspace(r)
			for range poisson(r, batchModels) {
				m := pool.Models[r.IntN(len(pool.Models))]
				t.burst(r, d, at+time.Duration(r.IntN(10_000))*time.Millisecond, m.Name, workspace, 5+r.IntN(30))
			}
		}
		// One large workspace sends several times its usual rate while small ones
		// send requests too.
		flood := midnight + 23*time.Hour + time.Duration(r.IntN(3600))*time.Second
		for range floodModels {
			t.burst(r, d, flood+time.Duration(r.IntN(2000))*time.Millisecond, pool.Models[r.IntN(len(pool.Models))].Name, "w1", 40)
		}
		for _, w := range []string{"w4", "w5"} {
			t.burst(r, d, flood+time.Duration(1+r.IntN(4))*time.Second, pool.Models[r.IntN(len(pool.Models))].Name, w, 4)
		}
	}
	slices.SortStableFunc(t.requests, func(a, b request) int { return int(a.at - b.at) })
	return t
}

// burst adds n requests that arrive at many instances within burstWindow, and
// the sparse requests that follow.
func (t *trace) burst(r *rand.Rand, d Deployment, at time.Duration, model, workspace string, n int) {
	add := func(at time.Duration) {
		t.requests = append(t.requests, request{at: at, model: model, workspace: workspace, instance: r.IntN(d.Instances),
			timeout: time.Duration(15+r.IntN(45)) * time.Second, service: time.Duration(1000+r.IntN(6000)) * time.Millisecond})
	}
	for range n {
		add(at + time.Duration(r.Int64N(int64(burstWindow))))
	}
	end := at + time.Duration(r.ExpFloat64()*meanTailSeconds*float64(time.Second))
	for at += burstWindow; at < end; at += time.Duration(r.ExpFloat64() * meanTailGapSeconds * float64(time.Second)) {
		add(at)
	}
}

func newCatalog(d Deployment, r *rand.Rand) *catalog.Catalog {
	p := catalog.Pool{Name: "drafting", Kind: catalog.Engine}
	for i := range d.Workers {
		p.Upstreams = append(p.Upstreams, catalog.Upstream{Name: fmt.Sprintf("worker%02d", i), MemoryMB: workerMemory,
			Address: fmt.Sprintf("10.0.0.%d:9000", i+1), DataCentre: fmt.Sprintf("dc%d", i%d.DataCentres+1), Fencing: i%2 == 0})
	}
	for i := range d.Models {
		p.Models = append(p.Models, catalog.Model{Name: fmt.Sprintf("model%02d", i), MemoryMB: int64(6000 + r.IntN(10_000)), CacheMB: 2000,
			LoadTime: duration.Duration(time.Duration(6000+r.IntN(16_000)) * time.Millisecond), MaxReplicas: 2})
	}
	low, high := d.AdapterLoad[0], d.AdapterLoad[1]
	for i := range d.Adapters {
		base := int(float64(d.Models) * math.Pow(r.Float64(), 2))
		p.Models = append(p.Models, catalog.Model{Name: fmt.Sprintf("adapter%02d", i), Base: p.Models[base].Name,
			MemoryMB: int64(50 + r.IntN(200)), LoadTime: duration.Duration(low + time.Duration(r.Int64N(int64(high-low))))})
	}
	route := catalog.Route{Name: "drafting", Pool: "drafting"}
	for _, m := range p.Models {
		route.Models = append(route.Models, m.Name)
	}
	for _, w := range workspaces {
		route.Workspaces = append(route.Workspaces, catalog.Workspace{Name: w.name, Weight: w.weight, Rate: 1000, Burst: 1000})
	}
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{p}, Routes: []catalog.Route{route}}
	c.ApplyDefaults()
	return c
}

// initialTiers puts a random selection of checkpoints on the disk of each worker.
func initialTiers(c *catalog.Catalog, seed uint64, set func(worker int, model string, tier placement.Tier)) {
	r := rand.New(rand.NewPCG(seed, 8))
	for w := range c.Pools[0].Upstreams {
		for _, m := range c.Pools[0].Models {
			if r.Float64() < initialCachedShare {
				set(w, m.Name, placement.Disk)
			}
		}
	}
}

// timeOfDay draws the time of a burst. Three bursts in four are at night, from
// 22:00 to 04:00, the others at any time.
func timeOfDay(r *rand.Rand) time.Duration {
	hour := 24 * r.Float64()
	if r.Float64() < 0.75 {
		hour = math.Mod(22+6*r.Float64(), 24)
	}
	return time.Duration(hour * float64(time.Hour))
}

func pickWorkspace(r *rand.Rand) string {
	at := r.Float64()
	for _, w := range workspaces {
		if at -= w.share; at < 0 {
			return w.name
		}
	}
	return workspaces[0].name
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}
