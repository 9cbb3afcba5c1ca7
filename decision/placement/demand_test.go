package placement

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// Guards against dropping the demand for a model that the reporting instance
// received with a newer catalogue than the planner's, and against counting
// arrivals again with every catalogue change.
func TestDemandBeforeCatalog(t *testing.T) {
	index := func(models ...string) CatalogChanged {
		p := catalog.Pool{Name: "p", Kind: catalog.Engine, Upstreams: []catalog.Upstream{{Name: "u", Address: "127.0.0.1:1", MemoryMB: 100}}}
		for _, name := range models {
			p.Models = append(p.Models, catalog.Model{Name: name, MemoryMB: 10})
		}
		c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{p}}
		c.ApplyDefaults()
		return CatalogChanged{Index: catalog.NewIndex(c, "")}
	}
	p, now := New(Config{}), time.Unix(0, 0)
	feed := func(ev Event) []Action {
		now = now.Add(500 * time.Millisecond)
		return p.Handle(now, ev)
	}
	feed(index("old"))
	feed(LeaseAcquired{Token: 1})
	feed(RowsRead{})
	feed(IndexRead{Pool: "p", Upstream: "u", Sent: now, Incarnation: "one"})
	demand := func(model string) Demand {
		return Demand{Pool: "p", Model: model, Workspace: "w", Waiting: 2, Arrivals: 2, Deadline: time.Minute}
	}
	feed(DemandReported{Instance: "i", Demands: []Demand{demand("old"), demand("new")}})
	reported := now
	var loads []string
	for range 3 {
		for _, a := range feed(index("old", "new")) {
			if d, ok := a.(Decision); ok && d.Kind == "load" {
				loads = append(loads, d.Model)
			}
		}
	}
	if len(loads) != 1 || loads[0] != "new" {
		t.Errorf("loads after the new catalogue: got %v, want [new]", loads)
	}
	// The first request of a new model has no gap before it.
	for name, gaps := range map[string]float64{"old": 1, "new": 0} {
		m := p.findModel("p", name)
		if m.waiting != 2 || m.history.total != gaps || len(m.entries) != 1 || !m.earliestDeadline().Equal(reported.Add(time.Minute)) {
			t.Errorf("%s: %d waiting, %.0f gaps, entries %+v", name, m.waiting, m.history.total, m.entries)
		}
	}
	feed(InstanceGone{Instance: "i"})
	feed(index("old", "new"))
	if m := p.findModel("p", "new"); m.waiting != 0 {
		t.Errorf("%d requests of a removed instance still wait, want 0", m.waiting)
	}
}
