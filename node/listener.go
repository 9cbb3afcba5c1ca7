package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleListener applies the idle timeout that is configured when a connection
// becomes idle, because the timeout of a running http.Server can't be changed.
type idleListener struct {
	net.Listener
	idleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, idleTimeout: l.idleTimeout}, nil
}

type idleConn struct {
	net.Conn
	idleTimeout func() time.Duration
	idle        atomic.Bool
}

// SetReadDeadline implements net.Conn. The server sets the deadline of an idle
// connection right after it has called the ConnState hook with StateIdle.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if c.idle.CompareAndSwap(true, false) && !t.IsZero() {
		if d := c.idleTimeout(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// trackIdle is the ConnState hook of the server; it records whether a connection is idle.
func trackIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*idleConn); ok {
		c.idle.Store(state == http.StateIdle)
	}
}
