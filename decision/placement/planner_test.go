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

// smallCatalog has one pool of engines with room for two models each, and an
// adapter of the first model.
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

func waiting(model, workspace string, n int, deadline time.Duration) placement.Demand {
	return placement.Demand{Pool: "p", Model: model, Workspace: workspace, Waiting: n, Arrivals: n, Deadline: deadline}
}

// readyIn returns the upstreams that a view offers for a model.
func readyIn(v placement.View, model string) []string {
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
			w.Report(fmt.Sprintf("i%d", i), []placement.Demand{waiting("a0", "large", 40, 30*time.Second)})
		})
	}
	w.Run(6 * time.Second)
	loads := map[string]int{}
	for _, e := range w.Engines {
		for model, n := range e.Loads {
			loads[model] += n
		}
	}
	if loads["m0"] != 1 || loads["a0"] != 1 || len(readyIn(w.View, "a0")) != 1 {
		t.Fatalf("loads %v, view %+v", loads, w.View)
	}
	if broken := w.Verify(); broken != nil {
		t.Fatal(broken)
	}
}

// lead returns a world with one leading controller.
func lead(index *catalog.Index, cfg placement.Config) *placementtest.World {
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

// Guards the weight store's limits: under 3 loads a second and 4 at once for
// models, 30 in flight for adapters.
func TestStoreLimits(t *testing.T) {
	index := smallCatalog(10, 18, true)
	p := &index.Catalog.Pools[0]
	for i := range 60 {
		p.Models = append(p.Models, catalog.Model{Name: fmt.Sprintf("b%d", i), Base: "m0", MemoryMB: 1, MaxReplicas: 1,
			LoadTime: duration.Duration(50 * time.Millisecond)})
	}
	w := lead(catalog.NewIndex(index.Catalog, ""), placement.Config{})
	var demands []placement.Demand
	for _, m := range p.Models {
		demands = append(demands, waiting(m.Name, "large", 1, time.Minute))
	}
	adapters, most := 0, 0
	load := w.LoadTime
	w.LoadTime = func(e *placementtest.Engine, model string, tier placement.Tier) time.Duration {
		took := load(e, model, tier)
		if p.Model(model).Base != "" {
			adapters++
			most = max(most, adapters)
			w.After(took, func() { adapters-- })
		}
		return took
	}
	for range 20 {
		w.Report("i0", demands)
		w.Run(2 * time.Second)
	}
	if w.MaxStoreLoads != 4 || most != 30 || len(w.Sends) != 18 {
		t.Errorf("%d model loads at once, %d adapter loads at once, %d loads", w.MaxStoreLoads, most, len(w.Sends))
	}
	for i := 3; i < len(w.Sends); i++ {
		if w.Sends[i].Sub(w.Sends[i-3]) < time.Second {
			t.Errorf("loads %d to %d within %s", i-3, i, w.Sends[i].Sub(w.Sends[i-3]))
		}
	}
}

// Guards against a workspace that asks for many models starving another one,
// and against the first-come baseline being the same policy.
func TestFairLoadOrder(t *testing.T) {
	for policy, first := range map[string]int{placement.OrderDeadline: 1, placement.OrderFirstCome: 17} {
		w := lead(smallCatalog(10, 18, true), placement.Config{Order: policy})
		var order []string
		w.Decided = func(d placement.Decision) {
			if d.Kind == "load" {
				order = append(order, d.Model)
			}
		}
		var many []placement.Demand
		for i := range 17 {
			many = append(many, waiting(fmt.Sprintf("m%d", i), "large", 10, 59*time.Second))
		}
		w.Report("i0", many)
		w.Run(5 * time.Millisecond)
		w.Report("i1", []placement.Demand{waiting("m17", "small", 1, 59*time.Second)})
		for range 10 {
			w.Run(2 * time.Second)
			w.Report("i0", many)
			w.Report("i1", []placement.Demand{waiting("m17", "small", 1, 59*time.Second)})
		}
		place := -1
		for i, model := range order {
			if model == "m17" {
				place = i
			}
		}
		if place < first || first == 1 && place > 5 {
			t.Errorf("policy %q: the small workspace's load came at place %d of %v", policy, place, order)
		}
	}
}

// Guards the refusal in time: a deadline that no load can meet is reported
// with the time to come back, and the load is made for those who come back.
func TestInfeasibleDeadline(t *testing.T) {
	w := lead(smallCatalog(2, 2, true), placement.Config{})
	w.Report("i0", []placement.Demand{waiting("m0", "large", 1, 2*time.Second), waiting("m1", "large", 1, 20*time.Second)})
	w.Run(100 * time.Millisecond)
	late, fine := modelView(w.View, "m0"), modelView(w.View, "m1")
	if late.RetryAfter < 3*time.Second || late.RetryAfter > 6*time.Second || fine.RetryAfter != 0 || fine.Expected == 0 {
		t.Fatalf("m0 %+v, m1 %+v", late, fine)
	}
	w.Report("i0", nil)
	w.Run(late.RetryAfter)
	if len(readyIn(w.View, "m0")) != 1 {
		t.Fatal("m0 is not ready at the promised time")
	}
}

// Guards the preference for checkpoints in memory over disk over remote.
func TestTierPreference(t *testing.T) {
	for seed := range uint64(8) {
		w := lead(smallCatalog(3, 2, true), placement.Config{Seed: seed})
		w.Engines[seed%3].Cached["m0"] = placement.Disk
		w.Engines[(seed+1)%3].Cached["m0"] = placement.Memory
		w.Run(3 * time.Second)
		w.Report("i0", []placement.Demand{waiting("m0", "large", 1, 20*time.Second)})
		w.Run(time.Second)
		if got := readyIn(w.View, "m0"); len(got) != 1 || got[0] != w.Engines[(seed+1)%3].Name {
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
		w := lead(smallCatalog(1, 1, true), placement.Config{Unload: policy})
		w.Report("i0", []placement.Demand{waiting("m0", "large", 1, 20*time.Second)})
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

// Guards requirements 9 and 13: a place that is taken out leaves the view at
// once, its replicas end when their requests do, and a model in use is loaded
// elsewhere.
func TestTakeOut(t *testing.T) {
	for name, edit := range map[string]func(*catalog.Pool, string){
		"data centre": func(p *catalog.Pool, up string) { p.DisabledDataCentres = []string{p.Upstream(up).DataCentre} },
		"leaving":     func(p *catalog.Pool, up string) { p.Upstream(up).Leaving = true },
	} {
		w := lead(smallCatalog(4, 1, true), placement.Config{})
		w.Report("i0", []placement.Demand{waiting("m0", "large", 1, 20*time.Second)})
		w.Run(5 * time.Second)
		old := readyIn(w.View, "m0")[0]
		running := []placement.Demand{{Pool: "p", Model: "m0", Workspace: "large", Running: []placement.Use{{Upstream: old, Count: 1}}}}
		w.Report("i0", running)
		edit(&w.Index.Catalog.Pools[0], old)
		w.SetCatalog()
		w.Run(100 * time.Millisecond)
		if got := readyIn(w.View, "m0"); len(got) != 0 {
			t.Errorf("%s: still ready at %v", name, got)
		}
		for range 4 {
			w.Report("i0", running)
			w.Run(2 * time.Second)
		}
		copies := func() int { return len(w.Engine(w.Index.Catalog.Pools[0].Upstream(old).Address).Copies) }
		if got := readyIn(w.View, "m0"); len(got) != 1 || got[0] == old || copies() != 1 {
			t.Errorf("%s: ready at %v, %d copies at %s while a request runs", name, got, copies(), old)
		}
		w.Report("i0", nil)
		w.Run(20 * time.Second)
		if copies() != 0 {
			t.Errorf("%s: a copy is left at %s", name, old)
		}
	}
}

// Guards the ramp: over all instances together no more is allotted than a
// fresh upstream bears, also while allotments move between instances.
func TestRampAllotments(t *testing.T) {
	w := lead(smallCatalog(1, 1, true), placement.Config{})
	w.Report("i0", []placement.Demand{waiting("m0", "large", 1, 20*time.Second)})
	w.Run(29 * time.Second)
	w.Restart(w.Engines[0])
	begin := w.Now
	type seen struct {
		at time.Time
		n  map[string]int
	}
	var views []seen
	sharesSeen := map[string]int{}
	w.Published = func(v placement.View) {
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
				sharesSeen[instance] = max(sharesSeen[instance], u.Allotments[instance])
			}
			if most := 1 + int(15*w.Now.Sub(begin).Seconds()/30); sum > most || sum > u.Limit {
				t.Fatalf("after %s: %v are held, limit %d", w.Now.Sub(begin), held, u.Limit)
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
			w.Report(fmt.Sprintf("i%d", j), []placement.Demand{waiting("m0", ws, n, time.Minute)})
		}
		w.Run(500 * time.Millisecond)
	}
	if len(views) < 15 || sharesSeen["i3"] < 3 || sharesSeen["i0"] < 3 {
		t.Fatalf("%d views, largest allotments %v", len(views), sharesSeen)
	}
}

// Guards scaling: a lasting overload adds replicas up to max_replicas, and
// low load takes them away again.
func TestScale(t *testing.T) {
	index := smallCatalog(4, 1, true)
	index.Catalog.Pools[0].Models[0].MaxReplicas = 3
	w := lead(index, placement.Config{ScaleDownAfter: 10 * time.Second})
	counts := func(d time.Duration, n int) int {
		for end := w.Now.Add(d); w.Now.Before(end); w.Run(time.Second) {
			demand := waiting("m0", "large", n, time.Minute)
			demand.Arrivals = 1
			w.Report("i0", []placement.Demand{demand})
		}
		return len(readyIn(w.View, "m0"))
	}
	if a, b, c := counts(6*time.Second, 100), counts(40*time.Second, 100), counts(60*time.Second, 1); a != 1 || b != 3 || c != 1 {
		t.Fatalf("replicas after a burst, under lasting load and under low load: %d, %d, %d", a, b, c)
	}
}
