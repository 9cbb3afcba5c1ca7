package admission

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const ms = time.Millisecond

// start is not 0, which means that nothing has happened yet.
const start = bootclock.Time(time.Hour)

func newTestLedger(slots int, engines ...string) *Ledger {
	l := NewLedger()
	capacities := map[string]Capacity{}
	for _, id := range engines {
		capacities[id] = Capacity{Slots: slots, KVTokens: 100_000}
	}
	l.Observe(capacities)
	return l
}

func claim(now bootclock.Time, priority int, onTime, latest time.Duration, engines ...string) Claim {
	return Claim{Instance: "a", Upstreams: engines, Priority: priority, Prompt: 1000, Tokens: 1200, OnTime: now.Add(onTime), Latest: now.Add(latest)}
}

// engine is a minimal engine: it reads prompts one after the other and runs a number of
// requests, each for a fixed time after its prompt has been read.
type engine struct {
	slots     int
	readUntil bootclock.Time
	ends      []bootclock.Time // of the requests in its slots, in order
}

const (
	runTime  = 2500 * ms
	readTime = 50 * ms // of the prompts of these tests
)

// run returns when the first event of a request sent at a time comes.
func (e *engine) run(now bootclock.Time) bootclock.Time {
	begin := now
	if len(e.ends) >= e.slots {
		begin = max(now, e.ends[len(e.ends)-e.slots])
	}
	e.readUntil = max(e.readUntil, begin).Add(readTime)
	e.ends = append(e.ends, e.readUntil.Add(runTime))
	return e.readUntil
}

func (e *engine) running(now bootclock.Time) int {
	n := 0
	for _, end := range e.ends {
		if end.After(now) {
			n++
		}
	}
	return n
}

// burst plays requests for one model on two engines at twice the rate that they can run,
// and returns how many first events came within the objective and how many too late for
// callers that leave after patience.
func burst(admit bool, perSecond int) (onTime, late, refused int) {
	const objective, patience, length = 600 * ms, 2400 * ms, 8 * time.Second
	engines := map[string]*engine{"e1": {slots: 32}, "e2": {slots: 32}}
	l := newTestLedger(32, "e1", "e2")
	sent := map[ID]bootclock.Time{}
	serve := func(id string, now, arrived bootclock.Time) {
		switch wait := engines[id].run(now).Sub(arrived); {
		case wait <= objective:
			onTime++
		case wait <= patience:
			late++
		}
	}
	next := start
	for now := start; now < start.Add(length+patience); now = now.Add(5 * ms) {
		if now.Sub(start)%(100*ms) == 0 {
			l.RecordReport(now, "a", map[string]int{"e1": engines["e1"].running(now), "e2": engines["e2"].running(now)})
		}
		for ; next <= now && next < start.Add(length); next = next.Add(time.Second / time.Duration(perSecond)) {
			if !admit {
				least := slices.MinFunc([]string{"e1", "e2"}, func(a, b string) int { return cmp.Compare(len(engines[a].ends), len(engines[b].ends)) })
				serve(least, now, now)
				continue
			}
			id, d, decided := l.Ask(now, claim(now, 1, objective-readTime, patience-readTime, "e1", "e2"))
			switch {
			case !decided:
				sent[id] = now
			case d.Upstream == "":
				refused++
			default:
				serve(d.Upstream, now, now)
			}
		}
		for _, d := range l.Step(now) {
			if d.Upstream == "" {
				refused++
				continue
			}
			serve(d.Upstream, now, sent[d.ID])
		}
	}
	return onTime, late, refused
}

// Load: 50 requests a second for one model whose two engines run 25. Guards against engines
// that answer nearly all of them after their callers have left.
func TestBurstForOneModelIsServedAtTheRateOfItsEngines(t *testing.T) {
	const perSecond = 50
	without, _, _ := burst(false, perSecond)
	with, late, refused := burst(true, perSecond)
	t.Logf("on time: %d without admission, %d with; %d late, %d refused", without, with, late, refused)
	// Without admission what is on time is what comes before the engines are full.
	if with < 2*without {
		t.Errorf("%d requests on time with admission, %d without", with, without)
	}
	// Two engines with maxRunning requests at a time, each of which takes runTime.
	if rate := 2 * maxRunning / runTime.Seconds(); float64(with+late) < rate*8 {
		t.Errorf("%d requests served in 8 s, want %v", with+late, rate*8)
	}
	if total := 8 * perSecond; with+late+refused < total {
		t.Errorf("%d on time, %d late and %d refused of %d: the rest got no answer in time", with, late, refused, total)
	}
}

// Load: as many requests as the engines run. Guards against an admission that refuses or
// delays what there is room for.
func TestLoadWithinCapacityIsNotRefused(t *testing.T) {
	onTime, late, refused := burst(true, 20)
	if late != 0 || refused != 0 || onTime != 160 {
		t.Errorf("%d on time, %d late, %d refused of 160", onTime, late, refused)
	}
}

// Load: more urgent and less urgent requests for an engine without room. Guards against
// less urgent requests that go before more urgent ones, and against their starvation.
func TestOrderByPriorityWithoutStarvation(t *testing.T) {
	l := newTestLedger(2, "e")
	now := start
	l.RecordReport(now, "b", map[string]int{"e": 2})
	urgent := map[ID]bool{}
	for i := range 20 {
		id, _, decided := l.Ask(now, claim(now, i%2, time.Hour, time.Hour, "e"))
		if decided {
			t.Fatalf("claim %d was decided without room", i)
		}
		urgent[id] = i%2 == 0
	}
	var order []bool
	for i := 0; len(order) < 12 && i < 1000; i++ {
		now = now.Add(100 * ms)
		l.RecordReport(now, "b", map[string]int{"e": 0})
		l.RecordReport(now, "a", nil)
		for _, d := range l.Step(now) {
			order = append(order, urgent[d.ID])
		}
		now = now.Add(grantLife)
	}
	first, others := 0, 0
	for _, u := range order {
		if u {
			first++
		} else {
			others++
		}
	}
	if len(order) < 12 || first < 8 || others == 0 || !order[0] {
		t.Errorf("order %v: want mostly urgent ones and some others", order)
	}
}

// Load: requests that can still meet their objective beside others that can't. Guards
// against late ones that make all others late.
func TestRequestsThatCanBeOnTimeGoFirst(t *testing.T) {
	l := newTestLedger(1, "e")
	l.RecordReport(start, "b", map[string]int{"e": 1})
	late, _, _ := l.Ask(start, claim(start, 0, -ms, time.Hour, "e"))
	fresh, _, _ := l.Ask(start, claim(start, 0, 10*time.Second, time.Hour, "e"))
	now := start.Add(time.Second)
	l.RecordReport(now, "b", nil)
	decided := l.Step(now)
	if len(decided) != 1 || decided[0].ID != fresh || decided[0].Upstream != "e" {
		t.Errorf("decided %v, want claim %d; %d is late", decided, fresh, late)
	}
}

// Guards against callers that are all told to return at the same time, to be refused again.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	l := newTestLedger(1, "e")
	l.RecordReport(start, "b", map[string]int{"e": 1})
	var last time.Duration
	for i := range 20 {
		_, d, decided := l.Ask(start, claim(start, 0, ms, ms, "e"))
		if !decided || d.Upstream != "" {
			t.Fatalf("claim %d was not refused", i)
		}
		if d.RetryAfter < minReturn || d.RetryAfter > maxReturn || d.RetryAfter < last {
			t.Errorf("claim %d: return after %v, the one before after %v", i, d.RetryAfter, last)
		}
		last = d.RetryAfter
	}
	if last < 2*minReturn {
		t.Errorf("the last one returns after %v: all of them return together", last)
	}
}

// Guards against an upstream that stays full because an instance ended, and against claims
// of that instance that take the room of others.
func TestEndedInstanceLeavesNothingBehind(t *testing.T) {
	l := newTestLedger(1, "e")
	l.RecordReport(start, "b", map[string]int{"e": 1})
	own := claim(start, 0, time.Hour, time.Hour, "e")
	own.Instance = "b"
	l.Ask(start, own)
	other, _, decided := l.Ask(start, claim(start, 1, time.Hour, time.Hour, "e"))
	if decided {
		t.Fatal("decided without room")
	}
	now := start.Add(time.Second)
	l.Forget(now, "b")
	got := l.Step(now)
	if len(got) != 1 || got[0].ID != other || got[0].Upstream != "e" || l.Waiting() != 0 {
		t.Errorf("decided %v, waiting %d: want the claim %d granted", got, l.Waiting(), other)
	}
}

// Guards against claims that wait for upstreams that are gone.
func TestClaimsForUpstreamsThatAreGoneEnd(t *testing.T) {
	l := newTestLedger(1, "e")
	l.RecordReport(start, "b", map[string]int{"e": 1})
	id, _, _ := l.Ask(start, claim(start, 0, time.Hour, time.Hour, "e"))
	l.Observe(nil)
	got := l.Step(start.Add(ms))
	if len(got) != 1 || got[0].ID != id || got[0].Upstream != "" || got[0].RetryAfter != 0 {
		t.Errorf("decided %v, want the claim %d handed back", got, id)
	}
}

// Guards against an engine that is sent more than it runs because work takes longer on its
// machine now.
func TestSlowMachineIsSentLess(t *testing.T) {
	granted := func(pace float64) (n int) {
		l := newTestLedger(1000, "e")
		for now := start; now < start.Add(time.Second); now = now.Add(ms) {
			l.RecordPace(now, "e", pace)
			if _, d, _ := l.Ask(now, claim(now, 0, 0, 0, "e")); d.Upstream != "" {
				n++
			}
		}
		return n
	}
	usual, slow := granted(100), granted(300)
	if slow == 0 || usual < 2*slow {
		t.Errorf("%d grants at the usual pace, %d at a third of it", usual, slow)
	}
}

// Whatever is reported, asked and cancelled in whichever order: every claim gets one decision
// by its latest start, and grants stay within the slots.
func TestEveryClaimIsDecidedOnceAndInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		l := newTestLedger(slots, "e1", "e2")
		now := start
		type open struct{ latest bootclock.Time }
		waiting := map[ID]open{}
		granted := map[string][]bootclock.Time{}
		settle := func(upstream string) {
			if upstream == "" {
				return
			}
			granted[upstream] = slices.DeleteFunc(granted[upstream], func(at bootclock.Time) bool { return now.Sub(at) > grantLife })
			granted[upstream] = append(granted[upstream], now)
			if n := len(granted[upstream]); n > slots {
				rt.Fatalf("%d grants of %s at once, which has %d slots", n, upstream, slots)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * ms)
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				c := claim(now, rapid.IntRange(-1, 3).Draw(rt, "priority"), time.Duration(rapid.IntRange(-100, 900).Draw(rt, "on time"))*ms,
					time.Duration(rapid.IntRange(0, 3000).Draw(rt, "latest"))*ms, rapid.SampledFrom([][]string{{"e1"}, {"e2"}, {"e1", "e2"}, {"gone", "e2"}}).Draw(rt, "engines")...)
				c.Instance = fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "instance"))
				id, d, decided := l.Ask(now, c)
				if decided {
					settle(d.Upstream)
				} else {
					waiting[id] = open{c.Latest}
				}
			case 1:
				// Reports show no more than what is granted, so that the bound above holds.
				l.RecordReport(now, fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "instance")), map[string]int{"e1": 0})
				clear(granted)
			case 2:
				for id := range waiting {
					l.Cancel(id)
					delete(waiting, id)
					break
				}
			}
			for _, d := range l.Step(now) {
				if _, ok := waiting[d.ID]; !ok {
					rt.Fatalf("claim %d was decided twice or never asked", d.ID)
				}
				delete(waiting, d.ID)
				settle(d.Upstream)
			}
			for id, w := range waiting {
				if !now.Before(w.latest) {
					rt.Fatalf("claim %d still waits %v after its latest start", id, now.Sub(w.latest))
				}
			}
			if l.Waiting() != len(waiting) {
				rt.Fatalf("%d claims wait, want %d", l.Waiting(), len(waiting))
			}
		}
	})
}

// Guards against refusals long after an engine stood still: the time between its grants then
// says nothing of the next one once it has free slots.
func TestStallIsForgottenOnceSlotsAreFree(t *testing.T) {
	l, now := newTestLedger(2, "e"), start
	for range 8 { // the engine stands still for 8 s between two requests
		l.RecordReport(now, "b", map[string]int{"e": 2})
		if _, _, decided := l.Ask(now, claim(now, 0, 10*time.Second, 10*time.Second, "e")); decided {
			t.Fatal("decided without room")
		}
		now = now.Add(8 * time.Second)
		l.RecordReport(now, "b", nil)
		if got := l.Step(now); len(got) != 1 || got[0].Upstream != "e" {
			t.Fatalf("decided %v, want a grant", got)
		}
	}
	now = now.Add(10 * time.Second)
	if _, d, _ := l.Ask(now, claim(now, 0, time.Second, time.Second, "e")); d.Upstream != "e" {
		t.Fatalf("got %v from an idle engine, want a grant", d)
	}
	if _, d, decided := l.Ask(now, claim(now, 0, time.Second, time.Second, "e")); decided {
		t.Fatalf("got %v, want a wait: the engine has a free slot and has read the first prompt in 62 ms", d)
	}
	if got := l.Step(now.Add(100 * ms)); len(got) != 1 || got[0].Upstream != "e" {
		t.Errorf("decided %v, want a grant", got)
	}
}
