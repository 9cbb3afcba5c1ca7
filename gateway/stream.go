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

// errSequence means that a stream misses an event or repeats one.
var errSequence = errors.New("events out of sequence")

// Events cuts a stream of server-sent events into whole events, so that a
// caller never gets a part of one and the stream can go on at another upstream.
type Events struct {
	partial []byte
	// Last is the ID of the last whole event, empty before the first one.
	Last string
}

// Add takes bytes of the stream and returns the whole events among them. The
// result is valid until the next call.
func (e *Events) Add(piece []byte) ([]byte, error) {
	e.partial = append(e.partial, piece...)
	end := bytes.LastIndex(e.partial, []byte("\n\n"))
	if end < 0 {
		if len(e.partial) > maxEvent {
			return nil, fmt.Errorf("%w: an event exceeds %d bytes", errInvalid, maxEvent)
		}
		return nil, nil
	}
	whole := e.partial[:end+2]
	rest := e.partial[end+2:]
	for event := range bytes.SplitSeq(whole, []byte("\n\n")) {
		if err := e.note(event); err != nil {
			return nil, err
		}
	}
	e.partial = append([]byte(nil), rest...)
	return whole, nil
}

// note checks the ID of a whole event against the one before.
func (e *Events) note(event []byte) error {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := strings.TrimSpace(string(value))
		before, err1 := strconv.ParseInt(e.Last, 10, 64)
		now, err2 := strconv.ParseInt(id, 10, 64)
		if e.Last != "" && err1 == nil && err2 == nil && now <= before {
			return fmt.Errorf("%w: %s after %s", errSequence, id, e.Last)
		}
		e.Last = id
	}
	return nil
}

// Open reports whether the stream ended inside an event.
func (e *Events) Open() bool { return len(bytes.TrimSpace(e.partial)) > 0 }

// stream relays a stream event by event as they come.
func (x *exchange) stream(ctx context.Context, answer *http.Response) attempt {
	events := Events{Last: x.r.Resume}
	piece := make([]byte, 4<<10)
	for {
		n, err := answer.Body.Read(piece)
		if n > 0 {
			if a, ok := x.pass(ctx, answer, &events, piece[:n]); !ok {
				return a
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !events.Open() && !x.r.Writer.Begun() && unframed(answer):
			return x.cut(ctx, fmt.Errorf("%w: closed without an event", errInvalid))
		case errors.Is(err, io.EOF) && !events.Open():
			if !x.r.Writer.Begun() { // nothing is left of a stream that the caller resumed
				x.writeHead(answer)
				x.r.Writer.WriteHeader(answer.StatusCode)
			}
			x.r.Writer.End()
			return attempt{result: dispatch.Served}
		case errors.Is(err, io.EOF):
			return x.cut(ctx, fmt.Errorf("%w: ended inside an event", errInvalid))
		case err != nil:
			return x.cut(ctx, err)
		}
	}
}

// unframed reports whether the answer ends with its connection, so that its end
// can't be told from a break.
func unframed(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

// pass hands the whole events of a piece to the caller.
func (x *exchange) pass(ctx context.Context, answer *http.Response, events *Events, piece []byte) (attempt, bool) {
	whole, err := events.Add(piece)
	if err != nil {
		return x.cut(ctx, err), false
	}
	if len(whole) == 0 {
		return attempt{}, true
	}
	if !x.r.Writer.Begun() {
		x.writeHead(answer)
		x.r.Writer.WriteHeader(answer.StatusCode)
	}
	x.observe.first()
	x.r.event(bootclock.Now())
	if err := x.r.Writer.Send(whole, true); err != nil {
		return x.callerGone(dispatch.Neutral, false), false
	}
	x.r.Resume = events.Last
	return attempt{}, true
}

// event notes the time of an event.
func (r *Request) event(now bootclock.Time) {
	if r.eventAt != 0 {
		r.pause = max(r.pause, now.Sub(r.eventAt))
	}
	r.eventAt = now
}

// cut ends a stream that its upstream broke off.
func (x *exchange) cut(ctx context.Context, cause error) attempt {
	a := x.broken(ctx, cause, false)
	a.resume = a.result == dispatch.Failed && x.r.Resumable
	if !a.resume && x.r.Writer.Begun() && ctx.Err() == nil {
		a.err = x.r.Attempt.Refuse(verdict.UpstreamTruncated, "upstream %s broke the stream off", x.u.ID).Because(cause)
	}
	return a
}
