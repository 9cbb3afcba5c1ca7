// Package request defines a caller's request independently of the API surface
// it came through, and serves it: each surface builds a Request from what its
// callers send, and Server passes it through the surface's filter chain and
// completes the response.
package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/memory"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Part is one part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Request is one caller's request as it passes through the filter chain. It is
// not safe for concurrent use. The names of its route, workspace and model are
// for logs and for upstreams; only the surface's own filters resolve them.
type Request struct {
	ID      string
	Key     string // credential, empty without one
	Arrived bootclock.Time
	// Limit is the caller's own limit on the response time. It is valid only if
	// Limited is set.
	Limit    time.Duration
	Limited  bool
	Deadline bootclock.Time // of the final response

	RouteName     string
	WorkspaceName string
	Model         string // empty for plain services
	Adapter       string

	// Repeatable requests may be sent again even if an upstream may have run them.
	Repeatable bool
	// Resumable streams can continue at another upstream after the last event.
	Resumable   bool
	LastEventID string // last event that the caller has received
	Resumes     string // ID of the caller's attempt that brought the first event

	PromptTokens int64
	OutputTokens int64 // maximum length of the output
	TokensKnown  bool  // the token counts are known
	Prefix       []Part
	Priority     int // 0 is the most urgent

	HTTP   *http.Request
	Body   []byte
	Writer *Writer

	Attempt  verdict.Attempt
	Upstream string // the upstream that the request was last sent to
	// Config and ConfigAge are the version of the configuration that was applied
	// to the request, and its age at that time.
	Config    int64
	ConfigAge time.Duration
	Log       log.Interface

	fingerprint string // empty until Fingerprint is called

	memory   *Memory
	held     memory.Holder
	headCost int64 // part of held
	bodyRead bool  // the body has been read completely
}

// fingerprintBytes is the length of a fingerprint, long enough that no two requests share
// one by chance.
const fingerprintBytes = 16

// Base returns the request itself. It makes types that embed Request implement
// Carrier.
func (r *Request) Base() *Request { return r }

// Carrier is implemented by types that embed Request and add the fields of a
// surface.
type Carrier interface{ Base() *Request }

// SetDeadline sets the deadline of the final response from the route's limit, or
// from the caller's own limit if that is shorter.
func (r *Request) SetDeadline(limit time.Duration) {
	if r.Limited {
		limit = min(limit, r.Limit)
	}
	r.Deadline = r.Arrived.Add(limit)
}

// TimeLeft returns the time from now to the deadline.
func (r *Request) TimeLeft(now bootclock.Time) time.Duration { return r.Deadline.Sub(now) }

// WallDeadline returns the deadline as a time.Time for timers and contexts,
// which can't use bootclock.
func (r *Request) WallDeadline() time.Time { return time.Now().Add(bootclock.Until(r.Deadline)) }

// Session returns the ID of the most specific part of the prompt that other
// requests share: the second-to-last one, since the last one is the request's
// own. If there is only one part, it returns the ID of that.
func (r *Request) Session() string {
	if len(r.Prefix) == 0 {
		return ""
	}
	return r.Prefix[max(len(r.Prefix)-2, 0)].ID
}

// SharedParts returns the IDs of the parts of the prompt that other requests may
// share: all but the last one, which is the request's own.
func (r *Request) SharedParts() []string {
	if len(r.Prefix) < 2 {
		return nil
	}
	ids := make([]string, 0, len(r.Prefix)-1)
	for _, part := range r.Prefix[:len(r.Prefix)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// Fingerprint identifies what the caller asked: two requests of one workspace with the
// same method, path, query and body have the same fingerprint, whatever their IDs. It is
// a cryptographic hash, so that no caller can make a request that matches another one's.
func (r *Request) Fingerprint() string {
	if r.fingerprint == "" {
		h := sha256.New()
		var length [8]byte
		for _, field := range [][]byte{[]byte(r.WorkspaceName), []byte(r.HTTP.Method), []byte(strings.ToLower(r.HTTP.Host)), []byte(r.HTTP.RequestURI), r.Body} {
			binary.BigEndian.PutUint64(length[:], uint64(len(field)))
			h.Write(length[:]) //nolint:errcheck // a hash never fails.
			h.Write(field)     //nolint:errcheck // a hash never fails.
		}
		r.fingerprint = hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	}
	return r.fingerprint
}

// MayRepeat reports whether the request may be sent to another upstream:
// either it certainly was not run, or running it again is harmless.
func (r *Request) MayRepeat() bool { return r.Attempt.Verdict() == verdict.NotRun || r.Repeatable }
