package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func serve(t *testing.T, handler http.HandlerFunc) (*Client, string) {
	server := httptest.NewServer(handler)
	client := NewClient()
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, strings.TrimPrefix(server.URL, "http://")
}

// Guards the mapping from response status to outcome: a wrong Refused would make
// the planner forget a replica that is loaded.
func TestOutcomes(t *testing.T) {
	for status, want := range map[int]struct {
		outcome Outcome
		reason  string
	}{
		200: {Done, ""}, 409: {Refused, ReasonStaleToken}, 507: {Refused, ReasonMemory}, 404: {Refused, ReasonNotFound},
		503: {Refused, ReasonUnavailable}, 500: {Unknown, ReasonInvalid}, 302: {Unknown, ReasonInvalid}, 204: {Unknown, ReasonInvalid},
	} {
		var path, body string
		client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			path, body = r.URL.EscapedPath(), string(data)
			w.Header().Set(IncarnationHeader, "x1")
			w.Header().Set(LoadHeader, `JSON {"application_utilization":0.3,"named_metrics":{"requests_in_flight":3,"memory_used_mb":800,"memory_total_mb":16000}}`)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		})
		got := client.Load(t.Context(), address, LoadOrder{Model: "a/b", ReplicaID: "3-1", FencingToken: 12, Base: "c", MemoryMB: 800})
		load := Load{Known: true, Utilization: 0.3, InFlight: 3, MemoryUsedMB: 800, MemoryTotalMB: 16000}
		if got.Outcome != want.outcome || got.Reason != want.reason || got.Incarnation != "x1" || got.Load != load {
			t.Errorf("status %d: unexpected result %+v", status, got)
		}
		if path != "/v2/repository/models/a%2Fb/load" || body != `{"parameters":{"replica_id":"3-1","fencing_token":12,"base":"c","memory_mb":800}}` {
			t.Errorf("unexpected request: %s %s", path, body)
		}
		if status == 404 {
			if got := client.Unload(t.Context(), address, UnloadOrder{Model: "m", ReplicaID: "3-1"}); got.Outcome != Done {
				t.Errorf("unload of an unknown replica: got %+v, want outcome done", got)
			}
		}
	}
}

// Guards against reporting an order as refused when it may have reached the
// engine.
func TestLostResponses(t *testing.T) {
	var calls atomic.Int32
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) == 1 {
			<-r.Context().Done() // until the client's deadline
			return
		}
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if got := client.Load(ctx, address, LoadOrder{Model: "m"}); got.Outcome != Unknown {
		t.Errorf("no response in time: got %+v, want outcome unknown", got)
	}
	if got := client.Load(t.Context(), address, LoadOrder{Model: "m"}); got.Outcome != Unknown {
		t.Errorf("connection closed after the request: got %+v, want outcome unknown", got)
	}
	if calls.Load() != 2 {
		t.Errorf("got %d requests, want 2: the client must not retry", calls.Load())
	}
	if got := client.Load(t.Context(), address, LoadOrder{Model: "m", SendBy: time.Now().Add(-time.Second)}); got.Outcome == Done || calls.Load() != 2 {
		t.Errorf("order past its deadline was sent: got %+v, %d requests", got, calls.Load())
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	if got := client.Load(t.Context(), closed.Addr().String(), LoadOrder{Model: "m"}); got.Outcome != Refused || got.Reason != ReasonUnreachable {
		t.Errorf("connection refused: got %+v, want outcome refused as unreachable", got)
	}
}

// Guards against an order that counts as carried out or refused after a status that is none
// in HTTP: it may have been carried out.
func TestInvalidStatusHasNoOutcome(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 x", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.1  409 Conflict", "HTTP/1.1 +40 x", "HTTP/1.1 600 x", "HTTP/1.1 101 x", "HTTP/1.1 102 x\r\n\r\nHTTP/1.1  200 OK"} {
		var calls atomic.Int32
		client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, buffered, _ := w.(http.Hijacker).Hijack()
			defer conn.Close()
			// The first response is valid, and its connection is kept.
			if calls.Add(1) == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				if _, err := http.ReadRequest(buffered.Reader); err != nil {
					return
				}
			}
			_, _ = io.WriteString(conn, line+"\r\nContent-Length: 0\r\n\r\n")
		})
		if got := client.Load(t.Context(), address, LoadOrder{Model: "m"}); got.Outcome != Done {
			t.Errorf("%q: valid response: got %+v, want outcome done", line, got)
		}
		for _, conn := range []string{"kept", "new"} {
			if got := client.Load(t.Context(), address, LoadOrder{Model: "m"}); got.Outcome != Unknown || got.Err == nil {
				t.Errorf("%q on a %s connection: got %+v, want outcome unknown and an error", line, conn, got)
			}
		}
		if n := calls.Load(); n != 2 {
			t.Errorf("%q: %d connections, want 2: each call is sent once and the first connection is kept", line, n)
		}
	}
}

// Guards the decoding of the index, and against taking a response that is
// malformed or lacks the incarnation for an empty engine.
func TestIndex(t *testing.T) {
	body, incarnation := "", "x1"
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(IncarnationHeader, incarnation)
		_, _ = io.WriteString(w, body)
	})
	entry := map[string]any{"name": "m", "state": "READY", "reason": "",
		"parameters": map[string]any{"replica_id": "3-1", "memory_mb": 800, "checkpoint": "disk"}}
	data, _ := json.Marshal([]any{entry})
	body = string(data)
	list, answer, err := client.Index(t.Context(), address)
	want := Entry{Name: "m", State: Ready, ReplicaID: "3-1", MemoryMB: 800, Checkpoint: "disk"}
	if err != nil || len(list) != 1 || list[0] != want || answer.Incarnation != "x1" || answer.Load.Known {
		t.Fatalf("got index %v, answer %+v, error %v; want one entry of model m", list, answer, err)
	}
	body = `{"not":"a list"}`
	if _, _, err := client.Index(t.Context(), address); err == nil {
		t.Error("malformed index: got no error")
	}
	body, incarnation = "[]", ""
	if _, _, err := client.Index(t.Context(), address); err == nil {
		t.Error("missing incarnation: got no error")
	}
	if ready, _, err := client.Healthy(t.Context(), address); err != nil || !ready {
		t.Error(ready, err)
	}
}
