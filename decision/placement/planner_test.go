package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/decision/placement/placementtest"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// smallCatalog returns a catalogue with one pool of engines with memory for two
// models each, and an adapter of the first model.
func smallCatalog(upstreams, models int, fencing bool) *catalog.Index {
	c := &catalog.Catalog{Version: 1}
	p := catalog.Pool{Name: "p", Kind: catalog.Engine}
	for i := range upstreams {
		p.Upstreams = append(p.Upstreams, catalog.Upstream{Name: fmt.Sprintf("u%d", i), Fencing: fencing,
			Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), DataCentre: fmt.Sprintf("dc%d", i%2), MemoryMB: 2100})
	}
	r := catalog.Route{Name: "r", Pool: "p"}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		p.Models = append(p.Models, catalog.Model{Name: name, MemoryMB: 800, CacheMB: 200, LoadTime: duration.Duration(4 * time.Second)})
		r.Models = append(r.Models, name)
	}
	p.Models = append(p.Models, catalog.Model{Name: "a0", Base: "m0", MemoryMB: 50, LoadTime: duration.Duration(10 * time.Millisecond)})
	r.Models = append(r.Models, "a0")
	for _, w := range []string{"large", "small"} {
		r.Workspaces = append(r.Workspaces, catalog.Workspace{Name: w, Rate: 1, Burst: 1})
	}
	c.Pools, c.Routes = []catalog.Pool{p}, []catalog.Route{r}
	c.ApplyDefaults()
	if err := c.Validate(); err != nil {
		panic(err)
	}
	return catalog.NewIndex(c, "")
}

func waitingDemand(model, workspace string, n int, deadline time.Duration) placement.Demand {
	return placement.Demand{Pool: "p", Model: model, Workspace: workspace, Waiting: n, Arrivals: n, Deadline: deadline}
}

// readyUpstreams returns the upstreams on which a view lists a model as ready.
func readyUpstreams(v placement.View, model string) []string {
	var names []string
	for _, m := range v.Models {
		if m.Model == model {
			for _, r := range m.Ready {
				names = append(names, r.Upstream)
			}
		}
	}
	return names
}

// Guards against a burst at many instances loading a model more than once.
func TestOneBurstMakesOneLoad(t *testing.T) {
	w := placementtest.New(smallCatalog(4, 3, true), 1)
	w.Start(placement.Config{})
	w.Run(time.Second)
	for i := range 9 {
		w.After(time.Duration(i)*3*time.Millisecond, func() {
			w.Report(fmt.Sprintf("i%d", i), []placement.Demand{waitingDemand("a0", "large", 40, 30*time.Second)})
		})
	}
	w.Run(6 * time.Second)
	loads := map[string]int{}
	for _, e := range w.Engines {
		for model, n := range e.Loads {
			loads[model] += n
		}
	}
	if loads["m0"] != 1 || loads["a0"] != 1 || len(readyUpstreams(w.View, "a0")) != 1 {
		t.Fatalf("loads %v, view %+v", loads, w.View)
	}
	if violations := w.Verify(); violations != nil {
		t.Fatal(violations)
	}
}

// startLeader returns a world with one leading controller.
func startLeader(index *catalog.Index, cfg placement.Config) *placementtest.World {
	w := placementtest.New(index, 1)
	w.Start(cfg)
	w.Run(time.Second)
	return w
}

func modelView(v placement.View, model string) placement.ModelView {
	for _, m := range v.Models {
		if m.Model == model {
			return m
		}
	}
	return placement.ModelView{}
}

// Guards the load limits: for models fewer than 3 loads a second and 4 in flight,
// for adapters 30 in flight.
func TestStoreLimits(t *testing.T) {
	index := smallCatalog(10, 18, true)
	p := &index.Catalog.Pools[0]
	for i := range 60 {
		p.Models = append(p.Models, catalog.Model{Name: fmt.Sprintf("b%d", i), Base: "m0", MemoryMB: 1, MaxReplicas: 1,
			LoadTime: duration.Duration(50 * time.Millisecond)})
	}
	w := startLeader(catalog.NewIndex(index.Catalog, ""), placement.Config{})
	var demands []placement.Demand
	for _, m := range p.Models {
		demands = append(demands, waitingDemand(m.Name, "large", 1, time.Minute))
	}
	adaptersInFlight, maxAdaptersInFlight := 0, 0
	loadTime := w.LoadTime
	w.LoadTime = func(e *placementtest.Engine, model string, tier placement.Tier) time.Duration {
		took := loadTime(e, model, tier)
		if p.Model(model).Base != "" {
			adaptersInFlight++
			maxAdaptersInFlight = max(maxAdaptersInFlight, adaptersInFlight)
			w.After(took, func() { adaptersInFlight-- })
		}
		return took
	}
	for range 20 {
		w.Report("i0", demands)
		w.Run(2 * time.Second)
	}
	if w.MaxStoreLoads != 4 || maxAdaptersInFlight != 30 || len(w.ModelLoadsSent) != 18 {
		t.Errorf("%d model loads at once, %d adapter loads at once, %d loads", w.MaxStoreLoads, maxAdaptersInFlight, len(w.ModelLoadsSent))
	}
	for i := 3; i < len(w.ModelLoadsSent); i++ {
		if w.ModelLoadsSent[i].Sub(w.ModelLoadsSent[i-3]) < time.Second {
			t.Errorf("loads %d to %d within %s", i-3, i, w.ModelLoadsSent[i].Sub(w.ModelLoadsSent[i-3]))
		}
	}
}

// Guards against a workspace that requests many models starving another one, and
// checks that the first-come baseline is a different policy.
func TestFairLoadOrder(t *testing.T) {
	for policy, first := range map[string]int{placement.OrderDeadline: 1, placement.OrderFirstCome: 17} {
		w := startLeader(smallCatalog(10, 18, true), placement.Config{Order: policy})
		var order []string
		w.OnDecision = func(d placement.Decision) {
			if d.Kind == "load" {
				order = append(order, d.Model)
			}
		}
		var many []placement.Demand
		for i := range 17 {
			many = append(many, waitingDemand(fmt.Sprintf("m%d", i), "large", 10, 59*time.Second))
		}
		w.Report("i0", many)
		w.Run(5 * time.Millisecond)
		w.Report("i1", []placement.Demand{waitingDemand("m17", "small", 1, 59*time.Second)})
		for range 10 {
			w.Run(2 * time.Second)
			w.Report("i0", many)
			w.Report("i1", []placement.Demand{waitingDemand("m17", "small", 1, 59*time.Second)})
		}
		position := -1
		for i, model := range order {
			if model == "m17" {
				position = i
			}
		}
		if position < first || first == 1 && position > 5 {
			t.Errorf("policy %q: the load of the small workspace is at position %d of %v", policy, position, order)
		}
	}
}

// Guards early refusal: for a deadline that no load can meet the view has a retry
// time, and the model is loaded by then for callers that retry.
func TestInfeasibleDeadline(t *testing.T) {
	w := startLeader(smallCatalog(2, 2, true), placement.Config{})
	w.Report("i0", []placement.Demand{waitingDemand("m0", "large", 1, 2*time.Second), waitingDemand("m1", "large", 1, 20*time.Second)})
	w.Run(100 * time.Millisecond)
	infeasible, feasible := modelView(w.View, "m0"), modelView(w.View, "m1")
	if infeasible.RetryAfter < 3*time.Second || infeasible.RetryAfter > 6*time.Second || feasible.RetryAfter != 0 || feasible.Expected == 0 {
		t.Fatalf("m0 %+v, m1 %+v", infeasible, feasible)
	}
	w.Report("i0", nil)
	w.Run(infeasible.RetryAfter)
	if len(readyUpstreams(w.View, "m0")) != 1 {
		t.Fatal("m0 is not ready after its RetryAfter")
	}
}

// Guards the order of preference of checkpoint tiers: memory, disk, remote.
func TestTierPreference(t *testing.T) {
	for seed := range uint64(8) {
		w := startLeader(smallCatalog(3, 2, true), placement.Config{Seed: seed})
		w.Engines[seed%3].Cached["m0"] = placement.Disk
		w.Engines[(seed+1)%3].Cached["m0"] = placement.Memory
		w.Run(3 * time.Second)
		w.Report("i0", []placement.Demand{waitingDemand("m0", "large", 1, 20*time.Second)})
		w.Run(time.Second)
		if got := readyUpstreams(w.View, "m0"); len(got) != 1 || got[0] != w.Engines[(seed+1)%3].Name {
			t.Errorf("seed %d: ready at %v", seed, got)
		}
	}
}

// Guards the unload rule: a model whose requests have always come within
// seconds of each other is unloaded after about the reload cost over the idle
// cost; the baseline waits for its timeout.
func TestUnloadRule(t *testing.T) {
	for policy, want := range map[string][2]time.Duration{
		placement.UnloadEconomic: {30 * time.Second, 170 * time.Second}, // 20 x 4s x 0.1 to 1 over 1 x 1000/2100
		placement.UnloadFixed:    {295 * time.Second, 310 * time.Second},
	} {
		w := startLeader(smallCatalog(1, 1, true), placement.Config{Unload: policy})
		w.Report("i0", []placement.Demand{waitingDemand("m0", "large", 1, 20*time.Second)})
		w.Run(5 * time.Second)
		w.Report("i0", nil)
		w.Engines[0].Cached["m0"] = placement.Remote
		idle := w.Now
		for len(w.Engines[0].Copies) > 0 && w.Now.Sub(idle) < 10*time.Minute {
			w.Run(time.Second)
		}
		if took := w.Now.Sub(idle); took < want[0] || took > want[1] {
			t.Errorf("policy %q unloaded after %s", policy, took)
		}
	}
}

// Guards requirements 9 and 13: a data centre or upstream that is taken out of
// service is removed from the view at once, its replicas are unloaded when their
// requests have ended, and a model in use is loaded elsewhere.
func TestTakeOut(t *testing.T) {
	for name, edit := range map[string]func(*catalog.Pool, string){
		"data centre": func(p *catalog.Pool, up string) { p.DisabledDataCentres = []string{p.Upstream(up).DataCentre} },
		"leaving":     func(p *catalog.Pool, up string) { p.Upstream(up).Leaving = true },
	} {
		w := startLeader(smallCatalog(4, 1, true), placement.Config{})
		w.Report("i0", []placement.Demand{waitingDemand("m0", "large", 1, 20*time.Second)})
		w.Run(5 * time.Second)
		old := readyUpstreams(w.View, "m0")[0]
		running := []placement.Demand{{Pool: "p", Model: "m0", Workspace: "large", Running: []placement.UpstreamUsage{{Upstream: old, Count: 1}}}}
		w.Report("i0", running)
		edit(&w.Index.Catalog.Pools[0], old)
		w.SetCatalog()
		w.Run(100 * time.Millisecond)
		if got := readyUpstreams(w.View, "m0"); len(got) != 0 {
			t.Errorf("%s: still ready at %v", name, got)
		}
		for range 4 {
			w.Report("i0", running)
			w.Run(2 * time.Second)
		}
		copies := func() int { return len(w.Engine(w.Index.Catalog.Pools[0].Upstream(old).Address).Copies) }
		if got := readyUpstreams(w.View, "m0"); len(got) != 1 || got[0] == old || copies() != 1 {
			t.Errorf("%s: ready at %v, %d copies at %s while a request runs", name, got, copies(), old)
		}
		w.Report("i0", nil)
		w.Run(20 * time.Second)
		if copies() != 0 {
			t.Errorf("%s: a copy is left at %s", name, old)
		}
	}
}

// Guards the ramp-up: the allotments of all instances together must not exceed the
// ramp limit of a restarted upstream, also while allotments move between instances.
func TestRampAllotments(t *testing.T) {
	w := startLeader(smallCatalog(1, 1, true), placement.Config{})
	w.Report("i0", []placement.Demand{waitingDemand("m0", "large", 1, 20*time.Second)})
	w.Run(29 * time.Second)
	w.Restart(w.Engines[0])
	begin := w.Now
	type seen struct {
		at time.Time
		n  map[string]int
	}
	var views []seen
	maxAllotments := map[string]int{}
	w.OnPublish = func(v placement.View) {
		for _, u := range v.Upstreams {
			if u.Incarnation != w.Engines[0].Incarnation || !u.Limited || len(modelView(v, "m0").Ready) == 0 {
				continue
			}
			views = append(views, seen{w.Now, u.Allotments})
			held, sum := map[string]int{}, 0
			for _, s := range views {
				if w.Now.Sub(s.at) < 2*time.Second {
					for instance, n := range s.n {
						held[instance] = max(held[instance], n)
					}
				}
			}
			for instance, n := range held {
				sum += n
				maxAllotments[instance] = max(maxAllotments[instance], u.Allotments[instance])
			}
			if limit := 1 + int(15*w.Now.Sub(begin).Seconds()/30); sum > limit || sum > u.Limit {
				t.Fatalf("after %s: allotments %v in use, limit %d", w.Now.Sub(begin), held, u.Limit)
			}
		}
	}
	for i := range 70 {
		for j := range 4 {
			ws, n := "large", 30
			if j == 3 {
				ws, n = "small", 4
			}
			if (i/7+j)%3 == 0 {
				n = 0 // the backlog moves between instances
			}
			w.Report(fmt.Sprintf("i%d", j), []placement.Demand{waitingDemand("m0", ws, n, time.Minute)})
		}
		w.Run(500 * time.Millisecond)
	}
	if len(views) < 15 || maxAllotments["i3"] < 3 || maxAllotments["i0"] < 3 {
		t.Fatalf("%d views, largest allotments %v", len(views), maxAllotments)
	}
}

// Guards scaling: a lasting overload adds replicas up to max_replicas, and low
// load removes them.
func TestScale(t *testing.T) {
	index := smallCatalog(4, 1, true)
	index.Catalog.Pools[0].Models[0].MaxReplicas = 3
	w := startLeader(index, placement.Config{ScaleDownAfter: 10 * time.Second})
	replicasAfter := func(d time.Duration, n int) int {
		for end := w.Now.Add(d); w.Now.Before(end); w.Run(time.Second) {
			demand := waitingDemand("m0", "large", n, time.Minute)
			demand.Arrivals = 1
			w.Report("i0", []placement.Demand{demand})
		}
		return len(readyUpstreams(w.View, "m0"))
	}
	if a, b, c := replicasAfter(6*time.Second, 100), replicasAfter(40*time.Second, 100), replicasAfter(60*time.Second, 1); a != 1 || b != 3 || c != 1 {
		t.Fatalf("replicas after a burst, under lasting load and under low load: %d, %d, %d", a, b, c)
	}
}
