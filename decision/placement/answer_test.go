package placement_test

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
)

// driver feeds events to a planner one by one, to test rare event sequences.
type driver struct {
	*placement.Planner
	now        time.Time
	view       placement.View
	lastAction map[string]placement.Action // newest action by type
}

func newDriver() *driver {
	d := &driver{Planner: placement.New(placement.Config{}), now: time.Unix(0, 0), lastAction: map[string]placement.Action{}}
	d.feed(placement.CatalogChanged{Index: smallCatalog(1, 1, true)})
	return d
}

func (d *driver) feed(ev placement.Event) {
	d.now = d.now.Add(50 * time.Millisecond)
	for _, action := range d.Handle(d.now, ev) {
		switch a := action.(type) {
		case placement.Publish:
			d.view = a.View
		case placement.WriteRow:
			d.lastAction["write"] = a
		case placement.SendLoad:
			d.lastAction["load"] = a
		}
	}
}

func (d *driver) index(incarnation string, sent time.Time, ids ...string) {
	ev := placement.IndexRead{Pool: "p", Upstream: "u0", Sent: sent, Incarnation: incarnation}
	for _, id := range ids {
		ev.Entries = append(ev.Entries, placement.IndexEntry{Model: "m0", ReplicaID: id, Ready: true, Present: true})
	}
	d.feed(ev)
}

// openLoadOrder feeds the planner until it sends a load order.
func (d *driver) openLoadOrder(t *testing.T) placement.SendLoad {
	d.feed(placement.LeaseAcquired{Token: 1})
	d.feed(placement.RowsRead{})
	d.index("one", d.now)
	d.feed(placement.DemandReported{Instance: "i", Demands: []placement.Demand{waitingDemand("m0", "large", 1, time.Minute)}})
	w, _ := d.lastAction["write"].(placement.WriteRow)
	d.feed(placement.RowWritten{Pool: "p", ID: w.ID, Txn: w.Txn, Result: placement.WriteApplied})
	load, ok := d.lastAction["load"].(placement.SendLoad)
	if !ok {
		t.Fatal("no load order was sent")
	}
	return load
}

func (d *driver) readyCount() int {
	d.feed(placement.Tick{})
	d.feed(placement.Tick{})
	return len(readyUpstreams(d.view, "m0"))
}

// Guards against out-of-order answers: an answer or index that an engine sent
// before it restarted, or an index read before the load was complete, must not be
// applied later.
func TestOutOfOrderAnswers(t *testing.T) {
	done := func(l placement.SendLoad, incarnation string) placement.OrderAnswered {
		return placement.OrderAnswered{Pool: "p", ID: l.ID, Attempt: l.Attempt, Outcome: placement.OrderDone, Incarnation: incarnation}
	}
	d := newDriver()
	load := d.openLoadOrder(t)
	d.index("two", d.now)
	d.feed(done(load, "one"))
	if d.readyCount() != 0 {
		t.Error("a copy of the previous engine process is ready in the view")
	}
	d = newDriver()
	load = d.openLoadOrder(t)
	beforeLoad := d.now
	d.feed(done(load, "one"))
	d.index("one", beforeLoad)
	if d.readyCount() != 1 {
		t.Error("an index read before the load was complete removed the replica")
	}
	d.feed(done(load, "one"))
	d.index("two", d.now)
	d.index("one", beforeLoad, load.ID)
	if d.readyCount() != 0 || d.view.Upstreams[0].Incarnation != "two" {
		t.Error("an old index was applied after a newer one")
	}
	d = newDriver()
	d.feed(placement.PreviousView{View: placement.View{Token: 1, Seq: 9, Upstreams: []placement.UpstreamView{
		{Pool: "p", Upstream: "u0", Incarnation: "two", RampLeft: 20 * time.Second}}}})
	d.feed(placement.LeaseAcquired{Token: 2})
	d.feed(placement.RowsRead{Rows: []placement.StoredRow{{Pool: "p", ID: "1-1", Revision: 2, Row: placement.Row{Model: "m0",
		Upstream: "u0", Address: "127.0.0.1:1000", Incarnation: "one", State: placement.RowLoaded, Token: 1, MemoryMB: 1000}}}})
	if d.readyCount() != 0 {
		t.Error("a replica of a previous incarnation is ready in the view")
	}
	if u := d.view.Upstreams; len(u) != 1 || u[0].RampLeft < 19*time.Second || u[0].RampLeft > 20*time.Second {
		t.Errorf("the ramp-up does not continue, upstreams of the view: %+v", u)
	}
}
