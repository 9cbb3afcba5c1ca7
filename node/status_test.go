package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// rawResponse returns a signed response to a request after the status line.
func rawResponse(line, id string) userplatform.RawAnswer {
	return userplatform.RawAnswer{Open: true, Text: fmt.Sprintf("%s\r\n%s: %s\r\n%s: x\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer",
		line, userplatform.HeaderID, id, userplatform.HeaderSignature)}
}

// Guards against a status that is none in HTTP and reaches the caller, keeps it waiting
// until its deadline, or leaves the upstream in use: the upstream has failed at once, the
// request may have run, and one that may be repeated is served by another upstream.
func TestInvalidStatusIsAFailureOfTheUpstream(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 x", "001": "HTTP/1.1 001 x", "099": "HTTP/1.1 099 x", "101": "HTTP/1.1 101 Switching Protocols", "600": "HTTP/1.1 600 x", "999": "HTTP/1.1 999 x",
		"two spaces": "HTTP/1.1  200 OK", "tab": "HTTP/1.1\t200 OK", "two digits": "HTTP/1.1 20 OK", "four digits": "HTTP/1.1 0200 OK", "sign": "HTTP/1.1 -01 x",
		"exponent": "HTTP/1.1 2e2 OK", "letters": "HTTP/1.1 abc x", "protocol": "ICY 200 OK", "version": "HTTP/2.0 200 OK",
		"interim, then 000": interim + "HTTP/1.1 000 x", "interim, then two spaces": interim + "HTTP/1.1  200 OK", "interim, then a part": interim + "HTTP/1.1 102 Processing\r\nX-A: 1",
		"interim, then nothing": interim, "interim without end, then nothing": "HTTP/1.1 102 Processing\r\nX-A: 1",
		"interim, then a head without end and nothing": interim + "HTTP/1.1 200 OK\r\nX-A: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1)
			id := strings.ReplaceAll(name, " ", "-")
			unsafe := request{id: id, path: "/signup/1", key: "committee-key", deadline: 6 * time.Second}
			raw := rawResponse(line, id)
			if strings.HasSuffix(name, "nothing") {
				raw.Text = line
			}
			for _, u := range s.rotas {
				u.AnswerRaw(raw)
			}
			began := time.Now()
			got := s.send(0, unsafe)
			if got.status != http.StatusBadGateway || got.body == "answer" {
				t.Errorf("got status %d and %q, want 502", got.status, got.body)
			}
			if took := time.Since(began); took > unsafe.deadline*3/4 {
				t.Errorf("answered after %s of %s", took, unsafe.deadline)
			}
			if ran, _ := countRuns(id, s.rotas...); ran != 1 {
				t.Errorf("ran %d times, want 1", ran)
			}
			failed := 0 // the upstream that has failed gets nothing for a while
			for n := range 9 {
				more := unsafe
				more.id = fmt.Sprintf("%s-%d", id, n)
				if s.send(0, more).status != http.StatusOK {
					failed++
				}
			}
			if failed > 1 {
				t.Errorf("%d of the next 9 requests failed, want 1 at most", failed)
			}
		})
	}
}

// Guards against a request that is not repeated although that is safe, after a status that
// is none in HTTP.
func TestRequestIsRepeatedAfterAnInvalidStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 x", "HTTP/1.1 600 x", "HTTP/1.1  200 OK"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1)
			n := 0
			lookup := func() (r request) {
				n++
				return request{id: fmt.Sprintf("lookup-%d", n), method: http.MethodGet, path: "/lookup/1", key: "committee-key", deadline: 6 * time.Second}
			}
			s.eventually("the upstream with the invalid status has been asked", func() bool {
				probe, r := lookup(), lookup()
				s.send(0, probe)
				preferred := s.rotas[0]
				if ran, _ := countRuns(probe.id, preferred); ran == 0 {
					preferred = s.rotas[1]
				}
				preferred.AnswerRaw(rawResponse(line, r.id))
				defer preferred.ClearFaults()
				if got := s.send(0, r); got.status != http.StatusOK || got.body == "answer" {
					t.Errorf("got status %d and %q, want the answer of the other upstream", got.status, got.body)
				}
				ran, _ := countRuns(r.id, preferred)
				return ran > 0
			})
		})
	}
}

// Guards against interim responses that are taken for a failure.
func TestInterimResponsesPass(t *testing.T) {
	s := newTestSystem(t, 1)
	r := request{id: "interim", path: "/signup/1", key: "committee-key"}
	for _, u := range s.rotas {
		u.AnswerRaw(rawResponse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK", r.id))
	}
	if got := s.send(0, r); got.status != http.StatusOK || got.body != "answer" {
		t.Errorf("got status %d and %q, want the answer", got.status, got.body)
	}
}
