// Package placementtest runs planners against fake engines and a fake table
// on virtual time, with faults. The planner's tests and the placement
// experiment share it.
package placementtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
)

// Engine is a fake model engine. It does not refuse loads for lack of memory but
// counts the memory, so that tests detect a planner that overcommits.
type Engine struct {
	Pool, Name, Address string
	Fencing             bool
	MemoryMB            int64
	Incarnation         string
	Down                bool
	// Cached maps models to the tiers of their checkpoints.
	Cached map[string]placement.Tier
	// MaxToken is the highest fencing token received. It survives a restart: an
	// engine that checks tokens is assumed to persist it.
	MaxToken uint64
	Copies   map[string]*Copy
	// Loads counts the loads started, by model.
	Loads    map[string]int
	restarts int
}

// Copy is a loaded or loading replica.
type Copy struct {
	ID, Model string
	MemoryMB  int64
	Ready     bool
	StartedAt time.Time
	attempt   int
	waiters   []func(placement.OrderAnswered)
}

// Used is the memory of all copies in MiB.
func (e *Engine) Used() int64 {
	var sum int64
	for _, c := range e.Copies {
		sum += c.MemoryMB
	}
	return sum
}

// Restart replaces the engine by a new process with nothing loaded. Pending orders
// are answered with an unknown outcome.
func (w *World) Restart(e *Engine) {
	for _, c := range e.Copies {
		for _, f := range c.waiters {
			f(placement.OrderAnswered{Pool: e.Pool, ID: c.ID, Attempt: c.attempt})
		}
	}
	e.restart()
}

func (e *Engine) restart() {
	e.restarts++
	e.Incarnation = fmt.Sprintf("%s#%d", e.Name, e.restarts)
	e.Copies = map[string]*Copy{}
}

// hasReady reports whether a model is ready.
func (e *Engine) hasReady(model string) bool {
	for _, c := range e.Copies {
		if c.Model == model && c.Ready {
			return true
		}
	}
	return false
}

func (e *Engine) staleToken(token uint64) bool {
	if e.Fencing && token < e.MaxToken {
		return true
	}
	e.MaxToken = max(e.MaxToken, token)
	return false
}

// load applies a load order on arrival and calls answer when the load is complete.
func (w *World) load(e *Engine, o placement.SendLoad, answer func(placement.OrderAnswered)) {
	out := placement.OrderAnswered{Pool: o.Pool, ID: o.ID, Attempt: o.Attempt, Incarnation: e.Incarnation}
	if e.staleToken(o.Token) {
		out.Outcome, out.Reason = placement.OrderRefused, "stale_fencing_token"
		answer(out)
		return
	}
	out.Outcome = placement.OrderDone
	if c := e.Copies[o.ID]; c != nil {
		if c.Ready {
			answer(out)
		} else {
			c.waiters = append(c.waiters, answer)
		}
		return
	}
	w.changed = true
	c := &Copy{ID: o.ID, Model: o.Model, MemoryMB: o.MemoryMB, StartedAt: w.Now, attempt: o.Attempt, waiters: []func(placement.OrderAnswered){answer}}
	if o.Base != "" && !e.hasReady(o.Base) {
		w.LoadsWithoutBase++
	}
	e.Copies[o.ID] = c
	e.Loads[o.Model]++
	w.LoadsBegun++
	tier := e.Cached[o.Model]
	took := w.LoadTime(e, o.Model, tier)
	if o.Base == "" && tier == placement.Remote {
		w.storeLoads++
		w.MaxStoreLoads = max(w.MaxStoreLoads, w.storeLoads)
	}
	incarnation := e.Incarnation
	w.After(took, func() {
		if o.Base == "" && tier == placement.Remote {
			w.storeLoads--
		}
		if e.Incarnation != incarnation || e.Copies[o.ID] != c {
			return
		}
		c.Ready = true
		e.Cached[o.Model] = placement.Memory
		if w.OnLoaded != nil {
			w.OnLoaded(e, c)
		}
		for _, f := range c.waiters {
			f(out)
		}
		c.waiters = nil
	})
}

func (w *World) unload(e *Engine, o placement.SendUnload, answer func(placement.OrderAnswered)) {
	out := placement.OrderAnswered{Pool: o.Pool, ID: o.ID, Attempt: o.Attempt, Unload: true, Incarnation: e.Incarnation}
	if e.staleToken(o.Token) {
		out.Outcome, out.Reason = placement.OrderRefused, "stale_fencing_token"
	} else {
		out.Outcome = placement.OrderDone
		if c := e.Copies[o.ID]; c != nil && w.OnUnloaded != nil {
			w.OnUnloaded(e, c)
		}
		delete(e.Copies, o.ID)
	}
	answer(out)
}

// index returns the engine's index.
func (e *Engine) index(sent time.Time, load float64) placement.IndexRead {
	ev := placement.IndexRead{Pool: e.Pool, Upstream: e.Name, Sent: sent, Incarnation: e.Incarnation,
		Utilization: load, MemoryTotal: e.MemoryMB}
	loaded := map[string]bool{}
	for _, c := range e.Copies {
		loaded[c.Model] = true
		ev.Entries = append(ev.Entries, placement.IndexEntry{Model: c.Model, ReplicaID: c.ID, Ready: c.Ready,
			Present: true, MemoryMB: c.MemoryMB, Tier: e.Cached[c.Model]})
	}
	for model, tier := range e.Cached {
		if !loaded[model] && tier != placement.Remote {
			ev.Entries = append(ev.Entries, placement.IndexEntry{Model: model, Tier: tier})
		}
	}
	slices.SortFunc(ev.Entries, func(a, b placement.IndexEntry) int {
		if a.Model+a.ReplicaID < b.Model+b.ReplicaID {
			return -1
		}
		return 1
	})
	return ev
}
