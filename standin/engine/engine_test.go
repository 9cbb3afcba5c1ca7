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

func start(t *testing.T, c Config) (*Engine, func(path, body string) (int, http.Header, string, error)) {
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

func parameters(replica string, token, memory int, base string) string {
	return fmt.Sprintf(`{"parameters":{"replica_id":%q,"fencing_token":%d,"memory_mb":%d,"base":%q}}`, replica, token, memory, base)
}

const loadA = "/v2/repository/models/a/load"

// Guards against a stand-in that obeys orders which the protocol refuses, or
// counts memory and replicas wrongly: tests of placement rely on both.
func TestOrders(t *testing.T) {
	steps := []struct {
		what, path, body string
		fenced, unfenced int // expected status with and without fencing
	}{
		{"load", loadA, parameters("a1", 5, 800, ""), 200, 200},
		{"repeat", loadA, parameters("a1", 5, 800, ""), 200, 200},
		{"unknown model", "/v2/repository/models/x/load", parameters("x1", 5, 1, ""), 404, 404},
		{"too large", "/v2/repository/models/b/load", parameters("b1", 5, 201, ""), 507, 507},
		{"adapter without its base", "/v2/repository/models/ad/load", parameters("ad1", 5, 10, "b"), 503, 503},
		{"adapter", "/v2/repository/models/ad/load", parameters("ad1", 6, 10, "a"), 200, 200},
		{"old token", "/v2/repository/models/b/load", parameters("b1", 5, 10, ""), 409, 200},
		{"old token unloads", "/v2/repository/models/a/unload", parameters("a1", 5, 0, ""), 409, 200},
		{"unload of what is not there", "/v2/repository/models/b/unload", parameters("b9", 6, 0, ""), 200, 200},
		{"no replica ID", loadA, `{}`, 400, 400},
	}
	for _, fencing := range []bool{true, false} {
		e, post := start(t, Config{MemoryMB: 1000, Fencing: fencing, Models: map[string]string{"a": Disk, "b": Remote, "ad": Memory}})
		for _, s := range steps {
			want := s.unfenced
			if fencing {
				want = s.fenced
			}
			status, header, body, err := post(s.path, s.body)
			if status != want || err != nil || header.Get(standin.HeaderIncarnation) == "" || header.Get(standin.HeaderRequestID) != "r1" {
				t.Errorf("fencing %t: %s: status %d, want %d: %v %s", fencing, s.what, status, want, err, body)
			}
		}
		state := e.State()
		replicas, used := fmt.Sprint(state.Replicas), state.MemoryUsedMB
		if fencing && (replicas != "map[a:1 ad:1]" || used != 810) || !fencing && (replicas != "map[ad:1 b:1]" || used != 20) {
			t.Errorf("fencing %t: replicas %s, %d MB", fencing, replicas, used)
		}
		if state.StaleOrders != 2 || state.RefusedMemory != 1 || state.Loads["a"] != 1 {
			t.Errorf("fencing %t: counters %+v", fencing, state)
		}
		_, header, body, _ := post(indexPath, "{}")
		var list []entry
		if err := json.Unmarshal([]byte(body), &list); err != nil || len(list) != 3 {
			t.Errorf("index: %v: %s", err, body)
		}
		if want := fmt.Sprintf(`"memory_used_mb":%d`, used); !strings.Contains(header.Get(standin.HeaderLoad), want) {
			t.Errorf("load report %s", header.Get(standin.HeaderLoad))
		}
	}
}

// Guards against a fault of streams without effect, and against an answer that
// says "not run" for a chat that ran.
func TestChatFaults(t *testing.T) {
	e, post := start(t, Config{Concurrency: 1})
	chat := func() (int, string, error) {
		status, _, body, err := post(chatPath, `{"model":"a","stream":true,"max_tokens":5,"messages":[]}`)
		return status, body, err
	}
	if status, body, _ := chat(); status != 404 || !strings.Contains(body, `"code":"model_not_loaded"`) {
		t.Errorf("model that is not loaded: %d %s", status, body)
	}
	if status, _, body, _ := post(loadA, parameters("a1", 1, 1, "")); status != 200 {
		t.Fatal(body)
	}
	if _, body, err := chat(); err != nil || strings.Count(body, `"id":"r1"`) != 6 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("whole stream: %v: %s", err, body)
	}
	e.SetFaults(standin.Faults{TruncateAfter: 2})
	if _, body, err := chat(); err == nil || strings.Count(body, `"id":"r1"`) != 2 {
		t.Errorf("truncated: %v: %s", err, body)
	}
	e.SetFaults(standin.Faults{ForeignID: true})
	if _, body, _ := chat(); strings.Contains(body, `"r1"`) || !strings.Contains(body, ForeignID) {
		t.Errorf("foreign ID: %s", body)
	}
	e.SetFaults(standin.Faults{Garbage: true})
	if _, body, _ := chat(); !strings.Contains(body, garbage) {
		t.Errorf("garbage: %s", body)
	}
	e.SetFaults(standin.Faults{Refuse: true})
	ran := e.State().Chats
	if status, body, _ := chat(); status != 503 || !strings.Contains(body, `"code":"overloaded"`) || e.State().Chats != ran {
		t.Errorf("refused: %d %s", status, body)
	}
	e.SetFaults(standin.Faults{LoseAnswers: 1})
	if _, _, err := chat(); err == nil || e.State().Chats != ran+1 {
		t.Errorf("lost answer: %v, %d chats", err, e.State().Chats-ran)
	}
	state := e.State()
	if state.Completed != 4 || state.Cancelled != 1 || state.Running != 0 {
		t.Errorf("counters %+v", state)
	}
}

// Guards against a cold restart that keeps replicas, connections, memory or
// the incarnation, and against a load report that does not lag.
func TestRestartAndLag(t *testing.T) {
	e, post := start(t, Config{LoadRemote: time.Hour})
	ended := make(chan error)
	go func() {
		_, _, _, err := post(loadA, parameters("a1", 1, 700, ""))
		ended <- err
	}()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for e.State().MemoryUsedMB == 0 { // the load has not arrived yet
		<-tick.C
	}
	e.SetFaults(standin.Faults{ReportLag: duration.Duration(time.Hour)})
	_, header, _, _ := post(indexPath, "{}")
	if !strings.Contains(header.Get(standin.HeaderLoad), `"memory_used_mb":0`) {
		t.Errorf("a report that lags by an hour shows %s", header.Get(standin.HeaderLoad))
	}
	before := e.State().Incarnation
	e.Restart()
	if err := <-ended; err == nil {
		t.Error("a restart did not break the connection of a load")
	}
	state := e.State()
	if state.Incarnation == before || state.MemoryUsedMB != 0 || len(state.Replicas) != 0 {
		t.Errorf("after the restart: %+v", state)
	}
}
