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
	"github.com/hibiscusyard/hibiscusyard/plumbing/statusline"
)

const (
	// dialTimeout bounds the time to connect to an upstream. The latency
	// between data centres is a few milliseconds.
	dialTimeout = 2 * time.Second
	// maxResponseHeader bounds the headers of an upstream's response in bytes.
	maxResponseHeader = 64 << 10
)

// NewClient returns an HTTP client for upstreams. It does not follow redirects,
// and its connections record whether a byte of a request may have been sent.
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
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// upstreamConn calls onFirstWrite before the first write of each request, and checks the
// status lines of the responses. It carries one request at a time.
type upstreamConn struct {
	net.Conn
	mu           sync.Mutex
	onFirstWrite func() // called before the first write, nil afterwards
	closed       bool
	head         statusline.Checker
	deadline     time.Time // of the request, zero for none
}

func (c *upstreamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Complete() {
		return n, err
	}
	before := c.head.Interim()
	if err := c.head.Add(p[:n]); err != nil {
		return 0, err
	}
	switch after := c.head.Interim(); {
	case c.deadline.IsZero() || after == 0:
	case c.head.Complete():
		c.Conn.SetReadDeadline(time.Time{}) //nolint:errcheck // fails only if the connection is closed.
	case before == 0:
		left := time.Duration(float64(time.Until(c.deadline)) * statusline.InterimTimeShare)
		c.Conn.SetReadDeadline(time.Now().Add(left)) //nolint:errcheck // as above.
	}
	return n, err
}

func (c *upstreamConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.onFirstWrite != nil {
		c.onFirstWrite()
		c.onFirstWrite = nil
		c.head = statusline.Checker{}
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// tryConns holds the connections that the transport used for one try. The
// transport moves to another connection only if nothing was written to the first.
type tryConns struct {
	attempt  *verdict.Attempt
	deadline time.Time // of the request, zero for none
	written  atomic.Bool
	mu       sync.Mutex
	conns    []*upstreamConn
	hasConn  bool
	reused   bool // the last connection was an idle one that had been used before
}

func (t *tryConns) recordWrite() {
	t.written.Store(true)
	t.attempt.MarkSent()
}

func (t *tryConns) trace(ctx context.Context) context.Context {
	t.deadline, _ = ctx.Deadline()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *tryConns) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasConn, t.reused = true, info.Reused
	conn, ok := info.Conn.(*upstreamConn)
	if !ok { // writes on a connection of another client are not observed, so assume one
		t.recordWrite()
		return
	}
	conn.mu.Lock()
	conn.onFirstWrite = t.recordWrite
	conn.deadline = t.deadline
	conn.mu.Unlock()
	t.conns = append(t.conns, conn)
}

// connected reports whether a connection was established for the try.
func (t *tryConns) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasConn
}

// stale reports whether a reused idle connection failed before a byte of the
// request was written. It must be called after closeAll.
func (t *tryConns) stale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused && !t.written.Load()
}

// closeAll closes the connections and makes later writes fail. No byte is sent
// after it has returned, so the verdict of the try is final.
func (t *tryConns) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.mu.Lock()
		c.closed, c.onFirstWrite = true, nil
		c.mu.Unlock()
		c.Conn.Close() //nolint:errcheck // the connection is discarded.
	}
}
