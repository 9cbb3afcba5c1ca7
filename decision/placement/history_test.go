package placement_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/decision/placement/placementtest"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20260101")
	}
	os.Exit(m.Run())
}

// history is a world with callers that ask for models until they get them.
type history struct {
	*placementtest.World
	fail  func(format string, args ...any)
	wants map[string]int // requests that wait, by model
	calm  bool           // no more faults
}

func newHistory(fencing bool, seed uint64, fail func(string, ...any)) *history {
	h := &history{World: placementtest.New(smallCatalog(3, 6, fencing), seed), fail: fail, wants: map[string]int{}}
	h.Check = func() {
		if broken := h.Verify(); broken != nil {
			h.fail("at %s: %s", h.Now.Sub(time.Unix(0, 0)), strings.Join(broken, "; "))
		}
	}
	h.Published = func(v placement.View) {
		for model := range h.wants {
			if len(readyIn(v, model)) > 0 {
				delete(h.wants, model)
			}
		}
	}
	h.keepTwo()
	h.callers()
	return h
}

// callers repeat the demand of three instances every half second.
func (h *history) callers() {
	for i := range 3 {
		var demands []placement.Demand
		for _, model := range slices.Sorted(maps.Keys(h.wants)) {
			demands = append(demands, waiting(model, []string{"large", "small"}[i%2], h.wants[model], 30*time.Second))
		}
		h.Report(fmt.Sprintf("i%d", i), demands)
	}
	h.After(500*time.Millisecond, h.callers)
}

// keepTwo starts controllers in place of dead ones.
func (h *history) keepTwo() {
	alive := 0
	for _, c := range h.Controllers {
		if !c.Dead {
			alive++
		}
	}
	for ; alive < 2; alive++ {
		h.Start(placement.Config{IdleTimeout: 3 * time.Second, Unload: placement.UnloadFixed})
	}
}

// script asks for more models than fit, in bursts that evict and unload.
// Callers give up after a while.
func (h *history) script(patience time.Duration) {
	for i, model := range []string{"m0", "m1", "a0", "m2", "m3", "m4", "m5", "m0", "a0", "m2"} {
		at := time.Duration(i) * 6 * time.Second
		h.After(at, func() { h.wants[model] = 20 })
		h.After(at+patience, func() {
			if !h.calm {
				delete(h.wants, model)
			}
		})
	}
}

// settle ends all faults and requires that a model can still be had.
func (h *history) settle() {
	h.calm = true
	h.Table.Hook = nil
	for _, e := range h.Engines {
		e.Down = false
	}
	h.keepTwo()
	clear(h.wants)
	h.wants["a0"] = 1
	h.Run(100 * time.Second)
	if h.wants["a0"] != 0 {
		h.fail("a0 was not placed within 100s after the last fault; rows %v", h.Rows())
	}
	h.noRowsLeft()
}

// noRowsLeft requires that rows without a copy do not stay for ever.
func (h *history) noRowsLeft() {
	copies := 0
	for _, e := range h.Engines {
		copies += len(e.Copies)
	}
	if rows := h.Rows(); len(rows) != copies {
		h.fail("%d copies, rows left behind: %v", copies, rows)
	}
}

// Guards the promises of section 11, numbers 1 and 2: whatever happens between
// any two steps, no copy is loaded without a row and no memory is
// overcommitted; and placement goes on afterwards.
func TestHistories(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), rapid.MakeCheck(func(t *rapid.T) { runHistory(t, fencing) }))
	}
}

func runHistory(t *rapid.T, fencing bool) {
	h := newHistory(fencing, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
	h.Table.Hook = nil
	ops := []string{"load", "load", "unload", "write.decided", "write.decided", "write.loaded", "write.unloading", "write.",
		"lease.write", "list", "index"}
	fates := map[string][]placementtest.Fate{}
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		op := rapid.SampledFrom(ops).Draw(t, "op")
		fates[op] = append(fates[op], drawFate(t, op))
	}
	skip := rapid.IntRange(0, 3).Draw(t, "skip")
	seen := map[string]int{}
	h.Faults = func(_ *placementtest.Controller, op string) placementtest.Fate {
		seen[op]++
		list := fates[op]
		if h.calm || len(list) == 0 || seen[op] <= skip {
			return placementtest.Fate{}
		}
		fates[op] = list[1:]
		if list[0].Kill || list[0].Die {
			h.After(time.Second, h.keepTwo)
		}
		return list[0]
	}
	for range rapid.IntRange(0, 3).Draw(t, "upheavals") {
		h.upheaval(t)
	}
	h.script(time.Duration(rapid.IntRange(1, 30).Draw(t, "patience")) * time.Second)
	h.Run(75 * time.Second)
	h.settle()
}

// drawFate draws what happens to one operation. Orders arrive within the
// order life; an engine that checks tokens bears any freeze.
func drawFate(t *rapid.T, op string) placementtest.Fate {
	late := time.Duration(rapid.IntRange(1, 11_000).Draw(t, "late")) * time.Millisecond
	kind := rapid.SampledFrom([]string{"kill", "freeze", "refuse", "lose", "repeat", "delay", "repeat and lose", "die", "die and delay"}).Draw(t, op)
	switch kind {
	case "kill":
		return placementtest.Fate{Kill: true}
	case "freeze":
		return placementtest.Fate{Freeze: 3 * late}
	case "refuse":
		return placementtest.Fate{Refuse: true}
	case "lose":
		return placementtest.Fate{Lose: true}
	case "repeat":
		return placementtest.Fate{Repeat: late}
	case "delay":
		return placementtest.Fate{Delay: late}
	case "die":
		return placementtest.Fate{Die: true}
	case "die and delay":
		return placementtest.Fate{Die: true, Delay: late}
	}
	return placementtest.Fate{Lose: true, Repeat: late}
}

// upheaval draws a fault that is not tied to one operation.
func (h *history) upheaval(t *rapid.T) {
	at := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "at")) * time.Millisecond
	last := time.Duration(rapid.IntRange(100, 12_000).Draw(t, "last")) * time.Millisecond
	e := h.Engines[rapid.IntRange(0, len(h.Engines)-1).Draw(t, "engine")]
	switch rapid.SampledFrom([]string{"outage", "lost answers", "slow", "restart", "cut"}).Draw(t, "upheaval") {
	case "outage":
		h.hook(at, last, portstest.Refuse)
	case "lost answers":
		h.hook(at, last, portstest.LoseAnswer)
	case "slow":
		h.After(at, func() { h.TableDelay = 700 * time.Millisecond })
		h.After(at+last, func() { h.TableDelay = 3 * time.Millisecond })
	case "restart":
		h.After(at, func() { h.Restart(e) })
	case "cut":
		h.After(at, func() { e.Down = !h.calm })
		h.After(at+last, func() { e.Down = false })
	}
}

func (h *history) hook(at, last time.Duration, fault portstest.Fault) {
	h.After(at, func() { h.Table.Hook = func(string, string) portstest.Fault { return fault } })
	h.After(at+last, func() { h.Table.Hook = nil })
}

// Guards the recovery of every single step: the holder is killed, frozen past
// its lease, or loses an answer at each operation of a load and an unload.
func TestFaultAtEveryStep(t *testing.T) {
	fates := map[string]placementtest.Fate{
		"kill": {Kill: true}, "freeze": {Freeze: 30 * time.Second}, "refuse": {Refuse: true},
		"lose": {Lose: true}, "repeat": {Repeat: 9 * time.Second}, "lose, late": {Lose: true, Delay: 9 * time.Second},
		"die": {Die: true}, "die, late": {Die: true, Delay: 9 * time.Second},
	}
	for _, fencing := range []bool{true, false} {
		for name, fate := range fates {
			t.Run(fmt.Sprintf("fencing=%t/%s", fencing, name), func(t *testing.T) {
				for step, total := 0, 1; step < total; step++ {
					total = runStep(t, fencing, fate, step, false)
					runStep(t, fencing, fate, step, true)
				}
			})
		}
	}
}

// runStep plays a short history with one fault at the given operation of the
// holder and returns how many operations there are. With abandon set, callers
// give up at the fault.
func runStep(t *testing.T, fencing bool, fate placementtest.Fate, step int, abandon bool) int {
	h := newHistory(fencing, 7, func(format string, args ...any) {
		t.Fatalf("step %d: %s", step, fmt.Sprintf(format, args...))
	})
	h.Run(2 * time.Second)
	count, abandoned := 0, false
	h.Faults = func(c *placementtest.Controller, op string) placementtest.Fate {
		if c != h.Controllers[0] || op == "index" || strings.HasPrefix(op, "lease.") {
			return placementtest.Fate{}
		}
		if count++; count-1 == step {
			h.After(time.Second, h.keepTwo)
			if abandon {
				clear(h.wants)
				abandoned = true
			}
			return fate
		}
		return placementtest.Fate{}
	}
	for i, model := range []string{"m0", "a0", "m1"} {
		h.After(time.Duration(i)*2*time.Second, func() {
			if !abandoned {
				h.wants[model] = 5
			}
		})
	}
	h.Run(60 * time.Second)
	if len(h.wants) > 0 {
		t.Fatalf("step %d: still waiting for %v", step, h.wants)
	}
	h.Run(30 * time.Second)
	h.noRowsLeft()
	return count
}

// Guards the ordinary run of a history: without faults every demand is met
// and no adapter is loaded where its base is not.
func TestQuietHistory(t *testing.T) {
	h := newHistory(true, 3, t.Fatalf)
	ops := map[string]int{}
	h.Faults = func(_ *placementtest.Controller, op string) placementtest.Fate {
		ops[op]++
		return placementtest.Fate{}
	}
	h.script(time.Hour)
	h.Run(120 * time.Second)
	if len(h.wants) > 0 || h.Baseless > 0 {
		t.Fatalf("still waiting for %v, %d adapters loaded without base", h.wants, h.Baseless)
	}
	if n := ops["write.decided"]; n == 0 || ops["write."] != n || ops["load"] != n || ops["unload"] != n {
		t.Errorf("each replica takes one operation of each kind: %v", ops)
	}
	h.noRowsLeft()
}

// Guards the ledger while an unload is under way: its memory is not free yet.
func TestMemoryWhileUnloading(t *testing.T) {
	h := newHistory(true, 3, t.Fatalf)
	for _, e := range h.Engines[1:] {
		e.Down = true
	}
	h.Faults = func(_ *placementtest.Controller, op string) placementtest.Fate {
		if op == "unload" {
			return placementtest.Fate{Delay: 5 * time.Second}
		}
		return placementtest.Fate{}
	}
	for i, model := range []string{"m0", "m1", "m2"} {
		h.After(time.Duration(3+5*i)*time.Second, func() { h.wants[model] = 1 })
	}
	h.Run(40 * time.Second)
	if len(h.wants) > 0 || h.Engines[0].Loads["m2"] != 1 {
		t.Fatalf("still waiting for %v, loads %v", h.wants, h.Engines[0].Loads)
	}
}

// Guards the recovery from a row that is not what the holder believes.
func TestForeignWrite(t *testing.T) {
	h := newHistory(true, 3, t.Fatalf)
	h.After(2*time.Second, func() { h.wants["m0"] = 1 })
	h.Run(8 * time.Second)
	for key := range h.Rows() {
		row, err := h.Table.Get(t.Context(), key)
		if err == nil {
			err = h.Table.Transact(t.Context(), "other", ports.Write{Key: key, Value: row.Value, Revision: row.Revision})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	h.Run(60 * time.Second)
	if rows := h.Rows(); len(rows) != 0 {
		t.Fatalf("rows left: %v", rows)
	}
}
