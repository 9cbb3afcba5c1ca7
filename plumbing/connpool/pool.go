package connpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Config sets the limits of a pool.
type Config struct {
	// DialTimeout bounds the set-up of a connection. Default 700ms.
	DialTimeout time.Duration
	// UnackedTimeout is how long sent bytes or keep-alive probes may stay
	// unacknowledged before the connection counts as dead. Default 2s.
	UnackedTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the other side
	// announces no timeout. Default 4s.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one address. Default 16.
	MaxIdle int
}

func (c *Config) applyDefaults() {
	if c.DialTimeout == 0 {
		c.DialTimeout = 700 * time.Millisecond
	}
	if c.UnackedTimeout == 0 {
		c.UnackedTimeout = 2 * time.Second
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 4 * time.Second
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = 16
	}
}

// keepAliveFraction is the fraction of the idle timeout announced by the other
// side after which an idle connection is no longer reused, so that a request is
// not sent while the other side closes the connection.
const keepAliveFraction = 0.6

// IsRefused reports whether a connection was refused: the machine at the address is there,
// and nothing listens. A link that is cut or a machine that is gone refuses nothing.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Pool keeps idle connections by address. Its methods are safe for concurrent
// use.
type Pool struct {
	config Config
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
}

// New returns an empty pool.
func New(config Config) *Pool {
	config.applyDefaults()
	p := &Pool{config: config, idle: map[string][]*Conn{}}
	p.dialer = net.Dialer{
		Timeout: config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: max(config.UnackedTimeout/2, time.Second), Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var timeout, linger error
			err := raw.Control(func(fd uintptr) {
				timeout = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(config.UnackedTimeout.Milliseconds()))
				// Also in force when the process ends.
				linger = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			})
			return errors.Join(err, timeout, linger)
		},
	}
	return p
}

// Get returns a connection for a request with the ID: an idle one to the address that is
// still open and has not carried that ID, or a new one.
func (p *Pool) Get(ctx context.Context, address, id string) (*Conn, error) {
	c := p.getIdle(address, func(c *Conn) bool { return !c.carried(id) })
	if c == nil {
		var err error
		if c, err = p.Dial(ctx, address); err != nil {
			return nil, err
		}
	}
	if c.ids == nil {
		c.ids = map[uint64]struct{}{}
	}
	c.ids[xxhash.Sum64String(id)] = struct{}{}
	return c, nil
}

// getIdle returns an idle connection to the address that is still open and suits, or nil.
func (p *Pool) getIdle(address string, suits func(*Conn) bool) *Conn {
	for {
		c := p.popIdle(address, suits)
		if c == nil {
			return nil
		}
		if c.checkIdle() == nil {
			c.wrote = false
			return c
		}
		c.closeInOrder()
	}
}

// Dial returns a new connection to the address.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limited := &limitedConn{Conn: conn}
	return &Conn{Conn: conn, address: address, limit: limited, reader: bufio.NewReaderSize(limited, readBuffer)}, nil
}

// popIdle removes and returns the most recently used idle connection that has
// not expired and suits, or nil. It closes the expired ones that it finds.
func (p *Pool) popIdle(address string, suits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	var found *Conn
	for i := len(list) - 1; i >= 0 && found == nil; i-- {
		switch c := list[i]; {
		case bootclock.Since(c.idleSince) >= p.maxIdleTime(c):
			c.closeInOrder()
			list = slices.Delete(list, i, i+1)
		case suits(c):
			found = c
			list = slices.Delete(list, i, i+1)
		}
	}
	if len(list) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list
	}
	return found
}

func (p *Pool) maxIdleTime(c *Conn) time.Duration {
	if c.keepAliveTimeout > 0 {
		return time.Duration(float64(c.keepAliveTimeout) * keepAliveFraction)
	}
	return p.config.IdleTimeout
}

// Put returns a connection to the pool after a complete response. A connection that is
// broken, has unread bytes, has carried maxRequests or exceeds MaxIdle is closed in order.
func (p *Pool) Put(c *Conn) {
	if c.broken || c.reader.Buffered() > 0 || len(c.ids) >= maxRequests {
		c.closeInOrder()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.closeInOrder()
		return
	}
	c.idleSince = bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.config.MaxIdle {
		c.closeInOrder()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes expired idle connections.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if bootclock.Since(c.idleSince) < p.maxIdleTime(c) {
				kept = append(kept, c)
			} else {
				c.closeInOrder()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			c.closeInOrder()
		}
		delete(p.idle, address)
	}
}

// Response is a complete response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxCallBody is the default of Request.MaxBody.
const maxCallBody = 16 << 20

// Call sends one request and reads the whole response. Sent reports whether the
// request may have been received, also when an error is returned. The connection of a
// call that ctx ends is reset, so that the request does not arrive later.
func (p *Pool) Call(ctx context.Context, address string, r *Request) (answer *Response, sent bool, err error) {
	// Nothing tells the responses to requests without an ID apart, but only servers with an
	// IDHeader are known to send a response twice.
	single := r.IDHeader != ""
	var c *Conn
	if !single {
		c = p.getIdle(address, func(*Conn) bool { return true })
	}
	if c == nil {
		if c, err = p.Dial(ctx, address); err != nil {
			return nil, false, err
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			c.Close()
			return nil, false, err
		}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := ctx.Err(); err != nil { // a connection may be set up just when ctx ends
		c.Close()
		return nil, false, err
	}
	if err := c.Send(r); err != nil {
		c.Close()
		return nil, c.wrote, err
	}
	head, err := c.Receive(r.Method, r.IDHeader, "")
	if err != nil {
		c.Close()
		return nil, true, err
	}
	if r.MaxBody > 0 {
		c.LimitRead(r.MaxBody)
	} else {
		c.LimitRead(maxCallBody)
	}
	body, err := io.ReadAll(head.Body)
	if err != nil {
		c.Close()
		return nil, true, err
	}
	if stop() && !single {
		p.Put(c)
	} else {
		c.closeInOrder()
	}
	return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, true, nil
}
