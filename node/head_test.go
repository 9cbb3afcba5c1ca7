package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Guards against an upstream that stops anywhere in the head of its answer and closes the
// connection: the caller must not get a success, nor a body that looks whole. At the end
// of the head, an answer without length and chunks is whole.
func TestAnswerCutInItsHeadIsNoSuccess(t *testing.T) {
	for name, c := range map[string]struct {
		r          request
		typ, frame string
		body       string
	}{
		"plain with length": {request{method: http.MethodGet, path: "/lookup/1", key: "committee-key"}, "text/plain", "Content-Length: 6\r\n", "answer"},
		"plain in chunks":   {request{method: http.MethodGet, path: "/lookup/1", key: "committee-key"}, "text/plain", "Transfer-Encoding: chunked\r\n", "6\r\nanswer\r\n0\r\n\r\n"},
		"plain unframed":    {request{method: http.MethodGet, path: "/lookup/1", key: "committee-key"}, "text/plain", "", "answer"},
		"stream in chunks":  {draftRequest("notices"), "text/event-stream", "Transfer-Encoding: chunked\r\n", "15\r\nid: 1\ndata: event 1\n\n\r\n0\r\n\r\n"},
		"stream unframed":   {draftRequest("notices"), "text/event-stream", "", "id: 1\ndata: event 1\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1, "notices")
			// The header that frames the body comes first or last: a cut can take it away.
			for _, framedFirst := range []bool{false, true} {
				for cut := 0; ; cut++ {
					r := c.r
					r.id = fmt.Sprintf("cut-%t-%d", framedFirst, cut)
					rest := fmt.Sprintf("%s: %s\r\n%s: x\r\nContent-Type: %s\r\n", userplatform.HeaderID, r.id, userplatform.HeaderSignature, c.typ)
					head := "HTTP/1.1 200 OK\r\n" + c.frame + rest + "\r\n"
					if !framedFirst {
						head = "HTTP/1.1 200 OK\r\n" + rest + c.frame + "\r\n"
					}
					if cut == len(head) {
						break
					}
					if framed := cut > len(head)-12; cut%5 > 0 && !framed { // each byte near the end
						continue
					}
					checkCut(t, s, r, head[:cut])
				}
			}
			r := c.r
			r.id = "whole"
			for _, u := range append(s.rotas, s.engines...) {
				u.ClearFaults()
				u.AnswerRaw(userplatform.RawAnswer{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: whole\r\n%s: x\r\nContent-Type: %s\r\n\r\n%s",
					c.frame, userplatform.HeaderID, userplatform.HeaderSignature, c.typ, c.body)})
			}
			if a := s.send(0, r); a.err != nil || a.status != http.StatusOK || !strings.HasSuffix(strings.TrimSpace(a.body), "answer") && !strings.Contains(a.body, "event 1") {
				t.Errorf("the whole answer: got %d %q %v; the test shows nothing", a.status, a.body, a.err)
			}
		})
	}
}

// checkCut checks the answer to a request whose upstreams all stop inside the head.
func checkCut(t *testing.T, s *testSystem, r request, start string) {
	t.Helper()
	sound := r
	sound.id = ""
	for _, u := range append(s.rotas, s.engines...) {
		u.ClearFaults()
	}
	// Upstreams that failed get nothing for a while.
	s.eventually("a sound request is served", func() bool { return s.send(0, sound).status == http.StatusOK })
	for _, u := range append(s.rotas, s.engines...) {
		u.AnswerRaw(userplatform.RawAnswer{Text: start}, userplatform.RawAnswer{Text: start}, userplatform.RawAnswer{Text: start})
	}
	a := s.send(0, r)
	if runs, _ := countRuns(r.id, append(s.rotas, s.engines...)...); runs == 0 {
		t.Fatalf("%q: the request did not run; the test shows nothing", start)
	}
	if a.status == http.StatusOK || a.status == http.StatusServiceUnavailable {
		t.Errorf("cut after %q: got status %d, body %q, %v", start, a.status, a.body, a.err)
	}
}
