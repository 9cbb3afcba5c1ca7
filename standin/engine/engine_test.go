package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startEngine(t *testing.T, c Config) (*Engine, func(path, body string) (int, http.Header, string, error)) {
	t.Helper()
	e := New(c)
	server := httptest.NewServer(e)
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{}}
	t.Cleanup(func() { client.CloseIdleConnections(); server.CloseClientConnections(); server.Close() })
	return e, func(path, body string) (int, http.Header, string, error) {
		req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
		if err != nil {
			return 0, nil, "", err
		}
		req.Header.Set(standin.HeaderRequestID, "r1")
		resp, err := client.Do(req)
		if err != nil {
			return 0, nil, "", err
		}
		defer resp.Body.Close()
		var text bytes.Buffer
		_, err = io.Copy(&text, resp.Body)
		return resp.StatusCode, resp.Header, text.String(), err
	}
}

func orderParameters(replica string, token, memory int, base string) string {
	return fmt.Sprintf(`{"parameters":{"replica_id":%q,"fencing_token":%d,"memory_mb":%d,"base":%q}}`, replica, token, memory, base)
}

const loadA = "/v2/repository/models/a/load"

// Guards against a stand-in that accepts orders which the protocol refuses, or
// that counts memory and replicas wrongly: tests of placement rely on both.
func TestOrders(t *testing.T) {
	steps := []struct {
		what, path, body string
		fenced, unfenced int // expected status with and without fencing
	}{
		{"load", loadA, orderParameters("a1", 5, 800, ""), 200, 200},
		{"repeat", loadA, orderParameters("a1", 5, 800, ""), 200, 200},
		{"unknown model", "/v2/repository/models/x/load", orderParameters("x1", 5, 1, ""), 404, 404},
		{"too large", "/v2/repository/models/b/load", orderParameters("b1", 5, 201, ""), 507, 507},
		{"adapter without its base", "/v2/repository/models/ad/load", orderParameters("ad1", 5, 10, "b"), 503, 503},
		{"adapter", "/v2/repository/models/ad/load", orderParameters("ad1", 6, 10, "a"), 200, 200},
		{"old token", "/v2/repository/models/b/load", orderParameters("b1", 5, 10, ""), 409, 200},
		{"unload with an old token", "/v2/repository/models/a/unload", orderParameters("a1", 5, 0, ""), 409, 200},
		{"unload of an unknown replica", "/v2/repository/models/b/unload", orderParameters("b9", 6, 0, ""), 200, 200},
		{"no replica ID", loadA, `{}`, 400, 400},
	}
	for _, fencing := range []bool{true, false} {
		e, post := startEngine(t, Config{MemoryMB: 1000, Fencing: fencing, Models: map[string]string{"a": Disk, "b": Remote, "ad": Memory}})
		for _, s := range steps {
			want := s.unfenced
			if fencing {
				want = s.fenced
			}
			status, header, body, err := post(s.path, s.body)
			if status != want || err != nil || header.Get(standin.HeaderIncarnation) == "" || header.Get(standin.HeaderRequestID) != "r1" {
				t.Errorf("fencing %t: %s: got status %d, want %d: %v %s", fencing, s.what, status, want, err, body)
			}
		}
		state := e.State()
		replicas, used := fmt.Sprint(state.Replicas), state.MemoryUsedMB
		if fencing && (replicas != "map[a:1 ad:1]" || used != 810) || !fencing && (replicas != "map[ad:1 b:1]" || used != 20) {
			t.Errorf("fencing %t: got replicas %s using %d MB", fencing, replicas, used)
		}
		if state.StaleOrders != 2 || state.RefusedMemory != 1 || state.Loads["a"] != 1 {
			t.Errorf("fencing %t: got counters %+v, want 2 stale orders, 1 refused for memory and 1 load of model a", fencing, state)
		}
		_, header, body, _ := post(indexPath, "{}")
		var list []entry
		if err := json.Unmarshal([]byte(body), &list); err != nil || len(list) != 3 {
			t.Errorf("index: got error %v and body %s, want 3 entries", err, body)
		}
		if want := fmt.Sprintf(`"memory_used_mb":%d`, used); !strings.Contains(header.Get(standin.HeaderLoad), want) {
			t.Errorf("got load report %s, want one with the used memory", header.Get(standin.HeaderLoad))
		}
	}
}

// Guards against streaming faults that are not applied, and against a response
// that reports a chat as not run although it ran.
func TestChatFaults(t *testing.T) {
	e, post := startEngine(t, Config{Concurrency: 1})
	chat := func() (int, string, error) {
		status, _, body, err := post(chatPath, `{"model":"a","stream":true,"max_tokens":5,"messages":[]}`)
		return status, body, err
	}
	if status, body, _ := chat(); status != 404 || !strings.Contains(body, `"code":"model_not_loaded"`) {
		t.Errorf("model that is not loaded: got status %d and body %s", status, body)
	}
	if status, _, body, _ := post(loadA, orderParameters("a1", 1, 1, "")); status != 200 {
		t.Fatal(body)
	}
	if _, body, err := chat(); err != nil || strings.Count(body, `"id":"r1"`) != 6 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("complete stream: got error %v and body %s", err, body)
	}
	e.SetFaults(standin.Faults{TruncateAfter: 2})
	if _, body, err := chat(); err == nil || strings.Count(body, `"id":"r1"`) != 2 {
		t.Errorf("truncated stream: got error %v and body %s", err, body)
	}
	e.SetFaults(standin.Faults{ForeignID: true})
	if _, body, _ := chat(); strings.Contains(body, `"r1"`) || !strings.Contains(body, ForeignID) {
		t.Errorf("foreign ID: got body %s", body)
	}
	e.SetFaults(standin.Faults{Garbage: true})
	if _, body, _ := chat(); !strings.Contains(body, malformedBody) {
		t.Errorf("malformed body: got body %s", body)
	}
	e.SetFaults(standin.Faults{Refuse: true})
	chatsBefore := e.State().Chats
	if status, body, _ := chat(); status != 503 || !strings.Contains(body, `"code":"overloaded"`) || e.State().Chats != chatsBefore {
		t.Errorf("refused chat: got status %d and body %s", status, body)
	}
	e.SetFaults(standin.Faults{LoseAnswers: 1})
	if _, _, err := chat(); err == nil || e.State().Chats != chatsBefore+1 {
		t.Errorf("lost response: got error %v and %d chats, want an error and 1 chat", err, e.State().Chats-chatsBefore)
	}
	state := e.State()
	if state.Completed != 4 || state.Cancelled != 1 || state.Running != 0 {
		t.Errorf("got counters %+v, want 4 completed, 1 cancelled and 0 running", state)
	}
}

// Guards against a restart that keeps replicas, connections, memory or the
// incarnation, and against a load report that ignores the configured lag.
func TestRestartAndLag(t *testing.T) {
	e, post := startEngine(t, Config{LoadRemote: time.Hour})
	ended := make(chan error)
	go func() {
		_, _, _, err := post(loadA, orderParameters("a1", 1, 700, ""))
		ended <- err
	}()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for e.State().MemoryUsedMB == 0 { // wait until the load order has arrived
		<-tick.C
	}
	e.SetFaults(standin.Faults{ReportLag: duration.Duration(time.Hour)})
	_, header, _, _ := post(indexPath, "{}")
	if !strings.Contains(header.Get(standin.HeaderLoad), `"memory_used_mb":0`) {
		t.Errorf("got load report %s, want the report of an hour ago without used memory", header.Get(standin.HeaderLoad))
	}
	before := e.State().Incarnation
	e.Restart()
	if err := <-ended; err == nil {
		t.Error("got no error for a load in flight during a restart, want a broken connection")
	}
	state := e.State()
	if state.Incarnation == before || state.MemoryUsedMB != 0 || len(state.Replicas) != 0 {
		t.Errorf("got state %+v after the restart, want a new incarnation without replicas", state)
	}
}
