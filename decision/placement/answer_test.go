package placement_test

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
)

// driver feeds a planner by hand, for orders of events that are rare.
type driver struct {
	*placement.Planner
	now  time.Time
	view placement.View
	last map[string]placement.Action // newest action by type
}

func drive() *driver {
	d := &driver{Planner: placement.New(placement.Config{}), now: time.Unix(0, 0), last: map[string]placement.Action{}}
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
			d.last["write"] = a
		case placement.SendLoad:
			d.last["load"] = a
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

// loading brings the planner to an open load order.
func (d *driver) loading(t *testing.T) placement.SendLoad {
	d.feed(placement.LeaseAcquired{Token: 1})
	d.feed(placement.RowsRead{})
	d.index("one", d.now)
	d.feed(placement.DemandReported{Instance: "i", Demands: []placement.Demand{waiting("m0", "large", 1, time.Minute)}})
	w, _ := d.last["write"].(placement.WriteRow)
	d.feed(placement.RowWritten{Pool: "p", ID: w.ID, Txn: w.Txn, Result: placement.WriteApplied})
	load, ok := d.last["load"].(placement.SendLoad)
	if !ok {
		t.Fatal("no load order was sent")
	}
	return load
}

func (d *driver) offered() int {
	d.feed(placement.Tick{})
	d.feed(placement.Tick{})
	return len(readyIn(d.view, "m0"))
}

// Guards against answers that cross: what an engine said before it restarted,
// or before the load was complete, does not count afterwards.
func TestCrossedAnswers(t *testing.T) {
	done := func(l placement.SendLoad, incarnation string) placement.OrderAnswered {
		return placement.OrderAnswered{Pool: "p", ID: l.ID, Attempt: l.Attempt, Outcome: placement.OrderDone, Incarnation: incarnation}
	}
	d := drive()
	load := d.loading(t)
	d.index("two", d.now)
	d.feed(done(load, "one"))
	if d.offered() != 0 {
		t.Error("a copy of the former process is offered")
	}
	d = drive()
	load = d.loading(t)
	early := d.now
	d.feed(done(load, "one"))
	d.index("one", early)
	if d.offered() != 1 {
		t.Error("an index from before the load ended has voided the replica")
	}
	d.feed(done(load, "one"))
	d.index("two", d.now)
	d.index("one", early, load.ID)
	if d.offered() != 0 || d.view.Upstreams[0].Incarnation != "two" {
		t.Error("an old index counts after a newer one")
	}
	d = drive()
	d.feed(placement.PreviousView{View: placement.View{Token: 1, Seq: 9, Upstreams: []placement.UpstreamView{
		{Pool: "p", Upstream: "u0", Incarnation: "two", RampLeft: 20 * time.Second}}}})
	d.feed(placement.LeaseAcquired{Token: 2})
	d.feed(placement.RowsRead{Rows: []placement.StoredRow{{Pool: "p", ID: "1-1", Revision: 2, Row: placement.Row{Model: "m0",
		Upstream: "u0", Address: "127.0.0.1:1000", Incarnation: "one", State: placement.RowLoaded, Token: 1, MemoryMB: 1000}}}})
	if d.offered() != 0 {
		t.Error("a replica of a former incarnation is offered")
	}
	if u := d.view.Upstreams; len(u) != 1 || u[0].RampLeft < 19*time.Second || u[0].RampLeft > 20*time.Second {
		t.Errorf("the ramp does not continue: %+v", u)
	}
}
