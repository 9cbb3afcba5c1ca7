package capacity

import (
	"fmt"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/membership"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// epoch is the start of the virtual time.
var epoch = time.Unix(1_700_000_000, 0)

func instanceName(i int) string   { return fmt.Sprintf("entry-%04d", i) }
func workspaceName(i int) string  { return fmt.Sprintf("workspace-%04d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("region-%d-dc-%d", i%7, i%DataCentres) }
func modelName(i int) string      { return fmt.Sprintf("model-%04d", i) }
func upstreamName(i int) string   { return fmt.Sprintf("worker-%04d", i) }

// incarnation returns an identifier with the length of a UUID.
func incarnation(i int) string { return fmt.Sprintf("00000000-0000-4000-8000-%012d", i) }

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:8443", i>>16&255, i>>8&255, i&255) }

// syntheticCatalog returns a catalogue with the given number of upstreams, and
// with models, adapters and workspaces in the proportions of the target, spread
// over pools. Each pool has a route, and the workspaces, which have one key each,
// are divided equally between the routes.
func syntheticCatalog(upstreams, pools int) *catalog.Catalog {
	part := float64(upstreams) / Upstreams
	models, adapters, workspaces := int(part*Models), int(part*Adapters), int(part*Workspaces)
	c := &catalog.Catalog{Version: 1}
	for p := range pools {
		pool := catalog.Pool{Name: fmt.Sprintf("pool-%02d", p), Kind: catalog.Engine}
		route := catalog.Route{Name: fmt.Sprintf("route-%02d", p), Pool: pool.Name}
		for i := p; i < upstreams; i += pools {
			pool.Upstreams = append(pool.Upstreams, catalog.Upstream{
				Name: upstreamName(i), Address: address(i), DataCentre: dataCentreName(i), MemoryMB: 8 * 80_000, Accelerators: 8, Fencing: true,
			})
		}
		for i := p; i < models; i += pools {
			pool.Models = append(pool.Models, catalog.Model{Name: modelName(i), MemoryMB: 40_000, MaxReplicas: 4})
			route.Models = append(route.Models, modelName(i))
		}
		for i := p; i < adapters && len(pool.Models) > 0; i += pools {
			name := fmt.Sprintf("adapter-%04d", i)
			pool.Models = append(pool.Models, catalog.Model{Name: name, Base: modelName(i%models/pools*pools + p), MemoryMB: 200, MaxReplicas: 4})
			route.Models = append(route.Models, name)
		}
		for i := p; i < workspaces; i += pools {
			route.Workspaces = append(route.Workspaces, catalog.Workspace{
				Name: workspaceName(i), Keys: []string{catalog.HashKey(workspaceName(i))}, Rate: 1e5, Burst: 1e6,
			})
		}
		c.Pools, c.Routes = append(c.Pools, pool), append(c.Routes, route)
	}
	c.ApplyDefaults()
	return c
}

func syntheticIndex(upstreams, pools int) *catalog.Index {
	return catalog.NewIndex(syntheticCatalog(upstreams, pools), "")
}

func listedInstances(n int) []ports.ListedInstance {
	list := make([]ports.ListedInstance, n)
	for i := range list {
		list[i] = ports.ListedInstance{ID: instanceName(i), Address: address(i), DataCentre: dataCentreName(i), Incarnation: incarnation(i)}
	}
	return list
}

func linkedMembers(n int) *membership.Table {
	t := membership.New(30 * time.Second)
	t.ApplyList(epoch, listedInstances(n))
	for i := range n {
		t.RecordLink(epoch, instanceName(i), incarnation(i), address(i), dataCentreName(i), true)
	}
	return t
}

// loadedPlanner returns a planner that leads, has read its rows and has received
// the index of every engine. Four in ten models have a replica, and each engine
// holds the replicas listed in the rows. It also returns the current virtual time.
func loadedPlanner(upstreams, pools int) (*placement.Planner, time.Time) {
	now, index := epoch, syntheticIndex(upstreams, pools)
	p := placement.New(placement.Config{})
	p.Handle(now, placement.CatalogChanged{Index: index})
	p.Handle(now, placement.LeaseAcquired{Token: 1})
	var rows []placement.StoredRow
	held := map[string][]placement.IndexEntry{}
	for _, pool := range index.Catalog.Pools {
		for k, m := range pool.Models {
			if m.Base != "" || k%10 >= 4 {
				continue
			}
			u, id := pool.Upstreams[k%len(pool.Upstreams)], fmt.Sprintf("1-%s", m.Name)
			rows = append(rows, placement.StoredRow{Pool: pool.Name, ID: id, Revision: 2, Row: placement.Row{
				Model: m.Name, Upstream: u.Name, Address: u.Address, Incarnation: incarnation(0), State: placement.RowLoaded, Token: 1, MemoryMB: m.MemoryMB,
			}})
			held[u.Name] = append(held[u.Name], placement.IndexEntry{Model: m.Name, ReplicaID: id, Ready: true, Present: true, MemoryMB: m.MemoryMB})
		}
	}
	p.Handle(now, placement.RowsRead{Rows: rows})
	now = now.Add(30 * time.Second) // lifetime of orders of an earlier lease holder
	for _, pool := range index.Catalog.Pools {
		for _, u := range pool.Upstreams {
			p.Handle(now, placement.IndexRead{Pool: pool.Name, Upstream: u.Name, Sent: now, Incarnation: incarnation(0),
				Entries: held[u.Name], MemoryTotal: u.MemoryMB})
		}
	}
	now = now.Add(time.Minute) // all ramp-ups have ended
	p.Handle(now, placement.Tick{})
	return p, now
}

// lastView returns the last published view among the actions, if any.
func lastView(actions []placement.Action) (view placement.View, ok bool) {
	for _, a := range actions {
		if publish, is := a.(placement.Publish); is {
			view, ok = publish.View, true
		}
	}
	return view, ok
}

// newDemands returns the demand report of one instance, with n entries.
func newDemands(n int) []placement.Demand {
	list := make([]placement.Demand, n)
	for i := range list {
		list[i] = placement.Demand{Pool: "pool-00", Model: modelName(i * 20), Workspace: workspaceName(i), Waiting: 1,
			Deadline: 30 * time.Second, Arrivals: 1, Running: []placement.UpstreamUsage{{Upstream: upstreamName(i * 20), Count: 2}}}
	}
	return list
}
