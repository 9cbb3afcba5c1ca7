package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Headers of upstreams.
const (
	HeaderIncarnation = "X-Upstream-Incarnation"
	HeaderLoad        = "endpoint-load-metrics"
	HeaderRequestID   = "X-Request-Id"
)

// LoadReport is an ORCA load report.
type LoadReport struct {
	ApplicationUtilization float64      `json:"application_utilization"`
	NamedMetrics           NamedMetrics `json:"named_metrics"`
}

// NamedMetrics are the metrics of a load report beyond the utilization.
type NamedMetrics struct {
	RequestsInFlight int   `json:"requests_in_flight"`
	MemoryUsedMB     int64 `json:"memory_used_mb"`
	MemoryTotalMB    int64 `json:"memory_total_mb"`
}

// Process is the run of an upstream's process: its incarnation, which a
// restart changes, and the load report that it attaches to its answers.
type Process struct {
	mu          sync.Mutex
	incarnation string
	started     time.Time
	ctx         context.Context
	end         context.CancelFunc
	load        *Lagged[LoadReport]
}

// NewProcess returns a freshly started process.
func NewProcess(idle LoadReport) *Process {
	p := &Process{load: NewLagged(idle)}
	p.Restart()
	return p
}

// Restart gives the process a new incarnation and ends the requests under way.
func (p *Process) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end != nil {
		p.end()
	}
	p.incarnation = uuid.NewString()
	p.started = time.Now()
	p.ctx, p.end = context.WithCancel(context.Background())
}

// Incarnation returns the ID of the run.
func (p *Process) Incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// Age returns the time since the last restart.
func (p *Process) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// Report records the present load.
func (p *Process) Report(r LoadReport) { p.load.Set(time.Now(), r) }

// Stamp sets the headers that every answer carries, with a load report as old
// as lag.
func (p *Process) Stamp(h http.Header, r *http.Request, lag time.Duration) {
	h.Set(HeaderIncarnation, p.Incarnation())
	if id := r.Header.Get(HeaderRequestID); id != "" {
		h.Set(HeaderRequestID, id)
	}
	report, err := json.Marshal(p.load.Get(time.Now(), lag))
	if err == nil {
		h.Set(HeaderLoad, "JSON "+string(report))
	}
}

// Serve runs the handler; a restart of the process breaks the connection.
func (p *Process) Serve(w http.ResponseWriter, r *http.Request, h http.Handler) {
	p.mu.Lock()
	life := p.ctx
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	h.ServeHTTP(w, r.WithContext(ctx))
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
