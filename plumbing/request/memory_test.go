package request_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// waitCap is the cap of waits for a condition.
const waitCap = 30 * time.Second

// boundedServer reads the body of each request within a bound of capacity bytes and then
// waits for hold. Requests to /refused are refused before their body is read.
func boundedServer(t *testing.T, capacity int64, hold <-chan struct{}) (*httptest.Server, *memory.Handler) {
	logs := memory.New()
	set := metrics.NewSet()
	s := httptest.NewServer(&request.Server[*call]{
		Surface: testSurface{}, Log: &log.Logger{Handler: logs, Level: log.InfoLevel}, Metrics: set, Memory: request.NewMemory(capacity, set),
		Chain: func(ctx context.Context, c *call) error {
			if c.HTTP.URL.Path == "/refused" {
				return verdict.New(verdict.InvalidKey, "no key")
			}
			c.WorkspaceName = c.HTTP.Header.Get("Workspace")
			if err := c.ReadBody(1<<20, waitCap); err != nil {
				return err
			}
			select {
			case <-hold:
			case <-ctx.Done():
			}
			return c.Writer.WriteAll(http.StatusOK, fmt.Append(nil, len(c.Body)))
		},
	})
	t.Cleanup(s.Close)
	return s, logs
}

// begin sends the head of a request and a part of its body.
func begin(t *testing.T, s *httptest.Server, path, head, body string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitCap))
	if _, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\n"+head+"\r\n"+body); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func status(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// Guards against bodies that lose or gain bytes on the way through growing buffers, and
// against one that breaks off and counts as complete.
func TestBodiesAreReadWhole(t *testing.T) {
	hold := make(chan struct{})
	close(hold)
	s, _ := boundedServer(t, 16<<20, hold)
	for _, size := range []int{0, 1, 511, 512, 513, 16 << 10, 16<<10 + 1, 100_000, 1 << 20} {
		body := strings.Repeat("b", size)
		_, r := begin(t, s, "/", fmt.Sprintf("Content-Length: %d\r\n", size), body)
		if response, got := status(t, r); response.StatusCode != http.StatusOK || got != fmt.Sprint(size) {
			t.Errorf("%d bytes with a length: %s, %s", size, response.Status, got)
		}
		chunk := ""
		if size > 0 {
			chunk = fmt.Sprintf("%x\r\n%s\r\n", size, body)
		}
		_, r = begin(t, s, "/", "Transfer-Encoding: chunked\r\n", chunk+"0\r\n\r\n")
		if response, got := status(t, r); response.StatusCode != http.StatusOK || got != fmt.Sprint(size) {
			t.Errorf("%d bytes in chunks: %s, %s", size, response.Status, got)
		}
	}
	for _, head := range []string{"Transfer-Encoding: chunked\r\n", "Content-Length: 700\r\n"} {
		conn, r := begin(t, s, "/", head, "258\r\n"+strings.Repeat("b", 600)+"\r\n")
		conn.(*net.TCPConn).CloseWrite()
		if response, got := status(t, r); response.StatusCode != http.StatusBadRequest {
			t.Errorf("a body that breaks off (%s): %s, %s", head, response.Status, got)
		}
	}
	_, r := begin(t, s, "/", "Transfer-Encoding: chunked\r\n", "100001\r\n"+strings.Repeat("b", 1<<20+1)+"\r\n0\r\n\r\n")
	if response, _ := status(t, r); response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body above the limit: %s", response.Status)
	}
}

// Guards against a group that holds all memory: another body of it is refused as not run
// and its connection closed, while a body of another group is served.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	hold := make(chan struct{})
	s, logs := boundedServer(t, 4<<20, hold)
	body := strings.Repeat("b", 1<<20)
	var held, refused int
	for refused == 0 && held < 8 {
		_, r := begin(t, s, "/", "Workspace: a\r\nContent-Length: 1048576\r\n", body)
		answered := make(chan struct{})
		go func() { r.Peek(1); close(answered) }()
		select {
		case <-answered:
			response, got := status(t, r)
			if response.StatusCode != http.StatusServiceUnavailable || got != string(verdict.MemoryFull) || !response.Close {
				t.Fatalf("refusal: %s %s, close %v", response.Status, got, response.Close)
			}
			refused++
		case <-time.After(3 * time.Second): // far above the wait for memory: it is held
			held++
		}
	}
	if held == 0 || refused == 0 {
		t.Fatalf("%d bodies held, %d refused", held, refused)
	}
	_, r := begin(t, s, "/", "Workspace: b\r\nContent-Length: 1000\r\n", body[:1000])
	close(hold)
	if response, got := status(t, r); response.StatusCode != http.StatusOK {
		t.Errorf("body of another group: %s %s", response.Status, got)
	}
	lines := 0
	for _, entry := range logs.Entries {
		if entry.Fields["code"] == verdict.MemoryFull {
			lines++
		}
	}
	if lines != refused {
		t.Errorf("%d log lines for %d refusals", lines, refused)
	}
}

// Guards against a body that a refusal leaves unread and that keeps its connection: the
// caller gets the refusal, and the connection is closed although the rest never comes.
func TestUnreadBodyDoesNotKeepTheConnection(t *testing.T) {
	s, _ := boundedServer(t, 4<<20, nil)
	conn, kept := begin(t, s, "/refused", "Content-Length: 5\r\n", "small")
	for n := range 2 {
		if response, _ := status(t, kept); response.StatusCode != http.StatusUnauthorized || response.Close {
			t.Errorf("request %d with a small body: %s, close %v", n, response.Status, response.Close)
		}
		if n == 0 {
			io.WriteString(conn, "POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nsmall") //nolint:errcheck // no answer comes then.
		}
	}
	for _, head := range []string{"Content-Length: 1000\r\n", "Content-Length: 200000\r\n", "Transfer-Encoding: chunked\r\n", "Expect: 100-continue\r\nContent-Length: 1000\r\n"} {
		_, r := begin(t, s, "/refused", head, "")
		if response, _ := status(t, r); response.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s: %s", head, response.Status)
		}
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("%s: the connection is not closed: %v", head, err)
		}
	}
}

// Guards against a crowd that floods the log.
func TestLinesAreLimited(t *testing.T) {
	var l request.LineLimiter
	written := 0
	for range 1000 {
		if ok, _ := l.Allow(1); ok {
			written++
		}
	}
	ok, suppressed := l.Allow(1 + 1e9)
	if written == 0 || written > 20 || !ok || suppressed != int64(1000-written) {
		t.Errorf("%d lines written; later %v with %d suppressed", written, ok, suppressed)
	}
}

// admitted returns a request of a server with a bound of capacity bytes.
func admitted(m *request.Memory) (admitted *call) {
	s := &request.Server[*call]{
		Surface: testSurface{}, Log: &log.Logger{Handler: memory.New()}, Metrics: metrics.NewSet(), Memory: m,
		Chain: func(_ context.Context, c *call) error { admitted = c; return nil },
	}
	s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	return admitted
}

var errDeadline = errors.New("deadline")

// Guards against responses that lose or gain bytes in buffers, that are taken for complete
// although they broke off, and that are kept without room in the account.
func TestResponseIsReadWithinTheAccount(t *testing.T) {
	const limit = 1 << 20
	r := admitted(request.NewMemory(limit, metrics.NewSet()))
	for _, size := range []int{0, 1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 100_000, limit} {
		text := strings.Repeat("b", size)
		for _, length := range []int64{int64(size), -1} {
			got, err := r.ReadResponse(context.Background(), strings.NewReader(text), length, limit)
			if err != nil || string(got) != text {
				t.Errorf("%d bytes, length %d: got %d, %v", size, length, len(got), err)
			}
		}
	}
	for _, length := range []int64{limit + 1, -1} {
		if _, err := r.ReadResponse(context.Background(), strings.NewReader(strings.Repeat("b", limit+1)), length, limit); !errors.Is(err, request.ErrResponseTooLarge) {
			t.Errorf("a response above the limit, length %d: %v", length, err)
		}
	}
	if _, err := r.ReadResponse(context.Background(), strings.NewReader("b"), 2, limit); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a response that broke off: %v", err)
	}
	m := request.NewMemory(limit, metrics.NewSet())
	ctx, cancel := context.WithTimeoutCause(context.Background(), time.Second, errDeadline)
	defer cancel()
	if err := admitted(m).Hold(ctx, limit); err != nil {
		t.Fatal(err)
	}
	if _, err := admitted(m).ReadResponse(ctx, strings.NewReader("b"), limit, limit); !errors.Is(err, errDeadline) {
		t.Errorf("a response without room: %v", err)
	}
}
