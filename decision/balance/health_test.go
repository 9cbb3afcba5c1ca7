package balance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

func try(p *Picker, now time.Time, name, route string, kind Kind) {
	p.Finish(now, p.Start(now, name), Result{Kind: kind, Route: route})
}

// Guards against ejecting more than half of the upstreams in service, for any
// sequence of failures and changes of the pool.
func TestEjectsAtMostHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, now := rapid.IntRange(1, 8).Draw(t, "upstreams"), epoch
		p := rampedPicker(catalog.Service, n, rapid.IntRange(1, 3).Draw(t, "routes"))
		most := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("u", rapid.IntRange(0, n-1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 19).Draw(t, "op") {
			case 0:
				edited := pool(catalog.Service, n, 4)
				if rapid.Bool().Draw(t, "disable") {
					edited.DisabledDataCentres = []string{rapid.SampledFrom([]string{"dc0", "dc1", "dc2"}).Draw(t, "dc")}
				}
				p.SetPool(now, edited, 2)
			case 1:
				p.SetLeaving(now, name, rapid.Bool().Draw(t, "leaving"))
			case 2:
				try(p, now, name, "r", Success)
			default:
				try(p, now, name, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "route")), rapid.SampledFrom([]Kind{ConnectFailed, Broken, TimedOut, ErrorAnswer}).Draw(t, "kind"))
			}
			ejected, inService := p.ejections()
			if most = max(most, ejected); 2*ejected > inService {
				t.Fatalf("got %d of %d upstreams ejected, want at most half", ejected, inService)
			}
		}
	})
}

// Guards against an ejection caused by the failures of a single route, and
// against keeping an upstream that fails for all of them.
func TestEjection(t *testing.T) {
	repeat := func(kind Kind, routes ...string) func(*Picker) {
		return func(p *Picker) {
			for _, route := range routes {
				try(p, epoch, "u0", route, kind)
			}
		}
	}
	for _, c := range []struct {
		name    string
		routes  int
		act     func(*Picker)
		ejected bool
	}{
		{"four failures to connect", 2, repeat(ConnectFailed, "a", "a", "a", "a"), false},
		{"five failures to connect", 2, repeat(ConnectFailed, "a", "a", "a", "a", "a"), true},
		{"one failing route", 2, repeat(ErrorAnswer, "a", "a", "a", "a", "a", "a", "a", "a", "a"), false},
		{"one failing route that breaks connections", 2, repeat(Broken, "a", "a", "a", "a", "a", "a", "a"), false},
		{"one failing route and one failure of another", 2, repeat(ErrorAnswer, "a", "a", "a", "a", "a", "a", "b"), false},
		{"two routes fail", 2, repeat(ErrorAnswer, "a", "b", "a", "b", "a"), true},
		{"the only route fails", 1, repeat(ErrorAnswer, "a", "a", "a", "a", "a"), true},
		{"success in between", 1, func(p *Picker) {
			repeat(ErrorAnswer, "a", "a", "a", "a")(p)
			repeat(Success, "a")(p)
			repeat(ErrorAnswer, "a", "a", "a", "a")(p)
		}, false},
		{"one restart breaks many connections", 1, func(p *Picker) {
			var tickets []*Ticket
			for range 9 {
				tickets = append(tickets, p.Start(epoch, "u0"))
			}
			for _, ticket := range tickets {
				p.Finish(epoch.Add(time.Second), ticket, Result{Kind: Broken, Route: "a"})
			}
		}, false},
	} {
		p := rampedPicker(catalog.Service, 2, c.routes)
		c.act(p)
		if got := p.byName["u0"].health.ejected; got != c.ejected {
			t.Errorf("%s: ejected %t, want %t", c.name, got, c.ejected)
		}
	}
}

// Guards against more than one probe in flight at an ejected upstream, against
// ejections whose duration does not grow, and against full load after the first
// successful probe.
func TestProbe(t *testing.T) {
	p := rampedPicker(catalog.Service, 2, 1)
	now := epoch
	only := Request{Tried: []string{"u1"}}
	for range 5 {
		try(p, now, "u0", "a", ConnectFailed)
	}
	for round, length := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second} {
		if d := p.Pick(now.Add(length-1), only); d.OK() || d.Reason != Ejected || d.RetryAfter != 1 {
			t.Fatalf("round %d: before the end of the ejection: got %+v", round, d)
		}
		now = now.Add(length)
		if d := p.Pick(now, only); !d.OK() {
			t.Fatalf("round %d: after the ejection: got %+v, want a probe", round, d)
		}
		probe := p.Start(now, "u0")
		if d := p.Pick(now.Add(time.Minute), only); d.OK() || d.Reason != ProbeInFlight {
			t.Fatalf("round %d: during the probe: got %+v", round, d)
		}
		p.Finish(now, probe, Result{Kind: TimedOut, Route: "a"})
	}
	now = now.Add(40 * time.Second)
	try(p, now, "u0", "a", Success)
	for i, want := range []bool{true, false} {
		d := p.Pick(now, only)
		if d.OK() != want {
			t.Fatalf("request %d after the probe: got %+v", i, d)
		}
		p.Start(now, d.Upstream)
	}
}

// Guards against retries above the budget, which would multiply the load on a
// failing pool, and against wrong retry delays.
func TestBudget(t *testing.T) {
	b, retries := NewBudget(), 0
	for requests := 1; requests <= 1000; requests++ {
		b.Request()
		for b.Retry() {
			retries++
		}
		if bound := firstRetryTokens + requests/10; retries > bound || retries < bound-1 {
			t.Fatalf("got %d retries for %d requests", retries, requests)
		}
	}
	delays := NewBackoff()
	for want := retryDelayFirst; want < retryDelayMax; want *= 2 {
		if got := delays.NextBackOff(); got < want/2 || got > want*3/2+1 {
			t.Fatalf("got delay %s, want %s ±50 %%", got, want)
		}
	}
}
