package filter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/hibiscusyard/hibiscusyard/verdict"
)

// RequestIDHeader carries the ID that correlates a request with its answer.
const RequestIDHeader = "X-Request-Id"

// Handler runs the chain for each request and writes refusals.
type Handler struct {
	Chain   Next
	Log     log.Interface
	Metrics *metrics.Set
	// WriteTimeout bounds one write to a caller. Default 30s.
	WriteTimeout time.Duration
	// MaxHeader bounds the headers of a request in bytes. 0 means no bound.
	MaxHeader int
}

// ServeHTTP answers one request: with the upstream's answer or a refusal.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r := &Request{
		ID: uuid.NewString(), Arrived: time.Now(), HTTP: hr,
		Writer: &ResponseWriter{ResponseWriter: w, timeout: h.WriteTimeout},
	}
	r.Log = h.Log.WithField("request", r.ID)
	w.Header().Set(RequestIDHeader, r.ID)
	err := h.run(hr.Context(), r)
	h.finish(r, err)
}

func (h *Handler) run(ctx context.Context, r *Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			if p == http.ErrAbortHandler {
				panic(p)
			}
			r.Log.WithField("stack", string(debug.Stack())).Error("panic in the filter chain")
			err = r.Attempt.Refuse(verdict.InternalError, "internal error")
		}
	}()
	if n := headerSize(r.HTTP); h.MaxHeader > 0 && n > h.MaxHeader {
		return verdict.New(verdict.HeadersTooLarge, "the headers exceed %d bytes", h.MaxHeader)
	}
	return h.Chain(ctx, r)
}

// headerSize returns the size of a request's line and headers in bytes, as
// they are written.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// finish answers with the refusal, if there is one, and counts the request. An
// answer that has begun and can't be completed breaks off with the connection,
// so that it never looks whole.
func (h *Handler) finish(r *Request, err error) {
	outcome, ended := "served", true
	if err != nil {
		refusal := verdict.From(err)
		outcome = string(refusal.Reason)
		if !r.Writer.Begun() {
			WriteRefusal(r.Writer, refusal)
		} else {
			ended = endBegun(r.Writer, refusal)
		}
		entry := r.Log.WithFields(log.Fields{"code": refusal.Reason, "verdict": refusal.Verdict().String(), "detail": refusal.Message})
		if refusal.Cause != nil {
			entry = entry.WithField("cause", refusal.Cause.Error())
		}
		entry.Info("request refused")
	}
	name := fmt.Sprintf(`hibiscusyard_requests_total{outcome=%q}`, outcome)
	h.Metrics.GetOrCreateCounter(name).Inc()
	h.Metrics.GetOrCreateHistogram(`hibiscusyard_request_duration_seconds`).UpdateDuration(r.Arrived)
	if !ended {
		panic(http.ErrAbortHandler)
	}
}

// WriteRefusal answers with the JSON form of a refusal.
func WriteRefusal(w http.ResponseWriter, refusal *verdict.Refusal) {
	body := verdict.Describe(refusal)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(body.Error.RetryAfter, 10))
	}
	if refusal.Status() == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status())
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may have gone.
}

// LimitWrites lifts the write deadline that the last request on a connection
// has left behind, and bounds the writes that follow the handler.
func LimitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		control.SetWriteDeadline(time.Time{})                                     //nolint:errcheck // not every writer has deadlines.
		defer func() { control.SetWriteDeadline(time.Now().Add(writeTimeout)) }() //nolint:errcheck // as above.
		next.ServeHTTP(w, r)
	})
}

// WriteErrorEvent ends an event stream that can't be completed. Only whole
// events have been passed on before it.
func WriteErrorEvent(w *ResponseWriter, refusal *verdict.Refusal) error {
	data, err := json.Marshal(verdict.Describe(refusal))
	if err != nil {
		return err
	}
	return w.send(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data), true)
}
