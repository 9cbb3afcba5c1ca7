package filter

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// sendOpen answers with raw bytes and waits until the connection is closed.
func sendOpen(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, raw); err == nil {
			io.Copy(io.Discard, conn) //nolint:errcheck // ends with the connection.
		}
	}
}

// Guards against a status that is none in HTTP and reaches the caller, keeps it waiting, or
// leaves the connection in use.
func TestInvalidStatusIsAFailureOfTheUpstream(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 x", "099": "HTTP/1.1 099 x", "101": "HTTP/1.1 101 Switching Protocols", "600": "HTTP/1.1 600 x", "999": "HTTP/1.1 999 x",
		"two spaces": "HTTP/1.1  200 OK", "tab": "HTTP/1.1\t200 OK", "two digits": "HTTP/1.1 20 OK", "four digits": "HTTP/1.1 0200 OK", "sign": "HTTP/1.1 -01 x",
		"letters": "HTTP/1.1 abc x", "protocol": "ICY 200 OK", "version": "HTTP/2.0 200 OK",
		"interim, then 000": interim + "HTTP/1.1 000 x", "interim, then two spaces": interim + "HTTP/1.1  200 OK", "interim, then a part": interim + "HTTP/1.1 102 Processing\r\nX-A: 1",
		"interim, then nothing": interim, "interim without end, then nothing": "HTTP/1.1 102 Processing\r\nX-A: 1",
		"interim, then a head without end and nothing": interim + "HTTP/1.1 200 OK\r\nX-A: 1\r\n",
		"too many interim": strings.Repeat(interim, 5) + "HTTP/1.1 200 OK",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raw := line + "\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer"
			if strings.HasSuffix(name, "nothing") {
				raw = line
			}
			for _, repeatable := range []bool{false, true} {
				first, second := newUpstream(t, sendOpen(raw)), newUpstream(t, respond(200, completeBody))
				e := newEntry(t, first.address(), second.address())
				e.editCatalog(func(tables *catalog.Catalog) {
					tables.Routes[0].Repeatable = repeatable
				})
				// The reported load of the second upstream makes the picker prefer the first.
				p := e.route.pool("services")
				p.refresh(time.Now(), e.index)
				p.picker.Report("b", 8, time.Now().Add(time.Hour))
				got := e.call("POST", "/s/x", "body", TimeoutHeader, "6")
				if want := map[bool]int{false: http.StatusBadGateway, true: http.StatusOK}[repeatable]; got.status != want || got.body == "answer" {
					t.Errorf("repeatable %t: got status %d and %q, want %d", repeatable, got.status, got.body, want)
				}
				if n := first.totalCalls(); n != 1 {
					t.Errorf("repeatable %t: the first upstream was called %d times, want 1", repeatable, n)
				}
			}
		})
	}
}

// Guards against interim responses that are taken for a failure, also on a connection that
// is used again.
func TestInterimResponsesPass(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusProcessing)
		w.Header().Set("Link", "x")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusOK)
		io.WriteString(w, "ok") //nolint:errcheck // the test checks the received body.
	})
	e := newEntry(t, u.address())
	for n := range 3 {
		if got := e.call("POST", "/s/x", "body"); got.status != http.StatusOK || got.body != "ok" {
			t.Errorf("request %d: got status %d and %q", n, got.status, got.body)
		}
	}
}

// Guards against a connection of which only the first response is checked.
func TestInvalidStatusOnAKeptConnection(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		const answer = "\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer"
		io.Copy(io.Discard, r.Body)                    //nolint:errcheck // the test checks the answers.
		io.WriteString(conn, "HTTP/1.1 200 OK"+answer) //nolint:errcheck // as above.
		if _, err := http.ReadRequest(buffered.Reader); err == nil {
			io.WriteString(conn, "HTTP/1.1 600 x"+answer) //nolint:errcheck // as above.
		}
	})
	e := newEntry(t, u.address())
	if got := e.call("POST", "/s/x", "body"); got.status != http.StatusOK {
		t.Fatalf("first request: got status %d and %q", got.status, got.body)
	}
	if got := e.call("POST", "/s/x", "body"); got.status != http.StatusBadGateway {
		t.Errorf("second request: got status %d and %q, want 502", got.status, got.body)
	}
	if n := u.totalCalls(); n != 1 {
		t.Errorf("%d connections, want 1: the test shows nothing", n)
	}
}

// deadlineConn records its read deadline. Each read returns what one write has written.
type deadlineConn struct {
	net.Conn
	read time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.read = t
	return c.Conn.SetReadDeadline(t)
}

// Guards against a body that has less time after an interim response, and against a time
// for the next request of the connection.
func TestReadsHaveTheirTimeAfterAnInterimResponse(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	recorded := &deadlineConn{Conn: near}
	c := &upstreamConn{Conn: recorded, deadline: time.Now().Add(time.Hour)}
	go func() {
		for _, text := range []string{"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\n", "\r\n"} {
			io.WriteString(far, text) //nolint:errcheck // the test checks what is read.
		}
	}()
	buf := make([]byte, 100)
	for n, limited := range []bool{true, true, false} {
		if _, err := c.Read(buf); err != nil {
			t.Fatal(err)
		}
		if got := !recorded.read.IsZero(); got != limited || got && recorded.read.After(c.deadline.Add(-20*time.Minute)) {
			t.Errorf("after read %d: read deadline %s, want one before %s: %t", n, recorded.read, c.deadline, limited)
		}
	}
}
