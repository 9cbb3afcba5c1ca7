package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/bootclock"
	"github.com/hibiscusyard/hibiscusyard/verdict"
)

// Handler answers callers through the chain.
type Handler struct {
	Dialect  Dialect
	Chain    Next
	Log      log.Interface
	Metrics  *metrics.Set
	draining atomic.Bool
	closing  atomic.Bool
	active   atomic.Int64
	quitMu   sync.Mutex
	quitOnce sync.Once
	quit     chan struct{}
}

// lateComeBack is when a caller may come back that an instance about to end
// has turned away: another instance takes it at once.
const lateComeBack = 50 * time.Millisecond

// Drain makes all further answers end their connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Close turns away all further requests.
func (h *Handler) Close() { h.closing.Store(true) }

// Quit ends the requests that wait and have not been handed to an upstream.
func (h *Handler) Quit() { h.quitOnce.Do(func() { close(h.quitting()) }) }

func (h *Handler) quitting() chan struct{} {
	h.quitMu.Lock()
	defer h.quitMu.Unlock()
	if h.quit == nil {
		h.quit = make(chan struct{})
	}
	return h.quit
}

// Active returns the number of requests without a final answer.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	r := &Request{Arrived: bootclock.Now(), HTTP: hr, Writer: &Writer{inner: w}}
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	r.Quit = h.quitting()
	call, err := h.Dialect.ReadCall(hr.Header)
	r.Call = call
	r.Log = h.Log.WithField("request", call.ID)
	if err != nil {
		h.finish(r, verdict.New(verdict.BadRequest, "%v", err))
		return
	}
	if h.closing.Load() {
		h.finish(r, verdict.New(verdict.Draining, "this instance is about to end").After(lateComeBack))
		return
	}
	h.finish(r, h.run(hr.Context(), r))
}

// run passes the request through the chain. A panic ends only this request.
func (h *Handler) run(ctx context.Context, r *Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			if p == http.ErrAbortHandler {
				panic(p)
			}
			r.Log.WithField("panic", fmt.Sprint(p)).WithField("stack", string(debug.Stack())).Error("panic in the filter chain")
			err = r.Attempt.Refuse(verdict.InternalError, "internal error")
		}
	}()
	return h.Chain(ctx, r)
}

// promises tells the statuses by which a caller learns that its request has
// not run and never will.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// finish answers with the refusal, if there is one. An answer that has begun
// and can't be completed breaks off with the connection, so that it never
// looks whole.
func (h *Handler) finish(r *Request, err error) {
	outcome := "served"
	if err == nil && !r.Writer.Begun() {
		// net/http would answer with a success that no upstream vouches for.
		err = r.Attempt.Refuse(verdict.InternalError, "the chain ended without an answer")
	}
	if err != nil {
		refusal := verdict.From(err)
		outcome = string(refusal.Reason)
		h.logRefusal(r, refusal)
		if !r.Writer.Begun() {
			h.refuse(r.Writer, refusal)
		}
	}
	h.Metrics.GetOrCreateCounter(fmt.Sprintf(`hibiscusyard_requests_total{outcome=%q}`, outcome)).Inc()
	h.Metrics.GetOrCreateHistogram(`hibiscusyard_request_duration_seconds`).Update(bootclock.Since(r.Arrived).Seconds())
	if err != nil && r.Writer.Begun() && !r.Writer.Complete() {
		panic(http.ErrAbortHandler)
	}
}

// refuse writes the final answer of a request that is not served.
func (h *Handler) refuse(w *Writer, refusal *verdict.Refusal) {
	status := refusal.Status()
	if promises[status] && refusal.Verdict() != verdict.NotRun {
		status = http.StatusBadGateway
	}
	body, err := json.Marshal(verdict.Describe(refusal))
	if err != nil {
		h.Log.WithError(err).Error("refusal not encoded")
	}
	header := w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", h.Dialect.RetryAfter(refusal.RetryAfter))
	}
	header.Set("Content-Type", "application/json")
	w.WriteAll(status, body)
}

func (h *Handler) logRefusal(r *Request, refusal *verdict.Refusal) {
	fields := log.Fields{
		"code": refusal.Reason, "verdict": refusal.Verdict().String(), "detail": refusal.Message,
		"retry_after_ms": refusal.RetryAfter.Milliseconds(), "after_ms": bootclock.Since(r.Arrived).Milliseconds(),
		"begun": r.Writer.Begun(),
	}
	if r.Route != nil {
		fields["route"], fields["config"], fields["config_age_ms"] = r.Route.Name, r.View.Config.Version, r.ViewAge.Milliseconds()
	}
	if r.Model != "" {
		fields["model"], fields["adapter"] = r.Model, r.Adapter
	}
	if r.last != "" {
		fields["upstream"] = r.last
	}
	if refusal.Cause != nil {
		fields["cause"] = refusal.Cause.Error()
	}
	r.Log.WithFields(fields).Info("request refused")
}

// Writer writes one answer and knows how far it has got.
type Writer struct {
	inner    http.ResponseWriter
	begun    bool
	complete bool
}

// Header returns the headers of the answer.
func (w *Writer) Header() http.Header { return w.inner.Header() }

// Begun reports whether a part of the answer has been written.
func (w *Writer) Begun() bool { return w.begun }

// Complete reports whether the whole answer has been written.
func (w *Writer) Complete() bool { return w.complete }

// WriteAll writes a whole answer. A caller that is gone does not read it,
// which is no error of the answer.
func (w *Writer) WriteAll(status int, body []byte) error {
	w.begun, w.complete = true, true
	w.inner.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.inner.WriteHeader(status)
	_, err := w.inner.Write(body)
	return err
}

// Begin writes the head of an answer that follows piece by piece.
func (w *Writer) Begin(status int) {
	w.begun = true
	w.inner.WriteHeader(status)
}

// Send writes a piece and hands it to the network at once.
func (w *Writer) Send(piece []byte) error {
	if _, err := w.inner.Write(piece); err != nil {
		return err
	}
	return http.NewResponseController(w.inner).Flush()
}

// End marks an answer that was written piece by piece as whole.
func (w *Writer) End() { w.complete = true }

// LimitWrite bounds the time for writing to a caller that does not read.
func (w *Writer) LimitWrite(left time.Duration) error {
	return http.NewResponseController(w.inner).SetWriteDeadline(time.Now().Add(left))
}
