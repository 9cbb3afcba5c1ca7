package connpool_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
)

// invalidStatusLines are status lines that no response begins with.
var invalidStatusLines = []string{
	"HTTP/1.1 000 x", "HTTP/1.1 001 x", "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 101 Switching Protocols",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
	"HTTP/1.1 -01 x", "HTTP/1.1 +20 x", "HTTP/1.1 2e2 OK", "HTTP/1.1 abc x", "HTTP/1.1  20 x", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1. 200 OK",
	"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK", "",
}

// serveOpen answers each connection's first request with raw bytes and keeps the connection
// open until the caller closes it.
func serveOpen(t *testing.T, raw string) (address string, ended <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	closed := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { conn.Close(); closed <- struct{}{} }()
				buf := make([]byte, 4<<10)
				if _, err := conn.Read(buf); err != nil {
					return
				}
				conn.Write([]byte(raw)) //nolint:errcheck // the caller may have closed.
				for err == nil {
					_, err = conn.Read(buf)
				}
			}()
		}
	}()
	return l.Addr().String(), closed
}

// callOpen makes a call and checks that it does not take all of its time.
func callOpen(t *testing.T, address string) (*connpool.Response, bool, error) {
	t.Helper()
	p := connpool.New(connpool.Config{})
	t.Cleanup(p.Close)
	deadline := time.Now().Add(6 * time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	response, sent, err := p.Call(ctx, address, &connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}})
	if time.Until(deadline) < time.Second {
		t.Errorf("the call took all of its time: %v", err)
	}
	return response, sent, err
}

// Guards against a status that is none in HTTP: it was taken for an interim response, so
// that the caller waited until its deadline, or for a response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, line := range invalidStatusLines {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			address, ended := serveOpen(t, line+"\r\nContent-Length: 2\r\n\r\nok")
			response, sent, err := callOpen(t, address)
			if err == nil {
				t.Fatalf("got status %d and %q, want an error", response.Status, response.Body)
			}
			if !sent {
				t.Error("the request counts as one that was not sent")
			}
			<-ended // the connection is not kept
		})
	}
}

// Guards against a part of a status line for whose rest the caller waits, although no
// response begins with it.
func TestStartOfAnInvalidStatusLineIsEnough(t *testing.T) {
	for _, start := range []string{"\x00", "x", "HTTP/2", "HTTP/1.1  ", "HTTP/1.1 0", "HTTP/1.1 6", "HTTP/1.1 2e", "HTTP/1.1 101"} {
		t.Run(start, func(t *testing.T) {
			t.Parallel()
			address, _ := serveOpen(t, start)
			if _, _, err := callOpen(t, address); err == nil {
				t.Error("got no error")
			}
		})
	}
}

// Guards against statuses that are refused although HTTP has them.
func TestValidStatusIsAResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 x", "HTTP/1.1 299 a  b", "HTTP/1.1 418 I'm"} {
		t.Run(line, func(t *testing.T) {
			address, _ := serveOpen(t, line+"\r\nContent-Length: 2\r\n\r\nok")
			response, _, err := callOpen(t, address)
			if err != nil {
				t.Fatal(err)
			}
			if want := strings.Fields(line)[1]; fmt.Sprint(response.Status) != want || string(response.Body) != "ok" {
				t.Errorf("got %d %q, want %s", response.Status, response.Body, want)
			}
		})
	}
}

// Guards against interim responses in place of a response: an upstream that sends some and
// then nothing kept its caller until the deadline.
func TestInterimResponses(t *testing.T) {
	interim := func(n int) string { return strings.Repeat("HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n", n) }
	for name, c := range map[string]struct {
		raw    string
		served bool
	}{
		"one and a response":                {interim(1) + okResponse, true},
		"four of different statuses":        {"HTTP/1.1 100 Continue\r\n\r\n" + interim(2) + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse, true},
		"too many":                          {interim(5) + okResponse, false},
		"one and nothing":                   {interim(1), false},
		"one and an invalid status":         {interim(1) + "HTTP/1.1 000 x\r\n\r\n", false},
		"one and a line with two spaces":    {interim(1) + "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		"one and a part of the next":        {interim(1) + "HTTP/1.1 10", false},
		"one and the switch to a protocol":  {interim(1) + "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		"one with a head that does not end": {"HTTP/1.1 102 Processing\r\nX-A: 1\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := serveOpen(t, c.raw)
			response, _, err := callOpen(t, address)
			if served := err == nil && string(response.Body) == "ok"; served != c.served {
				t.Errorf("served %t, want %t: %v", served, c.served, err)
			}
		})
	}
}

// Guards against a time for the rest of an exchange that is shorter after an interim
// response: the body may take all of the caller's time.
func TestBodyAfterAnInterimResponseHasItsTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	resume := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		conn.Read(make([]byte, 4<<10))                                                                    //nolint:errcheck // the request.
		conn.Write([]byte("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")) //nolint:errcheck // the test checks what it gets.
		<-resume
		conn.Write([]byte("ok")) //nolint:errcheck // as above.
	}()
	p := connpool.New(connpool.Config{})
	defer p.Close()
	c, err := p.Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began, limit := time.Now(), 2*time.Second
	if err := c.SetDeadline(began.Add(limit)); err != nil {
		t.Fatal(err)
	}
	if err := c.Send(&connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}); err != nil {
		t.Fatal(err)
	}
	head, err := c.Receive(http.MethodGet, "", "")
	if err != nil {
		t.Fatal(err)
	}
	one := make([]byte, 1)
	if _, err := head.Body.Read(one); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %v, want the end of the time", err)
	}
	if took := time.Since(began); took < limit {
		t.Errorf("the time ended after %s, want %s", took, limit)
	}
	close(resume)
}
