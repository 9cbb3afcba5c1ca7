package filter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// maxBuffered bounds a model's response that is not a stream, in bytes. Such a
// response is buffered until complete, so that callers never get a broken one.
const maxBuffered = 8 << 20

// maxRejection bounds the body of an engine's rejection in bytes.
const maxRejection = 64 << 10

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(strings.ToLower(header.Get("Content-Type")), "text/event-stream")
}

// relay passes a response on to the caller. A nil error means that the response
// was complete and that all of it was written.
func (t *try) relay(resp *http.Response) error {
	switch {
	case t.r.Chat != nil && resp.StatusCode == http.StatusOK && isEventStream(resp.Header):
		return t.relayStream(resp)
	case t.r.Chat != nil:
		return t.relayBuffered(resp)
	}
	return t.relayPlain(resp)
}

// writeHeader writes the status and the headers of the response.
func (t *try) writeHeader(resp *http.Response) {
	header := t.r.Writer.Header()
	request.CopyHeader(header, resp.Header)
	header.Del(IncarnationHeader)
	header.Del(LoadHeader)
	if isEventStream(resp.Header) {
		header.Del("Content-Length") // an error event may be appended
	}
	header.Set(RequestIDHeader, t.r.ID)
	t.r.Writer.WriteHeader(resp.StatusCode)
}

// relayPlain copies the response of a service and flushes data as it arrives.
func (t *try) relayPlain(resp *http.Response) error {
	t.writeHeader(resp)
	buffer := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if werr := t.r.Writer.Send(buffer[:n], true); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayBuffered passes on a model's response once it is complete and well-formed.
func (t *try) relayBuffered(resp *http.Response) error {
	body, err := t.r.ReadResponse(t.ctx, resp.Body, resp.ContentLength, maxBuffered)
	if errors.Is(err, request.ErrResponseTooLarge) {
		return fmt.Errorf("%w: answer over %d bytes", errMalformed, maxBuffered)
	}
	if err != nil {
		return err
	}
	var answer struct {
		Usage *usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return fmt.Errorf("%w: %v", errMalformed, err)
	}
	t.r.setUsed(answer.Usage, unknownTokens)
	t.writeHeader(resp)
	return t.r.Writer.Send(body, true)
}

// relayStream passes on whole events only. A stream that ends before it is
// complete is an error, even if the connection was closed normally.
func (t *try) relayStream(resp *http.Response) error {
	events, p := newEventReader(resp.Body), &progress{wantChoices: t.r.Chat.N}
	defer func() { t.r.setUsed(p.usage, p.tokens) }()
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && string(eventData(event)) == string(doneMarker) {
			event, err = append(event, "\n\n"...), nil // the last blank line is missing
		}
		if err != nil {
			if p.complete() {
				return nil
			}
			return err
		}
		if p.done {
			return nil // ignore data after the end marker
		}
		if err := p.add(eventData(event)); err != nil {
			return err
		}
		if !t.r.Writer.Begun() {
			t.writeHeader(resp)
		}
		if err := t.r.Writer.Send(event, p.done || !events.hasBuffered()); err != nil {
			return err
		}
	}
}

// rejectedByEngine reports whether the response of an engine states that it did
// not run the request. Such a response is not passed on, and the try no longer
// counts as one that may have run.
func (t *try) rejectedByEngine(resp *http.Response) bool {
	if t.r.Pool.Kind != catalog.Engine || (resp.StatusCode != http.StatusNotFound && resp.StatusCode != http.StatusServiceUnavailable) {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRejection))
	var answer struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err != nil || json.Unmarshal(body, &answer) != nil {
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(string(body)), resp.Body))
		return false
	}
	if answer.Error.Code != "model_not_loaded" && answer.Error.Code != "overloaded" {
		resp.Body = io.NopCloser(strings.NewReader(string(body)))
		return false
	}
	t.r.Attempt.MarkNotRun()
	return true
}

// unknownTokens is the token count of an output of unknown length.
const unknownTokens = -1

// setUsed records the tokens to charge: the engine's count, or else the estimate
// for the prompt plus the tokens passed on, if their number is known.
func (r *Request) setUsed(u *usage, tokens int) {
	switch {
	case u != nil && u.TotalTokens > 0:
		r.Used, r.UsedKnown = u.TotalTokens, true
	case tokens >= 0:
		r.Used, r.UsedKnown = r.Chat.promptTokens()+int64(tokens), true
	}
}

// watchKey returns a context for a model stream that is cancelled when the key
// of the request is withdrawn. The returned function stops the watch.
func watchKey(ctx context.Context, c Catalog, r *Request) (context.Context, func()) {
	if r.KeyHash == "" || r.Chat == nil || !r.Chat.Stream {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			_, edited := c.Current()
			if !StillAllowed(c, r) {
				cancel(errKeyWithdrawn)
			}
			select {
			case <-ctx.Done():
				return
			case <-edited:
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}
