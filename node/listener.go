package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleListener gives each connection the idle time in force when it becomes
// idle. The time of a running http.Server can't be changed.
type idleListener struct {
	net.Listener
	idleFor func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, idleFor: l.idleFor}, nil
}

type idleConn struct {
	net.Conn
	idleFor func() time.Duration
	idle    atomic.Bool
}

// SetReadDeadline implements net.Conn. The server sets the deadline of an idle
// connection right after it has announced the state.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if c.idle.CompareAndSwap(true, false) && !t.IsZero() {
		if d := c.idleFor(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// noteIdle is the server's ConnState hook.
func noteIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*idleConn); ok {
		c.idle.Store(state == http.StateIdle)
	}
}
