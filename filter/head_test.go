package filter

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// sendRaw answers with raw bytes and closes the connection.
func sendRaw(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, raw) //nolint:errcheck // the caller may have disconnected.
	}
}

// Guards against an upstream that stops anywhere in the head of its answer and closes the
// connection: the caller must not get a success, nor a body that looks whole.
func TestAnswerCutInItsHeadIsNoSuccess(t *testing.T) {
	for _, c := range []struct{ name, path, header, body string }{
		{"service with length", "/s/x", "Content-Type: text/plain\r\nContent-Length: 6\r\n", "answer"},
		{"service in chunks", "/s/x", "Transfer-Encoding: chunked\r\nContent-Type: text/plain\r\n", "6\r\nanswer\r\n0\r\n\r\n"},
		{"service unframed", "/s/x", "Content-Type: text/plain\r\n", "answer"},
		{"chat", "", "Content-Type: application/json\r\n" + fmt.Sprintf("Content-Length: %d\r\n", len(completeBody)), completeBody},
		{"stream", "stream", "Content-Type: text/event-stream\r\n", tokenEvent + finishEvent + doneEvent},
	} {
		t.Run(c.name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + c.header + "\r\n"
			for cut := range len(head) {
				u := newUpstream(t, sendRaw(head[:cut]))
				if got := newEntry(t, u.address()).call("POST", c.path, "body"); got.status < 500 || u.totalCalls() != 1 {
					t.Errorf("cut after %q: got status %d, body %q, %v after %d calls", head[:cut], got.status, got.body, got.err, u.totalCalls())
				}
				u.Close()
			}
			u := newUpstream(t, sendRaw(head+c.body))
			if got := newEntry(t, u.address()).call("POST", c.path, "body"); got.status != http.StatusOK || got.err != nil {
				t.Errorf("the whole answer: got status %d, %v; the test shows nothing", got.status, got.err)
			}
		})
	}
}
