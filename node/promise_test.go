package node_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Guards against a status that tells the caller "not run" for a request that has run:
// the upstream's word that it did not run the request is missing, whatever the length and
// the framing of the answer. A caller that trusts the status runs the request twice.
func TestStatusOfARequestThatRanPromisesNothing(t *testing.T) {
	const (
		buffered = 256 << 10 // longer bodies are not buffered by the gateway
		noise    = "no answer\n"
	)
	s := newTestSystem(t, 1)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, signed := range []bool{false, true} {
			for name, body := range map[string]struct {
				header, text string
				endless      string
				pause        time.Duration
			}{
				"short":         {"Content-Length: 6\r\n", "failed", "", 0},
				"buffer's size": {fmt.Sprintf("Content-Length: %d\r\n", buffered), strings.Repeat("f", buffered), "", 0},
				"long":          {fmt.Sprintf("Content-Length: %d\r\n", buffered+100), strings.Repeat("f", buffered+100), "", 0},
				"long chunk":    {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 2*buffered, strings.Repeat("f", 2*buffered)), "", 0},
				"long unframed": {"", strings.Repeat("f", 2*buffered), "", 0},
				"endless":       {"", "", noise, 0},
				"endless slow":  {"", "", noise, 50 * time.Millisecond},
				"length unkept": {"Content-Length: 9000000000\r\n", "", noise, 0},
			} {
				name := fmt.Sprintf("%d signed %t %s", status, signed, name)
				t.Run(name, func(t *testing.T) {
					r := request{id: strings.ReplaceAll(name, " ", "-"), path: "/signup/1", key: "committee-key", deadline: 3 * time.Second}
					head := fmt.Sprintf("HTTP/1.1 %d Failed\r\n%s: %s\r\n%s", status, userplatform.HeaderID, r.id, body.header)
					if signed {
						head += userplatform.HeaderSignature + ": x\r\n"
					}
					for _, u := range s.rotas {
						u.ClearFaults()
					}
					// Upstreams that failed get nothing for a while.
					s.eventually("a sound request is served", func() bool {
						return s.send(0, request{path: "/signup/1", key: "committee-key"}).status == http.StatusOK
					})
					for _, u := range s.rotas {
						u.AnswerRaw(userplatform.RawAnswer{Text: head + "\r\n" + body.text, Endless: body.endless, Pause: body.pause})
					}
					began := time.Now()
					got, _, _ := s.sendAndDiscard(0, r)
					if ran, _ := countRuns(r.id, s.rotas...); ran != 1 {
						t.Fatalf("ran %d times, want 1", ran)
					}
					if got != http.StatusBadGateway {
						t.Errorf("got status %d, want 502: the request has run", got)
					}
					if took := time.Since(began); took > r.deadline/2 {
						t.Errorf("answered after %s, want before half of the deadline of %s: the head tells the result", took, r.deadline)
					}
				})
			}
		}
	}
}

// Guards against a failure of an upstream that is passed on in place of the answer of
// another one, or without the upstream's signature, because its body is long.
func TestLongFailureIsJudgedLikeAShortOne(t *testing.T) {
	long := strings.Repeat("f", 400<<10)
	for name, signature := range map[string]string{"signed": userplatform.HeaderSignature + ": x\r\n", "unsigned": ""} {
		t.Run(name, func(t *testing.T) {
			s := newTestSystem(t, 1)
			lookup := request{id: "lookup", method: http.MethodGet, path: "/lookup/1", key: "committee-key"}
			failure := func(id string) userplatform.RawAnswer {
				return userplatform.RawAnswer{Text: fmt.Sprintf("HTTP/1.1 500 Failed\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", userplatform.HeaderID, id, signature, len(long), long)}
			}
			s.rotas[0].AnswerRaw(failure(lookup.id))
			s.rotas[1].AnswerRaw(failure(lookup.id))
			if a := s.send(0, lookup); a.status == http.StatusOK {
				t.Fatalf("got status %d from two failures", a.status)
			}
			if _, arrived := countRuns(lookup.id, s.rotas...); arrived != 2 {
				t.Errorf("a look-up arrived %d times, want 2: it may be repeated", arrived)
			}
			for _, u := range s.rotas {
				u.AnswerRaw(failure("sign-up"))
			}
			a := s.send(0, request{id: "sign-up", path: "/signup/1", key: "committee-key"})
			want := http.StatusInternalServerError
			if signature == "" {
				want = http.StatusBadGateway
			}
			if a.status != want || a.err != nil || (signature != "") != (a.body == long) {
				t.Errorf("got status %d, %d bytes, %v; want %d", a.status, len(a.body), a.err, want)
			}
		})
	}
}

// Guards against a success without an upstream's signature: net/http answers a request for
// the server as a whole by itself.
func TestRequestForTheServerIsNoSuccess(t *testing.T) {
	s := newTestSystem(t, 1)
	conn, err := net.Dial("tcp", s.callerAddresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: rota.example\r\n%s: options\r\nAuthorization: Token committee-key\r\n\r\n", userplatform.HeaderID)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("got status %d, want 404", response.StatusCode)
	}
}
