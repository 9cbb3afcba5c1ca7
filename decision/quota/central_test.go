package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

var deploymentBounds = CentralBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 11000}

type use struct {
	at     bootclock.Time
	tokens float64
}

// Guards the limit in every sliding window, for grants that are used at the
// last moment of their life and for limits that change.
func TestCentralNeverExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := CentralLimit{Workspace: "w", Rate: rapid.Float64Range(2000, 200000).Draw(r, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.5, 1.5).Draw(r, "burst")
		c, now := NewCentral(deploymentBounds, true), bootclock.Time(time.Hour)
		c.SetLimits(now, []CentralLimit{limit})
		var uses []use
		for range rapid.IntRange(50, 400).Draw(r, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(r, "ms")) * time.Millisecond)
			tokens := rapid.Int64Range(1, 6000).Draw(r, "tokens")
			granted, after := c.Take(now, "w", tokens, time.Duration(rapid.IntRange(0, 500).Draw(r, "patience"))*time.Millisecond)
			if granted {
				late := time.Duration(rapid.IntRange(0, int(CentralGrantLife.Milliseconds())).Draw(r, "late")) * time.Millisecond
				uses = append(uses, use{now.Add(after + late), float64(tokens)})
			}
		}
		checkWindows(r, deploymentBounds, limit, uses)
	})
}

// checkWindows fails if more is used in some window than the bound allows.
func checkWindows(r *rapid.T, bounds CentralBounds, limit CentralLimit, uses []use) {
	bound := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overage) + bounds.Slack
	for _, first := range uses {
		sum := 0.0
		for _, u := range uses {
			if u.at >= first.at && u.at < first.at.Add(bounds.Window) {
				sum += u.tokens
			}
		}
		if sum > bound {
			r.Fatalf("%.0f tokens in a window, the bound is %.0f", sum, bound)
		}
	}
}

// Guards against refusing what a workspace is owed: its full rate is granted
// when it asks for more.
func TestCentralGrantsTheFullRate(t *testing.T) {
	c, start := NewCentral(deploymentBounds, false), bootclock.Time(time.Hour)
	c.SetLimits(start, []CentralLimit{{"w", 30000, 30000}})
	granted, now := 0.0, start
	for now.Before(start.Add(10 * time.Second)) {
		now = now.Add(10 * time.Millisecond)
		if ok, _ := c.Take(now, "w", 1500, 0); ok {
			granted += 1500
		}
	}
	if granted < 0.97*30000*10 {
		t.Errorf("%.0f of 300000 tokens granted", granted)
	}
}

// Guards against sending all refused callers back at the same moment.
func TestCentralSpreadsReturns(t *testing.T) {
	c, now := NewCentral(deploymentBounds, false), bootclock.Time(time.Hour)
	c.SetLimits(now, []CentralLimit{{"w", 1000, 1000}})
	_, first := c.Take(now, "w", 1000, 0)
	_, second := c.Take(now, "w", 1000, 0)
	if second < first+900*time.Millisecond {
		t.Errorf("two refused requests are told to come back after %s and %s", first, second)
	}
}

// Guards a change of leader: what a predecessor hands over is neither granted
// again nor lost, and without its word nothing is assumed to be left.
func TestCentralTakesOverLevels(t *testing.T) {
	now := bootclock.Time(time.Hour)
	limits := []CentralLimit{{"w", 1000, 1000}}
	old := NewCentral(deploymentBounds, true)
	old.SetLimits(now, limits)
	old.Take(now, "w", 700, 0)
	next := NewCentral(deploymentBounds, false)
	next.Restore(old.Levels(now), nil)
	next.SetLimits(now, limits)
	if ok, _ := next.Take(now, "w", 1000, 0); ok {
		t.Error("tokens that were spent before the change were granted again")
	}
	if ok, _ := next.Take(now, "w", 500, 0); !ok {
		t.Error("tokens that were left before the change are lost")
	}
	unaware := NewCentral(deploymentBounds, false)
	unaware.SetLimits(now, limits)
	if ok, _ := unaware.Take(now, "w", 500, 0); ok {
		t.Error("a leader without a word from its predecessor granted a burst")
	}
}

// term is one leader of the test below and what its lease row says.
type term struct {
	c        *Central
	reserves map[string]float64
}

// Guards the limit in every window over losses of leaders: a successor begins
// with what the one before has promised to leave, whatever it granted until
// its last moment and whether or not its last promise was written.
func TestReservesNeverExceedTheBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := CentralLimit{Workspace: "w", Rate: rapid.Float64Range(2000, 100000).Draw(r, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(2, 4).Draw(r, "burst") // what is granted twice shows beside the window
		bounds := deploymentBounds
		bounds.Slack = 0 // it would hide what is granted twice
		now := bootclock.Time(time.Hour)
		h := term{c: NewCentral(bounds, true)}
		h.c.SetLimits(now, []CentralLimit{limit})
		var uses []use
		for range rapid.IntRange(1, 12).Draw(r, "rounds") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 500, 2000, 6000}).Draw(r, "quiet ms")) * time.Millisecond)
			for range rapid.IntRange(0, 2).Draw(r, "renewals") {
				switch rapid.IntRange(0, 2).Draw(r, "renewal") {
				case 0: // written and answered
					h.reserves = h.c.Reserve(now)
					h.c.Reserved()
				case 1: // written, without an answer
					h.reserves = h.c.Reserve(now)
				case 2: // not written
					h.c.Reserve(now)
				}
			}
			for range rapid.SampledFrom([]int{0, 5, 30}).Draw(r, "requests") {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(r, "ms")) * time.Millisecond)
				tokens := int64(limit.Burst / 20)
				if granted, _ := h.c.Take(now, "w", tokens, 0); granted {
					late := time.Duration(rapid.IntRange(0, int(CentralGrantLife.Milliseconds())).Draw(r, "late")) * time.Millisecond
					uses = append(uses, use{now.Add(late), float64(tokens)})
				}
			}
			if rapid.Bool().Draw(r, "lost") { // its lease ends at once
				next := term{c: NewCentral(bounds, false), reserves: map[string]float64{"w": h.reserves["w"] / 2}}
				next.c.Restore(h.reserves, next.reserves)
				next.c.SetLimits(now, []CentralLimit{limit})
				h = next
			}
		}
		checkWindows(r, bounds, limit, uses)
	})
}

// Guards against a successor that refuses what workspaces are owed: after the
// loss of a leader that was asked for little, a burst is granted, and a request
// as large as the burst is granted again after some renewals.
func TestReservesAreGranted(t *testing.T) {
	now := bootclock.Time(time.Hour)
	limits := []CentralLimit{{"w", 30000, 30000}}
	old := NewCentral(deploymentBounds, true)
	old.SetLimits(now, limits)
	reserves := old.Reserve(now)
	old.Reserved()
	if ok, _ := old.Take(now, "w", 15000, 0); !ok {
		t.Error("the holder does not grant half of its level")
	}
	next := NewCentral(deploymentBounds, false)
	next.Restore(reserves, map[string]float64{"w": reserves["w"] / 2})
	next.SetLimits(now, limits)
	if ok, _ := next.Take(now, "w", 7000, 0); !ok {
		t.Errorf("the successor begins with less than a quarter of the burst (%v was reserved)", reserves)
	}
	granted := false
	for i := 0; i < 6 && !granted; i++ {
		now = now.Add(700 * time.Millisecond)
		granted, _ = next.Take(now, "w", 30000, 0)
		next.Reserve(now)
		next.Reserved()
	}
	if !granted {
		t.Error("a request as large as the burst is never granted")
	}
}
