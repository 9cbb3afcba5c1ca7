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

// maxBody bounds the request bodies that stand-ins read.
const maxBody = 64 << 20

// Protocol holds what differs between the protocols of stand-ins.
type Protocol struct {
	// Throttled writes the answer to a request over the rate limit.
	Throttled http.HandlerFunc
	// Failed writes the answer to a request during an outage.
	Failed http.HandlerFunc
	// Effect reports whether a request has an effect, so that its answer can be lost.
	Effect func(*http.Request) bool
}

// Counts are the counters that all stand-ins keep.
type Counts struct {
	Requests   int64 `json:"requests"`
	Throttled  int64 `json:"throttled"`
	Failed     int64 `json:"failed"`
	Lost       int64 `json:"lost"`
	Reset      int64 `json:"reset"`
	Credential int64 `json:"credential"` // requests that carried a caller's key or what looks like one
}

// Gate applies the common faults before a stand-in's handler and serves the
// control endpoints under /control/.
type Gate struct {
	store
	protocol Protocol
	next     http.Handler
	control  *http.ServeMux
	mu       sync.Mutex
	limiter  *rate.Limiter
	counts   Counts
	secrets  []string
}

// NewGate returns a gate before next. State is what GET /control/state answers.
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

// WatchSecrets makes requests count as carrying a credential if they hold one
// of the strings anywhere.
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

// Control adds a control endpoint.
func (g *Gate) Control(pattern string, h http.HandlerFunc) { g.control.HandleFunc(pattern, h) }

// Faults returns the faults in force.
func (g *Gate) Faults() Faults { return g.get() }

// SetFaults replaces the faults in force.
func (g *Gate) SetFaults(f Faults) {
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
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
		if f, err = g.patch(data, r.URL.Query().Get("replace") == "true"); err == nil {
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
	credential := g.carriesKey(r)
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
	if effect && g.Take(func(f *Faults) *int { return &f.LoseAnswers }) {
		g.next.ServeHTTP(discard{http.Header{}}, r)
		g.count(func(c *Counts) { c.Lost++ })
		panic(http.ErrAbortHandler)
	}
	if f.AnswerLatency > 0 {
		w = &delayed{ResponseWriter: w, ctx: r.Context(), wait: f.AnswerLatency.Std()}
	}
	g.next.ServeHTTP(w, r)
}

// admit applies the faults that keep a request from its effect.
func (g *Gate) admit(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Outage == OutageClose {
		g.count(func(c *Counts) { c.Failed++ })
		panic(http.ErrAbortHandler)
	}
	if g.Take(func(f *Faults) *int { return &f.ResetBefore }) {
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
	if !g.allow(f.Rate) {
		g.count(func(c *Counts) { c.Throttled++ })
		g.protocol.Throttled(w, r)
		return false
	}
	return true
}

// Drain reads the rest of the body. The server notices that the caller has
// gone only once the body has been read.
func Drain(r *http.Request) { io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)) }

// allow takes one request from the rate limit. Its burst is a tenth of a second.
func (g *Gate) allow(perSecond float64) bool {
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

// carriesKey reports whether a request carries a credential of a caller. The
// signatures of the platform's own services do not count.
func (g *Gate) carriesKey(r *http.Request) bool {
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
	return g.holdsSecret(r)
}

// holdsSecret looks for the watched strings in the whole request.
func (g *Gate) holdsSecret(r *http.Request) bool {
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

// failedReader is a reader that fails with the error that the body failed with.
type failedReader struct{ err error }

func (e failedReader) Read([]byte) (int, error) { return 0, e.err }

// Wait waits for d or until ctx ends.
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

// discard is the answer that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// errGone means that the caller gave up before a delayed answer.
var errGone = errors.New("caller is gone")

// delayed holds back the first byte of an answer.
type delayed struct {
	http.ResponseWriter
	ctx  context.Context
	wait time.Duration
}

func (d *delayed) hold() error {
	wait := d.wait
	d.wait = 0
	if wait > 0 && Wait(d.ctx, wait) != nil {
		return errGone
	}
	return nil
}

func (d *delayed) WriteHeader(status int) {
	if d.hold() == nil {
		d.ResponseWriter.WriteHeader(status)
	}
}

func (d *delayed) Write(p []byte) (int, error) {
	if err := d.hold(); err != nil {
		return 0, err
	}
	return d.ResponseWriter.Write(p)
}

func (d *delayed) Unwrap() http.ResponseWriter { return d.ResponseWriter }
