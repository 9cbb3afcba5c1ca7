package filter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

const (
	// dialTimeout bounds the set-up of a connection to an upstream. Data
	// centres are a few ms apart.
	dialTimeout = 2 * time.Second
	// maxAnswerHeader bounds the headers of an upstream's answer in bytes.
	maxAnswerHeader = 64 << 10
)

// NewClient returns a client for upstreams: no redirects, and connections
// that tell whether a byte of a request may have left.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &upstreamConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// upstreamConn reports the first write of each request before it happens. It
// carries one request at a time.
type upstreamConn struct {
	net.Conn
	mu     sync.Mutex
	expose func() // called before the first write, nil after it
	sealed bool
}

func (c *upstreamConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.expose != nil {
		c.expose()
		c.expose = nil
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// tryConns holds the connections that one try was given. The transport takes
// another one only if nothing was written to the first.
type tryConns struct {
	attempt *verdict.Attempt
	written atomic.Bool
	mu      sync.Mutex
	conns   []*upstreamConn
	got     bool
	reused  bool // the last connection had served before
}

func (t *tryConns) expose() {
	t.written.Store(true)
	t.attempt.Expose()
}

func (t *tryConns) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *tryConns) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got, t.reused = true, info.Reused
	conn, ok := info.Conn.(*upstreamConn)
	if !ok { // a client of another kind can't tell when it writes
		t.expose()
		return
	}
	conn.mu.Lock()
	conn.expose = t.expose
	conn.mu.Unlock()
	t.conns = append(t.conns, conn)
}

// connected reports whether the try was given a connection.
func (t *tryConns) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.got
}

// stale reports whether an idle connection turned out to be closed before a
// byte of the request was written. It must follow seal.
func (t *tryConns) stale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused && !t.written.Load()
}

// seal closes the connections. No byte leaves after it has returned, so that
// the verdict of the try is final.
func (t *tryConns) seal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.mu.Lock()
		c.sealed, c.expose = true, nil
		c.mu.Unlock()
		c.Conn.Close() //nolint:errcheck // the connection is given up.
	}
}
