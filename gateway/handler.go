package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// drainingRetryAfter is the Retry-After of requests that a terminating instance
// refuses: another instance can accept them immediately.
const drainingRetryAfter = 50 * time.Millisecond

// Handler serves the platform's ingress through a filter chain. It implements
// request.Surface.
type Handler struct {
	dialect  Dialect
	server   *request.Server[*Request]
	draining atomic.Bool
	closing  atomic.Bool
	active   atomic.Int64
	quitOnce sync.Once
	quit     chan struct{}
	// ended is cancelled when the requests in flight are ended.
	ended context.Context
	end   context.CancelFunc
}

// NewHandler returns a handler for callers that use the given dialect.
func NewHandler(dialect Dialect, chain Next, memory *request.Memory, logger log.Interface, set *metrics.Set) *Handler {
	h := &Handler{dialect: dialect, quit: make(chan struct{})}
	h.ended, h.end = context.WithCancel(context.Background())
	h.server = &request.Server[*Request]{Surface: h, Chain: chain, Log: logger, Metrics: set, Memory: memory}
	return h
}

// Drain makes all further responses close their connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Close makes the handler refuse all further requests.
func (h *Handler) Close() { h.closing.Store(true) }

// RefuseWaiting refuses the requests that wait for an upstream, now and later, unless the
// caller has a part of a stream.
func (h *Handler) RefuseWaiting() { h.quitOnce.Do(func() { close(h.quit) }) }

// EndRequests ends the requests in flight. Those whose answer has not begun are refused.
func (h *Handler) EndRequests() { h.end() }

// errEnded is the cause of the cancellation of requests by EndRequests.
var errEnded = errors.New("this instance ends")

// Active returns the number of requests in flight.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	ctx, cancel := context.WithCancelCause(hr.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.ended, func() { cancel(errEnded) })()
	h.server.Serve(ctx, w, hr)
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
		return r, verdict.New(verdict.Draining, "this instance is about to end").WithRetryAfter(drainingRetryAfter)
	}
	return r, nil
}

// Refuse implements request.Surface.
func (h *Handler) Refuse(w *request.Writer, refusal *verdict.Refusal) error {
	status := refusal.Status()
	if verdict.PromisesNotRun(status) && refusal.Verdict() != verdict.NotRun {
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

// Cut implements request.Surface. Streams of this ingress have no error event:
// only closing the connection shows the caller that a response is incomplete.
func (h *Handler) Cut(*request.Writer, *verdict.Refusal) bool { return false }
