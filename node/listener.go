package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/gateway"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

const (
	// connectionShare is the share of the memory limit for callers' connections, and
	// connectionBytes what one takes at most before its request is received: buffers and
	// stacks of net/http, a head of 16 KiB and its fields.
	connectionShare = 0.25
	connectionBytes = 40 << 10
	// ownDescriptors are kept for listeners, the store and other instances. Half of the
	// other descriptors are for callers, half for upstreams.
	ownDescriptors = 64
	// minConnections is the smallest limit that is derived.
	minConnections = 16
)

// maxConnections returns the limit on callers' connections, from the memory of the machine
// and the descriptors of the process unless the settings name it.
func maxConnections(s Settings) int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	limit := int64(connectionShare * s.MemoryMB * (1 << 20) / connectionBytes)
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) == nil && descriptors.Cur < 1<<31 {
		limit = min(limit, (int64(descriptors.Cur)-ownDescriptors)/2)
	}
	return int(max(limit, minConnections))
}

// callerListener accepts callers' connections. It applies the idle timeout that is
// configured when a connection becomes idle, because the timeout of a running http.Server
// can't be changed. At its limit it closes another connection for each new one: the one
// that has been idle longest, else the one whose request has taken longest to arrive. If
// all requests have been received, the new connection is closed.
type callerListener struct {
	net.Listener
	idleTimeout func() time.Duration
	limit       int
	log         log.Interface
	lines       request.LineLimiter

	closedIdle, closedReceiving, closedNew *metrics.Counter

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newCallerListener(l net.Listener, limit int, idleTimeout func() time.Duration, logger log.Interface, set *metrics.Set) *callerListener {
	c := &callerListener{Listener: l, idleTimeout: idleTimeout, limit: limit, log: logger, conns: map[*callerConn]struct{}{}}
	c.closedIdle = set.NewCounter(`hibiscusyard_caller_connections_closed_total{state="idle"}`)
	c.closedReceiving = set.NewCounter(`hibiscusyard_caller_connections_closed_total{state="receiving"}`)
	c.closedNew = set.NewCounter(`hibiscusyard_caller_connections_closed_total{state="new"}`)
	set.NewGauge(`hibiscusyard_caller_connections`, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(len(c.conns))
	})
	return c
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: conn, listener: l}
		c.since.Store(int64(bootclock.Now()))
		if !l.makeRoom() {
			conn.Close()
			continue
		}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// makeRoom closes a connection if the limit is reached, and reports whether there is room
// for a new one.
func (l *callerListener) makeRoom() bool {
	l.mu.Lock()
	if len(l.conns) < l.limit {
		l.mu.Unlock()
		return true
	}
	var victim *callerConn
	var idle bool
	for c := range l.conns {
		phase := c.phase.Load()
		if phase == phaseReceived {
			continue
		}
		better := victim == nil || phase == phaseIdle && !idle ||
			(phase == phaseIdle) == idle && c.since.Load() < victim.since.Load()
		if better {
			victim, idle = c, phase == phaseIdle
		}
	}
	l.mu.Unlock()
	counter, state := l.closedNew, "new"
	switch {
	case idle:
		counter, state = l.closedIdle, "idle"
	case victim != nil:
		counter, state = l.closedReceiving, "receiving"
	}
	counter.Inc()
	if ok, suppressed := l.lines.Allow(bootclock.Now()); ok {
		l.log.WithFields(log.Fields{"limit": l.limit, "state": state, "lines_suppressed": suppressed}).Info("caller connection closed at the limit")
	}
	if victim == nil {
		return false
	}
	victim.Close() //nolint:errcheck // it is given up.
	return true
}

func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Phases of a connection.
const (
	phaseReceiving int32 = iota // no request yet, or one of which a part is missing
	phaseReceived
	phaseIdle
)

type callerConn struct {
	net.Conn
	listener *callerListener
	idle     atomic.Bool // until the server sets the deadline of the idle connection
	phase    atomic.Int32
	since    atomic.Int64 // bootclock.Time of the last change of phase
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The server sets the deadline of an idle
// connection right after it has called the ConnState hook with StateIdle.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.idle.CompareAndSwap(true, false) && !t.IsZero() {
		if d := c.listener.idleTimeout(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// trackState is the ConnState hook of the server.
func trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.idle.Store(state == http.StateIdle)
	switch state {
	case http.StateIdle:
		c.setPhase(phaseIdle)
	case http.StateActive:
		c.setPhase(phaseReceiving)
	}
}

func (c *callerConn) setPhase(phase int32) {
	c.phase.Store(phase)
	c.since.Store(int64(bootclock.Now()))
}

type connKey struct{}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markReceived records that a request has been received. It is the filter behind ReadBody.
type markReceived struct{}

// Serve implements gateway.Filter.
func (markReceived) Serve(ctx context.Context, r *gateway.Request, next gateway.Next) error {
	if c, ok := ctx.Value(connKey{}).(*callerConn); ok {
		c.setPhase(phaseReceived)
	}
	return next(ctx, r)
}
