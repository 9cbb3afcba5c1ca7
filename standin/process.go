package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Headers of the protocol between the platform and its upstreams.
const (
	HeaderIncarnation = "X-Upstream-Incarnation"
	HeaderLoad        = "endpoint-load-metrics"
	HeaderRequestID   = "X-Request-Id"
)

// LoadReport is a load report in the ORCA format (Open Request Cost Aggregation).
type LoadReport struct {
	ApplicationUtilization float64      `json:"application_utilization"`
	NamedMetrics           NamedMetrics `json:"named_metrics"`
}

// NamedMetrics holds the metrics of a load report other than the utilization.
type NamedMetrics struct {
	RequestsInFlight int   `json:"requests_in_flight"`
	MemoryUsedMB     int64 `json:"memory_used_mb"`
	MemoryTotalMB    int64 `json:"memory_total_mb"`
}

// Process simulates the operating system process of an upstream. It holds the
// incarnation ID, which changes on a restart, and the load report that is
// attached to responses.
type Process struct {
	mu          sync.Mutex
	incarnation string
	started     time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	load        *Lagged[LoadReport]
}

// NewProcess returns a freshly started process.
func NewProcess(idle LoadReport) *Process {
	p := &Process{load: NewLagged(idle)}
	p.Restart()
	return p
}

// Restart assigns a new incarnation ID and cancels the requests in flight.
func (p *Process) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
	p.incarnation = uuid.NewString()
	p.started = time.Now()
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// Incarnation returns the ID of the present incarnation.
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

// SetLoad records the current load.
func (p *Process) SetLoad(r LoadReport) { p.load.Set(time.Now(), r) }

// SetHeaders sets the headers common to all responses: the incarnation, the request
// ID if the request has one, and the load report as of lag ago.
func (p *Process) SetHeaders(h http.Header, r *http.Request, lag time.Duration) {
	h.Set(HeaderIncarnation, p.Incarnation())
	if id := r.Header.Get(HeaderRequestID); id != "" {
		h.Set(HeaderRequestID, id)
	}
	report, err := json.Marshal(p.load.Get(time.Now(), lag))
	if err == nil {
		h.Set(HeaderLoad, "JSON "+string(report))
	}
}

// Serve runs the handler. A restart of the process cancels the request and
// aborts its connection.
func (p *Process) Serve(w http.ResponseWriter, r *http.Request, h http.Handler) {
	p.mu.Lock()
	processCtx := p.ctx
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(processCtx, cancel)()
	h.ServeHTTP(w, r.WithContext(ctx))
	if processCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
