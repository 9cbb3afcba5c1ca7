package connpool_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
)

// validLine matches the start of a response.
var validLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9](\r|\n| )`)

// FuzzReceive guards the parser of responses: for any input from a server, a
// call ends, accepts no response to another request and none with an invalid status line,
// and stays within its limits.
func FuzzReceive(f *testing.F) {
	for _, response := range []string{
		okResponse, "", "HTTP/1.1 200", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, "\x00\x17noise",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate" + okResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nabcd",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 999 x\r\nConnection: close\r\n\r\nrest",
		"HTTP/1.1 000 x\r\n\r\n" + okResponse, "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 x\r\n\r\n" + okResponse, "HTTP/1.1 102 x\r\n\r\nHTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 102 x\r\n\r\n",
	} {
		f.Add([]byte(response))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { listener.Close() })
	responses := make(chan []byte, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			response := <-responses
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				conn.Write(response) //nolint:errcheck // the caller may have closed.
			}
			conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, response []byte) {

		p := connpool.New(connpool.Config{})
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		responses <- append([]byte(nil), response...)
		c, err := p.Dial(ctx, listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if err := c.Send(&connpool.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}); err != nil {
			return
		}
		head, err := c.Receive(http.MethodGet, "Id", "mine")
		if err != nil {
			return
		}
		if id := head.Header.Get("Id"); id != "" && id != "mine" {
			t.Errorf("accepted a response to %q", id)
		}
		if head.StatusCode < http.StatusOK || head.StatusCode > 599 {
			t.Errorf("accepted a response with status %d", head.StatusCode)
		}
		// The line of the accepted response stands somewhere, and the first one is valid.
		if line := fmt.Sprintf("HTTP/%d.%d %d", head.ProtoMajor, head.ProtoMinor, head.StatusCode); head.ProtoMajor != 1 || !bytes.Contains(response, []byte(line)) {
			t.Errorf("accepted a response without the start %q of a line", line)
		}
		if !validLine.Match(response) {
			t.Errorf("accepted a response after the line %.40q", response)
		}
		if n, err := io.Copy(io.Discard, head.Body); err == nil && n > int64(len(response)) {
			t.Errorf("read a body of %d bytes, but only %d bytes were sent", n, len(response))
		}
	})
}
