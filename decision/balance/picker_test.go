package balance

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func pool(kind catalog.Kind, n, concurrency int) *catalog.Pool {
	p := &catalog.Pool{Name: "p", Kind: kind}
	for i := range n {
		p.Upstreams = append(p.Upstreams, catalog.Upstream{Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: fmt.Sprintf("dc%d", i%3), Concurrency: concurrency})
	}
	return p
}

// rampedPicker returns a picker whose upstreams have completed their ramp at
// epoch.
func rampedPicker(kind catalog.Kind, n, routes int) *Picker {
	p := New(Config{Self: "a"})
	p.SetMembers([]string{"a"})
	p.SetPool(epoch.Add(-time.Hour), pool(kind, n, 4), routes)
	return p
}

// Guards against all instances together sending a restarted upstream more
// requests than its allowance, also when they detect the restart at different
// times.
func TestRampSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]catalog.Kind{catalog.Engine, catalog.Service}).Draw(t, "kind")
		concurrency := rapid.IntRange(1, 40).Draw(t, "concurrency")
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		ids := make([]string, n)
		for i := range ids {
			ids[i] = fmt.Sprint("instance", i)
		}
		pickers, tickets, noticedAt := make([]*Picker, n), make([][]*Ticket, n), make([]time.Time, n)
		for i := range pickers {
			p := New(Config{Self: ids[i]})
			p.SetMembers(ids)
			p.SetPool(epoch.Add(-time.Hour), pool(kind, 1, concurrency), 1)
			noticedAt[i] = epoch.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "notice")) * time.Millisecond)
			if rapid.Bool().Draw(t, "by incarnation") {
				p.RecordIncarnation(epoch.Add(-time.Minute), "u0", "old", epoch.Add(-time.Minute))
				p.RecordIncarnation(noticedAt[i], "u0", "new", noticedAt[i])
			} else {
				p.SuspectRestart(noticedAt[i], "u0")
			}
			pickers[i] = p
		}
		for now := epoch; now.Before(epoch.Add(DefaultRamp)); now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond) {
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			if now.Before(noticedAt[i]) {
				continue
			}
			if len(tickets[i]) > 0 && rapid.IntRange(0, 3).Draw(t, "finish") == 0 {
				kind := rapid.SampledFrom([]Kind{Neutral, Success, Success, Broken}).Draw(t, "kind")
				pickers[i].Finish(now, tickets[i][0], Result{Kind: kind})
				tickets[i] = tickets[i][1:]
			} else if d := pickers[i].Pick(now, Request{}); d.OK() {
				tickets[i] = append(tickets[i], pickers[i].Start(now, d.Upstream))
			} else if d.RetryAfter <= 0 && d.Reason == Ramping {
				t.Fatal("ramping upstream refused without RetryAfter")
			}
			sum, bound := 0, rampAllowance(concurrency, now.Sub(epoch), DefaultRamp)
			for j := range pickers {
				sum += pickers[j].InFlight("u0")
			}
			if kind == catalog.Engine {
				bound = 1
			}
			if sum > bound {
				t.Fatalf("got %d requests after %s, want at most %d", sum, now.Sub(epoch), bound)
			}
		}
	})
}

// Guards against satisfying TestRampSum by sending too little: during the ramp
// the instances must use the whole allowance.
func TestRampIsUsed(t *testing.T) {
	ids, sum := []string{"a", "b", "c"}, 0
	for _, id := range ids {
		p := New(Config{Self: id})
		p.SetMembers(ids)
		p.SetPool(epoch, pool(catalog.Service, 1, 16), 1)
		now := epoch.Add(DefaultRamp / 2)
		for d := p.Pick(now, Request{}); d.OK(); d = p.Pick(now, Request{}) {
			p.Start(now, d.Upstream)
			sum++
		}
	}
	if want := rampAllowance(16, DefaultRamp/2, DefaultRamp); sum != want {
		t.Fatalf("got %d requests halfway through the ramp, want %d", sum, want)
	}
}

// Guards against exceeding an allotment, and against applying it after the
// process for which it was made has ended.
func TestAllotments(t *testing.T) {
	fill := func(p *Picker, now time.Time) (n int) {
		for d := p.Pick(now, Request{}); d.OK(); d = p.Pick(now, Request{}) {
			p.Start(now, d.Upstream)
			n++
		}
		return n
	}
	for _, c := range []struct {
		name string
		act  func(*Picker)
		want int
	}{
		{"new without allotment", func(p *Picker) {}, 1},
		{"allotment", func(p *Picker) { p.SetAllotments(epoch, []Allotment{{"u0", "x", 3}}) }, 3},
		{"allotment of 0", func(p *Picker) { p.SetAllotments(epoch, []Allotment{{"u0", "x", 0}}) }, 0},
		{"allotment above the concurrency", func(p *Picker) { p.SetAllotments(epoch, []Allotment{{"u0", "x", 99}}) }, 4},
		{"other incarnation", func(p *Picker) {
			p.SetAllotments(epoch, []Allotment{{"u0", "x", 3}})
			p.RecordIncarnation(epoch, "u0", "y", epoch)
		}, 1},
		{"suspected", func(p *Picker) {
			p.SetAllotments(epoch, []Allotment{{"u0", "x", 3}})
			p.SuspectRestart(epoch, "u0")
		}, 1},
		{"suspicion refuted", func(p *Picker) {
			p.SetAllotments(epoch, []Allotment{{"u0", "x", 3}})
			p.SuspectRestart(epoch, "u0")
			p.RecordIncarnation(epoch, "u0", "x", epoch)
		}, 3},
		{"response to a request sent before the suspicion", func(p *Picker) {
			p.SetAllotments(epoch, []Allotment{{"u0", "x", 3}})
			p.SuspectRestart(epoch.Add(2*time.Millisecond), "u0")
			p.RecordIncarnation(epoch.Add(3*time.Millisecond), "u0", "x", epoch.Add(time.Millisecond))
		}, 1},
		{"first incarnation seen after a broken connection", func(p *Picker) {
			p.byName["u0"].ramp.start = epoch.Add(-time.Hour)
			p.SuspectRestart(epoch, "u0")
			p.RecordIncarnation(epoch, "u0", "x", epoch)
		}, 1},
		{"view with a new incarnation", func(p *Picker) {
			p.RecordRunningSince("u0", "w", epoch.Add(-time.Hour))
			p.SetAllotments(epoch, []Allotment{{"u0", "x", 2}})
		}, 2},
		{"view with an earlier incarnation", func(p *Picker) {
			p.RecordIncarnation(epoch, "u0", "w", epoch)
			p.RecordIncarnation(epoch, "u0", "x", epoch)
			p.SetAllotments(epoch, []Allotment{{"u0", "w", 3}})
		}, 1},
		{"allotment without incarnation", func(p *Picker) { p.SetAllotments(epoch, []Allotment{{"u0", "", 3}}) }, 1},
		{"expired suspicion", func(p *Picker) {
			p.SuspectRestart(epoch.Add(-DefaultRamp), "u0")
			p.SetAllotments(epoch, []Allotment{{"u0", "x", 3}})
		}, 3},
		{"not a member", func(p *Picker) { p.SetMembers([]string{"b"}) }, 0},
		{"running for long", func(p *Picker) { p.RecordRunningSince("u0", "x", epoch.Add(-time.Hour)) }, 4},
	} {
		p := New(Config{Self: "a"})
		p.SetMembers([]string{"a"})
		p.SetPool(epoch, pool(catalog.Engine, 1, 4), 1)
		c.act(p)
		if got := fill(p, epoch.Add(time.Second)); got != c.want {
			t.Errorf("%s: got %d requests, want %d", c.name, got, c.want)
		}
	}
}

// Guards against selecting an ineligible upstream, and against a Decision with a
// missing or wrong refusal reason.
func TestEligibility(t *testing.T) {
	start := func(name string, n int) func(*Picker) {
		return func(p *Picker) {
			for range n {
				p.Start(epoch, name)
			}
		}
	}
	disabled := pool(catalog.Service, 2, 4)
	disabled.DisabledDataCentres = []string{"dc0"}
	leaving := pool(catalog.Service, 2, 4)
	leaving.Upstreams[0].Leaving = true
	for _, c := range []struct {
		name   string
		act    func(*Picker)
		r      Request
		reason Reason // why u0 is refused
	}{
		{"data centre", func(p *Picker) { p.SetPool(epoch, disabled, 1) }, Request{}, DataCentreDisabled},
		{"leaving by edit", func(p *Picker) { p.SetPool(epoch, leaving, 1) }, Request{}, Leaving},
		{"leaving by report", func(p *Picker) { p.SetLeaving(epoch, "u0", true) }, Request{}, Leaving},
		{"back again", func(p *Picker) {
			p.SetLeaving(epoch, "u0", true)
			p.SetLeaving(epoch, "u0", false)
			p.Start(epoch, "u0")
		}, Request{}, Ramping},
		{"tried", func(p *Picker) {}, Request{Tried: []string{"u0"}}, AlreadyTried},
		{"replica", func(p *Picker) {}, Request{Models: true, Ready: []string{"u1"}}, ReplicaNotReady},
		{"concurrency", start("u0", 4), Request{}, AtConcurrency},
		{"concurrency by report", func(p *Picker) { p.Report("u0", 4, epoch) }, Request{}, AtConcurrency},
		{"load", start("u0", 2), Request{}, HigherLoad},
		{"reported load", func(p *Picker) { p.Report("u0", 2, epoch) }, Request{}, HigherLoad},
	} {
		p := rampedPicker(catalog.Service, 2, 1)
		c.act(p)
		d := p.Pick(epoch, c.r)
		if d.Upstream != "u1" || len(d.Refused) != 1 || d.Refused[0] != (Alternative{"u0", c.reason}) {
			t.Errorf("%s: got upstream %q, refused %v, want u0 refused with %s", c.name, d.Upstream, d.Refused, c.reason)
		}
	}
	p := rampedPicker(catalog.Service, 2, 1)
	p.Report("u0", 400, epoch)
	p.Report("u1", 1, epoch.Add(4*time.Second))
	if d := p.Pick(epoch.Add(6*time.Second), Request{}); d.Upstream != "u0" {
		t.Errorf("a report 6 s old is used: got %+v, want u0", d)
	}
	if d := New(Config{}).Pick(epoch, Request{}); d.OK() || d.Reason != EmptyPool || d.WaitHelps {
		t.Errorf("empty pool: got %+v", d)
	}
}

// Guards against sending prompts with the same prefix to different upstreams,
// which would lose the benefit of their prefix caches.
func TestAffinity(t *testing.T) {
	p := rampedPicker(catalog.Service, 20, 1)
	moved := 0
	for i := range 200 {
		r := Request{Digest: PrefixDigest("m", fmt.Append(nil, "prompt ", i))}
		first := p.Pick(epoch, r).Upstream
		ticket := p.Start(epoch, first)
		second := p.Pick(epoch, r).Upstream
		if first == second {
			t.Fatal("a loaded upstream was selected while the second by affinity was idle")
		}
		p.Finish(epoch, ticket, Result{Kind: Success})
		p.SetLeaving(epoch, "u7", true)
		if p.Pick(epoch, r).Upstream != first {
			moved++
		}
		p.SetPool(epoch.Add(-time.Hour), pool(catalog.Service, 20, 4), 1)
		p.SetLeaving(epoch.Add(-time.Hour), "u7", false)
	}
	if moved > 30 { // about 200/20 belong to u7
		t.Fatalf("got %d of 200 prompts moved when one of 20 upstreams left, want at most 30", moved)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 2600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := rampedPicker(catalog.Service, n, 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d := p.Pick(epoch, Request{Digest: uint64(i)})
				p.Finish(epoch, p.Start(epoch, d.Upstream), Result{Kind: Success})
			}
		})
	}
}

// Guards against a replacement instance applying a ramp to upstreams that have
// been running for long, and against using the age of another incarnation.
func TestAgesOfPeers(t *testing.T) {
	old, now := rampedPicker(catalog.Service, 2, 1), epoch
	for _, name := range []string{"u0", "u1"} {
		old.RecordIncarnation(now, name, "first", now)
	}
	old.RecordIncarnation(now, "u1", "restarted", now)
	fresh := New(Config{Self: "new"})
	fresh.SetMembers([]string{"a", "b", "c", "new"})
	fresh.SetPool(now, pool(catalog.Service, 2, 16), 1)
	for _, a := range old.Ages(now) {
		fresh.RecordRunningSince(a.Upstream, a.Incarnation, now.Add(-a.Age))
	}
	for name, want := range map[string]bool{"u0": true, "u1": false} {
		u := fresh.byName[name]
		limit, _, _ := fresh.limit(now, u)
		if full := limit == u.Concurrency; full != want {
			t.Errorf("%s: got limit %d of %d after RecordRunningSince", name, limit, u.Concurrency)
		}
	}
}
