package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

const (
	// maxBuffered is the size below which a response is buffered until it is
	// complete, so that a failed one can still be replaced by a retry.
	maxBuffered = 256 << 10
	// minBuffered is the part of a response that is buffered whatever memory is left.
	minBuffered = 16 << 10
	// writeSlack is added to the deadline for the caller to read the response.
	writeSlack = time.Second
	// crashCheckTimeout bounds the check whether an upstream has crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// drainTimeout bounds the time to read the body of an answer that is not passed on.
	drainTimeout = 50 * time.Millisecond
	// eventStream is the media type of streams.
	eventStream = "text/event-stream"
)

var (
	// errAbsent means that the upstream does not have the model, or that another
	// upstream answers at its address.
	errAbsent  = errors.New("misdirected")
	errInvalid = errors.New("invalid response")
	// errEndedEarly means that a response whose end is marked only by the end of the
	// connection can't be complete.
	errEndedEarly = errors.New("connection closed inside the response")
)

// Forward sends requests to upstreams.
type Forward struct {
	Pool    *connpool.Pool
	Dialect Dialect
}

// observer receives the events of a response that the balancer records.
type observer struct {
	onHead  func(head ResponseHead, success bool)
	onRun   func()                           // the first event of a stream, or the head of another response that shows that the request ran
	onEvent func()                           // first event that the caller gets in this answer, before it does
	onFirst func()                           // first event or complete response
	onLoad  func(requests int, pace float64) // load reported in the headers
}

// exchange is one send of a request and the relay of its response.
type exchange struct {
	*Forward
	r       *Request
	u       *fleet.Upstream
	conn    *connpool.Conn
	observe observer
}

// send sends the request once. The connection is closed when the caller
// disconnects, so that the upstream cancels the request.
func (f *Forward) send(ctx context.Context, r *Request, u *fleet.Upstream, observe observer) sendResult {
	x := &exchange{Forward: f, r: r, u: u, observe: observe}
	dialCtx, cancel := context.WithTimeout(ctx, r.TimeLeft(bootclock.Now()))
	conn, err := f.Pool.Get(dialCtx, u.Address, r.ID)
	cancel()
	if err != nil {
		if ctx.Err() != nil {
			return x.canceled(ctx, true)
		}
		refusal := r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s can't be reached", u.ID).WithCause(err)
		if r.Attempt.Verdict() == verdict.NotRun {
			refusal = r.Attempt.Refuse(verdict.NoUpstream, "upstream %s can't be reached", u.ID).WithCause(err).WithRetryAfter(defaultRetryAfter)
		}
		return sendResult{err: refusal, outcome: dispatch.Refused, notRun: true, resumable: r.Writer.Begun(), closed: connpool.IsRefused(err)}
	}
	x.conn = conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	a := x.run(ctx)
	if stop() && (a.err == nil || a.reusable) {
		f.Pool.Put(conn)
	} else {
		conn.Close()
	}
	return a
}

func (x *exchange) run(ctx context.Context) sendResult {
	left := x.r.TimeLeft(bootclock.Now())
	if err := x.conn.SetDeadline(time.Now().Add(left)); err != nil {
		return sendResult{err: x.r.Attempt.Refuse(verdict.InternalError, "set deadline").WithCause(err), outcome: dispatch.Neutral, notRun: true}
	}
	x.r.Attempt.MarkSent()
	if err := x.conn.Send(x.request(left)); err != nil {
		if !x.conn.Wrote() {
			x.r.Attempt.MarkNotRun()
		}
		return x.failed(ctx, err, !x.conn.Wrote())
	}
	resp, err := x.conn.Receive(x.r.HTTP.Method, x.Dialect.IDHeader(), x.r.ID)
	if err != nil {
		return x.failed(ctx, err, false).afterWrite()
	}
	// The body is not closed: that would read on to its end. The connection is closed
	// unless the body has been read.
	head := x.Dialect.ReadResponse(resp.StatusCode, resp.Header)
	if head.HasLoad {
		x.observe.onLoad(head.Load, head.Pace)
	}
	answer := verdict.Answer{
		Status: resp.StatusCode, Own: x.r.ID != "" && head.ID == x.r.ID, Signed: head.Signed, NotRun: head.NotRun,
		Encoded: resp.Header.Get("Content-Encoding") != "", Events: strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream),
	}
	x.observe.onHead(head, answer.Success())
	use, problem := answer.Judge(verdict.Expected{Events: x.r.Route.Kind == fleet.Streaming, Begun: x.r.Writer.Begun()})
	switch use {
	case verdict.Decline:
		return x.declined(resp, head)
	case verdict.PassEvents:
		return x.relayStream(ctx, resp)
	case verdict.PassBody:
		if x.r.Route.Kind != fleet.Streaming {
			x.observe.onRun()
		}
		return x.relayBody(ctx, resp)
	default:
		return x.discarded(ctx, head, problem).afterWrite()
	}
}

// discarded returns the result of an answer of which nothing may reach the caller.
func (x *exchange) discarded(ctx context.Context, head ResponseHead, problem string) sendResult {
	x.conn.MarkBroken()
	cause := fmt.Errorf("%w: %s", errInvalid, problem)
	if x.r.Writer.Begun() {
		return x.streamFailed(ctx, cause)
	}
	result := x.failed(ctx, cause, false)
	if head.Pause > 0 && result.outcome == dispatch.Failed {
		result.outcome = dispatch.Full // it turned the request away and is no failing upstream
	}
	return result
}

// request returns the request to send to the upstream.
func (x *exchange) request(left time.Duration) *connpool.Request {
	header := http.Header{}
	request.CopyHeader(header, x.r.HTTP.Header)
	header.Del("Content-Length") // the connection sets it from the body
	header.Del("Expect")         // the body has been read
	f := Forwarding{Remaining: left, Upstream: x.u.ID, Workspace: x.r.WorkspaceName, Priority: -1, Resume: x.r.LastEventID}
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

// declined returns the result of a request that the upstream did not run,
// according to its response.
func (x *exchange) declined(resp *http.Response, head ResponseHead) sendResult {
	x.r.Attempt.MarkNotRun()
	clean := x.drain(resp)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		cause := fmt.Errorf("%w: response from %q", errAbsent, head.Upstream)
		return sendResult{
			err:     x.r.Attempt.Refuse(verdict.UpstreamOverloaded, "upstream %s does not hold the model", x.u.ID).WithRetryAfter(defaultRetryAfter).WithCause(cause),
			outcome: dispatch.Neutral, notRun: true, resumable: x.r.Writer.Begun(), reusable: clean,
		}
	}
	return sendResult{
		err:     x.r.Attempt.Refuse(verdict.UpstreamOverloaded, "upstream %s has no room (status %d)", x.u.ID, resp.StatusCode).WithRetryAfter(max(head.Pause, defaultRetryAfter)),
		outcome: dispatch.Full, notRun: true, resumable: x.r.Writer.Begun(), reusable: clean,
	}
}

// drain reads the body of an answer that is not passed on, and reports whether the
// connection can be used again. The head has told the result, so that the caller does not
// wait for a body that is long or late.
func (x *exchange) drain(resp *http.Response) bool {
	if err := x.conn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBuffered))
	return err == nil && n < maxBuffered
}

// canceled returns the result of a send that was given up because ctx is done.
func (x *exchange) canceled(ctx context.Context, notRun bool) sendResult {
	return sendResult{err: x.r.canceled(ctx), outcome: dispatch.Neutral, notRun: notRun}
}

// callerGone returns the result of a send whose answer the caller does not take.
func (x *exchange) callerGone() sendResult {
	return sendResult{err: x.r.Attempt.Refuse(verdict.CallerGone, "the caller closed the connection"), outcome: dispatch.Neutral}
}

// failed returns the result of a send without a complete response.
func (x *exchange) failed(ctx context.Context, cause error, notRun bool) sendResult {
	if ctx.Err() != nil {
		return x.canceled(ctx, notRun)
	}
	if x.r.TimeLeft(bootclock.Now()) <= 0 {
		return sendResult{err: x.r.Attempt.Refuse(verdict.DeadlineExceeded, "no complete answer in time").WithCause(cause), outcome: dispatch.Neutral}
	}
	return sendResult{
		err:     x.r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s broke off", x.u.ID).WithCause(cause),
		outcome: dispatch.Failed, notRun: notRun, resumable: true, broken: isBroken(cause),
	}
}

// isBroken reports whether a send failed because the other side closed the connection.
func isBroken(cause error) bool {
	return errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) || errors.Is(cause, errEndedEarly) ||
		errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
}

// isDown reports whether nothing listens at the address of an upstream, as is the case
// after its process has ended.
func (f *Forward) isDown(ctx context.Context, u *fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := f.Pool.Dial(ctx, u.Address)
	if err == nil {
		f.Pool.Put(conn)
	}
	return connpool.IsRefused(err)
}

// relayBody relays a response that is not a stream. A failure that may be replaced by a
// retry is not relayed. Others are buffered until they are complete, unless they are too
// long for that.
func (x *exchange) relayBody(ctx context.Context, resp *http.Response) sendResult {
	if resp.StatusCode >= http.StatusInternalServerError && x.mayRetryElsewhere(resp.StatusCode) {
		x.observe.onFirst()
		return sendResult{
			err:     x.r.Attempt.Refuse(verdict.UpstreamFailed, "upstream %s answered %d", x.u.ID, resp.StatusCode),
			outcome: dispatch.Failed, reusable: x.drain(resp),
		}
	}
	var buffered bytes.Buffer
	// The first bytes are buffered in any case; more only if there is memory for them.
	n, err := io.Copy(&buffered, io.LimitReader(resp.Body, minBuffered))
	hold := int64(maxBuffered)
	if resp.ContentLength >= 0 {
		hold = min(hold, resp.ContentLength)
	}
	long := n == minBuffered && !x.r.HoldResponse(hold)
	if err == nil && n == minBuffered && !long {
		if resp.ContentLength > n {
			buffered.Grow(int(hold-n) + bytes.MinRead)
		}
		var more int64
		more, err = io.Copy(&buffered, io.LimitReader(resp.Body, maxBuffered-minBuffered))
		long = more == maxBuffered-minBuffered
	}
	if err != nil {
		return x.failed(ctx, err, false)
	}
	x.observe.onFirst()
	if long {
		return x.relayLarge(ctx, resp, &buffered)
	}
	x.writeHead(resp)
	if err := x.r.Writer.WriteAll(resp.StatusCode, buffered.Bytes()); err != nil {
		return x.callerGone()
	}
	return relayed(resp)
}

// relayed returns the result of a response that was relayed completely.
func relayed(resp *http.Response) sendResult {
	if resp.StatusCode >= http.StatusInternalServerError {
		return sendResult{outcome: dispatch.Failed}
	}
	return sendResult{outcome: dispatch.Served, framed: !unframed(resp)}
}

// mayRetryElsewhere reports whether the request may be sent to another upstream
// instead of relaying an error response with this status.
func (x *exchange) mayRetryElsewhere(status int) bool {
	return status != http.StatusGatewayTimeout && x.r.Repeatable && x.r.runs+1 < x.r.Route.Attempts &&
		!x.r.Writer.Begun()
}

// relayLarge relays a response that is too large to be buffered.
func (x *exchange) relayLarge(ctx context.Context, resp *http.Response, buffered *bytes.Buffer) sendResult {
	x.writeHead(resp)
	if resp.ContentLength >= 0 {
		x.r.Writer.Header().Set("Content-Length", fmt.Sprint(resp.ContentLength))
	}
	x.r.Writer.WriteHeader(resp.StatusCode)
	if err := x.r.Writer.Send(buffered.Bytes(), true); err != nil {
		return x.callerGone()
	}
	chunk := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(chunk)
		if n > 0 {
			if err := x.r.Writer.Send(chunk[:n], true); err != nil {
				return x.callerGone()
			}
		}
		if errors.Is(err, io.EOF) {
			x.r.Writer.MarkComplete()
			return relayed(resp)
		}
		if err != nil {
			return x.truncated(ctx, err)
		}
	}
}

// truncated returns the result of a response that failed after a part of it was
// relayed. It can't be continued by a retry.
func (x *exchange) truncated(ctx context.Context, cause error) sendResult {
	a := x.failed(ctx, cause, false)
	a.resumable = false
	if ctx.Err() == nil {
		a.err = x.r.Attempt.Refuse(verdict.UpstreamTruncated, "upstream %s broke its answer off", x.u.ID).WithCause(cause)
	}
	return a
}

// writeHead copies the headers of the response and sets the write deadline.
func (x *exchange) writeHead(resp *http.Response) {
	header := x.r.Writer.Header()
	request.CopyHeader(header, resp.Header)
	header.Del("Content-Length") // set where the length is known
	if err := x.r.Writer.LimitWrite(x.r.TimeLeft(bootclock.Now()) + writeSlack); err != nil {
		x.r.Log.WithError(err).Warn("write deadline not set")
	}
}
