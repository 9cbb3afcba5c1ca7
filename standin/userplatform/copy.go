package userplatform

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// RefusalCopy determines when an upstream writes each of its refusals a second time, on
// the same connection and with the same ID.
type RefusalCopy int

// Times of the copy of a refusal.
const (
	NoCopy          RefusalCopy = iota
	CopyAtOnce                  // in the same write
	CopyLate                    // after copyDelay
	CopyWithRequest             // once the next request on the connection arrives
)

// copyDelay is the time after which CopyLate writes the copy.
const copyDelay = 15 * time.Millisecond

// refusalHeads are the beginnings of the answers that are copied.
var refusalHeads = [][]byte{[]byte("HTTP/1.1 409 "), []byte("HTTP/1.1 421 "), []byte("HTTP/1.1 429 "), []byte("HTTP/1.1 503 ")}

// copyListener accepts connections that copy refusals.
type copyListener struct {
	net.Listener
	when RefusalCopy
}

// Accept implements net.Listener.
func (l copyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyConn{Conn: conn, when: l.when}, nil
}

// copyConn copies refusals. It relies on net/http to write a short answer with one call.
type copyConn struct {
	net.Conn
	when RefusalCopy

	mu  sync.Mutex
	due []byte // copy to write once the next request arrives
}

// Write implements net.Conn.
func (c *copyConn) Write(p []byte) (int, error) {
	refusal := false
	for _, head := range refusalHeads {
		refusal = refusal || bytes.HasPrefix(p, head)
	}
	copied := bytes.Clone(p)
	switch {
	case !refusal:
	case c.when == CopyAtOnce:
		n, err := c.Conn.Write(append(copied, p...))
		return min(n, len(p)), err
	case c.when == CopyLate:
		time.AfterFunc(copyDelay, func() { c.Conn.Write(copied) }) //nolint:errcheck // the caller may have closed.
	case c.when == CopyWithRequest:
		c.mu.Lock()
		c.due = copied
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *copyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	due := c.due
	c.due = nil
	c.mu.Unlock()
	if len(due) > 0 {
		if _, err := c.Conn.Write(due); err != nil {
			return 0, err
		}
	}
	return n, err
}
