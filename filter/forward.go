package filter

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// Headers of upstreams that callers do not see.
const (
	// IncarnationHeader carries the incarnation of an upstream in every answer.
	IncarnationHeader = "X-Upstream-Incarnation"
	// LoadHeader carries an ORCA load report.
	LoadHeader = "Endpoint-Load-Metrics"
)

// Forward sends a request to one upstream and relays the answer.
type Forward struct {
	Client  *http.Client
	Session Session
	// Observe is told of each answer's upstream headers. It may be nil.
	Observe func(pool *catalog.Pool, upstream *catalog.Upstream, header http.Header, err error)
}

// maxStale bounds the closed idle connections that one try passes over. After
// a restart of an upstream all its idle connections are closed.
const maxStale = 64

// Causes of the end of a request other than its upstream.
var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errMalformed    = errors.New("malformed answer")
)

// try is one try of a request at an upstream.
type try struct {
	*Forward
	ctx      context.Context
	r        *Request
	upstream *catalog.Upstream
	conns    *tryConns
	// result is the end of the request as the upstream's health sees it.
	result balance.Result
	header http.Header // of the answer, nil without one
}

// Try runs the request once at the upstream. It returns the result for the
// upstream's health, the headers of the answer if there was one, and a
// refusal if the answer is not complete.
func (f *Forward) Try(ctx context.Context, r *Request, u *catalog.Upstream) (balance.Result, http.Header, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &try{Forward: f, ctx: ctx, r: r, upstream: u, conns: &tryConns{attempt: &r.Attempt}}
	err := t.run()
	t.result.Route = r.Route.Name
	if t.header != nil {
		t.result.Incarnation = t.header.Get(IncarnationHeader)
	}
	return t.result, t.header, err
}

func (t *try) run() error {
	resp, err := t.send()
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	t.header = resp.Header
	if t.foreign(resp.Header) {
		return t.fail(errForeign)
	}
	if t.disowned(resp) {
		return t.r.Attempt.Refuse(verdict.UpstreamOverloaded, "upstream %s takes no requests for the model now", t.upstream.Name)
	}
	if err := t.relay(resp); err != nil {
		return t.fail(err)
	}
	t.result.Kind = balance.Success
	if resp.StatusCode >= http.StatusInternalServerError {
		t.result.Kind = balance.ErrorAnswer
	}
	return nil
}

// send sends the request and returns the answer or a refusal. A connection
// that the upstream has closed while it was idle is replaced.
func (t *try) send() (*http.Response, error) {
	for stale := 0; ; stale++ {
		out, err := t.build()
		if err != nil {
			return nil, t.r.Attempt.Refuse(verdict.BadRequest, "the request can't be forwarded").Because(err)
		}
		if !t.Session.Valid(time.Now()) {
			return nil, t.r.Attempt.Refuse(verdict.NotReady, "this instance must check its session first")
		}
		resp, err := t.Client.Do(out)
		if err == nil {
			t.observe(resp.Header, nil)
			return resp, nil
		}
		t.conns.seal()
		if !t.conns.stale() || stale >= maxStale || t.ctx.Err() != nil {
			t.observe(nil, err)
			return nil, t.fail(err)
		}
		t.conns = &tryConns{attempt: &t.r.Attempt}
	}
}

var errForeign = errors.Join(errMalformed, errors.New("the upstream answered another request"))

// foreign reports whether an answer names another request than this one.
func (t *try) foreign(header http.Header) bool {
	return slices.ContainsFunc(header.Values(RequestIDHeader), func(id string) bool { return id != t.r.ID })
}

func (t *try) observe(header http.Header, err error) {
	if t.Observe != nil {
		t.Observe(t.r.Pool, t.upstream, header, err)
	}
}

func (t *try) build() (*http.Request, error) {
	r := t.r
	url := *r.HTTP.URL
	url.Scheme, url.Host = "http", t.upstream.Address
	// The transport repeats requests without a body by itself, also after
	// bytes have left, if their method or the header of an idempotency key permits.
	// An opaque body and a header name in lower case keep it from that.
	var body io.Reader = struct{ io.Reader }{bytes.NewReader(r.Body)}
	if len(r.Body) == 0 && !lacksBody(r.HTTP.Method) {
		body = http.NoBody
	}
	out, err := http.NewRequestWithContext(t.conns.trace(t.ctx), r.HTTP.Method, url.String(), body)
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(r.Body))
	request.CopyHeader(out.Header, r.HTTP.Header)
	out.Header.Del("Authorization")
	out.Header.Del("Expect")
	for _, name := range []string{IdempotencyKeyHeader, "X-" + IdempotencyKeyHeader} {
		if values := out.Header.Values(name); len(values) > 0 {
			out.Header.Del(name)
			out.Header[strings.ToLower(name)] = values
		}
	}
	out.Header.Set(RequestIDHeader, r.ID)
	return out, nil
}

// lacksBody reports whether requests of the method usually have no body; the
// transport then sends none if the reader is empty.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

// fail closes the connection, so that nothing of this request leaves or
// arrives any more, and returns the refusal.
func (t *try) fail(err error) error {
	t.conns.seal()
	r, name := t.r, t.upstream.Name
	refuse := func(kind balance.Kind, reason verdict.Reason, format string, args ...any) error {
		t.result.Kind = kind
		return r.Attempt.Refuse(reason, format, args...).Because(err)
	}
	switch {
	case errors.Is(context.Cause(t.ctx), errKeyWithdrawn):
		return refuse(balance.Neutral, verdict.KeyWithdrawn, "the key was withdrawn")
	case errors.Is(err, request.ErrCallerGone), errors.Is(t.ctx.Err(), context.Canceled):
		return refuse(balance.Neutral, verdict.CallerGone, "the caller closed the connection or does not read")
	case errors.Is(err, errMalformed):
		return refuse(balance.InvalidAnswer, verdict.UpstreamInvalidAnswer, "upstream %s sent a malformed answer", name)
	case t.ctx.Err() != nil:
		return refuse(balance.TimedOut, verdict.DeadlineExceeded, "the upstream did not answer in time")
	case !t.conns.connected():
		return refuse(balance.ConnectFailed, verdict.UpstreamFailed, "no connection to upstream %s", name)
	case t.header != nil:
		return refuse(balance.Broken, verdict.UpstreamTruncated, "the answer of upstream %s ended early", name)
	}
	return refuse(balance.Broken, verdict.UpstreamFailed, "the connection to upstream %s broke", name)
}
