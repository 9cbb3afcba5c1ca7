package filter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// RequestIDHeader carries the ID that correlates a request with its response.
const RequestIDHeader = "X-Request-Id"

// writeTimeout bounds one write to a caller. The connection of a caller that
// reads nothing for that long is closed, so that it does not occupy an upstream.
const writeTimeout = 30 * time.Second

// NewHandler returns the HTTP handler that serves the requests of the surface
// with the chain, within the memory (nil for no bound).
func NewHandler(surface Surface, chain Next, memory *request.Memory, logger log.Interface, set *metrics.Set) http.Handler {
	return &request.Server[*Request]{Surface: surface, Chain: chain, Log: logger, Metrics: set, Memory: memory}
}

// Surface implements request.Surface for the OpenAI API and for plain services.
type Surface struct {
	// WriteTimeout bounds one write to a caller. Default 30s.
	WriteTimeout time.Duration
	// MaxHeader bounds the headers of a request in bytes. 0 means no bound.
	MaxHeader int
}

// Open implements request.Surface.
func (s Surface) Open(w http.ResponseWriter, hr *http.Request) (*Request, error) {
	timeout := s.WriteTimeout
	if timeout == 0 {
		timeout = writeTimeout
	}
	r := &Request{Request: request.Request{ID: uuid.NewString(), Writer: request.NewWriter(w, timeout)}}
	w.Header().Set(RequestIDHeader, r.ID)
	if n := headerSize(hr); s.MaxHeader > 0 && n > s.MaxHeader {
		return r, verdict.New(verdict.HeadersTooLarge, "the headers exceed %d bytes", s.MaxHeader)
	}
	return r, nil
}

// headerSize returns the approximate size in bytes of the request line and the
// headers on the wire.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// Refuse implements request.Surface.
func (Surface) Refuse(w *request.Writer, refusal *verdict.Refusal) error {
	return writeRefusal(w, refusal)
}

// writeRefusal writes the JSON form of a refusal as the response.
func writeRefusal(w http.ResponseWriter, refusal *verdict.Refusal) error {
	body := verdict.Describe(refusal)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(body.Error.RetryAfter, 10))
	}
	if refusal.Status() == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status())
	return json.NewEncoder(w).Encode(body)
}

// Cut implements request.Surface: it ends an event stream with an error event.
// The stream contains only whole events before it.
func (Surface) Cut(w *request.Writer, refusal *verdict.Refusal) bool {
	if !isEventStream(w.Header()) || refusal.Reason == verdict.CallerGone {
		return false
	}
	data, err := json.Marshal(verdict.Describe(refusal))
	return err == nil && w.Send(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data), true) == nil
}

// unreadTimeout bounds the time for which net/http reads the rest of a body after its
// response.
const unreadTimeout = time.Second

// LimitWrites sets a write deadline for handlers that set none of their own, and another
// one for the writes after the handler has returned. It also bounds the read of the rest of
// the body after that.
func LimitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		control.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // not every writer supports deadlines.
		defer func() {
			control.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // as above.
			if r.ContentLength != 0 {
				control.SetReadDeadline(time.Now().Add(unreadTimeout)) //nolint:errcheck // as above.
			}
		}()
		next.ServeHTTP(w, r)
	})
}
