package placementtest

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

// World simulates a table, engines and controllers on virtual time.
type World struct {
	Now     time.Time
	Rand    *rand.Rand
	Table   *portstest.Table
	Index   *catalog.Index
	Engines []*Engine
	// Controllers lists all controllers ever started, including dead ones.
	Controllers []*Controller
	// NetDelay and TableDelay are one-way delays.
	NetDelay, TableDelay time.Duration
	PollEvery            time.Duration
	LoadTime             func(e *Engine, model string, tier placement.Tier) time.Duration
	// SelectFault, if set, selects the fault of each operation; the zero Fault is none.
	SelectFault func(c *Controller, op string) Fault
	// OnPublish, if set, receives every view that reaches the instances.
	OnPublish func(placement.View)
	// OnDecision, if set, receives every decision.
	OnDecision func(placement.Decision)
	// OnLoaded, if set, is called when a copy has become ready.
	OnLoaded func(*Engine, *Copy)
	// OnUnloaded, if set, is called before a copy is dropped by an order.
	OnUnloaded func(*Engine, *Copy)
	// OnChange, if set, runs after every event that changed a copy or a row.
	OnChange func()

	LoadsBegun, MaxStoreLoads int
	// LoadsWithoutBase counts adapter loads on an engine without the ready base.
	LoadsWithoutBase int
	// ModelLoadsSent holds the times at which load orders of models were sent.
	ModelLoadsSent []time.Time
	ViewsPublished int
	View           placement.View
	storeLoads     int
	changed        bool
	events         eventHeap
	seq            int
	steps          int
}

// Fault is the fault of one operation of a controller.
type Fault struct {
	KillBefore bool          // the controller dies before the operation
	KillAfter  bool          // the controller dies after sending the operation
	Freeze     time.Duration // the controller is frozen before the operation
	Refuse     bool          // the operation fails without effect
	LoseAnswer bool          // the operation takes effect but its answer is lost
	Duplicate  time.Duration // the operation arrives a second time after this delay
	Delay      time.Duration // the operation arrives after this additional delay
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// New returns a world with one fake engine for each engine upstream of the
// catalogue, and no controller.
func New(index *catalog.Index, seed uint64) *World {
	w := &World{Now: time.Unix(0, 0), Rand: rand.New(rand.NewPCG(seed, 1)), Table: portstest.NewTable(), Index: index,
		NetDelay: time.Millisecond, TableDelay: 3 * time.Millisecond, PollEvery: 2 * time.Second}
	w.LoadTime = func(_ *Engine, model string, tier placement.Tier) time.Duration {
		return w.nominalLoadTime(model, tier)
	}
	for _, p := range index.Catalog.Pools {
		for _, u := range p.Upstreams {
			e := &Engine{Pool: p.Name, Name: u.Name, Address: u.Address, Fencing: u.Fencing, MemoryMB: u.MemoryMB,
				Cached: map[string]placement.Tier{}, Loads: map[string]int{}}
			e.restart()
			w.Engines = append(w.Engines, e)
		}
	}
	return w
}

// nominalLoadTime is the catalogue's load time, shorter for cached checkpoints.
func (w *World) nominalLoadTime(name string, tier placement.Tier) time.Duration {
	for i := range w.Index.Catalog.Pools {
		if m := w.Index.Catalog.Pools[i].Model(name); m != nil {
			return time.Duration(float64(m.LoadTime) * [...]float64{1, 0.4, 0.1}[tier])
		}
	}
	return time.Second
}

// After runs f after a delay.
func (w *World) After(d time.Duration, f func()) { w.At(w.Now.Add(d), f) }

// At runs f at a time.
func (w *World) At(t time.Time, f func()) {
	if t.Before(w.Now) {
		t = w.Now
	}
	w.seq++
	heap.Push(&w.events, event{at: t, seq: w.seq, run: f})
}

// Run advances the virtual time by a duration and runs the events due in it.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		ev := heap.Pop(&w.events).(event)
		w.Now = ev.at
		ev.run()
		if w.OnChange != nil && w.changed {
			w.changed = false
			w.OnChange()
		}
	}
	w.Now = end
}

// Steps is the number of controller operations so far.
func (w *World) Steps() int { return w.steps }

// Engine returns the engine with the address, or nil.
func (w *World) Engine(address string) *Engine {
	for _, e := range w.Engines {
		if e.Address == address {
			return e
		}
	}
	return nil
}

// Rows returns all replica rows by key.
func (w *World) Rows() map[string]placement.Row {
	hook := w.Table.Hook
	w.Table.Hook = nil
	defer func() { w.Table.Hook = hook }()
	list, err := w.Table.List(background, "replica")
	if err != nil {
		panic(err)
	}
	rows := map[string]placement.Row{}
	for _, r := range list {
		var row placement.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			panic(err)
		}
		rows[r.Key] = row
	}
	return rows
}

// Verify returns every violated invariant: a copy without a row, or memory use
// above the limit.
func (w *World) Verify() []string {
	var violations []string
	var rows map[string]placement.Row
	for _, e := range w.Engines {
		if e.Used() > e.MemoryMB {
			violations = append(violations, fmt.Sprintf("%s: %d MiB of %d in use", e.Name, e.Used(), e.MemoryMB))
		}
		for id := range e.Copies {
			if rows == nil {
				rows = w.Rows()
			}
			if row, ok := rows[placement.Key(e.Pool, id)]; !ok || row.Upstream != e.Name {
				violations = append(violations, fmt.Sprintf("%s: copy %s (%s) has no row", e.Name, id, e.Copies[id].Model))
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// storedRows converts table rows to the planner's type.
func storedRows(rows []ports.Row) []placement.StoredRow {
	var list []placement.StoredRow
	for _, r := range rows {
		parts := strings.Split(r.Key, "/")
		s := placement.StoredRow{Pool: parts[1], ID: parts[2], Revision: r.Revision}
		if err := json.Unmarshal(r.Value, &s.Row); err != nil {
			panic(err)
		}
		list = append(list, s)
	}
	return list
}
