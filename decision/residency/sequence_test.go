package residency

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// driver steps a planner with one engine through time.
type driver struct {
	t   *testing.T
	p   *Planner
	u   *upstreamSim
	now bootclock.Time
}

// adapter asks for an adapter until it is served, at most for a time, and
// returns how long that took.
func (d *driver) adapter(model, adapter string, limit time.Duration) time.Duration {
	d.t.Helper()
	for began := d.now; ; d.now = d.now.Add(20 * time.Millisecond) {
		if d.now.Sub(began) > limit {
			d.t.Fatalf("%s/%s is not served after %s; the engine has accepted %d orders, %d are assumed",
				model, adapter, limit, d.u.sequence, d.p.hosts[d.u.id].sequence)
		}
		d.u.advance(d.now)
		for _, ask := range d.p.Unsure(d.now) {
			d.p.Reported(d.now, d.now, ask.ID, ask.Started, d.u.report(d.now, 300*time.Millisecond))
		}
		step := d.p.Adapter(d.now, service, model, adapter)
		if step.Loaded {
			return d.now.Sub(began)
		}
		if step.Order != nil {
			d.p.Sent(d.now, *step.Order, d.u.accept(d.now, *step.Order))
		}
	}
}

// Guards against an engine that takes no order any more: the unload of an
// adapter that is gone already is answered like one that was carried out, but
// it does not advance the engine's number of orders. Counted as if it did, all
// later orders were in conflict, 34 of them in 13 s, and whatever only that
// engine could serve waited until it was given up.
func TestUnloadOfAnAbsentAdapterDoesNotBlockTheEngine(t *testing.T) {
	now := bootclock.Time(time.Hour)
	p, u, _ := sceneOf(t, now)
	d := &driver{t, p, u, now}
	for _, a := range []string{"a0", "a1", "a2"} {
		d.adapter("m0", a, time.Second)
	}
	d.now = d.now.Add(2 * adapterIdle)
	u.models["m0"] = []string{"a1", "a2"} // a0 went without a trace in the ledger
	d.adapter("m0", "a3", 3*time.Second)
	d.now = d.now.Add(2 * adapterIdle)
	d.adapter("m0", "a4", 3*time.Second)
}

// Guards against an unload that is ordered twice because a report from before
// the first one still lists the adapter.
func TestLateReportDoesNotBringAnAdapterBack(t *testing.T) {
	now := bootclock.Time(time.Hour)
	p, u, _ := sceneOf(t, now)
	d := &driver{t, p, u, now}
	for _, a := range []string{"a0", "a1", "a2"} {
		d.adapter("m0", a, time.Second)
	}
	d.now = d.now.Add(2 * adapterIdle)
	u.advance(d.now)
	before := u.current()
	d.adapter("m0", "a3", time.Second)
	p.Reported(d.now, d.now.Add(-100*time.Millisecond), u.id, u.started, before)
	if got := len(p.hosts[u.id].models["m0"].adapters); got != 3 {
		t.Errorf("%d adapters are assumed, 3 are loaded", got)
	}
}
