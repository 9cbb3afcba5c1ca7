package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 64 << 20

// Protocol defines the protocol-specific responses and checks of a stand-in.
type Protocol struct {
	// Throttled writes the response to a request over the rate limit.
	Throttled http.HandlerFunc
	// Failed writes the response to a request during an outage of kind OutageError.
	Failed http.HandlerFunc
	// Effect reports whether a request has a side effect. Faults.LoseAnswers
	// applies to such requests only.
	Effect func(*http.Request) bool
}

// Counts holds the counters common to all stand-ins.
type Counts struct {
	Requests   int64 `json:"requests"`
	Throttled  int64 `json:"throttled"`
	Failed     int64 `json:"failed"`
	Lost       int64 `json:"lost"`
	Reset      int64 `json:"reset"`
	Credential int64 `json:"credential"` // requests that carried a caller's key or a value that looks like one
}

// Gate is an HTTP middleware that applies the common faults to requests before
// they reach a stand-in's handler, and serves the control endpoints under
// /control/.
type Gate struct {
	faultStore
	protocol Protocol
	next     http.Handler
	control  *http.ServeMux
	mu       sync.Mutex
	limiter  *rate.Limiter
	counts   Counts
	secrets  []string
}

// NewGate returns a gate in front of next. State returns the document that
// GET /control/state responds with.
func NewGate(p Protocol, next http.Handler, state func() any) *Gate {
	g := &Gate{protocol: p, next: next, control: http.NewServeMux()}
	g.control.HandleFunc("POST /control/faults", g.postFaults)
	g.control.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, "application/json", http.StatusOK, g.Faults())
	})
	g.control.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, "application/json", http.StatusOK, state())
	})
	g.control.HandleFunc("POST /control/secrets", g.postSecrets)
	return g
}

// WatchSecrets sets the strings that mark a request as carrying a credential if
// they occur anywhere in its URL, headers, trailers or body.
func (g *Gate) WatchSecrets(secrets ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.secrets = secrets
}

func (g *Gate) postSecrets(w http.ResponseWriter, r *http.Request) {
	var secrets []string
	if err := json.NewDecoder(r.Body).Decode(&secrets); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.WatchSecrets(secrets...)
	w.WriteHeader(http.StatusNoContent)
}

// HandleControl registers a control endpoint, whose pattern begins with /control/.
func (g *Gate) HandleControl(pattern string, h http.HandlerFunc) { g.control.HandleFunc(pattern, h) }

// Faults returns the active faults.
func (g *Gate) Faults() Faults { return g.get() }

// SetFaults replaces the active faults.
func (g *Gate) SetFaults(f Faults) {
	g.faultStore.mu.Lock()
	defer g.faultStore.mu.Unlock()
	g.faults = f
}

// Counts returns the counters.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

func (g *Gate) postFaults(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err == nil {
		var f Faults
		if f, err = g.update(data, r.URL.Query().Get("replace") == "true"); err == nil {
			WriteJSON(w, "application/json", http.StatusOK, f)
			return
		}
	}
	WriteJSON(w, "application/json", http.StatusBadRequest, map[string]string{"error": err.Error()})
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		g.control.ServeHTTP(w, r)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	credential := g.carriesCredential(r)
	g.count(func(c *Counts) {
		c.Requests++
		if credential {
			c.Credential++
		}
	})
	f := g.get()
	if !g.admit(w, r, f) {
		return
	}
	effect := g.protocol.Effect(r)
	if effect && g.Consume(func(f *Faults) *int { return &f.LoseAnswers }) {
		g.next.ServeHTTP(discardWriter{http.Header{}}, r)
		g.count(func(c *Counts) { c.Lost++ })
		panic(http.ErrAbortHandler)
	}
	if f.AnswerLatency > 0 {
		w = &delayedWriter{ResponseWriter: w, ctx: r.Context(), delay: f.AnswerLatency.Std()}
	}
	g.next.ServeHTTP(w, r)
}

// admit applies the faults that prevent a request from taking effect. It
// reports whether the request may proceed; if not, the response is written.
func (g *Gate) admit(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Outage == OutageClose {
		g.count(func(c *Counts) { c.Failed++ })
		panic(http.ErrAbortHandler)
	}
	if g.Consume(func(f *Faults) *int { return &f.ResetBefore }) {
		g.count(func(c *Counts) { c.Reset++ })
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		Drain(r)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.Latency > 0 && Wait(r.Context(), f.Latency.Std()) != nil {
		panic(http.ErrAbortHandler)
	}
	if f.Outage == OutageError {
		g.count(func(c *Counts) { c.Failed++ })
		g.protocol.Failed(w, r)
		return false
	}
	if !g.allowRate(f.Rate) {
		g.count(func(c *Counts) { c.Throttled++ })
		g.protocol.Throttled(w, r)
		return false
	}
	return true
}

// Drain reads the rest of the body. The HTTP server detects a closed client
// connection only after the body has been read.
func Drain(r *http.Request) { io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)) }

// allowRate reports whether the rate limit permits one more request. The burst is
// the number of requests of a tenth of a second, at least 1.
func (g *Gate) allowRate(perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil || g.limiter.Limit() != rate.Limit(perSecond) {
		g.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
	}
	return g.limiter.Allow()
}

func (g *Gate) count(update func(*Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.counts)
}

// keyHeaders are the headers in which callers commonly send keys.
var keyHeaders = []string{"X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie"}

// carriesCredential reports whether a request carries a credential of a caller.
// The AWS signatures of the platform's own services do not count.
func (g *Gate) carriesCredential(r *http.Request) bool {
	if auth := r.Header.Get("Authorization"); auth != "" && !strings.HasPrefix(auth, "AWS4-HMAC-SHA256 ") {
		return true
	}
	for _, name := range keyHeaders {
		if r.Header.Get(name) != "" {
			return true
		}
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.HasPrefix(v, "Bearer ") || strings.HasPrefix(v, "sk-") {
				return true
			}
		}
	}
	return g.containsSecret(r)
}

// containsSecret reports whether one of the watched strings occurs in the
// request. The body is buffered, so that the handler can still read it.
func (g *Gate) containsSecret(r *http.Request) bool {
	g.mu.Lock()
	secrets := g.secrets
	g.mu.Unlock()
	if len(secrets) == 0 {
		return false
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), failedReader{err}))
	}
	text := fmt.Sprint(r.URL, r.Header, r.Trailer, string(body))
	return slices.ContainsFunc(secrets, func(s string) bool { return strings.Contains(text, s) })
}

// failedReader returns the error that reading the request body returned.
type failedReader struct{ err error }

func (e failedReader) Read([]byte) (int, error) { return 0, e.err }

// Wait blocks for d or until ctx is done. It returns the cause of ctx in the
// latter case.
func Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

// errCallerGone is returned if the caller disconnected before a delayed response.
var errCallerGone = errors.New("caller disconnected before the delayed response")

// delayedWriter delays the first byte of a response.
type delayedWriter struct {
	http.ResponseWriter
	ctx   context.Context
	delay time.Duration
}

func (d *delayedWriter) waitOnce() error {
	wait := d.delay
	d.delay = 0
	if wait > 0 && Wait(d.ctx, wait) != nil {
		return errCallerGone
	}
	return nil
}

func (d *delayedWriter) WriteHeader(status int) {
	if d.waitOnce() == nil {
		d.ResponseWriter.WriteHeader(status)
	}
}

func (d *delayedWriter) Write(p []byte) (int, error) {
	if err := d.waitOnce(); err != nil {
		return 0, err
	}
	return d.ResponseWriter.Write(p)
}

func (d *delayedWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }
