package request

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/memory"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// connectionShare is the share of a machine's memory for callers' connections and for the
	// heads of requests until these are admitted.
	connectionShare = 0.25
	// ownDescriptors are kept for listeners, the store and other instances. Half of the
	// other descriptors are for callers, half for upstreams.
	ownDescriptors = 64
	// minConnections is the smallest limit that is derived.
	minConnections = 16
	// serverBuffer is the length of net/http's buffer for reading.
	serverBuffer = 4 << 10
)

// MaxConnections returns the number of callers' connections that the memory of the machine
// in bytes and the descriptors of the process allow.
func MaxConnections(machine int64) int {
	limit := memory.MaxConnections(connectionCapacity(machine))
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) == nil && descriptors.Cur < 1<<31 {
		limit = min(limit, (int(descriptors.Cur)-ownDescriptors)/2)
	}
	return max(limit, minConnections)
}

func connectionCapacity(machine int64) int64 { return int64(connectionShare * float64(machine)) }

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// Machine is the memory of the machine in bytes. Required.
	Machine int64
	// Limit is the largest number of connections at a time. Required.
	Limit int
	// IdleTimeout returns the time after which a connection that becomes idle is closed. Nil,
	// and 0, mean that of the server.
	IdleTimeout func() time.Duration
	Log         log.Interface
	Metrics     *metrics.Set
}

// Listener accepts callers' connections, and bounds what these and the heads of requests
// take in memory until the requests are admitted. At its limit it closes another connection
// for each new one. It applies the idle timeout that is configured when a connection becomes
// idle, because the timeout of a running http.Server can't be changed.
type Listener struct {
	net.Listener
	config ListenerConfig
	memory *Memory
	lines  LineLimiter

	closedIdle, closedReceiving, closedNew, closedHead *metrics.Counter
}

// Listen returns a listener whose connections are in the account.
func (m *Memory) Listen(inner net.Listener, c ListenerConfig) *Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections = memory.NewConnections(connectionCapacity(c.Machine), c.Limit)
	closed := func(state string) *metrics.Counter {
		return c.Metrics.NewCounter(`hibiscusyard_caller_connections_closed_total{state="` + state + `"}`)
	}
	gauge := func(name string, value func() int64) {
		c.Metrics.NewGauge(name, func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return float64(value())
		})
	}
	gauge(`hibiscusyard_caller_connections`, func() int64 { return int64(m.connections.Open()) })
	gauge(`hibiscusyard_memory_held_bytes{pool="connections"}`, func() int64 { n, _ := m.connections.Used(); return n })
	gauge(`hibiscusyard_memory_held_bytes{pool="heads"}`, func() int64 { _, n := m.connections.Used(); return n })
	return &Listener{
		Listener: inner, config: c, memory: m,
		closedIdle: closed("idle"), closedReceiving: closed("receiving"), closedNew: closed("new"), closedHead: closed("head"),
	}
}

// Attach makes a server report to the listener what its connections are used for.
func (l *Listener) Attach(server *http.Server) {
	server.ConnState, server.ConnContext = trackState, withConn
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: conn, listener: l}
		c.account.Owner = c
		if l.admit(c) {
			return c, nil
		}
		conn.Close()
	}
}

// admit reports whether a new connection may stay open. Another one may be closed for it.
func (l *Listener) admit(c *callerConn) bool {
	l.memory.mu.Lock()
	victim, ok := l.memory.connections.Admit(&c.account)
	l.memory.mu.Unlock()
	switch {
	case victim != nil && victim.Phase() == memory.Idle:
		l.record(l.closedIdle, "idle")
	case victim != nil:
		l.record(l.closedReceiving, "receiving")
	case !ok:
		l.record(l.closedNew, "new")
	}
	if victim != nil {
		victim.Owner.(*callerConn).Conn.Close() //nolint:errcheck // it is given up.
	}
	return ok
}

// record counts and logs a connection that is closed for lack of room.
func (l *Listener) record(counter *metrics.Counter, state string) {
	counter.Inc()
	if ok, suppressed := l.lines.Allow(bootclock.Now()); ok {
		l.config.Log.WithFields(log.Fields{"limit": l.config.Limit, "state": state, "lines_suppressed": suppressed}).Info("caller connection closed at the limit")
	}
}

// callerConn is a caller's connection. net/http reads from it in one goroutine at a time.
type callerConn struct {
	net.Conn
	listener *Listener
	account  memory.Connection // guarded by the mutex of the account

	counter memory.HeadCounter // of the head that is being received
	wait    atomic.Int32       // for the next request, one of the constants below
	waited  atomic.Bool        // the server has read from the connection since it became idle
}

// Stages of the wait for the next request, as the server's deadlines for reading show them.
const (
	notIdle       int32 = iota
	becomesIdle         // the deadline of the idle connection comes next
	awaitsRequest       // that of the next head comes next
)

// Read implements net.Conn. The bytes of a head are in the account before the server
// parses them.
func (c *callerConn) Read(p []byte) (int, error) {
	c.waited.Store(true)
	n, err := c.Conn.Read(p)
	if n == 0 || c.counter.Complete() {
		return n, err
	}
	before := c.counter.Head()
	c.counter.Add(p[:n])
	if !c.setHead(before.Cost(), c.counter.Head().Cost()) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed} // the server closes the connection
	}
	return n, err
}

// setHead changes the cost of the head in the account, and reports whether there is room.
// Connections with larger heads are closed for it.
func (c *callerConn) setHead(before, cost int64) bool {
	if memory.Uncounted(before) && memory.Uncounted(cost) {
		return true
	}
	m := c.listener.memory
	m.mu.Lock()
	victims, ok := m.connections.SetHead(&c.account, cost)
	m.mu.Unlock()
	for _, victim := range victims {
		c.listener.record(c.listener.closedHead, "head")
		victim.Owner.(*callerConn).Conn.Close() //nolint:errcheck // it is given up.
	}
	if !ok {
		c.listener.record(c.listener.closedHead, "head")
	}
	return ok
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	m := c.listener.memory
	m.mu.Lock()
	m.connections.Close(&c.account)
	m.mu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The server sets the deadline of an idle connection
// right after it has called the ConnState hook with StateIdle, and the next one when the
// next request begins. Without a read between them that request has been in the server's
// buffer, uncounted.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	switch {
	case c.wait.CompareAndSwap(becomesIdle, awaitsRequest):
		if d := c.idleTimeout(); d > 0 && !t.IsZero() {
			t = time.Now().Add(d)
		}
	case c.wait.CompareAndSwap(awaitsRequest, notIdle) && !c.waited.Load():
		c.counter.Assume(memory.DensestHead(serverBuffer))
		if !c.setHead(0, c.counter.Head().Cost()) {
			c.Conn.Close() //nolint:errcheck // the next read or write fails.
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) idleTimeout() time.Duration {
	if c.listener.config.IdleTimeout == nil {
		return 0
	}
	return c.listener.config.IdleTimeout()
}

func (c *callerConn) setPhase(phase memory.Phase) {
	m := c.listener.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections.SetPhase(&c.account, phase)
}

// releaseHead takes the head out of the account of connections.
func (c *callerConn) releaseHead() {
	m := c.listener.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections.SetHead(&c.account, 0)
}

// trackState is the ConnState hook of the server.
func trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.counter = memory.HeadCounter{}
		c.waited.Store(false)
		c.wait.Store(becomesIdle)
		c.setPhase(memory.Idle)
	case http.StateActive:
		c.counter.Finish()
		c.setPhase(memory.Receiving)
	}
}

type connKey struct{}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// conn returns the connection of the request, nil if no Listener has accepted it.
func (r *Request) conn() *callerConn {
	c, _ := r.HTTP.Context().Value(connKey{}).(*callerConn)
	return c
}

// headOf counts the head of a request.
func headOf(r *http.Request) memory.Head {
	head := memory.Head{Bytes: int64(len(r.Method) + len(r.RequestURI) + len(r.Host)), Fields: 2}
	for name, values := range r.Header {
		for _, value := range values {
			head.Bytes += int64(len(name) + len(value) + len(": \r"))
			head.Items += int64(strings.Count(value, ","))
		}
		head.Fields += int64(len(values))
	}
	return head
}
