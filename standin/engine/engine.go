// Package engine provides a stand-in for a model engine. It implements the
// model repository extension of the Open Inference Protocol, ORCA load reports,
// and the OpenAI-compatible chat API with server-sent events.
package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// Tiers in which a checkpoint is cached.
const (
	Memory = "memory"
	Disk   = "disk"
	Remote = "remote"
)

// Config configures an engine.
type Config struct {
	// MemoryMB is the accelerator memory in MiB. Default 16000.
	MemoryMB int64
	// Concurrency is the maximum number of concurrent chats. Default 16.
	Concurrency int
	// Fencing makes the engine refuse orders with an old fencing token. Default false.
	Fencing bool
	// Models maps the known models and adapters to the tier of their
	// checkpoints. If it is empty, every name is accepted, with a remote checkpoint.
	Models map[string]string
	// LoadMemory, LoadDisk, LoadRemote and LoadAdapter are load times by tier and for adapters. Default 0.
	LoadMemory, LoadDisk, LoadRemote, LoadAdapter time.Duration
	// Pace is the time between tokens. Default 0.
	Pace time.Duration
	// MaxTokens is the length of a response, in tokens, if the chat does not specify it. Default 16.
	MaxTokens int
}

// Counts holds the counters of an engine.
type Counts struct {
	standin.Counts
	Incarnation   string         `json:"incarnation"`
	Replicas      map[string]int `json:"replicas"`     // by model, including those that are loading
	MaxReplicas   map[string]int `json:"max_replicas"` // by model, maximum since the start of the stand-in
	Loads         map[string]int `json:"loads"`        // by model, loads started since the start of the stand-in
	Unloads       int            `json:"unloads"`
	MemoryUsedMB  int64          `json:"memory_used_mb"`
	MaxMemoryMB   int64          `json:"max_memory_mb"`
	StaleOrders   int            `json:"stale_orders"`   // orders with a fencing token below the highest one seen, refused or not
	RefusedMemory int            `json:"refused_memory"` // orders refused for lack of memory
	Chats         int            `json:"chats"`          // chats started
	Running       int            `json:"running"`
	MaxRunning    int            `json:"max_running"`
	Completed     int            `json:"completed"`
	Cancelled     int            `json:"cancelled"`
	Overloaded    int            `json:"overloaded"`
	NotLoaded     int            `json:"not_loaded"`
	ChatsByID     map[string]int `json:"chats_by_id"` // chats started, by request ID
	TokensSent    int64          `json:"tokens_sent"`
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	*standin.Gate
	process *standin.Process
	config  Config
	mux     *http.ServeMux

	mu       sync.Mutex
	replicas map[string]*replica // by replica ID
	tiers    map[string]string   // by model
	chats    map[string]int      // running chats by model
	token    uint64              // highest fencing token seen
	counts   Counts
}

// New returns an engine without loaded models.
func New(c Config) *Engine {
	if c.MemoryMB <= 0 {
		c.MemoryMB = 16000
	}
	if c.Concurrency <= 0 {
		c.Concurrency = 16
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = 16
	}
	e := &Engine{config: c, mux: http.NewServeMux()}
	e.process = standin.NewProcess(standin.LoadReport{NamedMetrics: standin.NamedMetrics{MemoryTotalMB: c.MemoryMB}})
	e.counts.MaxReplicas, e.counts.Loads, e.counts.ChatsByID = map[string]int{}, map[string]int{}, map[string]int{}
	e.resetProcessState()
	e.routes()
	return e
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v2/repository/models/{name}/load", e.load)
	e.mux.HandleFunc("POST /v2/repository/models/{name}/unload", e.unload)
	e.mux.HandleFunc("POST /v2/repository/index", e.index)
	e.mux.HandleFunc("GET /v2/health/ready", func(w http.ResponseWriter, r *http.Request) { e.respond(w, r, http.StatusOK, struct{}{}) })
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	unavailable := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == chatPath {
			e.chatError(w, r, http.StatusServiceUnavailable, "overloaded", "the engine takes no requests now")
			return
		}
		e.respondError(w, r, http.StatusServiceUnavailable, "the engine takes no orders now")
	}
	e.Gate = standin.NewGate(standin.Protocol{
		Throttled: unavailable,
		Failed: func(w http.ResponseWriter, r *http.Request) {
			e.respondError(w, r, http.StatusInternalServerError, "internal error")
		},
		Effect: func(r *http.Request) bool { return r.Method == http.MethodPost && r.URL.Path != indexPath },
	}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Faults().Refuse && r.URL.Path != indexPath && r.Method == http.MethodPost {
			unavailable(w, r)
			return
		}
		e.process.Serve(w, r, e.mux)
	}), func() any { return e.State() })
	e.HandleControl("POST /control/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
}

const (
	chatPath  = "/v1/chat/completions"
	indexPath = "/v2/repository/index"
)

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.stamp(w, r)
	e.Gate.ServeHTTP(w, r)
}

func (e *Engine) stamp(w http.ResponseWriter, r *http.Request) {
	e.process.SetHeaders(w.Header(), r, e.Faults().ReportLag.Std())
}

// Restart simulates a restart of the engine's process: it discards all replicas
// and aborts the connections of the requests in flight. Checkpoints on disk
// remain.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, rep := range e.replicas {
		rep.endLoad(false)
	}
	e.resetProcessState()
	e.process.Restart()
	e.reportLoad()
}

// resetProcessState resets the state that is lost in a restart, including the
// highest fencing token seen. Checkpoints cached in memory fall back to disk.
func (e *Engine) resetProcessState() {
	if e.tiers == nil {
		e.tiers = map[string]string{}
		for name, tier := range e.config.Models {
			e.tiers[name] = tier
		}
	}
	for name, tier := range e.tiers {
		if tier == Memory && e.replicas != nil {
			e.tiers[name] = Disk
		}
	}
	e.replicas, e.chats, e.token = map[string]*replica{}, map[string]int{}, 0
	e.counts.Running = 0
}

// State returns the counters.
func (e *Engine) State() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Counts, c.Incarnation = e.Gate.Counts(), e.process.Incarnation()
	c.Replicas, c.MemoryUsedMB = e.replicasByModel(), e.memoryUsed()
	c.MaxReplicas, c.Loads, c.ChatsByID = cloneCounts(c.MaxReplicas), cloneCounts(c.Loads), cloneCounts(c.ChatsByID)
	return c
}

func cloneCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (e *Engine) replicasByModel() map[string]int {
	n := map[string]int{}
	for _, rep := range e.replicas {
		n[rep.model]++
	}
	return n
}

func (e *Engine) memoryUsed() int64 {
	var used int64
	for _, rep := range e.replicas {
		used += rep.memory
	}
	return used
}

// reportLoad updates the ORCA load report and the maxima. The caller holds mu.
func (e *Engine) reportLoad() {
	used := e.memoryUsed()
	e.counts.MaxMemoryMB = max(e.counts.MaxMemoryMB, used)
	e.counts.MaxRunning = max(e.counts.MaxRunning, e.counts.Running)
	for model, n := range e.replicasByModel() {
		e.counts.MaxReplicas[model] = max(e.counts.MaxReplicas[model], n)
	}
	e.process.SetLoad(standin.LoadReport{
		ApplicationUtilization: float64(e.counts.Running) / float64(e.config.Concurrency),
		NamedMetrics: standin.NamedMetrics{
			RequestsInFlight: e.counts.Running, MemoryUsedMB: used, MemoryTotalMB: e.config.MemoryMB,
		},
	})
}

// respond writes a JSON response with the current load report in the headers.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, status int, body any) {
	e.stamp(w, r)
	standin.WriteJSON(w, "application/json", status, body)
}

type repositoryError struct {
	Error string `json:"error"`
}

func (e *Engine) respondError(w http.ResponseWriter, r *http.Request, status int, message string) {
	e.respond(w, r, status, repositoryError{message})
}

func decode(r *http.Request, into any) error {
	err := json.NewDecoder(r.Body).Decode(into)
	standin.Drain(r)
	return err
}
