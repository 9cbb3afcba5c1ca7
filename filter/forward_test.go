package filter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

const (
	tokenEvent     = "data: {\"id\":\"1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t\"}}]}\n\n"
	finishEvent    = "data: {\"id\":\"1\",\"choices\":[{\"index\":0,\"finish_reason\":\"stop\"}]}\n\n"
	doneEvent      = "data: [DONE]\n\n"
	completeBody   = `{"choices":[],"usage":{"total_tokens":7}}`
	foreignID      = "someone-else"
	overloadedBody = `{"error":{"code":"overloaded"}}`
)

func respond(status int, body string, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		io.WriteString(w, body) //nolint:errcheck // the test checks the received body.
	}
}

// eventStream responds with an event stream, and aborts the connection after it
// if cut is set.
func eventStream(body string, cut bool) http.HandlerFunc {
	return chunkedResponse("text/event-stream", body, cut)
}

func chunkedResponse(contentType, body string, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		respond(200, body, "Content-Type", contentType)(w, r)
		if cut {
			http.NewResponseController(w).Flush() //nolint:errcheck // as above.
			panic(http.ErrAbortHandler)
		}
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// Guards against wrong verdicts, unsafe retries, truncated responses that look
// complete, and responses to other requests that are passed on.
func TestUpstreamFaults(t *testing.T) {
	good := respond(200, completeBody)
	for _, c := range []struct {
		name       string
		path       string           // "" chat, "stream" streaming chat
		first      http.HandlerFunc // nil: connection refused
		repeatable bool
		status     int    // 0: the connection to the caller is aborted
		has, hasNo string // in the body
		calls      int    // at the first upstream
		second     bool   // the second upstream is used
	}{
		{"served", "/s/x", respond(201, "ok", "X-A", "1", LoadHeader, "JSON {}"), false, 201, "ok", "", 1, false},
		{"no listener", "/s/x", nil, false, 200, completeBody, "", 0, true},
		{"reset after the request", "/s/x", abort, false, 502, `"verdict":"may_have_run"`, completeBody, 1, false},
		{"reset on a repeatable route", "/s/x", abort, true, 200, completeBody, "", 1, true},
		{"keyed, reset on a repeatable route", "/s/x", abort, true, 502, `"verdict":"may_have_run"`, completeBody, 1, false},
		{"reset in a chat", "", abort, false, 502, `"code":"upstream_failed"`, completeBody, 1, false},
		{"truncated body", "/s/x", respond(200, "part", "Content-Length", "99"), true, 0, "part", "", 1, false},
		{"truncated body of unknown length", "/s/x", chunkedResponse("text/plain", "part", true), true, 0, "part", "", 1, false},
		{"truncated chat", "", respond(200, completeBody, "Content-Length", "99"), false, 502, `"code":"upstream_truncated"`, "usage", 1, false},
		{"truncated chat, repeatable", "", respond(200, completeBody, "Content-Length", "99"), true, 200, completeBody, "", 1, true},
		{"response with a foreign request ID", "/s/x", respond(200, "secret", RequestIDHeader, foreignID), false, 502, `"code":"upstream_invalid_answer"`, "secret", 1, false},
		{"garbage chat", "", respond(200, "<html>"), false, 502, `"code":"upstream_invalid_answer"`, "html", 1, false},
		{"error answer", "", respond(500, `{"error":{"code":"x"}}`), true, 500, `"x"`, "", 1, false},
		{"overloaded engine", "", respond(503, overloadedBody), false, 200, completeBody, "", 1, true},
		{"overloaded service", "/s/x", respond(503, overloadedBody), false, 503, "overloaded", "", 1, false},
		{"slow", "/s/x", hang, true, 504, `"code":"deadline_exceeded"`, "", 1, false},
		{"stream", "stream", eventStream(tokenEvent+finishEvent+doneEvent, false), false, 200, tokenEvent + finishEvent + doneEvent, "error", 1, false},
		{"stream ends with a finish", "stream", eventStream(tokenEvent+finishEvent, true), false, 200, tokenEvent + finishEvent, "error", 1, false},
		{"end marker without blank line", "stream", eventStream(tokenEvent+"data: [DONE]\n", false), false, 200, tokenEvent + doneEvent, "error", 1, false},
		{"stream cut", "stream", eventStream(tokenEvent+tokenEvent, true), true, 200, tokenEvent + "event: error\n", "[DONE]", 1, false},
		{"stream closed normally before its end", "stream", eventStream(tokenEvent, false), false, 200, `"code":"upstream_truncated","verdict":"may_have_run"`, "[DONE]", 1, false},
		{"stream cut within an event", "stream", eventStream(tokenEvent+finishEvent[:30], true), false, 200, tokenEvent + "event: error\n", "finish", 1, false},
		{"stream cut before an event", "stream", eventStream("data: {", true), true, 200, completeBody, "", 1, true},
		{"stream continues with another response ID", "stream", eventStream(tokenEvent+strings.Replace(tokenEvent, `"1"`, `"2"`, 1), false), false, 200, `"code":"upstream_invalid_answer"`, `"2"`, 1, false},
		{"garbage event first", "stream", eventStream("data: <html>\n\n", false), false, 502, `"code":"upstream_invalid_answer"`, "html", 1, false},
		{"error of the engine", "stream", eventStream(tokenEvent+"data: {\"error\":{}}\n\n"+doneEvent, false), false, 200, `"code":"upstream_truncated"`, "", 1, false},
		{"oversized event", "stream", eventStream(tokenEvent+"data: "+strings.Repeat("x", maxEvent), false), false, 200, `"code":"upstream_invalid_answer"`, "xxx", 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newUpstream(t, c.first), newUpstream(t, good)
			address := first.address()
			if c.first == nil {
				first.Close()
			}
			e := newEntry(t, address, second.address())
			e.editCatalog(func(tables *catalog.Catalog) {
				tables.Routes[0].Repeatable, tables.Routes[1].Repeatable = c.repeatable, c.repeatable
			})
			// The reported load of the second upstream makes the picker prefer the first.
			for _, name := range []string{"services", "engines"} {
				p := e.route.pool(name)
				p.refresh(time.Now(), e.index)
				p.picker.Report("b", 8, time.Now().Add(time.Hour))
			}
			headers := []string{TimeoutHeader, map[bool]string{true: "0.3", false: "20"}[c.name == "slow"]}
			if strings.HasPrefix(c.name, "keyed") {
				headers = append(headers, IdempotencyKeyHeader, "k")
			}
			got := e.call("POST", c.path, "body", headers...)
			if got.status != c.status && !(c.status == 0 && got.err != nil) {
				t.Errorf("got status %d (%v), want %d: %s", got.status, got.err, c.status, got.body)
			}
			if !strings.Contains(got.body, c.has) || (c.hasNo != "" && strings.Contains(got.body, c.hasNo)) {
				t.Errorf("got body %q, want it to contain %q and not %q", got.body, c.has, c.hasNo)
			}
			if first.totalCalls() != c.calls || (second.totalCalls() > 0) != c.second {
				t.Errorf("got %d and %d calls, want %d and second upstream used %t", first.totalCalls(), second.totalCalls(), c.calls, c.second)
			}
			if got.header.Get(LoadHeader) != "" || got.header.Get(RequestIDHeader) == foreignID {
				t.Errorf("got headers %v, want no load report and no foreign request ID", got.header)
			}
		})
	}
}

// Guards against a request that net/http resends automatically although its
// first transmission may have run.
func TestTransportNeverRepeats(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var mu sync.Mutex
	seen := map[string]int{}
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go func() { // responds to the first request of a connection and closes it at the second
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for k := range 2 {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body) //nolint:errcheck // the body is not used.
					mu.Lock()
					seen[r.Header.Get(RequestIDHeader)]++
					mu.Unlock()
					if k == 0 {
						io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // as above.
					}
				}
			}()
		}
	}()
	e := newEntry(t, l.Addr().String())
	for _, method := range []string{"GET", "HEAD", "DELETE", "POST"} {
		for _, headers := range [][]string{nil, {"X-Idempotency-Key", "1"}} {
			for range 4 {
				e.call(method, "/s/x", "", headers...)
			}
		}
	}
	for k := range 4 {
		e.call("POST", "/s/x", "", IdempotencyKeyHeader, fmt.Sprint("key", k))
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range seen {
		if n > 1 {
			t.Errorf("request %s reached the upstream %d times, want 1", id, n)
		}
	}
}

// Guards against an upstream request that keeps running after its caller has
// disconnected or stopped reading.
func TestCallerGone(t *testing.T) {
	for _, reads := range []bool{true, false} {
		begun, ended := make(chan struct{}), make(chan struct{})
		u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			defer close(ended)
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, tokenEvent)         //nolint:errcheck // the context ends the loop.
			http.NewResponseController(w).Flush() //nolint:errcheck // as above.
			close(begun)
			for big := strings.Replace(tokenEvent, `"t"`, `"`+strings.Repeat("t", 1<<16)+`"`, 1); r.Context().Err() == nil; {
				if reads {
					<-r.Context().Done()
				}
				io.WriteString(w, big) //nolint:errcheck // as above.
			}
		})
		e := newEntry(t, u.address())
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, "POST", e.URL+ChatPath, strings.NewReader(`{"model":"m","messages":[],"stream":true}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key")
		resp, err := e.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		waitFor(t, "stream begun", begun)
		if reads {
			cancel()
		}
		waitFor(t, "upstream request cancelled", ended)
		cancel()
		resp.Body.Close()
	}
}

// Guards against a withdrawn key that still works for running streams and waiting
// requests, and against running service calls that are aborted by the withdrawal.
func TestKeyWithdrawn(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, tokenEvent)         //nolint:errcheck // the test checks the received body.
		http.NewResponseController(w).Flush() //nolint:errcheck // as above.
		begun <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-release:
		}
	})
	e := newEntry(t, u.address())
	e.editCatalog(func(c *catalog.Catalog) { c.Pools[0].Upstreams[0].Concurrency = 1 })
	stream, waiting, plain := make(chan reply, 1), make(chan reply, 1), make(chan reply, 1)
	arrived := make(chan struct{})
	go func() { stream <- e.callAndSignal(arrived, "POST", "stream", "") }()
	waitFor(t, "stream begun", begun)
	waitFor(t, "first event at the caller", arrived)
	go func() { plain <- e.call("POST", "/s/x", "") }()
	waitFor(t, "plain call begun", begun)
	go func() { waiting <- e.call("POST", "/s/y", "") }()
	for deadline := time.Now().Add(waitTimeout); len(e.route.Backlog()) == 0; <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second service call is not in the queue")
		}
	}
	e.editCatalog(func(c *catalog.Catalog) {
		for i := range c.Routes {
			c.Routes[i].Workspaces = []catalog.Workspace{{Name: "w", Rate: 1, Burst: 1}}
		}
	})
	if got := <-stream; !strings.HasPrefix(got.body, tokenEvent+"event: error\n") || !strings.Contains(got.body, `"code":"key_withdrawn"`) {
		t.Errorf("running stream: got %+v, want an error event with key_withdrawn", got)
	}
	if got := <-waiting; got.status != 401 || !strings.Contains(got.body, `"code":"key_withdrawn","verdict":"not_run"`) {
		t.Errorf("waiting call: got %+v, want 401, key_withdrawn and not_run", got)
	}
	close(release)
	if got := <-plain; got.status != 200 || got.body != tokenEvent || got.err != nil {
		t.Errorf("running service call: got %+v, want 200 and the whole body", got)
	}
	if got := e.call("POST", "/s/x", ""); got.status != 401 {
		t.Errorf("new call: got %+v, want 401", got)
	}
}

// Guards against requests that run twice for one Idempotency-Key, even if the
// caller disconnects, and against forwarding without a confirmed claim.
func TestClaims(t *testing.T) {
	entered, release := make(chan struct{}, 9), make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		if r.URL.Path == "/s/slow" {
			<-release
		}
		respond(201, "receipt", "Location", "/r/1")(w, r)
	})
	e := newEntry(t, u.address())
	check := func(name, path, key, body string, status int, want string, calls int) {
		t.Helper()
		got := e.call("POST", path, body, IdempotencyKeyHeader, key)
		if got.status != status || !strings.Contains(got.body, want) || u.totalCalls() != calls {
			t.Errorf("%s: got %+v after %d calls, want %d %s after %d", name, got, u.totalCalls(), status, want, calls)
		}
		if status == 201 && got.header.Get("Location") != "/r/1" {
			t.Errorf("%s: got headers %v, want Location /r/1", name, got.header)
		}
	}
	check("first", "/s/x", "k", "body", 201, "receipt", 1)
	check("repeat", "/s/x", "k", "body", 201, "receipt", 1)
	check("other body", "/s/x", "k", "other", 422, `"code":"idempotency_key_reused","verdict":"may_have_run"`, 1)
	check("invalid key", "/s/x", "\t\u00e9", "body", 400, "idempotency_key_invalid", 1)
	e.table.SetHook(func(string, string) portstest.Fault { return portstest.Refuse })
	check("table down", "/s/x", "new", "body", 503, `"code":"claim_unavailable","verdict":"not_run"`, 1)
	e.table.SetHook(nil)

	for len(entered) > 0 {
		<-entered
	}
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", e.URL+"/s/slow", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set(IdempotencyKeyHeader, "hung-up")
	go func() {
		<-entered
		cancel()
	}()
	if _, err := e.Client().Do(req); err == nil {
		t.Error("got a response to a cancelled request, want an error")
	}
	check("repeat while running", "/s/slow", "hung-up", "body", 409, `"code":"request_in_progress","verdict":"may_have_run"`, 2)
	close(release)
	for deadline := time.Now().Add(waitTimeout); ; <-time.After(time.Millisecond) {
		if got := e.call("POST", "/s/slow", "body", IdempotencyKeyHeader, "hung-up"); got.status == 201 || time.Now().After(deadline) {
			break
		}
	}
	check("repeat after a hang-up", "/s/slow", "hung-up", "body", 201, "receipt", 2)
}

// Guards against a second run of a chat whose engine wrote an earlier rejection once more
// on a kept connection: engines do not say which request an answer belongs to.
func TestEarlierRejectionOnAKeptConnection(t *testing.T) {
	var mu sync.Mutex
	rejected := map[string]bool{} // by connection
	runs := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		before := rejected[r.RemoteAddr]
		rejected[r.RemoteAddr] = true
		if before {
			runs++
		}
		mu.Unlock()
		respond(503, overloadedBody)(w, r)
	}
	first, second := newUpstream(t, handler), newUpstream(t, respond(200, completeBody))
	e := newEntry(t, first.address(), second.address())
	p := e.route.pool("engines")
	for range 4 {
		p.refresh(time.Now(), e.index)
		p.mu.Lock() // the call before may not have been finished
		p.picker.Report("b", 8, time.Now().Add(time.Hour))
		p.mu.Unlock()
		e.call("POST", "", "body")
	}
	mu.Lock()
	defer mu.Unlock()
	if len(rejected) == 0 {
		t.Fatal("no request reached the engine; the test shows nothing")
	}
	if runs > 0 {
		t.Errorf("%d requests were sent on a connection on which one had been rejected, want none", runs)
	}
}
