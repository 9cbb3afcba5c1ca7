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

// Response headers of upstreams that are not passed on to callers.
const (
	// IncarnationHeader carries the incarnation of an upstream in each response.
	IncarnationHeader = "X-Upstream-Incarnation"
	// LoadHeader carries an ORCA load report.
	LoadHeader = "Endpoint-Load-Metrics"
)

// Forward sends a request to one upstream and relays the response.
type Forward struct {
	Client  *http.Client
	Session Session
	// Observe is called with the headers of each response, or with the error
	// if there was no response. It may be nil.
	Observe func(pool *catalog.Pool, upstream *catalog.Upstream, header http.Header, err error)
}

// maxStaleConns bounds the closed idle connections that one try skips. A restart
// of an upstream closes all of its idle connections.
const maxStaleConns = 64

// Errors that end a request.
var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errMalformed    = errors.New("malformed answer")
)

// try is one try to run a request on an upstream.
type try struct {
	*Forward
	ctx      context.Context
	r        *Request
	upstream *catalog.Upstream
	conns    *tryConns
	// result is the outcome that counts towards the health of the upstream.
	result balance.Result
	header http.Header // of the response, nil without one
}

// Try runs the request once on the upstream. It returns the result that counts
// towards the health of the upstream, the headers of the response if there was
// one, and a refusal if the response was not relayed completely.
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
	if t.hasForeignID(resp.Header) {
		return t.fail(errWrongRequest)
	}
	if t.rejectedByEngine(resp) {
		// Engines do not say which request an answer belongs to, so that one that comes
		// once more on a kept connection would be taken for that of the next request.
		t.conns.closeAll()
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

// send sends the request and returns the response or a refusal. It retries on
// another connection if the upstream had closed the idle connection it used.
func (t *try) send() (*http.Response, error) {
	for stale := 0; ; stale++ {
		out, err := t.buildRequest()
		if err != nil {
			return nil, t.r.Attempt.Refuse(verdict.BadRequest, "the request can't be forwarded").WithCause(err)
		}
		if !t.Session.Valid(time.Now()) {
			return nil, t.r.Attempt.Refuse(verdict.NotReady, "this instance must check its session first")
		}
		resp, err := t.Client.Do(out)
		if err == nil {
			t.notifyObserver(resp.Header, nil)
			return resp, nil
		}
		t.conns.closeAll()
		if !t.conns.stale() || stale >= maxStaleConns || t.ctx.Err() != nil {
			t.notifyObserver(nil, err)
			return nil, t.fail(err)
		}
		t.conns = &tryConns{attempt: &t.r.Attempt}
	}
}

var errWrongRequest = errors.Join(errMalformed, errors.New("the answer belongs to another request"))

// hasForeignID reports whether a response carries the ID of another request.
func (t *try) hasForeignID(header http.Header) bool {
	return slices.ContainsFunc(header.Values(RequestIDHeader), func(id string) bool { return id != t.r.ID })
}

func (t *try) notifyObserver(header http.Header, err error) {
	if t.Observe != nil {
		t.Observe(t.r.Pool, t.upstream, header, err)
	}
}

func (t *try) buildRequest() (*http.Request, error) {
	r := t.r
	url := *r.HTTP.URL
	url.Scheme, url.Host = "http", t.upstream.Address
	// net/http resends a request without a body, even after bytes were sent, if
	// its method or an idempotency key header permits. A body of an opaque type
	// and idempotency key headers in lower case prevent that.
	var body io.Reader = struct{ io.Reader }{bytes.NewReader(r.Body)}
	if len(r.Body) == 0 && !usuallyLacksBody(r.HTTP.Method) {
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

// usuallyLacksBody reports whether requests of the method usually have no body.
// For these the transport sends no body if the reader is empty.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

// fail closes the connections, so that nothing more of this request is sent or
// received, and returns the refusal for err.
func (t *try) fail(err error) error {
	t.conns.closeAll()
	r, name := t.r, t.upstream.Name
	refuse := func(kind balance.Kind, reason verdict.Reason, format string, args ...any) error {
		t.result.Kind = kind
		return r.Attempt.Refuse(reason, format, args...).WithCause(err)
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
