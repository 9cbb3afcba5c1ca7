package engine

import (
	"net/http"
	"sort"
	"time"
)

// States of a replica in the repository index.
const (
	ready       = "READY"
	loading     = "LOADING"
	unloading   = "UNLOADING"
	unavailable = "UNAVAILABLE"
)

// replica is one copy of a model or adapter.
type replica struct {
	id, model, base string
	memory          int64
	state           string
	timer           *time.Timer
	done            chan struct{} // closed when the load has ended
	idle            chan struct{} // closed when an unload has no chat left to wait for; nil before
}

// finish ends the load. The caller holds the engine's lock.
func (rep *replica) finish(loaded bool) {
	if rep.state != loading {
		return
	}
	rep.timer.Stop()
	rep.state = unavailable
	if loaded {
		rep.state = ready
	}
	close(rep.done)
}

type order struct {
	Parameters struct {
		ReplicaID    string `json:"replica_id"`
		FencingToken uint64 `json:"fencing_token"`
		Base         string `json:"base"`
		MemoryMB     int64  `json:"memory_mb"`
	} `json:"parameters"`
}

// admit checks the fencing token of an order. The caller holds mu.
func (e *Engine) admit(o order) bool {
	if o.Parameters.FencingToken < e.token {
		e.counts.StaleOrders++
		return !e.config.Fencing
	}
	e.token = o.Parameters.FencingToken
	return true
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := decode(r, &o); err != nil || o.Parameters.ReplicaID == "" {
		e.fail(w, r, http.StatusBadRequest, "a body with a replica_id is required")
		return
	}
	rep, status, message := e.begin(r.PathValue("name"), o)
	if rep == nil {
		e.fail(w, r, status, message)
		return
	}
	select {
	case <-rep.done:
	case <-r.Context().Done():
		return // the load goes on
	}
	e.mu.Lock()
	loaded := rep.state == ready
	e.mu.Unlock()
	if !loaded {
		e.fail(w, r, http.StatusServiceUnavailable, "the replica was withdrawn while it was loading")
		return
	}
	e.answer(w, r, http.StatusOK, struct{}{})
}

// begin starts the load of a replica, or finds the one that has its ID.
func (e *Engine) begin(model string, o order) (rep *replica, status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := o.Parameters
	if !e.admit(o) {
		return nil, http.StatusConflict, "the fencing token is stale"
	}
	if _, known := e.tiers[model]; len(e.config.Models) > 0 && !known {
		return nil, http.StatusNotFound, "unknown model " + model
	}
	if rep := e.replicas[p.ReplicaID]; rep != nil {
		switch {
		case rep.model != model:
			return nil, http.StatusBadRequest, "the replica ID belongs to model " + rep.model
		case rep.state == unloading:
			return nil, http.StatusServiceUnavailable, "the replica is being unloaded"
		}
		return rep, 0, ""
	}
	if p.Base != "" && !e.serves(p.Base) {
		return nil, http.StatusServiceUnavailable, "base model " + p.Base + " is not loaded"
	}
	if p.MemoryMB < 0 || e.memory()+p.MemoryMB > e.config.MemoryMB {
		e.counts.RefusedMemory++
		return nil, http.StatusInsufficientStorage, "not enough memory"
	}
	return e.start(model, o), 0, ""
}

func (e *Engine) start(model string, o order) *replica {
	p := o.Parameters
	rep := &replica{id: p.ReplicaID, model: model, base: p.Base, memory: p.MemoryMB, state: loading, done: make(chan struct{})}
	e.replicas[rep.id] = rep
	e.counts.Loads[model]++
	e.report()
	rep.timer = time.AfterFunc(e.loadTime(rep), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if rep.state != loading {
			return // withdrawn, or forgotten by a restart
		}
		if e.tiers[model] != Memory {
			e.tiers[model] = Disk
		}
		rep.finish(true)
	})
	return rep
}

func (e *Engine) loadTime(rep *replica) time.Duration {
	if rep.base != "" {
		return e.config.LoadAdapter
	}
	switch e.tiers[rep.model] {
	case Memory:
		return e.config.LoadMemory
	case Disk:
		return e.config.LoadDisk
	}
	return e.config.LoadRemote
}

// serves reports whether a replica of the model is ready. The caller holds mu.
func (e *Engine) serves(model string) bool {
	for _, rep := range e.replicas {
		if rep.model == model && rep.state == ready {
			return true
		}
	}
	return false
}

// unload withdraws a replica. Memory is free once its chats have ended. A
// replica that is not there counts as unloaded.
func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := decode(r, &o); err != nil || o.Parameters.ReplicaID == "" {
		e.fail(w, r, http.StatusBadRequest, "a body with a replica_id is required")
		return
	}
	e.mu.Lock()
	if !e.admit(o) {
		e.mu.Unlock()
		e.fail(w, r, http.StatusConflict, "the fencing token is stale")
		return
	}
	rep := e.replicas[o.Parameters.ReplicaID]
	if rep == nil || rep.model != r.PathValue("name") {
		e.mu.Unlock()
		e.answer(w, r, http.StatusOK, struct{}{})
		return
	}
	if rep.idle == nil {
		rep.finish(false)
		rep.state, rep.idle = unloading, make(chan struct{})
		e.counts.Unloads++
		e.settleUnloads(rep.model)
	}
	e.mu.Unlock()
	select {
	case <-rep.idle:
		e.answer(w, r, http.StatusOK, struct{}{})
	case <-r.Context().Done():
	}
}

// settleUnloads completes the unloads of a model that no chat holds up. The
// caller holds mu.
func (e *Engine) settleUnloads(model string) {
	if e.chats[model] > 0 && !e.serves(model) {
		return
	}
	for id, rep := range e.replicas {
		if rep.model == model && rep.state == unloading {
			delete(e.replicas, id)
			close(rep.idle)
		}
	}
	e.report()
}

type entry struct {
	Name       string          `json:"name"`
	State      string          `json:"state"`
	Reason     string          `json:"reason"`
	Parameters entryParameters `json:"parameters"`
}

type entryParameters struct {
	ReplicaID  string `json:"replica_id"`
	MemoryMB   int64  `json:"memory_mb"`
	Checkpoint string `json:"checkpoint"`
}

// index lists the replicas, and the known models without one as UNAVAILABLE.
func (e *Engine) index(w http.ResponseWriter, r *http.Request) {
	var in struct{}
	if err := decode(r, &in); err != nil {
		e.fail(w, r, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	list := []entry{}
	present := map[string]bool{}
	for _, rep := range e.replicas {
		present[rep.model] = true
		list = append(list, entry{
			Name: rep.model, State: rep.state,
			Parameters: entryParameters{ReplicaID: rep.id, MemoryMB: rep.memory, Checkpoint: e.tier(rep.model)},
		})
	}
	for model := range e.tiers {
		if !present[model] {
			list = append(list, entry{
				Name: model, State: unavailable, Reason: "not loaded",
				Parameters: entryParameters{Checkpoint: e.tier(model)},
			})
		}
	}
	e.mu.Unlock()
	sort.Slice(list, func(i, j int) bool {
		if list[i].Name != list[j].Name {
			return list[i].Name < list[j].Name
		}
		return list[i].Parameters.ReplicaID < list[j].Parameters.ReplicaID
	})
	e.answer(w, r, http.StatusOK, list)
}

func (e *Engine) tier(model string) string {
	if tier := e.tiers[model]; tier != "" {
		return tier
	}
	return Remote
}
