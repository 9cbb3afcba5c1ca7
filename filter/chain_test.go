package filter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// Guards against invalid requests that reach an upstream or are charged, and
// against refusals with a wrong status or code.
func TestRefusedBeforeForwarding(t *testing.T) {
	u := newUpstream(t, respond(200, completeBody))
	e := newEntry(t, u.address())
	big := strings.Repeat("x", 2<<10)
	for _, c := range []struct {
		method, path, body string
		header             [2]string
		status             int
		code               string
	}{
		{"POST", "/none", "", [2]string{}, 404, "unknown_route"},
		{"GET", ChatPath, "", [2]string{}, 405, "method_not_allowed"},
		{"POST", ChatPath, `{"model":`, [2]string{}, 400, "bad_request"},
		{"POST", ChatPath, `{"model":"m"}`, [2]string{}, 400, "bad_request"},
		{"POST", ChatPath, `{"model":"m","messages":[],"max_tokens":99999999999}`, [2]string{}, 400, "bad_request"},
		{"POST", ChatPath, `{"model":"m","messages":[],"n":-1}`, [2]string{}, 400, "bad_request"},
		{"POST", ChatPath, `{"model":"x","messages":[],"MODEL":"m"}`, [2]string{}, 400, "bad_request"},
		{"POST", ChatPath, `{"model":"x","model":"m","messages":[]}`, [2]string{}, 400, "bad_request"},
		{"POST", ChatPath, `{"model":"x","messages":[]}`, [2]string{}, 404, "unknown_model"},
		{"POST", ChatPath, `{"model":"m","messages":["` + big + `"]}`, [2]string{}, 413, "body_too_large"},
		{"POST", "/s/x", big, [2]string{}, 413, "body_too_large"},
		{"POST", "/s/x", "", [2]string{"Authorization", "Bearer other"}, 401, "invalid_key"},
		{"POST", "/s/x", "", [2]string{"Authorization", "Basic key"}, 401, "invalid_key"},
		{"POST", "/s/x", "", [2]string{TimeoutHeader, "NaN"}, 400, "bad_request"},
		{"POST", "/s/x", "", [2]string{TimeoutHeader, "0.000001"}, 504, "deadline_exceeded"},
	} {
		var headers []string
		if c.header[0] != "" {
			headers = c.header[:]
		}
		got := e.call(c.method, c.path, c.body, headers...)
		if got.status != c.status || !strings.Contains(got.body, `"code":"`+c.code+`","verdict":"not_run"`) || got.header.Get(RequestIDHeader) == "" {
			t.Errorf("%s %s %.40s %v: got %+v, want status %d and code %s", c.method, c.path, c.body, c.header, got, c.status, c.code)
		}
	}
	if e.waitForCharge(0); u.totalCalls() > 0 {
		t.Errorf("got %d upstream calls for refused requests, want 0", u.totalCalls())
	}
}

// Guards against callers' keys and hop-by-hop headers that are forwarded, and
// against charges that differ from the engine's token count.
func TestForwardedHeadersAndCharges(t *testing.T) {
	u := newUpstream(t, respond(200, completeBody, "Connection", "X-Private", "X-Private", "1", "X-Public", "1", IncarnationHeader, "i"))
	e := newEntry(t, u.address())
	got := e.call("POST", "", "", "Connection", "X-Hop", "X-Hop", "1", "X-End", "1", "Proxy-Authorization", "key", "Idempotency-Key", "k")
	for name, want := range map[string]string{"Authorization": "", "Proxy-Authorization": "", "X-Hop": "", "X-End": "1", "Idempotency-Key": "k"} {
		if u.header.Get(name) != want {
			t.Errorf("upstream: got %s %q, want %q", name, u.header.Get(name), want)
		}
	}
	for name, want := range map[string]string{"X-Private": "", "X-Public": "1", IncarnationHeader: ""} {
		if got.header.Get(name) != want {
			t.Errorf("caller: got %s %q, want %q", name, got.header.Get(name), want)
		}
	}
	e.waitForCharge(7)
}

// Guards against requests that are lost in the queue, wait without a chance of
// being served or exceed the concurrency of an upstream, and against routing
// decisions that are not logged.
func TestQueueing(t *testing.T) {
	entered, release := make(chan struct{}, 9), make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		respond(200, completeBody)(w, r)
	})
	e := newEntry(t, u.address())
	e.editCatalog(func(c *catalog.Catalog) { c.Pools[1].Upstreams[0].Concurrency = 1 })
	replies := make(chan reply, 2)
	for range 2 {
		go func() { replies <- e.call("POST", "", "") }()
	}
	waitFor(t, "first request", entered)
	got := e.call("POST", "", "", TimeoutHeader, "0.2")
	if (got.status != 504 && got.status != 503) || !strings.Contains(got.body, `"verdict":"not_run"`) {
		t.Errorf("request without a free slot: got %+v, want 503 or 504 and not_run", got)
	}
	if u.totalCalls() != 1 {
		t.Errorf("got %d requests at an upstream with concurrency 1, want 1", u.totalCalls())
	}
	close(release)
	for range 2 {
		if got := <-replies; got.status != 200 {
			t.Errorf("waiting request: got %+v, want 200", got)
		}
	}
	e.editCatalog(func(c *catalog.Catalog) { c.Pools[0].DisabledDataCentres = []string{"dc"} })
	if got := e.call("POST", "/s/x", ""); got.status != 503 || !strings.Contains(got.body, `"code":"no_upstream","verdict":"not_run"`) {
		t.Errorf("disabled data centre: got %+v, want 503 and no_upstream", got)
	}
	e.unloaded.Store(true)
	if got := e.call("POST", "", "", TimeoutHeader, "0.1"); got.status != 504 {
		t.Errorf("model that is not loaded: got %+v, want 504", got)
	}
	lines := map[string]int{}
	for _, entry := range e.logs.Entries {
		if reason := entry.Fields["reason"]; reason != nil {
			lines[entry.Message+" "+fmt.Sprint(reason)]++
		}
	}
	for line, want := range map[string]int{"upstream chosen only_eligible": 2, "no upstream chosen at_concurrency": 1,
		"no upstream chosen data_centre_disabled": 1, "no upstream chosen replica_not_ready": 1} {
		if lines[line] != want {
			t.Errorf("got %d log lines %q, want %d: %v", lines[line], line, want, lines)
		}
	}
}

// Guards against a check of bursts before an edit that assumes another cost than
// admission reserves.
func TestDefaultCostIsReserved(t *testing.T) {
	chat, err := ParseChat([]byte(`{"model":"m","messages":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	route := &catalog.Route{Models: []string{"m"}, MaxOutput: 20}
	if got, want := route.DefaultCost(), chat.TokensToReserve(route.MaxOutput); got != want {
		t.Errorf("the smallest chat without a limit reserves %d tokens, DefaultCost is %d", want, got)
	}
}

// Guards against bodies that make the parser panic, lack a model or reserve no
// tokens.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{`{"model":"m","messages":[]}`, `{"model":"m","messages":[],"max_tokens":-1}`, `{"model":"m","messages":[],"n":129}`,
		`{"model":"m","messages":[],"max_completion_tokens":9223372036854775807}`, `[]`, `null`, ``, `{"model":"\u0000","messages":[{}],"stream":true}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := ParseChat(body)
		if err == nil && (chat.Model == "" || chat.TokensToReserve(1) < 1) {
			t.Errorf("%q: got %d reserved tokens for model %q, want at least 1 and a model", body, chat.TokensToReserve(1), chat.Model)
		}
	})
}

// Guards against incomplete streams that look complete to the caller. For any
// bytes from an engine, the relay must pass on whole events only and return an
// error unless the response is complete.
func FuzzRelayStream(f *testing.F) {
	for _, seed := range []string{tokenEvent + finishEvent + doneEvent, tokenEvent, finishEvent, doneEvent, tokenEvent + doneEvent[:8], "data: {\n\n", "\r\n\r\n", ": ping\n\n" + tokenEvent,
		"data: {\"choices\":[]}\r\n\r\ndata: [DONE]\r\n\r\n", "data: [DONE]", "data:\ndata: 1\n\n", "event: error\ndata: {\"error\":1}\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		w := httptest.NewRecorder()
		r := &Request{Request: request.Request{Writer: request.NewWriter(w, 0)}, Chat: &Chat{Stream: true}}
		try := &try{r: r}
		body := io.NopCloser(strings.NewReader(string(stream)))
		err := try.relayStream(&http.Response{StatusCode: 200, Header: http.Header{}, Body: body})
		sent := w.Body.String()
		if padded := string(stream) + "\n\n"; !strings.HasPrefix(padded, sent) {
			t.Errorf("got %q, want a prefix of %q", sent, stream)
		}
		if sent != "" && !strings.HasSuffix(sent, "\n") {
			t.Errorf("got %q, want whole events only", sent)
		}
		if err == nil && !strings.Contains(sent, "[DONE]") && !hasFinishReason(sent) {
			t.Errorf("%q: got no error for an incomplete stream", stream)
		}
	})
}

// hasFinishReason reports whether an event of a stream finishes a choice.
func hasFinishReason(stream string) (found bool) {
	for event := range strings.SplitSeq(strings.ReplaceAll(stream, "\r\n", "\n"), "\n\n") {
		var c struct{ Choices []map[string]any }
		if json.Unmarshal(eventData([]byte(event)), &c) != nil {
			continue
		}
		for _, choice := range c.Choices {
			for name, value := range choice {
				found = found || (strings.EqualFold(name, "finish_reason") && value != nil)
			}
		}
	}
	return found
}

// Guards against requests that fail because the upstream closed the idle
// connection, although no byte of them was sent.
func TestStaleConnection(t *testing.T) {
	u := newUpstream(t, respond(200, "ok"))
	e := newEntry(t, u.address())
	transport := e.route.Forward.Client.Transport.(*http.Transport)
	dial := transport.DialContext
	var conns []*upstreamConn
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		conns = append(conns, conn.(*upstreamConn))
		return conn, err
	}
	for k := range 3 {
		if got := e.call("POST", "/s/x", "body"); got.status != 200 {
			t.Fatalf("request %d: got %+v, want 200", k, got)
		}
		last := conns[len(conns)-1]
		last.mu.Lock()
		last.closed = true // the next write fails before a byte is sent
		last.mu.Unlock()
	}
	if len(conns) != 3 || u.totalCalls() != 3 {
		t.Errorf("got %d connections and %d calls for 3 requests, want 3 and 3", len(conns), u.totalCalls())
	}
}

// Guards against an engine that gets no requests for the length of a ramp-up
// because one connection broke, although the engine did not restart.
func TestBrokenConnectionIsVerified(t *testing.T) {
	broken := false // accessed by one request at a time
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ChatPath && !broken {
			broken = true
			panic(http.ErrAbortHandler)
		}
		respond(200, completeBody, IncarnationHeader, "x")(w, r)
	})
	e := newEntry(t, u.address())
	e.route.Balance.Ramp = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.route.Run(ctx)                     //nolint:errcheck // it ends with the test.
	e.route.SetMembers([]string{"another"}) // without an allotment this instance sends nothing
	e.route.SetAllotments("engines", []balance.Allotment{{Upstream: "a", Incarnation: "x", Limit: 4}})
	if got := e.call("POST", "", ""); got.status != 502 {
		t.Fatalf("broken connection: got %+v, want 502", got)
	}
	if got := e.call("POST", "", ""); got.status != 200 {
		t.Errorf("after the connection broke: got %+v, want 200", got)
	}
}
