package userplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
)

// Engine is the part of an upstream that loads and runs models.
type Engine struct {
	// ModelCapacity is the number of models, of equal size, that fit in memory.
	ModelCapacity int
	// AdapterSlots is the number of adapters that fit in memory.
	AdapterSlots int
	// LoadTime is the duration of the load of a model.
	LoadTime time.Duration
	// Models maps the loaded models to their loaded adapters.
	Models map[string][]string
	// Batch configures how concurrent requests affect each other.
	Batch Batch
	// Fencing makes the engine refuse orders with a fencing token below the
	// highest one seen.
	Fencing bool

	upstream      *Upstream
	mu            sync.Mutex
	sequence      int64
	token         uint64 // highest fencing token seen
	busy          bool
	holders       []string
	overcommitted bool
	lostResponses int // number of next orders whose response is lost
	endlessCalls  bool
	batch         batchState
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     uint64 `json:"fencingToken"`
}

// LoseOrderResponses makes the engine execute the next n orders without a response.
func (e *Engine) LoseOrderResponses(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lostResponses = n
}

// AnswerCallsEndlessly makes the engine answer reports and orders with a body that
// continues until the caller disconnects.
func (e *Engine) AnswerCallsEndlessly() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endlessCalls = true
}

// SetLoadTime sets the duration of the loads of models that begin from now on.
func (e *Engine) SetLoadTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.LoadTime = d
}

// Holders returns the holder field of each order, in the order of arrival.
func (e *Engine) Holders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.holders)
}

// Overcommitted reports whether the engine ever accepted an order to load more models
// or adapters than fit.
func (e *Engine) Overcommitted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommitted
}

// Loaded returns the names of the loaded models, sorted.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.Models))
	for name := range e.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type modelEntry struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (e *Engine) modelEntries() []modelEntry {
	list := []modelEntry{}
	for name, adapters := range e.Models {
		list = append(list, modelEntry{Name: name, Version: 1, Adapters: append([]string{}, adapters...)})
	}
	slices.SortFunc(list, func(a, b modelEntry) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// addModels adds the loaded models to the upstream's entry.
func (e *Engine) addModels(entry map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry["models"] = e.modelEntries()
}

// rejectionStatus returns the HTTP status for a model or adapter that is not
// loaded, else 0.
func (e *Engine) rejectionStatus(header string) int {
	model, adapter, _ := strings.Cut(header, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.Models[model]
	if !ok || (adapter != "" && !slices.Contains(adapters, adapter)) {
		return http.StatusMisdirectedRequest
	}
	return 0
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	endless := e.endlessCalls
	e.mu.Unlock()
	if endless {
		writeEndlessly(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "[", 0)
		return
	}
	if r.URL.Path == "/report" {
		e.mu.Lock()
		defer e.mu.Unlock()
		standin.WriteJSON(w, "application/json", http.StatusOK, map[string]any{
			"stage": "both", "models": e.modelEntries(), "busy": e.busy, "sequence": e.sequence,
		})
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, loseResponse := e.execute(o)
	e.updateCounters(func(w *EngineCounters) {
		w.Orders++
		if status >= http.StatusBadRequest {
			w.Refused++
		}
		if status == http.StatusAccepted && o.Operation == "load" && o.Adapter == "" {
			w.Loads++
		}
	})
	if loseResponse {
		sendRaw(w, "")
		return
	}
	w.WriteHeader(status)
}

// execute executes an order and returns its HTTP status and whether the response
// is lost.
func (e *Engine) execute(o order) (status int, loseResponse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holders = append(e.holders, o.Holder)
	if e.Fencing && o.Token < e.token {
		return http.StatusPreconditionFailed, false
	}
	e.token = max(e.token, o.Token)
	if e.busy || (o.Expected != nil && *o.Expected != e.sequence) {
		return http.StatusConflict, false
	}
	if e.lostResponses > 0 {
		e.lostResponses--
		loseResponse = true
	}
	adapters, loaded := e.Models[o.Model]
	switch {
	case o.Adapter != "" && !loaded:
		return http.StatusMisdirectedRequest, loseResponse
	case o.Adapter != "" && (o.Operation == "load") == slices.Contains(adapters, o.Adapter):
		return http.StatusOK, loseResponse // already done; the sequence number stays
	case o.Adapter != "":
		e.sequence++
		if o.Operation == "unload" {
			e.Models[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
			return http.StatusOK, loseResponse
		}
		e.Models[o.Model] = append(adapters, o.Adapter)
		e.overcommitted = e.overcommitted || e.countAdapters() > e.AdapterSlots
		return http.StatusAccepted, loseResponse
	case (o.Operation == "load") == loaded:
		return http.StatusOK, loseResponse
	case o.Operation == "load":
		e.overcommitted = e.overcommitted || len(e.Models)+1 > e.ModelCapacity
	}
	e.sequence++
	e.busy = true
	go e.completeOrder(o, e.LoadTime)
	return http.StatusAccepted, loseResponse
}

func (e *Engine) countAdapters() int {
	n := 0
	for _, list := range e.Models {
		n += len(list)
	}
	return n
}

func (e *Engine) completeOrder(o order, loadTime time.Duration) {
	if o.Operation == "load" {
		<-time.After(loadTime)
	}
	e.mu.Lock()
	if o.Operation == "load" {
		e.Models[o.Model] = nil
	} else {
		delete(e.Models, o.Model)
	}
	e.busy = false
	e.mu.Unlock()
	e.upstream.Register() //nolint:errcheck // the store is in memory
}

// stream writes the events of a response, starting after the last event ID that
// the caller has received.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	last, err := strconv.Atoi(r.Header.Get(HeaderResume))
	if err != nil {
		last = 0
	}
	p := readPrompt(r.Header)
	release := e.batch.reserve(r.Context(), e.Batch, p.in+p.out)
	if release == nil {
		return
	}
	defer release()
	if !duration.Sleep(r.Context(), e.batch.prefillTime(e.Batch, p)) {
		return
	}
	if e.upstream.crashIfTriggered(r) {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	events, work := e.upstream.currentPace()
	if fault == EmptyStream {
		return
	}
	for id := last + 1; id <= events; id++ {
		if fault == CutStream && id > events/2 {
			fmt.Fprintf(w, "id: %d\nda", id)
			control.Flush() //nolint:errcheck // the connection is aborted next.
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, e.upstream.event(id)) //nolint:errcheck // the flush shows a caller that has disconnected.
		others := float64(e.upstream.Running() - 1)
		if control.Flush() != nil || !duration.Sleep(r.Context(), time.Duration(float64(work)*(1+e.Batch.Slowdown*others))) {
			return
		}
	}
}
