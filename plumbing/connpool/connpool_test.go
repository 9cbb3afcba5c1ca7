package connpool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
)

// scriptedServer sends the given responses to the requests on each connection
// in order and closes the connection after the last one.
type scriptedServer struct {
	net.Listener
	responses []string
	accepted  chan struct{}
	closed    chan struct{}
	requests  chan string
}

func serve(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scriptedServer{Listener: l, responses: responses, accepted: make(chan struct{}, 16), closed: make(chan struct{}, 16), requests: make(chan string, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go s.serveConn(conn)
		}
	}()
	return s
}

func (s *scriptedServer) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		s.closed <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for _, text := range s.responses {
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

func call(t *testing.T, p *connpool.Pool, s *scriptedServer) (*connpool.Response, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.Call(ctx, s.Addr().String(), &connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}})
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against implicit retries: when the connection dies after the request
// was sent, Call reports that it may have arrived and sends nothing else.
func TestDeadConnectionIsNotRetried(t *testing.T) {
	s := serve(t, okResponse, "") // the second request on the connection gets no response
	p := connpool.New(connpool.Config{})
	defer p.Close()
	if _, _, err := call(t, p, s); err != nil {
		t.Fatal(err)
	}
	_, sent, err := call(t, p, s)
	if err == nil || !sent {
		t.Errorf("got sent %v, error %v; want an error after sending", sent, err)
	}
	if n := len(s.requests); n != 2 {
		t.Errorf("server received %d requests, want 2", n)
	}
	if n := len(s.accepted); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Guards against reusing a connection that the other side has closed or that
// has unread bytes belonging to no request.
func TestUnfitConnectionsAreNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"closed":   okResponse,
		"surplus":  okResponse + "HTTP/1.1 200 OK\r\n",
		"closing":  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"keeps 0s": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		s := serve(t, response)
		p := connpool.New(connpool.Config{})
		for range 3 {
			if a, _, err := call(t, p, s); err != nil || string(a.Body) != "ok" {
				t.Errorf("%s: %v", name, err)
			}
			<-s.closed
		}
		if n := len(s.accepted); n != 3 {
			t.Errorf("%s: got %d connections for 3 requests, want 3", name, n)
		}
		p.Close()
	}
}

// Guards the check of response IDs: a late response to an earlier request is
// skipped, and a connection that delivers only such responses is abandoned.
func TestForeignAnswers(t *testing.T) {
	mismatched := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate"
	own := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"
	receive := func(response string) (*http.Response, error) {
		s := serve(t, response)
		p := connpool.New(connpool.Config{})
		t.Cleanup(p.Close)
		c, err := p.Get(t.Context(), s.Addr().String(), "mine")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if err := c.Send(&connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}); err != nil {
			t.Fatal(err)
		}
		return c.Receive(http.MethodGet, "Id", "mine")
	}
	if a, err := receive("HTTP/1.1 100 Continue\r\n\r\n" + mismatched + own); err != nil || a.Header.Get("Id") != "mine" {
		t.Errorf("own response after a mismatched one: got %v, %v", a, err)
	}
	if _, err := receive(mismatched + mismatched + mismatched + own); !errors.Is(err, connpool.ErrMismatchedResponse) {
		t.Errorf("only mismatched responses: got %v, want ErrMismatchedResponse", err)
	}
}

// Guards against reporting a request as sent when the connection was refused.
func TestRefusedConnectionReportsNotSent(t *testing.T) {
	s := serve(t, okResponse)
	s.Close()
	if _, sent, err := call(t, connpool.New(connpool.Config{}), s); err == nil || sent || !connpool.IsRefused(err) {
		t.Errorf("got sent %v, error %v; want a refused connection before sending", sent, err)
	}
}

// Guards against a link that is cut, or an upstream that breaks off, which is taken for a
// process that has ended.
func TestOnlyARefusedConnectionCountsAsRefused(t *testing.T) {
	s := serve(t, "")
	p := connpool.New(connpool.Config{})
	defer p.Close()
	if _, _, err := call(t, p, s); err == nil || connpool.IsRefused(err) {
		t.Errorf("connection closed without a response: got %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	if _, err := p.Get(ctx, s.Addr().String(), "a"); err == nil || connpool.IsRefused(err) {
		t.Errorf("no connection in time: got %v", err)
	}
}

// Guards against a repeat that takes a copied response for its own: a connection must not
// carry an ID twice, but be kept for other IDs.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	s := serve(t, slices.Repeat([]string{okResponse}, 7)...)
	p := connpool.New(connpool.Config{})
	defer p.Close()
	used := map[string][]string{} // IDs by local address of the connection
	for _, id := range []string{"a", "b", "a", "c", "b", "a", "d"} {
		c, err := p.Get(t.Context(), s.Addr().String(), id)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Send(&connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}); err != nil {
			t.Fatal(err)
		}
		response, err := c.Receive(http.MethodGet, "", "")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		local := c.LocalAddr().String()
		if slices.Contains(used[local], id) {
			t.Errorf("ID %s twice on one connection", id)
		}
		used[local] = append(used[local], id)
		p.Put(c)
	}
	if len(used) != 3 {
		t.Errorf("got %d connections, want 3: one for each time of the ID that came most often", len(used))
	}
}

// Guards against a large body, which is written without a copy, that does not arrive as it
// was sent.
func TestLargeBodyArrivesWhole(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan []byte, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		got <- body
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // the call fails then.
	}()
	body := make([]byte, 1<<20)
	for n := range body {
		body[n] = byte(n * 7)
	}
	pool := connpool.New(connpool.Config{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, _, err := pool.Call(ctx, l.Addr().String(), &connpool.Request{Method: "POST", Target: "/", Host: "x", Body: body}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(<-got, body) {
		t.Error("another body arrived")
	}
}
