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

// simulation is a world with callers that wait for models until these are ready.
type simulation struct {
	*placementtest.World
	fail            func(format string, args ...any)
	waitingRequests map[string]int // number of waiting requests, by model
	faultsEnded     bool           // no more faults
}

func newSimulation(fencing bool, seed uint64, fail func(string, ...any)) *simulation {
	h := &simulation{World: placementtest.New(smallCatalog(3, 6, fencing), seed), fail: fail, waitingRequests: map[string]int{}}
	h.OnChange = func() {
		if violations := h.Verify(); violations != nil {
			h.fail("at %s: %s", h.Now.Sub(time.Unix(0, 0)), strings.Join(violations, "; "))
		}
	}
	h.OnPublish = func(v placement.View) {
		for model := range h.waitingRequests {
			if len(readyUpstreams(v, model)) > 0 {
				delete(h.waitingRequests, model)
			}
		}
	}
	h.ensureTwoControllers()
	h.reportDemand()
	return h
}

// reportDemand repeats the demand of three instances every half second.
func (h *simulation) reportDemand() {
	for i := range 3 {
		var demands []placement.Demand
		for _, model := range slices.Sorted(maps.Keys(h.waitingRequests)) {
			demands = append(demands, waitingDemand(model, []string{"large", "small"}[i%2], h.waitingRequests[model], 30*time.Second))
		}
		h.Report(fmt.Sprintf("i%d", i), demands)
	}
	h.After(500*time.Millisecond, h.reportDemand)
}

// ensureTwoControllers starts controllers to replace dead ones.
func (h *simulation) ensureTwoControllers() {
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

// scheduleDemand schedules bursts of requests for more models than fit, which
// causes evictions and unloads. Callers give up after the timeout.
func (h *simulation) scheduleDemand(timeout time.Duration) {
	for i, model := range []string{"m0", "m1", "a0", "m2", "m3", "m4", "m5", "m0", "a0", "m2"} {
		at := time.Duration(i) * 6 * time.Second
		h.After(at, func() { h.waitingRequests[model] = 20 })
		h.After(at+timeout, func() {
			if !h.faultsEnded {
				delete(h.waitingRequests, model)
			}
		})
	}
}

// endFaults ends all faults and requires that a model can still be placed.
func (h *simulation) endFaults() {
	h.faultsEnded = true
	h.Table.Hook = nil
	for _, e := range h.Engines {
		e.Down = false
	}
	h.ensureTwoControllers()
	clear(h.waitingRequests)
	h.waitingRequests["a0"] = 1
	h.Run(100 * time.Second)
	if h.waitingRequests["a0"] != 0 {
		h.fail("a0 was not placed within 100s after the last fault; rows %v", h.Rows())
	}
	h.requireNoStaleRows()
}

// requireNoStaleRows requires that no row without a copy remains.
func (h *simulation) requireNoStaleRows() {
	copies := 0
	for _, e := range h.Engines {
		copies += len(e.Copies)
	}
	if rows := h.Rows(); len(rows) != copies {
		h.fail("%d copies, but rows %v", copies, rows)
	}
}

// Guards guarantees 1 and 2 of section 11 under random faults between any two
// steps: no copy is loaded without a row, and no memory is overcommitted.
// Placement must continue after the faults.
func TestHistories(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), rapid.MakeCheck(func(t *rapid.T) { runHistory(t, fencing) }))
	}
}

func runHistory(t *rapid.T, fencing bool) {
	h := newSimulation(fencing, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
	h.Table.Hook = nil
	ops := []string{"load", "load", "unload", "write.decided", "write.decided", "write.loaded", "write.unloading", "write.",
		"lease.write", "list", "index"}
	faults := map[string][]placementtest.Fault{}
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		op := rapid.SampledFrom(ops).Draw(t, "op")
		faults[op] = append(faults[op], drawFault(t, op))
	}
	skip := rapid.IntRange(0, 3).Draw(t, "skip")
	seen := map[string]int{}
	h.SelectFault = func(_ *placementtest.Controller, op string) placementtest.Fault {
		seen[op]++
		list := faults[op]
		if h.faultsEnded || len(list) == 0 || seen[op] <= skip {
			return placementtest.Fault{}
		}
		faults[op] = list[1:]
		if list[0].KillBefore || list[0].KillAfter {
			h.After(time.Second, h.ensureTwoControllers)
		}
		return list[0]
	}
	for range rapid.IntRange(0, 3).Draw(t, "cluster faults") {
		h.drawClusterFault(t)
	}
	h.scheduleDemand(time.Duration(rapid.IntRange(1, 30).Draw(t, "timeout")) * time.Second)
	h.Run(75 * time.Second)
	h.endFaults()
}

// drawFault draws the fault of one operation. Delayed orders arrive within
// Config.OrderLife. A freeze may last longer: an engine that checks fencing tokens
// refuses stale orders sent after it.
func drawFault(t *rapid.T, op string) placementtest.Fault {
	delay := time.Duration(rapid.IntRange(1, 11_000).Draw(t, "delay")) * time.Millisecond
	kind := rapid.SampledFrom([]string{"kill", "freeze", "refuse", "lose", "repeat", "delay", "repeat and lose", "die", "die and delay"}).Draw(t, op)
	switch kind {
	case "kill":
		return placementtest.Fault{KillBefore: true}
	case "freeze":
		return placementtest.Fault{Freeze: 3 * delay}
	case "refuse":
		return placementtest.Fault{Refuse: true}
	case "lose":
		return placementtest.Fault{LoseAnswer: true}
	case "repeat":
		return placementtest.Fault{Duplicate: delay}
	case "delay":
		return placementtest.Fault{Delay: delay}
	case "die":
		return placementtest.Fault{KillAfter: true}
	case "die and delay":
		return placementtest.Fault{KillAfter: true, Delay: delay}
	}
	return placementtest.Fault{LoseAnswer: true, Duplicate: delay}
}

// drawClusterFault draws a fault that is not tied to one operation.
func (h *simulation) drawClusterFault(t *rapid.T) {
	at := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "at")) * time.Millisecond
	duration := time.Duration(rapid.IntRange(100, 12_000).Draw(t, "duration")) * time.Millisecond
	e := h.Engines[rapid.IntRange(0, len(h.Engines)-1).Draw(t, "engine")]
	switch rapid.SampledFrom([]string{"outage", "lost answers", "slow", "restart", "cut"}).Draw(t, "cluster fault") {
	case "outage":
		h.injectTableFault(at, duration, portstest.Refuse)
	case "lost answers":
		h.injectTableFault(at, duration, portstest.LoseResponse)
	case "slow":
		h.After(at, func() { h.TableDelay = 700 * time.Millisecond })
		h.After(at+duration, func() { h.TableDelay = 3 * time.Millisecond })
	case "restart":
		h.After(at, func() { h.Restart(e) })
	case "cut":
		h.After(at, func() { e.Down = !h.faultsEnded })
		h.After(at+duration, func() { e.Down = false })
	}
}

func (h *simulation) injectTableFault(at, duration time.Duration, fault portstest.Fault) {
	h.After(at, func() { h.Table.Hook = func(string, string) portstest.Fault { return fault } })
	h.After(at+duration, func() { h.Table.Hook = nil })
}

// Guards the recovery from a fault at every single step: the leaseholder is
// killed, frozen beyond its lease, or loses an answer at each operation of a load
// and an unload.
func TestFaultAtEveryStep(t *testing.T) {
	faults := map[string]placementtest.Fault{
		"kill": {KillBefore: true}, "freeze": {Freeze: 30 * time.Second}, "refuse": {Refuse: true},
		"lose": {LoseAnswer: true}, "repeat": {Duplicate: 9 * time.Second}, "lose, late": {LoseAnswer: true, Delay: 9 * time.Second},
		"die": {KillAfter: true}, "die, late": {KillAfter: true, Delay: 9 * time.Second},
	}
	for _, fencing := range []bool{true, false} {
		for name, fault := range faults {
			t.Run(fmt.Sprintf("fencing=%t/%s", fencing, name), func(t *testing.T) {
				for step, total := 0, 1; step < total; step++ {
					total = runStep(t, fencing, fault, step, false)
					runStep(t, fencing, fault, step, true)
				}
			})
		}
	}
}

// runStep runs a short simulation with one fault at the given operation of the
// leaseholder and returns the number of operations. If abandon is set, callers
// give up at the fault.
func runStep(t *testing.T, fencing bool, fault placementtest.Fault, step int, abandon bool) int {
	h := newSimulation(fencing, 7, func(format string, args ...any) {
		t.Fatalf("step %d: %s", step, fmt.Sprintf(format, args...))
	})
	h.Run(2 * time.Second)
	count, abandoned := 0, false
	h.SelectFault = func(c *placementtest.Controller, op string) placementtest.Fault {
		if c != h.Controllers[0] || op == "index" || strings.HasPrefix(op, "lease.") {
			return placementtest.Fault{}
		}
		if count++; count-1 == step {
			h.After(time.Second, h.ensureTwoControllers)
			if abandon {
				clear(h.waitingRequests)
				abandoned = true
			}
			return fault
		}
		return placementtest.Fault{}
	}
	for i, model := range []string{"m0", "a0", "m1"} {
		h.After(time.Duration(i)*2*time.Second, func() {
			if !abandoned {
				h.waitingRequests[model] = 5
			}
		})
	}
	h.Run(60 * time.Second)
	if len(h.waitingRequests) > 0 {
		t.Fatalf("step %d: still waiting for %v", step, h.waitingRequests)
	}
	h.Run(30 * time.Second)
	h.requireNoStaleRows()
	return count
}

// Guards the run without faults: every demand is met and no adapter is loaded on
// an engine without its base.
func TestHistoryWithoutFaults(t *testing.T) {
	h := newSimulation(true, 3, t.Fatalf)
	ops := map[string]int{}
	h.SelectFault = func(_ *placementtest.Controller, op string) placementtest.Fault {
		ops[op]++
		return placementtest.Fault{}
	}
	h.scheduleDemand(time.Hour)
	h.Run(120 * time.Second)
	if len(h.waitingRequests) > 0 || h.LoadsWithoutBase > 0 {
		t.Fatalf("still waiting for %v, %d adapters loaded without base", h.waitingRequests, h.LoadsWithoutBase)
	}
	if n := ops["write.decided"]; n == 0 || ops["write."] != n || ops["load"] != n || ops["unload"] != n {
		t.Errorf("operations %v, want one of each kind per replica", ops)
	}
	h.requireNoStaleRows()
}

// Guards against counting memory as free while its unload is in progress.
func TestMemoryWhileUnloading(t *testing.T) {
	h := newSimulation(true, 3, t.Fatalf)
	for _, e := range h.Engines[1:] {
		e.Down = true
	}
	h.SelectFault = func(_ *placementtest.Controller, op string) placementtest.Fault {
		if op == "unload" {
			return placementtest.Fault{Delay: 5 * time.Second}
		}
		return placementtest.Fault{}
	}
	for i, model := range []string{"m0", "m1", "m2"} {
		h.After(time.Duration(3+5*i)*time.Second, func() { h.waitingRequests[model] = 1 })
	}
	h.Run(40 * time.Second)
	if len(h.waitingRequests) > 0 || h.Engines[0].Loads["m2"] != 1 {
		t.Fatalf("still waiting for %v, loads %v", h.waitingRequests, h.Engines[0].Loads)
	}
}

// Guards the recovery from a row that differs from the leaseholder's copy, here
// after a write by another process.
func TestForeignWrite(t *testing.T) {
	h := newSimulation(true, 3, t.Fatalf)
	h.After(2*time.Second, func() { h.waitingRequests["m0"] = 1 })
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
