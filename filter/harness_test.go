package filter

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/uuid"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/idempotency"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

const waitTimeout = 20 * time.Second

// entry is a server with the whole filter chain in front of test upstreams. It
// implements Catalog, Directory, Session and Limiter for the chain.
type entry struct {
	*httptest.Server
	t        *testing.T
	mu       sync.Mutex
	index    *catalog.Index
	edited   chan struct{}
	tables   catalog.Catalog
	route    *Route
	table    *portstest.Table
	logs     *memory.Handler
	unloaded atomic.Bool // no model is loaded
	tokens   atomic.Int64
}

func (e *entry) Current() (*catalog.Index, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.index, e.edited
}

func (e *entry) Fresh(time.Time) bool { return true }
func (e *entry) Valid(time.Time) bool { return true }

func (e *entry) Ready(pool *catalog.Pool, _ string) (ready []*catalog.Upstream, changed <-chan struct{}) {
	for i := range pool.Upstreams {
		if !e.unloaded.Load() {
			ready = append(ready, &pool.Upstreams[i])
		}
	}
	return ready, nil
}

func (e *entry) TrackWaiting(_, _, _ string, _ time.Time) func() { return func() {} }

func (e *entry) TrackRunning(_, _, _, _ string) func() { return func() {} }

func (e *entry) DeadlineRefusal(_, _ string, _ time.Time) *verdict.Refusal { return nil }

func (e *entry) Admit(_ context.Context, _ string, tokens int64) (Reservation, error) {
	e.tokens.Add(tokens)
	return testReservation{e, tokens}, nil
}

type testReservation struct {
	e      *entry
	tokens int64
}

func (r testReservation) Settle(used int64) { r.e.tokens.Add(used - r.tokens) }

// waitForCharge waits until the total of charged tokens is want. Charges are
// settled after the response has been sent.
func (e *entry) waitForCharge(want int64) {
	e.t.Helper()
	for deadline := time.Now().Add(waitTimeout); e.tokens.Load() != want; <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			e.t.Fatalf("got %d charged tokens, want %d", e.tokens.Load(), want)
		}
	}
}

// editCatalog changes the catalogue and makes the new version current.
func (e *entry) editCatalog(change func(*catalog.Catalog)) {
	change(&e.tables)
	data, err := e.tables.Encode()
	if err != nil {
		e.t.Fatal(err)
	}
	c, err := catalog.Load(data)
	if err != nil {
		e.t.Fatal(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.edited != nil {
		close(e.edited)
	}
	e.index, e.edited = catalog.NewIndex(c, ""), make(chan struct{})
}

// newEntry returns an entry that serves the service route /s/ and the model m
// from the upstreams at the given addresses.
func newEntry(t *testing.T, upstreams ...string) *entry {
	e := &entry{t: t, table: portstest.NewTable(), logs: memory.New()}
	workspace := []catalog.Workspace{{Name: "w", Keys: []string{catalog.HashKey("key")}, Rate: 1, Burst: 1}}
	e.tables = catalog.Catalog{
		Routes: []catalog.Route{
			{Name: "s", Pool: "services", Prefix: "/s/", Workspaces: workspace, MaxBody: 1 << 10},
			{Name: "m", Pool: "engines", Models: []string{"m"}, Workspaces: workspace, MaxBody: 1 << 10},
		},
		Pools: []catalog.Pool{
			{Name: "services", Kind: catalog.Service},
			{Name: "engines", Kind: catalog.Engine, Models: []catalog.Model{{Name: "m", MemoryMB: 1}}},
		},
	}
	for i, address := range upstreams {
		u := catalog.Upstream{Name: string(rune('a' + i)), Address: address, DataCentre: "dc", MemoryMB: 1}
		for k := range e.tables.Pools {
			e.tables.Pools[k].Upstreams = append(e.tables.Pools[k].Upstreams, u)
		}
	}
	e.editCatalog(func(*catalog.Catalog) {})
	client := NewClient()
	t.Cleanup(client.CloseIdleConnections)
	// A ramp-up of 1 ns lets new upstreams take requests without a delay.
	e.route = &Route{Directory: e, Catalog: e, Forward: &Forward{Client: client, Session: e}, Balance: balance.Config{Self: "i", Ramp: 1}}
	e.route.SetMembers([]string{"i"})
	store := &idempotency.Store{Table: e.table, Instance: "i", Incarnation: "x", NewToken: uuid.NewString, Now: time.Now,
		IncarnationEnded: func(string, string) bool { return false }}
	handler := NewHandler(Surface{WriteTimeout: 200 * time.Millisecond}, Chain(Identify{e}, Authorise{e}, Admit{e}, Claims{store}, e.route), request.NewMemory(256<<20, metrics.NewSet()),
		&log.Logger{Handler: e.logs, Level: log.InfoLevel}, metrics.NewSet())
	e.Server = httptest.NewServer(LimitWrites(handler))
	t.Cleanup(e.Close)
	return e
}

type reply struct {
	status int
	body   string
	header http.Header
	err    error // from sending the request or reading the body
}

// call sends one request. The headers are pairs of names and values. The path ""
// stands for a chat completion, "stream" for one that streams.
func (e *entry) call(method, path, body string, headers ...string) reply {
	return e.callAndSignal(nil, method, path, body, headers...)
}

// callAndSignal is call for answers that go on for some time: it closes arrived, if set,
// once the caller has the first byte of the body.
func (e *entry) callAndSignal(arrived chan<- struct{}, method, path, body string, headers ...string) reply {
	switch path {
	case "":
		path, body = ChatPath, `{"model":"m","messages":[]}`
	case "stream":
		path, body = ChatPath, `{"model":"m","messages":[],"stream":true}`
	}
	req, err := http.NewRequest(method, e.URL+path, strings.NewReader(body))
	if err != nil {
		e.t.Error(err)
		return reply{}
	}
	req.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := e.Client().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if arrived != nil {
		if _, err := reader.Peek(1); err == nil {
			close(arrived)
		}
	}
	data, err := io.ReadAll(reader)
	return reply{resp.StatusCode, string(data), resp.Header, err}
}

// upstream serves a handler, counts the calls by request ID and records the
// headers of the last one.
type upstream struct {
	*httptest.Server
	mu     sync.Mutex
	calls  map[string]int
	header http.Header
}

func newUpstream(t *testing.T, handler http.HandlerFunc) *upstream {
	u := &upstream{calls: map[string]int{}}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // the server detects a disconnect only after the body is read.
		u.mu.Lock()
		u.calls[r.Header.Get(RequestIDHeader)]++
		u.header = r.Header.Clone()
		u.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(u.Close)
	return u
}

func (u *upstream) address() string { return strings.TrimPrefix(u.URL, "http://") }

func (u *upstream) totalCalls() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, calls := range u.calls {
		n += calls
	}
	return n
}

// waitFor fails the test if nothing arrives on the channel within waitTimeout.
func waitFor(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(waitTimeout):
		t.Fatalf("%s: nothing received within %s", what, waitTimeout)
	}
}
