package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against over-admission: whatever is lost, late, repeated, frozen or
// crashed, the actual use charged at admission time stays within
// rate x time + burst over every window.
func TestNoOverAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(from, to int, label string) int { return rapid.IntRange(from, to).Draw(t, label) }
		limits := func() Limits {
			return Limits{Rate: float64(draw(10, 100, "rate")), Burst: float64(draw(16, 120, "burst"))}
		}
		w := newWorld(t, draw(2, 4, "nodes"), limits())
		oneInstance := rapid.Bool().Draw(t, "all at one instance")
		node := func(label string) *node { return w.nodes[draw(0, len(w.nodes)-1, label)] }
		for range draw(10, 120, "steps") {
			switch op := draw(0, 39, "operation"); {
			case op < 18:
				n := node("at")
				if oneInstance {
					n = w.nodes[0]
				}
				w.request(n, int64(draw(1, 40, "tokens")))
			case op < 26 && len(w.running) > 0:
				w.settle(draw(0, len(w.running)-1, "which"), float64(draw(0, 4, "quarters"))/4)
			case op == 26:
				w.freeze(node("frozen"), time.Duration(draw(1, 80, "freeze"))*100*time.Millisecond)
			case op == 27:
				w.crash(node("crashed"), node("heir"))
			case op == 28:
				w.move(draw(0, Slots-1, "slot"), node("to"))
				w.announce()
			case op == 29:
				w.relimit(limits())
			case op == 30 && w.answer != nil:
				w.answer() // a duplicate at any later time
			case op == 31:
				w.run(time.Duration(draw(1, 5, "quiet")) * time.Second)
			case op < 34:
				w.drain()
			case op < 36:
				w.tick()
			default:
				w.run(time.Duration(draw(1, 12, "pause")) * 50 * time.Millisecond)
			}
		}
		// A loan of the former limits may be spent until it has expired.
		for i := range w.limits {
			if w.limits[i].to < time.Hour {
				w.limits[i].to += 2500 * time.Millisecond
			}
		}
		if over := overAdmission(w.charges, w.limits); over > 1e-3 {
			t.Fatalf("a window of %d charges exceeds the bound by %.3f tokens", len(w.charges), over)
		}
	})
}

// Guards against losing tokens in normal running: with all requests at one
// instance and most of each reservation refunded, the workspace gets nearly
// its whole rate, and Retry-After says when to come back.
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
			w := newWorld(nil, tc.nodes, limits)
			const step, length = 10 * time.Millisecond, 60 * time.Second
			for i := 0; w.now < length; i++ {
				w.request(w.nodes[tc.at(i)], 100) // offers ten times the rate
				if len(w.running) > 40 {
					w.settle(0, 0.25) // after about a second
				}
				if i%25 == 0 {
					w.tick()
				}
				w.run(step)
			}
			for len(w.running) > 0 {
				w.settle(0, 0.25)
			}
			total := 0.0
			for _, c := range w.charges {
				total += c.tokens
			}
			due := limits.Rate*length.Seconds() + limits.Burst
			if total < 0.9*due {
				t.Errorf("admitted %.0f of %.0f tokens", total, due)
			}
			if over := overAdmission(w.charges, w.limits); over > 1e-3 {
				t.Errorf("over-admission of %.3f tokens", over)
			}
		})
	}
}

// Guards against a constant or missing Retry-After, and against a refusal for
// now of what can never fit.
func TestRefusals(t *testing.T) {
	w := newWorld(nil, 1, Limits{Rate: 10, Burst: 80})
	l := w.nodes[0].ledger
	if got := l.Submit(ws, 81, 0, time.Second); got.State != TooLarge {
		t.Errorf("81 tokens of a burst of 80: state %d", got.State)
	}
	got := l.Submit(ws, 80, 0, time.Second)
	if got.State != Admitted {
		t.Fatalf("the whole burst: state %d", got.State)
	}
	l.Settle(got.Reservation, 20, 0)
	got = l.Submit(ws, 50, 0, time.Second)
	l.Settle(got.Reservation, 60, 0)
	if left := l.workspaces[ws].available(0); left > 1e-6 {
		t.Errorf("%v tokens left after 20 and 60 were used of 80, the latter with a reservation of 50", left)
	}
	for _, tokens := range []int64{20, 60} {
		got := l.Submit(ws, tokens, 0, time.Second)
		want := time.Duration(tokens) * 100 * time.Millisecond
		if got.State != Refused || got.RetryAfter != want {
			t.Errorf("%d tokens of an empty bucket: state %d, retry after %v, want %v", tokens, got.State, got.RetryAfter, want)
		}
		if got := l.Submit(ws, tokens, want, time.Hour); got.State != Admitted {
			t.Errorf("%d tokens were refused after the stated time", tokens)
		}
		l.Submit(ws, 80, 8*time.Second, time.Hour)
		w.now = 8 * time.Second
		w.boot(w.nodes[0])
		l = w.nodes[0].ledger
		l.Gain(ws, 0, Start{}, 0)
		for slot := 1; slot < Slots; slot++ {
			l.Gain(ws, slot, Start{}, 0)
		}
	}
}

// Guards against slots that move without need and against slots crowded in one
// data centre or instance.
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
				t.Errorf("%s: %d slots in data centre %s", name, n, centre)
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
		t.Errorf("%d of 800 slots moved between remaining members when one of nine left", moved)
	}
}
