package connpool_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
)

// serveEndless responds to the first request of each connection with start and
// then repeats piece until the caller closes the connection. It returns the
// address.
func serveEndless(t *testing.T, start, piece string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	block := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := conn.Write([]byte(start))
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards the memory of an instance and the duration of a call against faulty
// servers that send bytes without end. Without limits, net/http's reader read
// 1.9 to 9.5 GB of an endless head and continued past the caller's deadline.
func TestAnswersWithoutEndAreCut(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ start, piece string }{
		"noise":                {"", "\x00\x17noise"},
		"status line":          {"HTTP/1.1 200 ", "O"},
		"one header":           {head + "X-A: ", "a"},
		"many headers":         {head, "X-A: b\r\n"},
		"interim responses":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"mismatched responses": {"", head + "Id: other\r\nContent-Length: 0\r\n\r\n"},
		"mismatched body":      {head + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"body with length":     {head + "Content-Length: 9000000000000\r\n\r\n", "b"},
		"body till close":      {head + "\r\n", "b"},
		"chunks":               {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"chunk extension":      {head + "Transfer-Encoding: chunked\r\n\r\n4;", "e"},
		"trailers":             {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, c.start, c.piece)
			p := connpool.New(connpool.Config{})
			defer p.Close()
			const timeout = time.Minute // long enough that the size limit ends the call on slow machines too
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, sent, err := p.Call(ctx, address, &connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, IDHeader: "Id"})
			runtime.ReadMemStats(&after)
			if err == nil || !sent {
				t.Errorf("got sent %v, error %v; want an error after sending", sent, err)
			}
			if ctx.Err() != nil {
				t.Errorf("call ended by the deadline instead of the size limit: %v", err)
			}
			// Bodies of calls are bounded by 16 MiB, and a buffer that grows by
			// doubling allocates a few times as much in total.
			if taken := after.TotalAlloc - before.TotalAlloc; taken > 128<<20 {
				t.Errorf("allocated %d MiB, want at most 128", taken>>20)
			}
		})
	}
}

// Guards against a call that accepts a late response to another request on the
// same connection: an order must not take it for its own.
func TestCallPassesOverAnotherRequestsAnswer(t *testing.T) {
	s := serve(t, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate"+"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	p := connpool.New(connpool.Config{})
	defer p.Close()
	request := &connpool.Request{Method: http.MethodPost, Target: "/order", Host: "h", Header: http.Header{}, IDHeader: "Id"}
	response, _, err := p.Call(t.Context(), s.Addr().String(), request)
	if err != nil || response.Status != http.StatusAccepted {
		t.Errorf("got %+v, %v; want the response to the call", response, err)
	}
}

// Guards the error for an endless head: it must identify the cause.
func TestEndlessHeadReturnsErrTooLong(t *testing.T) {
	p := connpool.New(connpool.Config{})
	defer p.Close()
	_, _, err := p.Call(t.Context(), serveEndless(t, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"), &connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}})
	if !errors.Is(err, connpool.ErrTooLong) {
		t.Errorf("got %v, want %v", err, connpool.ErrTooLong)
	}
}
