package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// maxEvent bounds one event of a stream.
const maxEvent = 256 << 10

// errSequence means that the ID of an event is not greater than the one before.
var errSequence = errors.New("event IDs are not increasing")

// EventSplitter splits a stream of server-sent events into whole events, so that
// a caller never receives a partial one and another upstream can resume the
// stream.
type EventSplitter struct {
	partial []byte
	// LastID is the ID of the last whole event, empty before the first one.
	LastID string
}

// Add appends bytes of the stream and returns the events that are complete. The
// result is valid until the next call.
func (e *EventSplitter) Add(chunk []byte) ([]byte, error) {
	e.partial = append(e.partial, chunk...)
	end := bytes.LastIndex(e.partial, []byte("\n\n"))
	if end < 0 {
		if len(e.partial) > maxEvent {
			return nil, fmt.Errorf("%w: event exceeds %d bytes", errInvalid, maxEvent)
		}
		return nil, nil
	}
	whole := e.partial[:end+2]
	rest := e.partial[end+2:]
	for event := range bytes.SplitSeq(whole, []byte("\n\n")) {
		if err := e.checkID(event); err != nil {
			return nil, err
		}
	}
	e.partial = append([]byte(nil), rest...)
	return whole, nil
}

// checkID checks that the ID of a whole event is greater than the last one, and
// stores it in LastID.
func (e *EventSplitter) checkID(event []byte) error {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := strings.TrimSpace(string(value))
		before, err1 := strconv.ParseInt(e.LastID, 10, 64)
		now, err2 := strconv.ParseInt(id, 10, 64)
		if e.LastID != "" && err1 == nil && err2 == nil && now <= before {
			return fmt.Errorf("%w: %s after %s", errSequence, id, e.LastID)
		}
		e.LastID = id
	}
	return nil
}

// Incomplete reports whether the bytes so far end inside an event.
func (e *EventSplitter) Incomplete() bool { return len(bytes.TrimSpace(e.partial)) > 0 }

// relayStream relays a stream of events as they arrive.
func (x *exchange) relayStream(ctx context.Context, resp *http.Response) sendResult {
	events := EventSplitter{LastID: x.r.LastEventID}
	chunk := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(chunk)
		if n > 0 {
			if a, ok := x.relayEvents(ctx, resp, &events, chunk[:n]); !ok {
				return a
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !events.Incomplete() && x.r.events == 0 && unframed(resp):
			return x.streamFailed(ctx, fmt.Errorf("%w: before the first event", errEndedEarly))
		case errors.Is(err, io.EOF) && !events.Incomplete():
			if !x.r.Writer.Begun() { // the caller resumed the stream after its last event
				x.writeHead(resp)
				x.r.Writer.WriteHeader(resp.StatusCode)
			}
			x.r.Writer.MarkComplete()
			return sendResult{outcome: dispatch.Served, framed: !unframed(resp)}
		case errors.Is(err, io.EOF):
			return x.streamFailed(ctx, fmt.Errorf("%w: inside an event", errEndedEarly))
		case err != nil:
			return x.streamFailed(ctx, err)
		}
	}
}

// unframed reports whether the end of the body is marked only by the end of the
// connection, so that it can't be distinguished from a broken connection.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// relayEvents sends the events that a chunk completes to the caller. It returns
// false and the result if the stream failed or the caller is gone.
func (x *exchange) relayEvents(ctx context.Context, resp *http.Response, events *EventSplitter, chunk []byte) (sendResult, bool) {
	whole, err := events.Add(chunk)
	if err != nil {
		return x.streamFailed(ctx, err), false
	}
	if len(whole) == 0 {
		return sendResult{}, true
	}
	if !x.r.Writer.Begun() {
		x.observe.onEvent()
		x.writeHead(resp)
		x.r.Writer.WriteHeader(resp.StatusCode)
	}
	if x.r.events == 0 {
		x.observe.onRun()
	}
	x.observe.onFirst()
	x.r.recordEvent(bootclock.Now())
	if err := x.r.Writer.Send(whole, true); err != nil {
		return x.callerGone(), false
	}
	x.r.LastEventID = events.LastID
	return sendResult{}, true
}

// recordEvent records the arrival of an event.
func (r *Request) recordEvent(now bootclock.Time) {
	r.events++
	if r.eventAt != 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.eventAt))
	}
	r.eventAt = now
}

// streamFailed returns the result of a stream that ended early.
func (x *exchange) streamFailed(ctx context.Context, cause error) sendResult {
	a := x.failed(ctx, cause, false)
	a.resumable = a.outcome == dispatch.Failed && x.r.Resumable
	if !a.resumable && x.r.Writer.Begun() && ctx.Err() == nil {
		a.err = x.r.Attempt.Refuse(verdict.UpstreamTruncated, "upstream %s broke the stream off", x.u.ID).WithCause(cause)
	}
	return a
}
