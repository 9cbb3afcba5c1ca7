// Package request holds what the chain knows of a caller's request, in no
// surface's terms, and runs it: each surface fills a Request from what its
// callers send, passes it through its filters and gets it answered here.
package request

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Part is one part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Request is one caller's request on its way through the chain. It belongs to
// one goroutine. The names of its route, workspace and model are for logs and
// for upstreams; what they stand for is known to the surface's own filters.
type Request struct {
	ID      string
	Key     string // credential, empty without one
	Arrived bootclock.Time
	// Limit is the caller's own limit on the time for the answer, if Limited.
	Limit    time.Duration
	Limited  bool
	Deadline bootclock.Time // of the final answer

	RouteName     string
	WorkspaceName string
	Model         string // empty for plain services
	Adapter       string

	// Repeatable requests may be sent again after an upstream may have run them.
	Repeatable bool
	// Resumable streams can go on at another upstream after the last event.
	Resumable bool
	Resume    string // last event that the caller has

	PromptTokens int64
	OutputTokens int64 // the longest output
	Sized        bool  // the tokens are known
	Prefix       []Part
	Priority     int // 0 is the most urgent

	HTTP   *http.Request
	Body   []byte
	Writer *Writer

	Attempt  verdict.Attempt
	Upstream string // that was asked last
	// Config and ConfigAge are the version of the configuration that the
	// request was judged by, and its age then.
	Config    int64
	ConfigAge time.Duration
	Log       log.Interface
}

// Base returns the request itself; types that embed it are Carriers by this.
func (r *Request) Base() *Request { return r }

// Carrier is a request with what a surface adds to it.
type Carrier interface{ Base() *Request }

// SetDeadline bounds the time for the final answer by the route's limit, or by
// the caller's own if that is shorter.
func (r *Request) SetDeadline(limit time.Duration) {
	if r.Limited {
		limit = min(limit, r.Limit)
	}
	r.Deadline = r.Arrived.Add(limit)
}

// Left returns the time until the final answer is due.
func (r *Request) Left(now bootclock.Time) time.Duration { return r.Deadline.Sub(now) }

// WallDeadline returns the deadline for timers and contexts, which know no
// other clock than the wall's.
func (r *Request) WallDeadline() time.Time { return time.Now().Add(bootclock.Until(r.Deadline)) }

// Session identifies the prompt that the request shares with the most specific
// group of others: the last part but its own.
func (r *Request) Session() string {
	if len(r.Prefix) == 0 {
		return ""
	}
	return r.Prefix[max(len(r.Prefix)-2, 0)].ID
}

// MayRepeat reports whether the request may be sent to another upstream: it
// certainly did not run, or running it again does no harm.
func (r *Request) MayRepeat() bool { return r.Attempt.Verdict() == verdict.NotRun || r.Repeatable }
