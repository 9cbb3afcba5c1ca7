package autoscale

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards against a day on which models that pay for a place find none: 153 places, 100
// models at first and 200 from 60 s on. The upstreams for all of them are ordered at once.
func TestModelsThatDoNotFitGetUpstreams(t *testing.T) {
	s := newSim(t, func(at time.Duration) load {
		if at < time.Minute {
			return load{models: 100, requests: 200}
		}
		return load{models: 200, requests: 300, waiting: 20}
	})
	s.run(time.Minute)
	if len(s.calls) > 0 {
		t.Fatalf("while the models fit: got calls %v, want none", s.calls)
	}
	s.run(time.Minute + 4*time.Second)
	if s.total() != 67 {
		t.Errorf("4 s after the change: got %d upstreams ordered, want 67", s.total())
	}
	s.run(10 * time.Minute)
	if s.total() != 67 || len(s.calls) > 3 {
		t.Errorf("got %d upstreams with %d calls, want 67 with one call a data centre", s.total(), len(s.calls))
	}
	for dataCentre, site := range s.sites {
		if site.desired < 22 || site.desired > 23 {
			t.Errorf("data centre %s: got %d upstreams, want an even share", dataCentre, site.desired)
		}
	}
}

// Guards against paying for upstreams that the weight store can't fill: 350 models are
// asked for at once, and the store loads one a second.
func TestNoMoreUpstreamsThanCanBeFilled(t *testing.T) {
	s := newSim(t, func(at time.Duration) load {
		if at < time.Minute {
			return load{models: 100}
		}
		return load{models: 350}
	})
	s.loads = 1
	s.run(time.Minute + 5*time.Second)
	if got, want := s.total(), 3*simScale.Minimum+10; got != want {
		t.Errorf("got %d upstreams ordered, want %d", got, want)
	}
	s.run(3 * time.Minute)
	if got := s.total(); got != 117 {
		t.Errorf("later: got %d upstreams ordered, want 117", got)
	}
}

// Guards against orders for a load that is gone before the upstreams have booted: bursts
// of 1.5 s, every 20 s.
func TestShortBurstsOrderNothing(t *testing.T) {
	s := newSim(t, func(at time.Duration) load {
		if at%(20*time.Second) < 1500*time.Millisecond {
			return load{models: 300, requests: 900, waiting: 200}
		}
		return load{models: 100, requests: 100}
	})
	s.run(10 * time.Minute)
	if len(s.calls) > 0 {
		t.Errorf("got calls %v, want none", s.calls)
	}
}

// Guards against upstreams that are paid for long after a burst of two minutes, and
// against giving them up while the demand may come back or in one step.
func TestUpstreamsOfABurstAreGivenUpSlowly(t *testing.T) {
	const begin, end = time.Minute, 3 * time.Minute
	s := newSim(t, func(at time.Duration) load {
		if at >= begin && at < end {
			return load{models: 250, requests: 300, waiting: 10}
		}
		return load{models: 100, requests: 100}
	})
	s.run(end + holdTime - time.Second)
	if got := s.total(); got != 84 {
		t.Errorf("a little before the hold time is over: got %d upstreams, want 84", got)
	}
	s.run(end + holdTime + 2*time.Second)
	if got := s.total(); got <= 60 || got >= 84 {
		t.Errorf("after the hold time: got %d upstreams, want one step down", got)
	}
	s.run(end + 4*time.Minute)
	if got := s.total(); got != 51 {
		t.Errorf("4 minutes after the burst: got %d upstreams, want the minimum", got)
	}
}

// Guards against giving upstreams up while requests that pay wait or are refused, though
// fewer models are asked for.
func TestNothingIsGivenUpWhileRequestsWait(t *testing.T) {
	for name, l := range map[string]load{"waiting": {models: 60, waiting: 1}, "refused": {models: 60, refused: 1}} {
		s := newSim(t, func(at time.Duration) load {
			if at < time.Minute {
				return load{models: 250}
			}
			return l
		})
		s.run(10 * time.Minute)
		if n := s.lowered(0, time.Hour); n > 0 {
			t.Errorf("%s: got %d orders of fewer upstreams, want none", name, n)
		}
	}
}

// Guards against full slots that get no upstreams: 51 upstreams with 12 slots, and 560
// requests, or 480 with 30 refusals a second.
func TestFullSlotsGetUpstreams(t *testing.T) {
	for name, l := range map[string]load{"running": {models: 100, requests: 560}, "refused": {models: 100, requests: 480, refused: 30}} {
		s := newSim(t, constant(l))
		s.run(30 * time.Second)
		want := int(math.Ceil((float64(l.requests) + l.refused*slotTime.Seconds()) / (slotShare * 12)))
		if got := s.total(); got != want {
			t.Errorf("%s: got %d upstreams, want %d", name, got, want)
		}
	}
}

// Guards against numbers that follow a demand that swings like a wave, with periods up to
// the longest hold time. A swing is an order of fewer upstreams after one of more: there
// may be one in calmTime and data centre, which finds out whether the wave is over, and
// two more until the hold time is long enough. A wave within the first hold time makes none.
func TestWavesDoNotMakeTheNumbersOscillate(t *testing.T) {
	for _, period := range []time.Duration{10, 30, 60, 90, 120, 180, 240, 300} {
		period *= time.Second
		s := newSim(t, func(at time.Duration) load {
			return load{models: 220 + int(80*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()))}
		})
		const length = 80 * time.Minute
		s.run(length)
		allowed := 0
		if period > holdTime {
			allowed = 2 + int(length/calmTime)
		}
		for _, dataCentre := range []string{"a", "b", "c"} {
			if n := s.swings(dataCentre); n > allowed {
				t.Errorf("period %s, data centre %s: got %d swings in %s, want at most %d", period, dataCentre, n, length, allowed)
			}
		}
	}
}

// Guards against orders for engines that crash and start again within seconds: one after
// another, each away for 3 s.
func TestCrashesThatEndSoonOrderNothing(t *testing.T) {
	s := newSim(t, constant(load{models: 150, requests: 300}))
	for s.at() < 10*time.Minute {
		s.sites["b"].unusable = 0
		if s.at()%(5*time.Second) < 3*time.Second {
			s.sites["b"].unusable = 1
		}
		s.step()
	}
	if len(s.calls) > 0 {
		t.Errorf("got calls %v, want none", s.calls)
	}
}

// Guards against engines that the platform takes away for good, and replaces only when
// they are ordered again: five of a data centre leave at short notice.
func TestUpstreamsTakenAwayAreOrderedAgain(t *testing.T) {
	s := newSim(t, constant(load{models: 150, requests: 300}))
	s.run(time.Minute)
	s.sites["b"].present, s.sites["b"].desired = 12, 12
	s.run(time.Minute + lossTime + simScale.BootTime + time.Second)
	if got := s.sites["b"].present; got != 17 || len(s.calls) != 1 {
		t.Errorf("got %d engines in place after %d calls, want 17 after one", got, len(s.calls))
	}
	s.run(10 * time.Minute)
	if len(s.calls) != 1 {
		t.Errorf("got %d calls in all, want one", len(s.calls))
	}
}

// Guards against a data centre whose upstreams end after it was taken out of service, and
// that is forgotten to be out, or in which they are ordered again.
func TestNothingIsOrderedWhereAllIsOut(t *testing.T) {
	s := newSim(t, constant(load{models: 180}))
	s.run(time.Minute)
	s.sites["c"].evacuated, s.sites["c"].stuck = true, true
	s.run(time.Minute + 10*time.Second)
	s.sites["c"].present = 0
	n := len(s.calls)
	s.run(2 * time.Minute)
	if a, b := s.sites["a"].desired, s.sites["b"].desired; a != 30 || b != 30 || len(s.calls) != n {
		t.Errorf("got %d and %d upstreams with %d more calls, want 30 and 30 with none", a, b, len(s.calls)-n)
	}
}

// Guards against a lasting loss of capacity: ten engines of one data centre don't come
// back. The platform is told the number once more, the others take over the load, and what
// they have ordered for it is given up after the loss has ended.
func TestLostUpstreamsAreMadeUpForElsewhere(t *testing.T) {
	s := newSim(t, constant(load{models: 150, requests: 300}))
	s.run(time.Minute)
	s.sites["b"].unusable, s.sites["b"].present, s.sites["b"].stuck = 0, 7, true
	s.run(2 * time.Minute)
	if got := s.sites["a"].present + s.sites["b"].present + s.sites["c"].present; got < 50 {
		t.Errorf("got %d upstreams in place, want 50", got)
	}
	repeated := false
	for _, c := range s.calls {
		repeated = repeated || c.call.DataCentre == "b" && c.call.Number == 17 && c.call.Reason == "not_in_place"
	}
	if !repeated {
		t.Errorf("got calls %v, want the number of data centre b again", s.calls)
	}
	s.sites["b"].stuck = false
	s.run(10 * time.Minute)
	if got := s.total(); got != 51 {
		t.Errorf("after the loss: got %d upstreams, want 51", got)
	}
}

// Guards against orders in a data centre that is taken out of service; the others take
// over its part at once.
func TestDataCentreTakenOutIsMadeUpForElsewhere(t *testing.T) {
	s := newSim(t, constant(load{models: 180}))
	s.run(time.Minute)
	if got := s.total(); got != 60 {
		t.Fatalf("got %d upstreams, want 60", got)
	}
	s.sites["c"].evacuated = true
	s.run(time.Minute + 5*time.Second)
	if a, b, c := s.sites["a"].desired, s.sites["b"].desired, s.sites["c"].desired; a != 30 || b != 30 || c != 20 {
		t.Errorf("got %d, %d and %d upstreams, want 30, 30 and 20", a, b, c)
	}
	s.sites["c"].evacuated = false
	s.run(10 * time.Minute)
	if got := s.total(); got != 60 {
		t.Errorf("back in service: got %d upstreams, want 60", got)
	}
}

// Guards against decisions on a state that is not known: during an outage of the store
// nothing is decided, afterwards the demand seems low until the instances have reported,
// and some have not for long. No upstream is given up for that.
func TestUnknownDemandGivesNothingUp(t *testing.T) {
	high := load{models: 250, requests: 300}
	s := newSim(t, func(at time.Duration) load {
		if at >= 3*time.Minute && at < 7*time.Minute {
			return load{}
		}
		return high
	})
	s.blind = func(at time.Duration) bool { return at >= 3*time.Minute && at < 5*time.Minute }
	s.run(5 * time.Minute)
	before := s.total()
	s.partial = true
	s.run(7 * time.Minute)
	s.partial = false
	s.run(15 * time.Minute)
	if n := s.lowered(0, time.Hour); n > 0 || s.total() != before {
		t.Errorf("got %d orders of fewer upstreams, %d in the end, want none and %d", n, s.total(), before)
	}
}

// Guards against a new leader that orders again what is in place, or fewer upstreams than
// its predecessor has just ordered while they boot, be the numbers known to it or not.
func TestNewLeaderGoesOnWithTheNumbersInForce(t *testing.T) {
	for _, known := range []bool{true, false} {
		s := newSim(t, constant(load{models: 240, requests: 300}))
		for len(s.calls) < 3 {
			s.step()
		}
		before, total := len(s.calls), s.total()
		var ordered []Ordered
		if known {
			ordered = s.d.Ordered()
		}
		// The new leader sees little of the demand at first.
		leaderSince := s.at()
		s.load = func(at time.Duration) load {
			if at < leaderSince+8*time.Second {
				return load{models: 180}
			}
			return load{models: 240, requests: 300}
		}
		s.d = New(s.now, 1000, ordered)
		s.run(leaderSince + 5*time.Minute)
		if len(s.calls) != before || s.total() != total {
			t.Errorf("known %v: got calls %v of the new leader, want none", known, s.calls[before:])
		}
	}
}

// Guards against calls without a response that are dropped, or repeated as fast as
// possible, or with an old number: no call is answered for a minute, and the demand grows.
func TestUnansweredCallsAreRepeated(t *testing.T) {
	s := newSim(t, func(at time.Duration) load {
		if at < 40*time.Second {
			return load{models: 180}
		}
		return load{models: 240}
	})
	s.down = func(at time.Duration) bool { return at < time.Minute }
	s.run(time.Minute)
	var numbers []int
	for _, c := range s.calls {
		if c.call.DataCentre == "a" {
			numbers = append(numbers, c.call.Number)
		}
	}
	if len(numbers) < 6 || len(numbers) > 14 || numbers[0] != 20 || numbers[1] != 20 || numbers[len(numbers)-1] != 27 {
		t.Errorf("got numbers %v for data centre a, want 20 repeated some times, then 27", numbers)
	}
	s.run(time.Minute + maxRepeat + time.Second)
	if got := s.total(); got != 80 {
		t.Errorf("after the outage: got %d upstreams, want 80", got)
	}
	n := len(s.calls)
	s.run(5 * time.Minute)
	if len(s.calls) != n {
		t.Errorf("got calls %v after the numbers were accepted, want none", s.calls[n:])
	}
}

// Guards against two calls for one subject on the way at the same time, of which the older
// one may be carried out last.
func TestOneCallForASubjectAtATime(t *testing.T) {
	s := newSim(t, constant(load{models: 180}))
	for s.at() < 20*time.Second {
		s.now = s.now.Add(simTick)
		for _, c := range s.d.Decide(s.now, s.input()) {
			s.calls = append(s.calls, simCall{call: c})
		}
		s.load = constant(load{models: 180 + int(s.at().Seconds())*3})
	}
	if len(s.calls) != 3 {
		t.Errorf("got %d calls without a recorded outcome, want one for each of 3 data centres", len(s.calls))
	}
}

// Guards against calls that exceed the share of the platform's limit, when many services
// need upstreams at the same time.
func TestCallsAreSpacedOut(t *testing.T) {
	in := Input{Services: map[string]Service{}, Complete: true}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10", "e11", "e12"} {
		sites := map[string]Site{}
		for _, dataCentre := range []string{"a", "b", "c", "d"} {
			sites[dataCentre] = Site{Present: 2, Usable: 2}
		}
		in.Services[name] = Service{Scale: fleet.Scale{Minimum: 1, Maximum: 9}, Sites: sites, Places: 60, PlacesPerUpstream: 3, LoadsPerSecond: 10}
	}
	now := bootclock.Time(time.Hour)
	d, calls := New(now, 4, nil), 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		calls += len(d.Decide(now, in))
	}
	if want := 4*8 + 1; calls > want || calls < want-5 {
		t.Errorf("got %d calls in the 8 s after the settling time, want %d", calls, want)
	}
}

// Guards against a number outside a range that has changed.
func TestNumbersFollowTheRange(t *testing.T) {
	s := newSim(t, constant(load{models: 100}))
	s.run(30 * time.Second)
	s.scale = fleet.Scale{Minimum: 20, Maximum: 22, BootTime: 8 * time.Second}
	s.run(35 * time.Second)
	if got := s.total(); got != 60 {
		t.Errorf("higher minimum: got %d upstreams, want 60", got)
	}
	s.scale = fleet.Scale{Minimum: 1, Maximum: 15, BootTime: 8 * time.Second}
	s.run(40 * time.Second)
	if got := s.total(); got != 45 {
		t.Errorf("lower maximum: got %d upstreams, want 45", got)
	}
}

// Guards against violations of the rules under any sequence of loads, losses and outages:
// numbers within the range, no fewer upstreams while requests wait or within a minute after
// more were ordered.
func TestRulesHoldUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		current := load{models: 100}
		s := newSim(t, func(time.Duration) load { return current })
		down, blind := false, false
		s.down = func(time.Duration) bool { return down }
		s.blind = func(time.Duration) bool { return blind }
		raised := map[string]time.Duration{}
		for range rapid.IntRange(1, 40).Draw(rt, "phases") {
			current = load{
				models: rapid.IntRange(0, 400).Draw(rt, "models"), requests: rapid.IntRange(0, 1500).Draw(rt, "requests"),
				waiting: rapid.SampledFrom([]int{0, 0, 5}).Draw(rt, "waiting"),
			}
			down, blind = rapid.IntRange(0, 4).Draw(rt, "down") == 0, rapid.IntRange(0, 4).Draw(rt, "blind") == 0
			s.partial = rapid.IntRange(0, 4).Draw(rt, "partial") == 0
			site := s.sites[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "site")]
			site.stuck, site.evacuated = rapid.Bool().Draw(rt, "stuck"), rapid.IntRange(0, 3).Draw(rt, "evacuated") == 0
			site.present = max(0, site.present-rapid.IntRange(0, 10).Draw(rt, "lost"))
			if rapid.IntRange(0, 5).Draw(rt, "new leader") == 0 {
				s.d = New(s.now, 1000, s.d.Ordered())
			}
			n := len(s.calls)
			s.run(s.at() + time.Duration(rapid.IntRange(1, 120).Draw(rt, "seconds"))*time.Second)
			for _, c := range s.calls[n:] {
				if c.call.Number < simScale.Minimum || c.call.Number > simScale.Maximum {
					rt.Fatalf("at %s: ordered %d, want a number in the range", c.at, c.call.Number)
				}
				if c.call.Reason == "low_use" && current.waiting > 0 {
					rt.Fatalf("at %s: fewer upstreams ordered while requests wait", c.at)
				}
				if at, ok := raised[c.call.DataCentre]; ok && c.call.Reason == "low_use" && c.at-at < time.Minute {
					rt.Fatalf("at %s: fewer upstreams ordered %s after more", c.at, c.at-at)
				}
				if c.call.Reason == "models" || c.call.Reason == "slots" {
					raised[c.call.DataCentre] = c.at
				}
			}
		}
	})
}
