package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/bootclock"
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
		bound := (limit.Rate*deploymentBounds.Window.Seconds()+limit.Burst)*(1+deploymentBounds.Overage) + deploymentBounds.Slack
		for _, first := range uses {
			sum := 0.0
			for _, u := range uses {
				if u.at >= first.at && u.at < first.at.Add(deploymentBounds.Window) {
					sum += u.tokens
				}
			}
			if sum > bound {
				r.Fatalf("%.0f tokens in a window, the bound is %.0f", sum, bound)
			}
		}
	})
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
	next.Restore(old.Levels(now))
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
