package filter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/catalog"
	"github.com/hibiscusyard/hibiscusyard/verdict"
)

// IncarnationHeader carries the incarnation of an upstream in every answer.
const IncarnationHeader = "X-Upstream-Incarnation"

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forward sends a request to one upstream and relays the answer.
type Forward struct {
	Client  *http.Client
	Session Session
	// Observe is told of each answer's upstream headers. It may be nil.
	Observe func(pool *catalog.Pool, upstream *catalog.Upstream, header http.Header, err error)
}

// NewClient returns a client for upstreams: no redirects, no automatic retry
// of a request whose bytes may have left.
func NewClient() *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Try runs the request once at the upstream.
func (f *Forward) Try(ctx context.Context, r *Request, u *catalog.Upstream) error {
	out, err := f.build(ctx, r, u)
	if err != nil {
		return verdict.New(verdict.BadRequest, "the request can't be forwarded").Because(err)
	}
	if !f.Session.Valid(time.Now()) {
		return r.Attempt.Refuse(verdict.NotReady, "this instance must check its session first")
	}
	resp, err := f.Client.Do(out)
	if f.Observe != nil {
		var header http.Header
		if resp != nil {
			header = resp.Header
		}
		f.Observe(r.Pool, u, header, err)
	}
	if err != nil {
		return f.refuse(ctx, r, u, err)
	}
	defer resp.Body.Close()
	if id := resp.Header.Get(RequestIDHeader); id != "" && id != r.ID {
		return r.Attempt.Refuse(verdict.UpstreamInvalidAnswer, "the upstream answered another request")
	}
	return f.relay(ctx, r, resp)
}

func (f *Forward) build(ctx context.Context, r *Request, u *catalog.Upstream) (*http.Request, error) {
	url := *r.HTTP.URL
	url.Scheme, url.Host = "http", u.Address
	// The body is hidden from net/http's replay logic (no GetBody), so that
	// the transport never sends a request twice by itself.
	out, err := http.NewRequestWithContext(ctx, r.HTTP.Method, url.String(), io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		out.Body = http.NoBody
	}
	copyHeaders(out.Header, r.HTTP.Header)
	out.Header.Del("Authorization")
	out.Header.Set(RequestIDHeader, r.ID)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { r.Attempt.Expose() }}
	return out.WithContext(httptrace.WithClientTrace(ctx, trace)), nil
}

func (f *Forward) refuse(ctx context.Context, r *Request, u *catalog.Upstream, err error) error {
	if ctx.Err() != nil && r.HTTP.Context().Err() != nil {
		return r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection")
	}
	if ctx.Err() != nil {
		return r.Attempt.Refuse(verdict.DeadlineExceeded, "the upstream did not answer in time").Because(err)
	}
	return r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s failed", u.Name).Because(err)
}

// relay copies the answer, flushing as data arrives.
func (f *Forward) relay(ctx context.Context, r *Request, resp *http.Response) error {
	copyHeaders(r.Writer.Header(), resp.Header)
	r.Writer.Header().Set(RequestIDHeader, r.ID)
	r.Writer.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(r.Writer)
	buffer := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, werr := r.Writer.Write(buffer[:n]); werr != nil {
				return r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection").Because(werr)
			}
			control.Flush() //nolint:errcheck // the next write reports a broken connection.
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return f.refuseBegun(ctx, r, err)
		}
	}
}

// refuseBegun ends an answer that can't be completed: an error event in an
// event stream, a broken connection otherwise, so that it never looks whole.
func (f *Forward) refuseBegun(_ context.Context, r *Request, err error) error {
	refusal := r.Attempt.Refuse(verdict.UpstreamTruncated, "the upstream's answer ended early").Because(err)
	if strings.HasPrefix(r.Writer.Header().Get("Content-Type"), "text/event-stream") {
		WriteErrorEvent(r.Writer, refusal)
		return refusal
	}
	panic(http.ErrAbortHandler)
}

func copyHeaders(to, from http.Header) {
	drop := map[string]bool{}
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !drop[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
