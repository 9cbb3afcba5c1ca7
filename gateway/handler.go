package gateway

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// lateComeBack is when a caller may come back that an instance about to end
// has turned away: another instance takes it at once.
const drainingRetryAfter = 50 * time.Millisecond

// Handler answers the callers of the platform's ingress through a chain. It is
// a request.Surface.
type Handler struct {
	dialect  Dialect
	server   *request.Server[*Request]
	draining atomic.Bool
	closing  atomic.Bool
	active   atomic.Int64
	quitOnce sync.Once
	quit     chan struct{}
}

// NewHandler returns a handler for callers of the dialect.
func NewHandler(dialect Dialect, chain Next, logger log.Interface, set *metrics.Set) *Handler {
	h := &Handler{dialect: dialect, quit: make(chan struct{})}
	h.server = &request.Server[*Request]{Surface: h, Chain: chain, Log: logger, Metrics: set}
	return h
}

// Drain makes all further answers end their connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Close turns away all further requests.
func (h *Handler) Close() { h.closing.Store(true) }

// Quit ends the requests that wait and have not been handed to an upstream.
func (h *Handler) Quit() { h.quitOnce.Do(func() { close(h.quit) }) }

// Active returns the number of requests without a final answer.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	h.server.ServeHTTP(w, hr)
}

// Open implements request.Surface.
func (h *Handler) Open(w http.ResponseWriter, hr *http.Request) (*Request, error) {
	r := &Request{Request: request.Request{Writer: request.NewWriter(w, 0)}, Quit: h.quit}
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := h.dialect.Read(hr.Header, &r.Request); err != nil {
		return r, verdict.New(verdict.BadRequest, "%v", err)
	}
	if h.closing.Load() {
		return r, verdict.New(verdict.Draining, "this instance is about to end").After(drainingRetryAfter)
	}
	return r, nil
}

// promises tells the statuses by which a caller learns that its request has
// not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// Refuse implements request.Surface.
func (h *Handler) Refuse(w *request.Writer, refusal *verdict.Refusal) error {
	status := refusal.Status()
	if notRunStatuses[status] && refusal.Verdict() != verdict.NotRun {
		status = http.StatusBadGateway
	}
	body, err := json.Marshal(verdict.Describe(refusal))
	if err != nil {
		return err
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", h.dialect.RetryAfter(refusal.RetryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	return w.WriteAll(status, body)
}

// Cut implements request.Surface. Streams have no event for errors here, so
// that only a broken connection shows that an answer is not whole.
func (h *Handler) Cut(*request.Writer, *verdict.Refusal) bool { return false }
