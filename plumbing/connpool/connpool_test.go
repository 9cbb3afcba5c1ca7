package connpool_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
)

// scripted answers the requests on each connection with the given texts in
// turn and closes the connection after the last one.
type scripted struct {
	net.Listener
	answers  []string
	accepted chan struct{}
	closed   chan struct{}
	requests chan string
}

func serve(t *testing.T, answers ...string) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scripted{Listener: l, answers: answers, accepted: make(chan struct{}, 16), closed: make(chan struct{}, 16), requests: make(chan string, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go s.play(conn)
		}
	}()
	return s
}

func (s *scripted) play(conn net.Conn) {
	defer func() {
		conn.Close()
		s.closed <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for _, text := range s.answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests <- r.URL.Path
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

func call(t *testing.T, p *connpool.Pool, s *scripted) (*connpool.Answer, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.Call(ctx, s.Addr().String(), &connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}})
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a request that is sent again by itself: when the connection
// dies after the request was sent, the caller is told that it may have arrived,
// and nothing else is sent.
func TestDeadConnectionIsNotRetried(t *testing.T) {
	s := serve(t, ok, "") // the second request on the connection gets no answer
	p := connpool.New(connpool.Config{})
	defer p.Close()
	if _, _, err := call(t, p, s); err != nil {
		t.Fatal(err)
	}
	_, sent, err := call(t, p, s)
	if err == nil || !sent {
		t.Errorf("sent %v, %v; want an error after the send", sent, err)
	}
	if n := len(s.requests); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
	if n := len(s.accepted); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Guards against sending on a connection that the other side has closed or on
// which bytes of nobody's answer wait.
func TestUnfitConnectionsAreNotReused(t *testing.T) {
	for name, answer := range map[string]string{
		"closed":   ok,
		"surplus":  ok + "HTTP/1.1 200 OK\r\n",
		"closing":  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"keeps 0s": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		s := serve(t, answer)
		p := connpool.New(connpool.Config{})
		for range 3 {
			if a, _, err := call(t, p, s); err != nil || string(a.Body) != "ok" {
				t.Errorf("%s: %v", name, err)
			}
			<-s.closed
		}
		if n := len(s.accepted); n != 3 {
			t.Errorf("%s: %d connections for 3 requests", name, n)
		}
		p.Close()
	}
}

// Guards the ID of an answer: a late one of an earlier request is passed over,
// and a connection that brings only such answers is given up.
func TestForeignAnswers(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate"
	own := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
	receive := func(answer string) (*http.Response, error) {
		s := serve(t, answer)
		p := connpool.New(connpool.Config{})
		t.Cleanup(p.Close)
		c, err := p.Get(t.Context(), s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if err := c.Send(&connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}); err != nil {
			t.Fatal(err)
		}
		return c.Receive(http.MethodGet, "Id", "mine")
	}
	if a, err := receive("HTTP/1.1 100 Continue\r\n\r\n" + foreign + own); err != nil || a.Header.Get("Id") != "mine" {
		t.Errorf("own answer behind a foreign one: %v, %v", a, err)
	}
	if _, err := receive(foreign + foreign + foreign + own); !errors.Is(err, connpool.ErrForeign) {
		t.Errorf("only foreign answers gave %v", err)
	}
}

// Guards against waiting for an address where nobody listens.
func TestRefusedConnectionWasNotSent(t *testing.T) {
	s := serve(t, ok)
	s.Close()
	if _, sent, err := call(t, connpool.New(connpool.Config{}), s); err == nil || sent {
		t.Errorf("sent %v, %v", sent, err)
	}
}
