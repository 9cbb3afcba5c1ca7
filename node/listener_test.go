package node

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// acceptOne opens a connection to the listener and returns both ends.
func acceptOne(t *testing.T, l *callerListener) (caller net.Conn, accepted *callerConn) {
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

// Guards against connections that lock others out: at the limit the longest idle one is
// closed for a new one, then the one whose request has taken longest to arrive, and never
// one whose request has been received.
func TestConnectionIsClosedForANewOne(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newCallerListener(inner, 4, func() time.Duration { return 0 }, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	var conns []*callerConn
	for range 4 {
		_, c := acceptOne(t, l)
		conns = append(conns, c)
	}
	received, receiving, idle, lastIdle := conns[0], conns[1], conns[2], conns[3]
	received.setPhase(phaseReceived)
	trackState(idle, http.StateIdle)
	trackState(lastIdle, http.StateIdle)
	for n, victim := range []*callerConn{idle, lastIdle, receiving} {
		_, c := acceptOne(t, l)
		c.setPhase(phaseReceived)
		if _, open := l.conns[victim]; open || len(l.conns) != 4 {
			t.Errorf("connection %d is not closed for a new one; %d are open", n, len(l.conns))
		}
	}
	if l.makeRoom() {
		t.Error("a connection is closed whose request has been received")
	}
	received.Close()
	if !l.makeRoom() {
		t.Error("no room after a connection has been closed")
	}
}

// Guards against a default limit that leaves the process no descriptors or memory, and
// against settings without meaning.
func TestMaxConnections(t *testing.T) {
	if n := maxConnections(Settings{MaxConnections: 7}); n != 7 {
		t.Errorf("got %d, want the setting 7", n)
	}
	small, large := maxConnections(Settings{MemoryMB: 64}), maxConnections(Settings{MemoryMB: 144})
	if small < minConnections || small*connectionBytes > 64<<20/4 || large < small {
		t.Errorf("got %d connections at 64 MB and %d at 144 MB", small, large)
	}
	data, err := json.Marshal(Settings{MaxConnections: -1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseSettings(data); err == nil || !strings.Contains(err.Error(), "max_connections") {
		t.Errorf("max_connections of -1: %v", err)
	}
}
