package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// benchPlanner returns a leading planner for a pool in which every upstream holds
// one replica of some model and one model in ten has waiting requests.
func benchPlanner(b *testing.B, models, upstreams int) (*placement.Planner, time.Time) {
	p := catalog.Pool{Name: "p", Kind: catalog.Engine}
	for i := range upstreams {
		p.Upstreams = append(p.Upstreams, catalog.Upstream{Name: fmt.Sprintf("u%d", i), Address: "127.0.0.1:1",
			DataCentre: fmt.Sprintf("d%d", i%23), MemoryMB: 40_000, Concurrency: 16})
	}
	for i := range models {
		p.Models = append(p.Models, catalog.Model{Name: fmt.Sprintf("m%d", i), MemoryMB: 30_000, MaxReplicas: 8,
			LoadTime: duration.Duration(10 * time.Second)})
	}
	p.Models = append(p.Models, catalog.Model{Name: "cold", MemoryMB: 30_000, LoadTime: duration.Duration(10 * time.Second)})
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{p}}
	c.ApplyDefaults()
	planner, now := placement.New(placement.Config{Unload: placement.UnloadFixed, IdleTimeout: 1 << 62}), time.Unix(0, 0)
	feed := func(ev placement.Event) { planner.Handle(now, ev) }
	feed(placement.CatalogChanged{Index: catalog.NewIndex(c, "")})
	feed(placement.LeaseAcquired{Token: 1})
	var rows []placement.StoredRow
	for i, u := range p.Upstreams {
		rows = append(rows, placement.StoredRow{Pool: "p", ID: fmt.Sprint(i), Revision: 2, Row: placement.Row{
			Model: p.Models[i%models].Name, Upstream: u.Name, Address: u.Address, Incarnation: u.Name,
			State: placement.RowLoaded, MemoryMB: 30_000}})
	}
	feed(placement.RowsRead{Rows: rows})
	now = now.Add(40 * time.Second)
	for i, u := range p.Upstreams {
		feed(placement.IndexRead{Pool: "p", Upstream: u.Name, Sent: now, Incarnation: u.Name, Entries: []placement.IndexEntry{
			{Model: p.Models[i%models].Name, ReplicaID: fmt.Sprint(i), Ready: true, Present: true, Tier: placement.Memory}}})
	}
	now = now.Add(time.Minute)
	for i := 0; i < models; i += 10 {
		feed(placement.DemandReported{Instance: fmt.Sprintf("i%d", i%860), Demands: []placement.Demand{
			{Pool: "p", Model: p.Models[i].Name, Workspace: "w", Waiting: 3, Deadline: time.Hour}}})
	}
	return planner, now
}

var benchSizes = [][2]int{{50, 10}, {100, 260}, {300, 800}, {1000, 2600}}

// BenchmarkTick measures a housekeeping run and the build of a view.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("models=%d/upstreams=%d", size[0], size[1]), func(b *testing.B) {
			planner, now := benchPlanner(b, size[0], size[1])
			for b.Loop() {
				now = now.Add(250 * time.Millisecond)
				planner.Handle(now, placement.Tick{})
			}
		})
	}
}

// BenchmarkReport measures one report that changes the demand of one model.
func BenchmarkReport(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("models=%d/upstreams=%d", size[0], size[1]), func(b *testing.B) {
			planner, now := benchPlanner(b, size[0], size[1])
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				planner.Handle(now, placement.DemandReported{Instance: "x", Demands: []placement.Demand{
					{Pool: "p", Model: "m1", Workspace: "w", Waiting: i%5 + 1, Deadline: time.Minute}}})
			}
		})
	}
}

// BenchmarkDecision measures the choice of an upstream for a cold model in a
// full pool, where every upstream needs an eviction.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("models=%d/upstreams=%d", size[0], size[1]), func(b *testing.B) {
			planner, now := benchPlanner(b, size[0], size[1])
			now = now.Add(10 * time.Second)
			demand := []placement.Demand{{Pool: "p", Model: "cold", Workspace: "w", Waiting: 1, Deadline: time.Minute}}
			planned := 0
			for b.Loop() {
				now = now.Add(20 * time.Second) // the planned replica of the last iteration is dropped
				planner.Handle(now, placement.Tick{})
				for _, a := range planner.Handle(now, placement.DemandReported{Instance: "x", Demands: demand}) {
					if d, ok := a.(placement.Decision); ok && d.Kind == "load" {
						planned++
					}
				}
				planner.Handle(now, placement.DemandReported{Instance: "x"})
			}
			if planned == 0 {
				b.Fatal("no load was planned")
			}
		})
	}
}
