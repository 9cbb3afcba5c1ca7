// Package connpool keeps HTTP/1.1 connections to upstreams, to the platform's
// store and for orders. It sends each request exactly once: net/http's
// Transport repeats requests by itself when a kept connection dies, and such a
// repeat is in no budget and no verdict.
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

	"golang.org/x/sys/unix"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	readBuffer = 4 << 10
	// maxForeign bounds the late answers to earlier requests that are skipped
	// in front of the answer to the present one.
	maxForeign = 2
	// maxForeignBody bounds the body of such an answer.
	maxForeignBody = 1 << 20
	// maxInterim bounds the 1xx answers in front of the final one.
	maxInterim = 4
	// maxHead bounds the bytes from the end of the request to the end of the
	// answer's head, with the interim and foreign answers in between. Heads here
	// have some hundred bytes; the platform allows callers 16 KiB.
	maxHead = 64 << 10
	// maxAnswer bounds the bytes of an answer behind its head unless Allow has
	// said otherwise.
	maxAnswer = 32 << 20
)

// Errors of an exchange.
var (
	// ErrForeign means that the connection delivers answers to other requests.
	ErrForeign = errors.New("answer to another request")
	// ErrTooLong means that the other side sent more bytes than an answer may
	// have. A server in trouble may send without end.
	ErrTooLong = errors.New("answer is too long")
	errSurplus = errors.New("bytes after a complete answer")
)

// meter bounds the bytes that are read from a connection: net/http's reader
// takes lines and heads of any length.
type meter struct {
	net.Conn
	left int64
}

func (m *meter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := m.Conn.Read(p[:min(int64(len(p)), m.left)])
	m.left -= int64(n)
	return n, err
}

// Request is one request as it goes on the wire.
type Request struct {
	Method string
	Target string // path and query as they are sent
	Host   string
	Header http.Header
	Body   []byte
	// HasBody sends a length also for an empty body.
	HasBody bool
	// IDHeader is the header by which answers name the request that they belong
	// to. A call has no such name: an answer that bears one is another request's.
	IDHeader string
}

// Conn is one connection. It serves one request at a time.
type Conn struct {
	net.Conn
	address   string
	meter     *meter
	reader    *bufio.Reader
	idleSince bootclock.Time
	idleFor   time.Duration // how long the other side keeps it, 0 if unknown
	broken    bool
	wrote     bool
}

// Wrote reports whether a byte of the present request may have left.
func (c *Conn) Wrote() bool { return c.wrote }

// Send writes the whole request. Everything goes out in one write where the
// socket takes it.
func (c *Conn) Send(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
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
	b.Write(r.Body)
	c.wrote = true
	n, err := c.Write(b.Bytes())
	if err != nil {
		c.broken = true
		if n == 0 && errors.Is(err, syscall.EPIPE) {
			// The other side had closed before any byte was accepted.
			c.wrote = false
		}
	}
	return err
}

// Receive reads the head of the answer. Answers that idHeader marks as
// belonging to other requests are skipped.
func (c *Conn) Receive(method, idHeader, id string) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.meter.left = maxHead
	for skipped := 0; ; {
		answer, err := http.ReadResponse(c.reader, request)
		if err != nil {
			c.broken = true
			if c.meter.left <= 0 {
				err = fmt.Errorf("%w: no end of its head in %d bytes", ErrTooLong, maxHead)
			}
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			if skipped++; skipped > maxInterim {
				c.broken = true
				return nil, fmt.Errorf("more than %d interim answers", maxInterim)
			}
			continue
		}
		got := answer.Header.Get(idHeader)
		if idHeader == "" || got == "" || got == id {
			c.noteKeepAlive(answer)
			c.Allow(maxAnswer)
			return answer, nil
		}
		if skipped++; skipped > maxForeign || answer.ContentLength < 0 || answer.ContentLength > maxForeignBody {
			c.broken = true
			return nil, ErrForeign
		}
		c.Allow(maxForeignBody + maxHead)
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			c.broken = true
			return nil, fmt.Errorf("%w: %w", ErrForeign, err)
		}
	}
}

// Allow bounds the bytes that may still be read of the present answer.
func (c *Conn) Allow(n int64) { c.meter.left = n }

// noteKeepAlive records for how long the other side keeps the connection.
func (c *Conn) noteKeepAlive(answer *http.Response) {
	if answer.Close {
		c.broken = true
	}
	for _, field := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
				c.idleFor = time.Duration(seconds) * time.Second
			}
		}
	}
}

// Break marks the connection as unfit for further requests.
func (c *Conn) Break() { c.broken = true }

// clean reports an error unless the connection is idle and open: no bytes of
// an answer nobody asked for, and not closed by the other side.
func (c *Conn) clean() error {
	if c.reader.Buffered() > 0 {
		return errSurplus
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var state error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		case err != nil:
			state = err
		case n == 0:
			state = io.EOF
		default:
			state = errSurplus
		}
		return true
	})
	if err != nil {
		return err
	}
	return state
}
