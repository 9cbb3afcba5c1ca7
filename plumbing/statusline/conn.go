package statusline

import (
	"context"
	"net"
	"sync"
)

// Conn checks the heads of the responses on a connection that carries one request at a
// time. A read that brings an invalid one fails. It is for requests that fit into one write:
// one that is still being written after the head of its response would count as the next.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	head Checker
}

// Dialer returns a function for http.Transport.DialContext that dials with d.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// Write writes p. The first write after a response begins the next request.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.head.Complete() {
		c.head = Checker{}
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read reads into p and checks what it has read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.head.Add(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}
