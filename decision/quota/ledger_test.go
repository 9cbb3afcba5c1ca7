package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against over-admission when messages are lost, late or repeated and
// instances freeze or crash: the actual use, counted at the time of admission,
// stays within rate x time + burst in every window.
func TestNoOverAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(from, to int, label string) int { return rapid.IntRange(from, to).Draw(t, label) }
		limits := func() Limits {
			return Limits{Rate: float64(draw(10, 100, "rate")), Burst: float64(draw(16, 120, "burst"))}
		}
		sim := newSimulation(t, draw(2, 4, "nodes"), limits())
		oneInstance := rapid.Bool().Draw(t, "all at one instance")
		node := func(label string) *node { return sim.nodes[draw(0, len(sim.nodes)-1, label)] }
		for range draw(10, 120, "steps") {
			switch op := draw(0, 39, "operation"); {
			case op < 18:
				n := node("at")
				if oneInstance {
					n = sim.nodes[0]
				}
				sim.request(n, int64(draw(1, 40, "tokens")))
			case op < 26 && len(sim.running) > 0:
				sim.settle(draw(0, len(sim.running)-1, "which"), float64(draw(0, 4, "quarters"))/4)
			case op == 26:
				sim.freeze(node("frozen"), time.Duration(draw(1, 80, "freeze"))*100*time.Millisecond)
			case op == 27:
				sim.crash(node("crashed"), node("heir"))
			case op == 28:
				sim.move(draw(0, Slots-1, "slot"), node("to"))
				sim.updateHolders()
			case op == 29:
				sim.changeLimits(limits())
			case op == 30 && sim.lastAnswer != nil:
				sim.lastAnswer() // a duplicate that arrives later
			case op == 31:
				sim.advance(time.Duration(draw(1, 5, "quiet")) * time.Second)
			case op < 34:
				sim.drain()
			case op < 36:
				sim.tick()
			default:
				sim.advance(time.Duration(draw(1, 12, "pause")) * 50 * time.Millisecond)
			}
		}
		// A loan made under former limits may be spent until it expires.
		for i := range sim.limits {
			if sim.limits[i].to < time.Hour {
				sim.limits[i].to += 2500 * time.Millisecond
			}
		}
		if over := overAdmission(sim.charges, sim.limits); over > 1e-3 {
			t.Fatalf("a window of %d charges exceeds the bound by %.3f tokens", len(sim.charges), over)
		}
	})
}

// Guards against losing tokens in normal operation: with most of each reservation
// refunded, the workspace gets at least 90% of its rate and burst, wherever its
// requests arrive.
func TestOneInstanceGetsTheWholeRate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		nodes int
		at    func(i int) int
	}{
		{"all at one of nine", 9, func(int) int { return 0 }},
		{"spread over nine", 9, func(i int) int { return i % 9 }},
		{"one instance without slots", 9, func(int) int { return 8 }},
		{"single instance", 1, func(int) int { return 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limits := Limits{Rate: 1000, Burst: 4000}
			sim := newSimulation(nil, tc.nodes, limits)
			const step, length = 10 * time.Millisecond, 60 * time.Second
			for i := 0; sim.now < length; i++ {
				sim.request(sim.nodes[tc.at(i)], 100) // submits ten times the rate
				if len(sim.running) > 40 {
					sim.settle(0, 0.25) // after about a second
				}
				if i%25 == 0 {
					sim.tick()
				}
				sim.advance(step)
			}
			for len(sim.running) > 0 {
				sim.settle(0, 0.25)
			}
			total := 0.0
			for _, c := range sim.charges {
				total += c.tokens
			}
			due := limits.Rate*length.Seconds() + limits.Burst
			if total < 0.9*due {
				t.Errorf("admitted %.0f of %.0f tokens, want at least 90%%", total, due)
			}
			if over := overAdmission(sim.charges, sim.limits); over > 1e-3 {
				t.Errorf("over-admission of %.3f tokens", over)
			}
		})
	}
}

// Guards against a constant or missing Retry-After, and against a request larger
// than the burst that is refused as if a retry could succeed.
func TestRefusals(t *testing.T) {
	sim := newSimulation(nil, 1, Limits{Rate: 10, Burst: 80})
	l := sim.nodes[0].ledger
	if got := l.Submit(ws, 81, 0, time.Second); got.State != TooLarge {
		t.Errorf("81 tokens with a burst of 80: got state %d, want TooLarge", got.State)
	}
	got := l.Submit(ws, 80, 0, time.Second)
	if got.State != Admitted {
		t.Fatalf("the whole burst: got state %d, want Admitted", got.State)
	}
	l.Settle(got.Reservation, 20, 0)
	got = l.Submit(ws, 50, 0, time.Second)
	l.Settle(got.Reservation, 60, 0)
	if left := l.workspaces[ws].available(0); left > 1e-6 {
		t.Errorf("%v tokens left, want 0: of 80, 20 were used, and 60 with a reservation of 50", left)
	}
	for _, tokens := range []int64{20, 60} {
		got := l.Submit(ws, tokens, 0, time.Second)
		want := time.Duration(tokens) * 100 * time.Millisecond
		if got.State != Refused || got.RetryAfter != want {
			t.Errorf("%d tokens of an empty bucket: got state %d and retry after %v, want Refused and %v", tokens, got.State, got.RetryAfter, want)
		}
		if got := l.Submit(ws, tokens, want, time.Hour); got.State != Admitted {
			t.Errorf("%d tokens were refused after the returned retry time", tokens)
		}
		l.Submit(ws, 80, 8*time.Second, time.Hour)
		sim.now = 8 * time.Second
		sim.boot(sim.nodes[0])
		l = sim.nodes[0].ledger
		l.AddSlot(ws, 0, SlotStart{}, 0)
		for slot := 1; slot < Slots; slot++ {
			l.AddSlot(ws, slot, SlotStart{}, 0)
		}
	}
}

// Guards against slots that move unnecessarily when an instance leaves, and against
// an uneven distribution over data centres and instances.
func TestPlace(t *testing.T) {
	var members []Candidate
	for i := range 9 {
		members = append(members, NewCandidate(string(rune('a'+i)), string(rune('x'+i%3))))
	}
	moved := 0
	for i := range 100 {
		name := "workspace-" + string(rune('0'+i/10)) + string(rune('0'+i%10))
		before := Place(name, members)
		centres := map[string]int{}
		for slot, owner := range before {
			centres[members[owner[0]-'a'].DataCentre]++
			if slices.Index(before[:], owner) != slot {
				t.Errorf("%s: %s has two slots while another instance has none", name, owner)
			}
		}
		for centre, n := range centres {
			if n > 3 {
				t.Errorf("%s: %d slots in data centre %s, want at most 3", name, n, centre)
			}
		}
		after := Place(name, slices.DeleteFunc(slices.Clone(members), func(c Candidate) bool { return c.Instance == "c" }))
		for slot := range before {
			if before[slot] != "c" && after[slot] != before[slot] {
				moved++
			}
		}
	}
	if moved > 200 {
		t.Errorf("%d of 800 slots moved between remaining members when one of nine left, want at most 200", moved)
	}
}
