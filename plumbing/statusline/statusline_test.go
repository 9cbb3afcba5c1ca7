package statusline_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/plumbing/statusline"
)

// Guards against a result that depends on how a response is divided into reads, and against
// the end of a head that is missed.
func TestCheckerTakesAnyPieces(t *testing.T) {
	const interim, crlf = "HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n", "\r\n"
	for _, c := range []struct {
		response string
		err      error
		complete bool
		interim  int
	}{
		{"HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n\x00body", nil, true, 0},
		{"HTTP/1.1 200\r\n\r\nHTTP/1.1 000 body", nil, true, 0},
		{"HTTP/1.0 200\n\n", nil, true, 0},
		{"HTTP/1.1 599 x\r\nX-A: 1\r\n", nil, false, 0},
		{interim + "HTTP/1.1 103\n\nHTTP/1.1 200 OK" + crlf + crlf, nil, true, 2},
		{interim, nil, false, 1},
		{interim + "HTTP/1.1 20", nil, false, 1},
		{strings.Repeat(interim, 4) + "HTTP/1.1 200 OK" + crlf + crlf, nil, true, 4},
		{strings.Repeat(interim, 5) + "HTTP/1.1 200 OK" + crlf + crlf, statusline.ErrTooManyInterim, false, 5},
		{interim + "HTTP/1.1 000 x" + crlf + crlf, statusline.ErrInvalid, false, 1},
		{interim + "HTTP/1.1  200 x" + crlf + crlf, statusline.ErrInvalid, false, 1},
		{"HTTP/1.1 101 x" + crlf + crlf, statusline.ErrInvalid, false, 0},
		{"HTTP/1.1 2000 x" + crlf + crlf, statusline.ErrInvalid, false, 0},
		{"HTTP/1.1 200\tx" + crlf + crlf, statusline.ErrInvalid, false, 0},
		{"HTTP/1.1 600 x" + crlf + crlf, statusline.ErrInvalid, false, 0},
	} {
		for size := 1; size <= len(c.response); size++ {
			var checker statusline.Checker
			var err error
			for rest := c.response; rest != "" && err == nil; {
				n := min(size, len(rest))
				err = checker.Add([]byte(rest[:n]))
				rest = rest[n:]
			}
			if !errors.Is(err, c.err) || checker.Complete() != c.complete || checker.Interim() != c.interim {
				t.Errorf("%q in pieces of %d: got %v, complete %t, %d interim; want %v, %t, %d", c.response, size, err, checker.Complete(), checker.Interim(), c.err, c.complete, c.interim)
			}
		}
	}
}
