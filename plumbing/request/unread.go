package request

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// maxUnreadBody is the length of an unread body up to which the rest is read to use the
	// connection again.
	maxUnreadBody = 16 << 10
	// unreadTimeout bounds that time. net/http itself would read 256 KiB without a bound.
	unreadTimeout = time.Second
	// lingerTimeout and maxLingerBody bound what is read of other bodies after their
	// refusal: a caller that writes all before it reads would see a reset in place of it.
	lingerTimeout = 500 * time.Millisecond
	maxLingerBody = 1 << 20
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 10 * time.Second
)

// hasUnreadBody reports whether a part of the body may not have been read.
func (r *Request) hasUnreadBody() bool { return !r.bodyRead && r.HTTP.ContentLength != 0 }

// limitUnread bounds what happens to an unread body: a short one is read, so that the
// connection can be used again, and after others it is closed. It must be called before the
// refusal is written, and reports whether finishUnread must be called afterwards.
func (r *Request) limitUnread() bool {
	if !r.hasUnreadBody() {
		return false
	}
	if r.HTTP.Header.Get("Expect") != "" {
		// Reading would ask the caller for the body.
		r.Writer.Header().Set("Connection", "close")
		r.interruptRead()
		return false
	}
	if n := r.HTTP.ContentLength; n > 0 && n <= maxUnreadBody {
		restore := r.limitRead(unreadTimeout)
		if _, err := io.Copy(io.Discard, r.HTTP.Body); err == nil {
			restore()
			return false
		}
		r.interruptRead()
	}
	r.Writer.Header().Set("Connection", "close")
	return true
}

// finishUnread reads on for a short time, after which the connection is closed.
func (r *Request) finishUnread() {
	control := http.NewResponseController(r.Writer.ResponseWriter)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	io.CopyN(io.Discard, r.HTTP.Body, maxLingerBody) //nolint:errcheck // what is read does not matter.
	r.interruptRead()                                // net/http would read on
}

// maxLinesPerSecond bounds the log lines about refusals for lack of memory.
const maxLinesPerSecond = 10

// LineLimiter bounds log lines that callers can cause in any number. Its zero value is
// ready for use, also concurrently.
type LineLimiter struct {
	mu         sync.Mutex
	second     bootclock.Time
	lines      int
	suppressed int64
}

// Allow reports whether a line may be written now, and how many have been suppressed since
// the last one.
func (l *LineLimiter) Allow(now bootclock.Time) (ok bool, suppressed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.second == 0 || now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= maxLinesPerSecond {
		l.suppressed++
		return false, 0
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
