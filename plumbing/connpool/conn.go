// Package connpool pools HTTP/1.1 connections to upstreams, to the platform's
// store and for orders. It sends each request exactly once: net/http's
// Transport retries a request when a kept-alive connection dies, and such a
// retry would not be counted in any retry budget or verdict.
package connpool

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/statusline"
)

const (
	readBuffer = 4 << 10
	// maxMismatched bounds the number of late responses to earlier requests that
	// are skipped before the response to the current one.
	maxMismatched = 2
	// maxMismatchedBody bounds the body of such a response in bytes.
	maxMismatchedBody = 1 << 20
	// maxHead bounds the bytes read up to the end of the response head, including
	// interim and mismatched responses. Response heads typically have some
	// hundred bytes; the platform allows callers 16 KiB.
	maxHead = 64 << 10
	// maxCopied is the length up to which the body of a request is copied behind its head.
	// A copy of a large one costs more than a second buffer in the write.
	maxCopied = 16 << 10
	// maxRequests bounds the requests of one connection, whose IDs it remembers. One
	// more connection for so many requests costs next to nothing.
	maxRequests = 512
	// maxResponse bounds the bytes of a response after its head unless LimitRead sets
	// another limit.
	maxResponse = 32 << 20
)

// Errors of an exchange.
var (
	// ErrMismatchedResponse means that the connection delivered responses to
	// other requests.
	ErrMismatchedResponse = errors.New("response to another request")
	// ErrTooLong means that a response exceeds its size limit. A faulty server
	// may send an endless response.
	ErrTooLong        = errors.New("response too long")
	errUnexpectedData = errors.New("unexpected bytes after a complete response")
)

// limitedConn bounds the bytes that are read from a connection: net/http's
// reader accepts lines and heads of any length.
type limitedConn struct {
	net.Conn
	remaining int64
}

func (m *limitedConn) Read(p []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := m.Conn.Read(p[:min(int64(len(p)), m.remaining)])
	m.remaining -= int64(n)
	return n, err
}

// Request is one request as it is sent on the wire.
type Request struct {
	Method string
	Target string // path and query as they are sent
	Host   string
	Header http.Header
	Body   []byte
	// HasBody sends a Content-Length header even if the body is empty.
	HasBody bool
	// IDHeader is the response header that contains the ID of the request. A
	// request sent with Call has no ID, so a response that has this header
	// belongs to another request. As nothing tells the response to such a request
	// from a copy of an earlier one, Call then uses a connection of its own.
	IDHeader string
	// MaxBody bounds the body of the response to Call in bytes. Default 16 MiB.
	MaxBody int64
}

// Conn is one connection. It serves one request at a time, and each ID only once: a
// server may send a second copy of a response, which the ID of a repeated request would
// not tell from the response to the repeat.
type Conn struct {
	net.Conn
	address          string
	ids              map[uint64]struct{} // hashes of the IDs of the requests so far
	limit            *limitedConn
	reader           *bufio.Reader
	idleSince        bootclock.Time
	keepAliveTimeout time.Duration // idle timeout announced by the other side, 0 if unknown
	broken           bool
	wrote            bool
	deadline         time.Time // as set with SetDeadline
}

// SetDeadline sets the time at which reads and writes end.
func (c *Conn) SetDeadline(deadline time.Time) error {
	c.deadline = deadline
	return c.Conn.SetDeadline(deadline)
}

// Close resets the connection. Bytes that the other side has not received are dropped: a
// request that a partition holds up would otherwise arrive after it was given up.
func (c *Conn) Close() error { return c.Conn.Close() }

// closeInOrder closes the connection after a complete answer.
func (c *Conn) closeInOrder() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		conn.SetLinger(-1) //nolint:errcheck // fails only if the connection is closed already.
	}
	c.Close() //nolint:errcheck // nothing is left to be sent.
}

// carried reports whether the connection has been used for a request with the ID, or, with
// a probability of 2^-55 or less, for one whose ID has the same hash.
func (c *Conn) carried(id string) bool {
	_, ok := c.ids[xxhash.Sum64String(id)]
	return ok
}

// Wrote reports whether any byte of the current request may have been sent.
func (c *Conn) Wrote() bool { return c.wrote }

// Send writes the whole request with a single Write call, or a single writev if its body is
// large.
func (c *Conn) Send(r *Request) error {
	var b bytes.Buffer
	large := len(r.Body) > maxCopied
	if large {
		b.Grow(1024)
	} else {
		b.Grow(1024 + len(r.Body))
	}
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	c.wrote = true
	var n int64
	var err error
	if large {
		buffers := net.Buffers{b.Bytes(), r.Body}
		n, err = buffers.WriteTo(c.Conn)
	} else {
		b.Write(r.Body)
		var written int
		written, err = c.Write(b.Bytes())
		n = int64(written)
	}
	if err != nil {
		c.broken = true
		if n == 0 && errors.Is(err, syscall.EPIPE) {
			// The other side had closed before any byte was accepted.
			c.wrote = false
		}
	}
	return err
}

// readHead reads the head of the next response, which may be an interim one. The time for
// reads is shortened from the first of these on.
func (c *Conn) readHead(request *http.Request, first bool) (*http.Response, error) {
	for n := 1; n <= statusline.Length; {
		if _, err := c.reader.Peek(n); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
		n = min(c.reader.Buffered(), statusline.Length)
		start, err := c.reader.Peek(n)
		if err != nil {
			return nil, err
		}
		if err := statusline.Check(start); err != nil {
			return nil, err
		}
		if n == statusline.Length && first && statusline.IsInterim(start) {
			if err := c.limitWait(); err != nil {
				return nil, err
			}
		}
		n++
	}
	return http.ReadResponse(c.reader, request)
}

// limitWait shortens the time for reads.
func (c *Conn) limitWait() error {
	if c.deadline.IsZero() {
		return nil
	}
	left := time.Duration(float64(time.Until(c.deadline)) * statusline.InterimTimeShare)
	return c.SetReadDeadline(time.Now().Add(left))
}

// Receive reads the head of the response. Responses whose idHeader contains
// another ID are skipped, up to a limit. An empty idHeader disables the check. After an
// interim response, the response has to come within a share of the time left.
func (c *Conn) Receive(method, idHeader, id string) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.limit.remaining = maxHead
	for skipped, interim := 0, 0; ; {
		response, err := c.readHead(request, interim == 0)
		if err != nil {
			c.broken = true
			if c.limit.remaining <= 0 {
				err = fmt.Errorf("%w: response head does not end within %d bytes", ErrTooLong, maxHead)
			}
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > statusline.MaxInterim {
				c.broken = true
				return nil, statusline.ErrTooManyInterim
			}
			continue
		}
		got := response.Header.Get(idHeader)
		if idHeader == "" || got == "" || got == id {
			c.recordKeepAlive(response)
			c.LimitRead(maxResponse)
			if interim > 0 {
				if err := c.SetReadDeadline(c.deadline); err != nil {
					c.broken = true
					return nil, err
				}
			}
			return response, nil
		}
		if skipped++; skipped > maxMismatched || response.ContentLength < 0 || response.ContentLength > maxMismatchedBody {
			c.broken = true
			return nil, ErrMismatchedResponse
		}
		c.LimitRead(maxMismatchedBody + maxHead)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			c.broken = true
			return nil, fmt.Errorf("%w: %w", ErrMismatchedResponse, err)
		}
	}
}

// LimitRead limits the bytes that may still be read of the current response to n.
func (c *Conn) LimitRead(n int64) { c.limit.remaining = n }

// recordKeepAlive records how long the other side keeps an idle connection open.
func (c *Conn) recordKeepAlive(response *http.Response) {
	if response.Close {
		c.broken = true
	}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
				c.keepAliveTimeout = time.Duration(seconds) * time.Second
			}
		}
	}
}

// MarkBroken marks the connection as not reusable for further requests.
func (c *Conn) MarkBroken() { c.broken = true }

// checkIdle returns an error if the other side has closed the connection or
// has sent bytes that belong to no request.
func (c *Conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errUnexpectedData
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var state error
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		case err != nil:
			state = err
		case n == 0:
			state = io.EOF
		default:
			state = errUnexpectedData
		}
		return true
	})
	if err != nil {
		return err
	}
	return state
}
