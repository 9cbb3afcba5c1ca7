package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/catalog"
	"github.com/hibiscusyard/hibiscusyard/duration"
	"github.com/hibiscusyard/hibiscusyard/placement"
	"github.com/hibiscusyard/hibiscusyard/placement/placementtest"
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
