package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const start = bootclock.Time(time.Hour)

// listed serves what the entries say.
type listed struct{}

func (listed) Models(u *fleet.Upstream) map[string][]string { return u.Models }

func viewOf(upstreams ...*fleet.Upstream) *fleet.View {
	r := fleet.NewRegistry()
	r.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{
		"engine": {Name: "engine", ColdPerSecond: 13, Engine: &fleet.Engine{Slots: 64, KVTokens: 110000}},
		"plain":  {Name: "plain"},
	}})
	for _, u := range upstreams {
		r.SetUpstream(u)
	}
	return r.View()
}

func engine(id string) *fleet.Upstream {
	return &fleet.Upstream{ID: id, Service: "engine", Address: id, DataCentre: "z", Slots: 64, Models: map[string][]string{"m": {"a1"}}}
}

func plain(id string) *fleet.Upstream {
	return &fleet.Upstream{ID: id, Service: "plain", Address: id, DataCentre: "z", Slots: 6}
}

var drafting = Demand{Service: "engine", Model: "m", Prompt: 1460, Tokens: 1630, Session: "s"}

// Guards the spread of a burst: however many requests come at once, no engine's
// memory is filled beyond another's by more than a few of them, and none is
// overcommitted while another has room.
func TestBurstIsSpread(t *testing.T) {
	b := NewBalancer("i", "z")
	v := viewOf(engine("e1"), engine("e2"), engine("e3"))
	for n := range 180 {
		c := b.Pick(start, v, listed{}, drafting)
		if c.Upstream == nil {
			t.Fatalf("request %d: %s", n, c.Reason)
		}
		b.Start(start, c.Upstream, drafting)
	}
	for _, id := range []string{"e1", "e2", "e3"} {
		if n := b.Running(id); n < 55 || n > 65 {
			t.Errorf("%s has %d of 180 requests", id, n)
		}
	}
}

// Guards what a wait is for: each reason tells whether waiting or loading helps.
func TestReasons(t *testing.T) {
	b := NewBalancer("i", "z")
	leaving := engine("e1")
	leaving.Leaving = true
	for name, c := range map[string]struct {
		v    *fleet.View
		d    Demand
		want Reason
	}{
		"unknown service":  {viewOf(engine("e1")), Demand{Service: "other"}, NoUpstream},
		"all leave":        {viewOf(leaving), drafting, NoUpstream},
		"another model":    {viewOf(engine("e1")), Demand{Service: "engine", Model: "n"}, NotLoaded},
		"another adapter":  {viewOf(engine("e1")), Demand{Service: "engine", Model: "m", Adapter: "a2"}, NoAdapter},
		"tried before":     {viewOf(engine("e1")), Demand{Service: "engine", Model: "m", Tried: []string{"e1"}}, AllBusy},
		"tried, once more": {viewOf(engine("e1")), Demand{Service: "engine", Model: "m", Tried: []string{"e1"}, Again: []string{"e1"}}, TriedAgain},
		"another first":    {viewOf(engine("e1"), engine("e2")), Demand{Service: "engine", Model: "m", Tried: []string{"e1"}, Again: []string{"e1"}}, OnlyOne},
		"the only one":     {viewOf(engine("e1")), drafting, OnlyOne},
		"one of several":   {viewOf(engine("e1"), engine("e2")), drafting, LeastLoaded},
		"its own adapter":  {viewOf(engine("e1")), Demand{Service: "engine", Model: "m", Adapter: "a1"}, OnlyOne},
		"one leaves":       {viewOf(leaving, engine("e2")), drafting, OnlyOne},
		"no desired state": {fleet.NewRegistry().View(), drafting, NoUpstream},
	} {
		if got := b.Pick(start, c.v, listed{}, c.d); got.Reason != c.want {
			t.Errorf("%s: %s, want %s", name, got.Reason, c.want)
		}
	}
}

// Guards a cold upstream against more than it bears from all instances
// together, whichever way a burst falls on them.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		// The sum at 60 instances was exceeded first by a hunt of vanua-lots-grown
		// (deploy/days/mixed-1.toml, seed 333512859913): each sent one at once.
		const bound = 13*1.5 + 5.0
		members := rapid.SampledFrom([]int{1, 8, 60, 300}).Draw(r, "members")
		cold := engine("e1")
		cold.ColdFor = 10000
		v := viewOf(cold)
		balancers := make([]*Balancer, members)
		for i := range balancers {
			balancers[i] = NewBalancer(fmt.Sprint(i), "z")
			balancers[i].Members = members
		}
		var sent []bootclock.Time
		now := start
		for range rapid.IntRange(100, 600).Draw(r, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(r, "ms")) * time.Millisecond)
			b := balancers[rapid.IntRange(0, members-1).Draw(r, "instance")]
			if c := b.Pick(now, v, listed{}, drafting); c.Upstream != nil {
				b.Start(now, c.Upstream, drafting)
				sent = append(sent, now)
			}
		}
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			if float64(n) > bound {
				r.Fatalf("%d requests in a second", n)
			}
		}
	})
}

// Guards against an upstream that fails its requests while it looks healthy:
// it gets few of them, is tried again, and comes back when it has recovered.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	b, v, now := NewBalancer("i", "z"), viewOf(plain("p1"), plain("p2"), plain("p3")), start
	d := Demand{Service: "plain"}
	var open []func() // a few requests run at once, so that all upstreams are used
	play := func(requests int, failing bool) (toFirst int) {
		for range requests {
			now = now.Add(20 * time.Millisecond)
			if len(open) >= 5 {
				open[0]()
				open = open[1:]
			}
			c := b.Pick(now, v, listed{}, d)
			if c.Upstream == nil {
				t.Fatal(c.Reason)
			}
			ticket, result := b.Start(now, c.Upstream, d), Served
			if c.Upstream.ID == "p1" {
				toFirst++
				if failing {
					result = Failed
				}
			}
			open = append(open, func() { b.Finish(now, ticket, result) })
		}
		return toFirst
	}
	if n := play(500, true); n > 100 {
		t.Errorf("%d of 500 requests went to an upstream that fails all", n)
	}
	now = now.Add(ejectMax)
	if n := play(500, false); n < 50 {
		t.Errorf("%d of 500 requests went to it after it had recovered", n)
	}
}

// Guards against errors that are usual for a service ejecting all its upstreams.
func TestUsualErrorsEjectNobody(t *testing.T) {
	b, v, now := NewBalancer("i", "z"), viewOf(plain("p1"), plain("p2"), plain("p3")), start
	d := Demand{Service: "plain"}
	for n := range 600 {
		now = now.Add(20 * time.Millisecond)
		c := b.Pick(now, v, listed{}, d)
		if c.Eligible != 3 {
			t.Fatalf("request %d: %d of 3 upstreams eligible", n, c.Eligible)
		}
		result := Served
		if n%7 == 0 { // the deployments' look-ups fail at 0.14
			result = Failed
		}
		b.Finish(now, b.Start(now, c.Upstream, d), result)
	}
}

// Guards the counts against requests that end twice, and history against a new
// run under the same ID.
func TestTicketsEndOnce(t *testing.T) {
	b, u := NewBalancer("i", "z"), engine("e1")
	ticket := b.Start(start, u, drafting)
	b.Finish(start, ticket, Served)
	b.Finish(start, ticket, Served)
	if n := b.Running("e1"); n != 0 {
		t.Errorf("%d requests are left", n)
	}
	old := b.Start(start, u, drafting)
	again := engine("e1")
	again.Started = 7
	b.Start(start, again, drafting)
	b.Finish(start, old, Refused)
	if n := b.Running("e1"); n != 1 {
		t.Errorf("%d requests at the new run, want 1", n)
	}
}

// Guards against a failing upstream that stays in use because those of another
// service fail as well: what is usual is a matter of its own service.
func TestEjectionComparesWithinService(t *testing.T) {
	b := NewBalancer("i", "z")
	engines := []*fleet.Upstream{engine("e1"), engine("e2"), engine("e3")}
	v := viewOf(append(engines, plain("p1"), plain("p2"))...)
	booking := Demand{Service: "plain"}
	for range 20 {
		for _, u := range engines {
			b.Finish(start, b.Start(start, u, drafting), Failed)
		}
	}
	for range 5 {
		b.Finish(start, b.Start(start, plain("p1"), booking), Served)
		b.Finish(start, b.Start(start, plain("p2"), booking), Failed)
	}
	for range 20 {
		if c := b.Pick(start, v, listed{}, booking); c.Upstream == nil || c.Upstream.ID != "p1" {
			t.Fatalf("chosen %v, want p1 while p2 fails", c)
		}
		b.Finish(start, b.Start(start, plain("p1"), booking), Served)
	}
}

// Guards against an upstream that answers nothing and so reports no load: to
// each of many instances it looked idle. Seen on cantaro-pozos-grown, scale-1:
// one of two engines with a model got two thirds of its requests for 8 s and
// served hardly any. Each instance may find out once for itself; when it answers
// again, it gets its part of the requests back.
func TestSilentUpstreamIsNotTakenForIdle(t *testing.T) {
	const (
		instances, requests = 85, 500 // for 20 s, and as many after it has recovered
		gap                 = 40 * time.Millisecond
		patience            = 2400 * time.Millisecond // after which callers leave
		first, whole        = 100 * time.Millisecond, 500 * time.Millisecond
	)
	type run struct {
		b     *Balancer
		t     *Ticket
		since bootclock.Time
	}
	v, now := viewOf(engine("e1"), engine("e2")), start
	balancers := make([]*Balancer, instances)
	for i := range balancers {
		balancers[i] = NewBalancer(fmt.Sprint(i), "z")
	}
	var silent, served []run
	toSilent, late := 0, 0
	for n := range 2 * requests {
		now = now.Add(gap)
		for len(silent) > 0 && now.Sub(silent[0].since) >= patience {
			silent[0].b.Finish(now, silent[0].t, Neutral)
			silent = silent[1:]
		}
		for len(served) > 0 && now.Sub(served[0].since) >= whole {
			served[0].b.Finish(now, served[0].t, Served)
			served = served[1:]
		}
		for _, r := range served {
			if now.Sub(r.since) >= first {
				r.t.First(now)
			}
		}
		b, d := balancers[(n*37)%instances], drafting
		d.Session = fmt.Sprint(n % 80)
		u := b.Pick(now, v, listed{}, d).Upstream
		r := run{b, b.Start(now, u, d), now}
		switch {
		case u.ID == "e1" && n < requests:
			toSilent++
			silent = append(silent, r)
		default:
			served = append(served, r)
		}
		if u.ID == "e1" && n >= requests*3/2 {
			late++
		}
	}
	if toSilent > instances {
		t.Errorf("%d of %d requests went to an upstream that answers nothing, want one an instance at most", toSilent, requests)
	}
	if late < requests/8 {
		t.Errorf("%d of %d requests go to it 10 s after it has recovered, want a quarter or more", late, requests/2)
	}
}
