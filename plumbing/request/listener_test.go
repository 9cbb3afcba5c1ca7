package request

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/decision/memory"
)

// listen returns a listener with room for a number of connections.
func listen(t *testing.T, limit int, machine int64) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close() })
	set := metrics.NewSet()
	return NewMemory(1<<20, set).Listen(inner, ListenerConfig{
		Machine: machine, Limit: limit, Log: &log.Logger{Handler: discard.New()}, Metrics: set,
	})
}

// acceptOne opens a connection to the listener and returns both ends.
func acceptOne(t *testing.T, l *Listener) (caller net.Conn, accepted *callerConn) {
	t.Helper()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return caller, conn.(*callerConn)
}

// closed reports whether a connection has been closed by this side.
func closed(c *callerConn) bool {
	_, err := c.Conn.Write(nil)
	return err != nil
}

// Guards against connections that lock others out: at the limit the longest idle one is
// closed for a new one, then the one whose request has taken longest to arrive, and never
// one whose request has been received.
func TestConnectionIsClosedForANewOne(t *testing.T) {
	l := listen(t, 4, 64<<20)
	var conns []*callerConn
	for range 4 {
		_, c := acceptOne(t, l)
		conns = append(conns, c)
	}
	received, receiving, idle, lastIdle := conns[0], conns[1], conns[2], conns[3]
	received.setPhase(memory.Received)
	trackState(idle, http.StateIdle)
	trackState(lastIdle, http.StateIdle)
	for n, victim := range []*callerConn{idle, lastIdle, receiving} {
		_, c := acceptOne(t, l)
		c.setPhase(memory.Received)
		if open := l.memory.connections.Open(); !closed(victim) || open != 4 {
			t.Errorf("connection %d is not closed for a new one; %d are open", n, open)
		}
	}
	if closed(received) {
		t.Error("a connection is closed whose request has been received")
	}
	if l.admit(&callerConn{Conn: received.Conn, listener: l}) {
		t.Error("a connection is admitted although the requests of all others have been received")
	}
	received.Close()
	if _, c := acceptOne(t, l); closed(c) {
		t.Error("no room after a connection has been closed")
	}
}

// Guards against heads that are in no account: those in one piece, in several, behind
// another request and in the server's buffer, and those of requests that have ended.
func TestHeadIsCountedWhileItIsKept(t *testing.T) {
	l := listen(t, 4, 256<<20)
	reached, end := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		reached <- struct{}{}
		<-end
	})}
	l.Attach(server)
	go server.Serve(l) //nolint:errcheck // ends with the test.
	t.Cleanup(func() { server.Close() })
	heads := func() int64 {
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		_, n := l.memory.connections.Used()
		return n
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn) //nolint:errcheck // ends with the connection.
	const fields = 400
	small := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	large := strings.TrimSuffix(small, "\r\n") + strings.Repeat("a:\r\n", fields) + "\r\n"
	least := int64(fields * 150)
	for _, write := range []struct {
		text     string
		requests []bool // whether each has the large head
	}{
		{large, []bool{true}},
		{small, []bool{false}},
		{large + large, []bool{true, true}},
		{small + large, []bool{false, true}},
	} {
		for _, piece := range []string{write.text[:20], write.text[20:]} {
			if _, err := io.WriteString(conn, piece); err != nil {
				t.Fatal(err)
			}
		}
		for n, isLarge := range write.requests {
			<-reached
			if got := heads(); isLarge != (got >= least) {
				t.Errorf("request %d of %d: %d bytes are counted for heads, of a large one %d or more", n, len(write.requests), got, least)
			}
			end <- struct{}{}
		}
	}
	conn.Close()
	for heads() != 0 {
		runtime.Gosched()
	}
}
