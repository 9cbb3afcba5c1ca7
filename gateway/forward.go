package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

const (
	// maxHeld bounds the answer that is held until it is complete, so that a
	// broken one can still be replaced.
	maxHeld = 256 << 10
	// writeSlack is how long after the deadline a caller may take to read.
	writeSlack = time.Second
	// eventStream is the media type of streams.
	eventStream = "text/event-stream"
)

var (
	// errAbsent means that the upstream does not hold the model or is another one.
	errAbsent  = errors.New("misdirected")
	errInvalid = errors.New("not a valid answer")
)

// Forward sends requests to upstreams.
type Forward struct {
	Pool    *connpool.Pool
	Dialect Dialect
}

// observer is told what an answer shows of an upstream.
type observer struct {
	first func()
	load  func(requests int)
}

// exchange is one send of a request and its answer.
type exchange struct {
	*Forward
	r       *Request
	u       *fleet.Upstream
	conn    *connpool.Conn
	observe observer
}

// try sends the request once. The connection is closed as soon as the caller
// is gone, so that the upstream stops its work.
func (f *Forward) try(ctx context.Context, r *Request, u *fleet.Upstream, observe observer) attempt {
	x := &exchange{Forward: f, r: r, u: u, observe: observe}
	dialCtx, cancel := context.WithTimeout(ctx, r.Left(bootclock.Now()))
	conn, err := f.Pool.Get(dialCtx, u.Address)
	cancel()
	if err != nil {
		if ctx.Err() != nil {
			return x.callerGone(dispatch.Neutral, true)
		}
		refusal := r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s can't be reached", u.ID).Because(err)
		if r.Attempt.Verdict() == verdict.NotRun {
			refusal = r.Attempt.Refuse(verdict.NoUpstream, "upstream %s can't be reached", u.ID).Because(err).After(comeBack)
		}
		return attempt{err: refusal, result: dispatch.Refused, notRun: true, resume: r.Writer.Begun()}
	}
	x.conn = conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	a := x.run(ctx)
	if stop() && (a.err == nil || a.clean) {
		f.Pool.Put(conn)
	} else {
		conn.Close()
	}
	return a
}

func (x *exchange) run(ctx context.Context) attempt {
	left := x.r.Left(bootclock.Now())
	if err := x.conn.SetDeadline(time.Now().Add(left)); err != nil {
		return attempt{err: x.r.Attempt.Refuse(verdict.InternalError, "set deadline").Because(err), result: dispatch.Neutral, notRun: true}
	}
	x.r.Attempt.Expose()
	if err := x.conn.Send(x.request(left)); err != nil {
		if !x.conn.Wrote() {
			x.r.Attempt.Disown()
		}
		return x.broken(ctx, err, !x.conn.Wrote())
	}
	answer, err := x.conn.Receive(x.r.HTTP.Method, x.Dialect.IDHeader(), x.r.ID)
	if err != nil {
		return x.broken(ctx, err, false)
	}
	defer answer.Body.Close()
	head := x.Dialect.ReadAnswer(answer.StatusCode, answer.Header)
	if head.Loaded {
		x.observe.load(head.Load)
	}
	if head.NotRun {
		return x.declined(answer, head)
	}
	success := answer.StatusCode >= 200 && answer.StatusCode < 300
	if x.r.Writer.Begun() && !(success && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream)) {
		// Only the rest of the stream may follow what the caller has.
		x.conn.Break()
		return x.cut(ctx, fmt.Errorf("%w: status %d in place of the rest of a stream", errInvalid, answer.StatusCode))
	}
	switch {
	case success && (!head.Signed || head.ID != x.r.ID || answer.Header.Get("Content-Encoding") != ""):
		x.conn.Break()
		return x.broken(ctx, errInvalid, false)
	case success && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream):
		return x.stream(ctx, answer)
	case success && x.r.Route.Kind == fleet.Streaming:
		x.conn.Break()
		return x.broken(ctx, fmt.Errorf("%w: no stream of events", errInvalid), false)
	default:
		return x.whole(ctx, answer, head, success)
	}
}

// request returns the request as the upstream is to see it.
func (x *exchange) request(left time.Duration) *connpool.Request {
	header := http.Header{}
	request.CopyHeader(header, x.r.HTTP.Header)
	header.Del("Content-Length") // the connection sets it from the body
	header.Del("Expect")         // the body is here
	f := Forwarding{Left: left, Upstream: x.u.ID, Workspace: x.r.WorkspaceName, Priority: -1, Resume: x.r.Resume}
	if x.r.Route.Kind == fleet.Streaming {
		f.Priority = x.r.Priority
	}
	x.Dialect.Forward(header, f)
	hasBody := x.r.HTTP.ContentLength != 0 || len(x.r.HTTP.TransferEncoding) > 0
	return &connpool.Request{
		Method: x.r.HTTP.Method, Target: x.r.HTTP.RequestURI, Host: x.r.HTTP.Host,
		Header: header, Body: x.r.Body, HasBody: hasBody,
	}
}

// declined ends a try that the upstream says it did not run.
func (x *exchange) declined(answer *http.Response, head AnswerHead) attempt {
	x.r.Attempt.Disown()
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxHeld))
	clean := err == nil && n < maxHeld
	if answer.StatusCode == http.StatusMisdirectedRequest {
		cause := fmt.Errorf("%w: answered by %q", errAbsent, head.Upstream)
		return attempt{
			err:    x.r.Attempt.Refuse(verdict.UpstreamOverloaded, "upstream %s does not hold the model", x.u.ID).After(comeBack).Because(cause),
			result: dispatch.Neutral, notRun: true, resume: x.r.Writer.Begun(), clean: clean,
		}
	}
	return attempt{
		err:    x.r.Attempt.Refuse(verdict.UpstreamOverloaded, "upstream %s has no room (status %d)", x.u.ID, answer.StatusCode).After(comeBack),
		result: dispatch.Full, notRun: true, resume: x.r.Writer.Begun(), clean: clean,
	}
}

func (x *exchange) callerGone(result dispatch.Outcome, notRun bool) attempt {
	return attempt{err: x.r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection"), result: result, notRun: notRun}
}

// broken ends a try without a complete answer.
func (x *exchange) broken(ctx context.Context, cause error, notRun bool) attempt {
	if ctx.Err() != nil {
		return x.callerGone(dispatch.Neutral, notRun)
	}
	if x.r.Left(bootclock.Now()) <= 0 {
		return attempt{err: x.r.Attempt.Refuse(verdict.DeadlineExceeded, "no complete answer in time").Because(cause), result: dispatch.Neutral}
	}
	return attempt{
		err:    x.r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s broke off", x.u.ID).Because(cause),
		result: dispatch.Failed, notRun: notRun, resume: true,
	}
}

// whole relays an answer that is no stream. It is held until it is complete.
func (x *exchange) whole(ctx context.Context, answer *http.Response, head AnswerHead, success bool) attempt {
	var held bytes.Buffer
	n, err := io.Copy(&held, io.LimitReader(answer.Body, maxHeld))
	if err != nil {
		return x.broken(ctx, err, false)
	}
	if n == maxHeld {
		return x.large(ctx, answer, &held)
	}
	x.observe.first()
	if !success && !head.Signed || promises[answer.StatusCode] {
		// An answer that nobody vouches for, or one that would promise that
		// the request did not run although it did.
		return x.broken(ctx, fmt.Errorf("%w: status %d", errInvalid, answer.StatusCode), false)
	}
	if answer.StatusCode >= http.StatusInternalServerError && x.mayAskAgain(answer.StatusCode) {
		return attempt{
			err:    x.r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s answered %d", x.u.ID, answer.StatusCode),
			result: dispatch.Failed,
		}
	}
	x.writeHead(answer)
	if err := x.r.Writer.WriteAll(answer.StatusCode, held.Bytes()); err != nil {
		return x.callerGone(dispatch.Neutral, false)
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		return attempt{result: dispatch.Failed}
	}
	return attempt{result: dispatch.Served}
}

// mayAskAgain reports whether an error answer can be replaced by that of
// another upstream.
func (x *exchange) mayAskAgain(status int) bool {
	return status != http.StatusGatewayTimeout && x.r.Repeatable && x.r.runs+1 < x.r.Route.Attempts &&
		!x.r.Writer.Begun()
}

// large relays an answer that is too long to be held.
func (x *exchange) large(ctx context.Context, answer *http.Response, held *bytes.Buffer) attempt {
	x.observe.first()
	x.writeHead(answer)
	if answer.ContentLength >= 0 {
		x.r.Writer.Header().Set("Content-Length", fmt.Sprint(answer.ContentLength))
	}
	x.r.Writer.WriteHeader(answer.StatusCode)
	if err := x.r.Writer.Send(held.Bytes(), true); err != nil {
		return x.callerGone(dispatch.Neutral, false)
	}
	piece := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(piece)
		if n > 0 {
			if err := x.r.Writer.Send(piece[:n], true); err != nil {
				return x.callerGone(dispatch.Neutral, false)
			}
		}
		if errors.Is(err, io.EOF) {
			x.r.Writer.End()
			return attempt{result: dispatch.Served}
		}
		if err != nil {
			return x.torn(ctx, err)
		}
	}
}

// torn ends an answer that was cut after a part of it was passed on. Nothing may
// follow that part.
func (x *exchange) torn(ctx context.Context, cause error) attempt {
	a := x.broken(ctx, cause, false)
	a.resume = false
	if ctx.Err() == nil {
		a.err = x.r.Attempt.Refuse(verdict.UpstreamTruncated, "upstream %s broke its answer off", x.u.ID).Because(cause)
	}
	return a
}

// writeHead copies the headers of the answer.
func (x *exchange) writeHead(answer *http.Response) {
	header := x.r.Writer.Header()
	request.CopyHeader(header, answer.Header)
	header.Del("Content-Length") // set where the length is known
	if err := x.r.Writer.LimitWrite(x.r.Left(bootclock.Now()) + writeSlack); err != nil {
		x.r.Log.WithError(err).Warn("write deadline not set")
	}
}
