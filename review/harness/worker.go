package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// arrival is a request that reached a worker.
type arrival struct {
	at     time.Time
	id     string
	tenant string
	ran    bool
}

// orderCall is an order that reached a worker.
type orderCall struct {
	at            time.Time
	holder, model string
	token         uint64
	status        int
}

// worker is a stand-in of a worker that follows the users' pages: a plain service, or a
// model worker if loadTime is set.
type worker struct {
	s           *system
	id, service string
	slots       int
	coldTime    time.Duration // for which it is cold after a start
	loadTime    time.Duration // of one model
	disk        []string      // models that it keeps on its disk
	through     string        // address in its entry, if that is not its own
	// serve answers a request that the worker accepts to run. The headers that all
	// answers have are set.
	serve func(w http.ResponseWriter, r *http.Request)
	// admit, if set, may refuse a request before it runs; it then writes the answer.
	admit func(w http.ResponseWriter, r *http.Request) (refused bool)

	mu        sync.Mutex
	address   string
	server    *http.Server
	born      int64
	entries   int64
	coldUntil time.Time
	models    []string
	orders    int64 // accepted ones
	calls     []orderCall
	busy      bool
	arrivals  []arrival
}

// start starts the worker, at its earlier address if it had one.
func (w *worker) start() error {
	w.mu.Lock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		w.mu.Unlock()
		return err
	}
	w.address, w.born, w.entries, w.orders, w.busy = listener.Addr().String(), time.Now().UnixMilli(), 0, 0, false
	w.coldUntil = time.Now().Add(w.coldTime)
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // ends with crash.
	w.s.note("worker %s started at %s", w.id, listener.Addr())
	return w.register()
}

func (s *system) addWorker(w *worker) error {
	w.s = s
	s.workers = append(s.workers, w)
	return w.start()
}

// crash ends the worker without a word; what it holds and knows is lost.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	w.server, w.models = nil, nil
	w.mu.Unlock()
	if server != nil {
		w.s.note("worker %s ends", w.id)
		server.Close()
	}
}

// register writes the entry of the worker.
func (w *worker) register() error {
	w.mu.Lock()
	w.entries++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": zone, "version": "v1", "slots": w.slots, "state": "ready",
		"coldRemainingMs": max(time.Until(w.coldUntil).Milliseconds(), 0), "sequence": w.entries, "born": w.born,
	}
	if w.loadTime > 0 {
		entry["models"] = w.modelList()
	}
	if w.disk != nil {
		entry["atHand"] = map[string]any{"inMemory": []string{}, "onDisk": w.disk}
	}
	if w.through != "" {
		entry["address"] = w.through
	}
	w.mu.Unlock()
	return w.s.store.Put("servers", w.id, entry)
}

// modelList returns the models as entries and reports have them. The caller holds mu.
func (w *worker) modelList() []map[string]any {
	list := []map[string]any{}
	for _, name := range w.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Hibiscusyard-Instance-Id", w.id)
	id := r.Header.Get(userplatform.HeaderID)
	if id != "" {
		rw.Header().Set(userplatform.HeaderID, id)
	}
	if expected := r.Header.Get(userplatform.HeaderExpectedInstance); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.report(rw)
		return
	case "/order":
		w.order(rw, r)
		return
	}
	model, _, _ := strings.Cut(r.Header.Get(userplatform.HeaderModel), "/")
	w.mu.Lock()
	if w.loadTime > 0 && !slices.Contains(w.models, model) {
		w.mu.Unlock()
		rw.Header().Set(userplatform.HeaderNotExecuted, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.arrivals = append(w.arrivals, arrival{at: time.Now(), id: id, tenant: r.Header.Get(userplatform.HeaderTenant)})
	n := len(w.arrivals) - 1
	w.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if w.admit != nil && w.admit(rw, r) {
		w.s.note("worker %s refuses %s", w.id, id)
		return
	}
	w.mu.Lock()
	w.arrivals[n].ran = true
	w.mu.Unlock()
	w.s.note("worker %s runs %s", w.id, id)
	rw.Header().Set(userplatform.HeaderSignature, "signature-of-"+w.id+"-for-"+id)
	w.serve(rw, r)
}

// all returns the requests that reached the worker.
func (w *worker) all() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(map[string]any{ //nolint:errcheck // the caller may have left.
		"stage": "both", "models": w.modelList(), "busy": w.busy, "sequence": w.orders, "waiting": 0, "running": 0,
		"kvCacheUsed": 0, "kvCacheTotal": 100000, "handles": 0,
	})
}

// order carries out an order to load or unload a model.
func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Holder string
		Expected                 *int64
		FencingToken             uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	held := slices.Contains(w.models, o.Model)
	status := http.StatusAccepted
	switch {
	case w.busy || o.Expected != nil && *o.Expected != w.orders:
		status = http.StatusConflict
	case held == (o.Operation == "load"):
		status = http.StatusOK
	default:
		w.orders, w.busy = w.orders+1, true
		born := w.born
		time.AfterFunc(w.loadTime, func() { w.finish(born, o.Operation, o.Model) })
	}
	w.calls = append(w.calls, orderCall{time.Now(), o.Holder, o.Model, o.FencingToken, status})
	w.s.note("worker %s gets the order %s %s of %s (generation %d): %d", w.id, o.Operation, o.Model, o.Holder, o.FencingToken, status)
	rw.WriteHeader(status)
}

// finish ends an order of one run of the worker.
func (w *worker) finish(born int64, operation, model string) {
	w.mu.Lock()
	if w.born != born || w.server == nil {
		w.mu.Unlock()
		return
	}
	w.busy = false
	w.models = slices.DeleteFunc(w.models, func(m string) bool { return m == model })
	if operation == "load" {
		w.models = append(w.models, model)
	}
	w.mu.Unlock()
	w.s.note("worker %s has carried out %s %s", w.id, operation, model)
	w.register() //nolint:errcheck // the store is in memory.
}

// plainAnswer answers after some work.
func plainAnswer(work time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "answer to %s", r.Header.Get(userplatform.HeaderID))
	}
}

// streamAnswer answers with events at a pace.
func streamAnswer(events int, pace time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for id := 1; id <= events; id++ {
			fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
			if control.Flush() != nil {
				return
			}
			select {
			case <-time.After(pace):
			case <-r.Context().Done():
				return
			}
		}
	}
}
