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

// replica is one loaded copy of a model or adapter.
type replica struct {
	id, model, base string
	memory          int64
	state           string
	timer           *time.Timer
	done            chan struct{} // closed when the load has ended, successfully or not
	drained         chan struct{} // closed when the chats that an unload waits for have ended; nil before the unload
}

// endLoad ends the load of the replica. It has no effect unless the replica is
// loading. The caller holds the engine's lock.
func (rep *replica) endLoad(loaded bool) {
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

// checkFencingToken reports whether an order may proceed by its fencing token
// and counts stale ones. The caller holds mu.
func (e *Engine) checkFencingToken(o order) bool {
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
		e.respondError(w, r, http.StatusBadRequest, "a body with a replica_id is required")
		return
	}
	rep, status, message := e.beginLoad(r.PathValue("name"), o)
	if rep == nil {
		e.respondError(w, r, status, message)
		return
	}
	select {
	case <-rep.done:
	case <-r.Context().Done():
		return // the load continues without the caller
	}
	e.mu.Lock()
	loaded := rep.state == ready
	e.mu.Unlock()
	if !loaded {
		e.respondError(w, r, http.StatusServiceUnavailable, "the replica was withdrawn while it was loading")
		return
	}
	e.respond(w, r, http.StatusOK, struct{}{})
}

// beginLoad starts the load of a replica, or returns the replica that already
// has its ID. If the order is refused, the replica is nil.
func (e *Engine) beginLoad(model string, o order) (rep *replica, status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := o.Parameters
	if !e.checkFencingToken(o) {
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
	if p.Base != "" && !e.hasReadyReplica(p.Base) {
		return nil, http.StatusServiceUnavailable, "base model " + p.Base + " is not loaded"
	}
	if p.MemoryMB < 0 || e.memoryUsed()+p.MemoryMB > e.config.MemoryMB {
		e.counts.RefusedMemory++
		return nil, http.StatusInsufficientStorage, "not enough memory"
	}
	return e.startLoad(model, o), 0, ""
}

func (e *Engine) startLoad(model string, o order) *replica {
	p := o.Parameters
	rep := &replica{id: p.ReplicaID, model: model, base: p.Base, memory: p.MemoryMB, state: loading, done: make(chan struct{})}
	e.replicas[rep.id] = rep
	e.counts.Loads[model]++
	e.reportLoad()
	rep.timer = time.AfterFunc(e.loadTime(rep), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if rep.state != loading {
			return // unloaded, or discarded by a restart
		}
		if e.tiers[model] != Memory {
			e.tiers[model] = Disk
		}
		rep.endLoad(true)
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

// hasReadyReplica reports whether a replica of the model is ready. The caller holds mu.
func (e *Engine) hasReadyReplica(model string) bool {
	for _, rep := range e.replicas {
		if rep.model == model && rep.state == ready {
			return true
		}
	}
	return false
}

// unload unloads a replica. Its memory is released after the chats that need it
// have ended. An order for an unknown replica succeeds.
func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := decode(r, &o); err != nil || o.Parameters.ReplicaID == "" {
		e.respondError(w, r, http.StatusBadRequest, "a body with a replica_id is required")
		return
	}
	e.mu.Lock()
	if !e.checkFencingToken(o) {
		e.mu.Unlock()
		e.respondError(w, r, http.StatusConflict, "the fencing token is stale")
		return
	}
	rep := e.replicas[o.Parameters.ReplicaID]
	if rep == nil || rep.model != r.PathValue("name") {
		e.mu.Unlock()
		e.respond(w, r, http.StatusOK, struct{}{})
		return
	}
	if rep.drained == nil {
		rep.endLoad(false)
		rep.state, rep.drained = unloading, make(chan struct{})
		e.counts.Unloads++
		e.completeUnloads(rep.model)
	}
	e.mu.Unlock()
	select {
	case <-rep.drained:
		e.respond(w, r, http.StatusOK, struct{}{})
	case <-r.Context().Done():
	}
}

// completeUnloads completes the pending unloads of a model, unless chats are
// running that no other ready replica can serve. The caller holds mu.
func (e *Engine) completeUnloads(model string) {
	if e.chats[model] > 0 && !e.hasReadyReplica(model) {
		return
	}
	for id, rep := range e.replicas {
		if rep.model == model && rep.state == unloading {
			delete(e.replicas, id)
			close(rep.drained)
		}
	}
	e.reportLoad()
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

// index lists the replicas, and the known models without a replica as UNAVAILABLE.
func (e *Engine) index(w http.ResponseWriter, r *http.Request) {
	var in struct{}
	if err := decode(r, &in); err != nil {
		e.respondError(w, r, http.StatusBadRequest, err.Error())
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
	e.respond(w, r, http.StatusOK, list)
}

func (e *Engine) tier(model string) string {
	if tier := e.tiers[model]; tier != "" {
		return tier
	}
	return Remote
}
