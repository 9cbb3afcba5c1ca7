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

// Guards against refusals after work has been done, and against codes that do
// not tell what is wrong.
func TestRefusedBeforeForwarding(t *testing.T) {
	u := newUpstream(t, answer(200, whole))
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
			t.Errorf("%s %s %.40s %v: %+v, want %d %s", c.method, c.path, c.body, c.header, got, c.status, c.code)
		}
	}
	if e.charged(0); u.total() > 0 {
		t.Errorf("%d upstream calls for refused requests", u.total())
	}
}

// Guards against callers' keys at upstreams, headers of one connection on
// another, and charges that differ from the engine's count.
func TestPassedOn(t *testing.T) {
	u := newUpstream(t, answer(200, whole, "Connection", "X-Private", "X-Private", "1", "X-Public", "1", IncarnationHeader, "i"))
	e := newEntry(t, u.address())
	got := e.call("POST", "", "", "Connection", "X-Hop", "X-Hop", "1", "X-End", "1", "Proxy-Authorization", "key", "Idempotency-Key", "k")
	for name, want := range map[string]string{"Authorization": "", "Proxy-Authorization": "", "X-Hop": "", "X-End": "1", "Idempotency-Key": "k"} {
		if u.header.Get(name) != want {
			t.Errorf("the upstream saw %s %q, want %q", name, u.header.Get(name), want)
		}
	}
	for name, want := range map[string]string{"X-Private": "", "X-Public": "1", IncarnationHeader: ""} {
		if got.header.Get(name) != want {
			t.Errorf("the caller saw %s %q, want %q", name, got.header.Get(name), want)
		}
	}
	e.charged(7)
}

// Guards against requests that are lost in the queue, that wait for nothing,
// or that pass others, and against decisions without a log line.
func TestQueueing(t *testing.T) {
	entered, release := make(chan struct{}, 9), make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		answer(200, whole)(w, r)
	})
	e := newEntry(t, u.address())
	e.edit(func(c *catalog.Catalog) { c.Pools[1].Upstreams[0].Concurrency = 1 })
	replies := make(chan reply, 2)
	for range 2 {
		go func() { replies <- e.call("POST", "", "") }()
	}
	within(t, "first request", entered)
	got := e.call("POST", "", "", TimeoutHeader, "0.2")
	if (got.status != 504 && got.status != 503) || !strings.Contains(got.body, `"verdict":"not_run"`) {
		t.Errorf("request without a place: %+v", got)
	}
	if u.total() != 1 {
		t.Errorf("%d requests at an upstream that bears one", u.total())
	}
	close(release)
	for range 2 {
		if got := <-replies; got.status != 200 {
			t.Errorf("waiting request: %+v", got)
		}
	}
	e.edit(func(c *catalog.Catalog) { c.Pools[0].DisabledDataCentres = []string{"dc"} })
	if got := e.call("POST", "/s/x", ""); got.status != 503 || !strings.Contains(got.body, `"code":"no_upstream","verdict":"not_run"`) {
		t.Errorf("data centre taken out: %+v", got)
	}
	e.cold.Store(true)
	if got := e.call("POST", "", "", TimeoutHeader, "0.1"); got.status != 504 {
		t.Errorf("model that is not loaded: %+v", got)
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
			t.Errorf("%d log lines %q, want %d: %v", lines[line], line, want, lines)
		}
	}
}

// Guards against bodies that crash the chain or reserve nothing.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{`{"model":"m","messages":[]}`, `{"model":"m","messages":[],"max_tokens":-1}`, `{"model":"m","messages":[],"n":129}`,
		`{"model":"m","messages":[],"max_completion_tokens":9223372036854775807}`, `[]`, `null`, ``, `{"model":"\u0000","messages":[{}],"stream":true}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := ParseChat(body)
		if err == nil && (chat.Model == "" || chat.Reserve(1) < 1) {
			t.Errorf("%q reserves %d tokens for model %q", body, chat.Reserve(1), chat.Model)
		}
	})
}

// Guards against streams that look whole and are not, whatever an engine
// sends: the caller gets whole events and then, unless the answer is complete,
// an error.
func FuzzRelayStream(f *testing.F) {
	for _, seed := range []string{token + finish + done, token, finish, done, token + done[:8], "data: {\n\n", "\r\n\r\n", ": ping\n\n" + token,
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
			t.Errorf("sent %q of %q", sent, stream)
		}
		if sent != "" && !strings.HasSuffix(sent, "\n") {
			t.Errorf("sent a part of an event: %q", sent)
		}
		if err == nil && !strings.Contains(sent, "[DONE]") && !finishes(sent) {
			t.Errorf("%q counts as complete", stream)
		}
	})
}

// finishes reports whether an event of a stream finishes a choice.
func finishes(stream string) (found bool) {
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

// Guards against requests that fail because an upstream has closed an idle
// connection, although nothing of them was sent.
func TestStaleConnection(t *testing.T) {
	u := newUpstream(t, answer(200, "ok"))
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
			t.Fatalf("request %d: %+v", k, got)
		}
		last := conns[len(conns)-1]
		last.mu.Lock()
		last.sealed = true // the next write fails before a byte leaves
		last.mu.Unlock()
	}
	if len(conns) != 3 || u.total() != 3 {
		t.Errorf("%d connections and %d calls for 3 requests", len(conns), u.total())
	}
}

// Guards against an engine that gets nothing for the length of a ramp because
// one connection broke, although it did not restart.
func TestSuspicionIsVerified(t *testing.T) {
	broken := false // used by one request at a time
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ChatPath && !broken {
			broken = true
			panic(http.ErrAbortHandler)
		}
		answer(200, whole, IncarnationHeader, "x")(w, r)
	})
	e := newEntry(t, u.address())
	e.route.Balance.Ramp = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.route.Run(ctx)                     //nolint:errcheck // it ends with the test.
	e.route.SetMembers([]string{"another"}) // this instance may not try by itself
	e.route.SetAllotments("engines", []balance.Allotment{{Upstream: "a", Incarnation: "x", Limit: 4}})
	if got := e.call("POST", "", ""); got.status != 502 {
		t.Fatalf("broken connection: %+v", got)
	}
	if got := e.call("POST", "", ""); got.status != 200 {
		t.Errorf("after the connection broke: %+v", got)
	}
}
