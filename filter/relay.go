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

// maxWhole bounds the answer of a model that is not a stream, in bytes. It is
// held back until it is complete, so that a broken one is never shown.
const maxWhole = 8 << 20

// maxDisown bounds an engine's refusal in bytes.
const maxDisown = 64 << 10

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(strings.ToLower(header.Get("Content-Type")), "text/event-stream")
}

// relay passes an answer on. A nil error means that it was complete and that
// all of it was written.
func (t *try) relay(resp *http.Response) error {
	switch {
	case t.r.Chat != nil && resp.StatusCode == http.StatusOK && isEventStream(resp.Header):
		return t.relayStream(resp)
	case t.r.Chat != nil:
		return t.relayWhole(resp)
	}
	return t.relayPlain(resp)
}

// begin writes the status and the headers of the answer.
func (t *try) begin(resp *http.Response) {
	header := t.r.Writer.Header()
	request.CopyHeader(header, resp.Header)
	header.Del(IncarnationHeader)
	header.Del(LoadHeader)
	if isEventStream(resp.Header) {
		header.Del("Content-Length") // an error event may be added
	}
	header.Set(RequestIDHeader, t.r.ID)
	t.r.Writer.WriteHeader(resp.StatusCode)
}

// relayPlain copies the answer of a service, flushing as data arrives.
func (t *try) relayPlain(resp *http.Response) error {
	t.begin(resp)
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

// relayWhole passes on a model's answer once it is complete and well-formed.
func (t *try) relayWhole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil {
		return err
	}
	if len(body) > maxWhole {
		return fmt.Errorf("%w: answer over %d bytes", errMalformed, maxWhole)
	}
	var answer struct {
		Usage *usage `json:"usage"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return fmt.Errorf("%w: %v", errMalformed, err)
	}
	t.r.setUsed(answer.Usage, unknownTokens)
	t.begin(resp)
	return t.r.Writer.Send(body, true)
}

// relayStream passes on whole events only. A stream that ends before its
// completion is an error, also if the connection was closed in order.
func (t *try) relayStream(resp *http.Response) error {
	events, p := newEventReader(resp.Body), &progress{want: t.r.Chat.N}
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
			return nil // nothing belongs after the end marker
		}
		if err := p.add(eventData(event)); err != nil {
			return err
		}
		if !t.r.Writer.Begun() {
			t.begin(resp)
		}
		if err := t.r.Writer.Send(event, p.done || !events.pending()); err != nil {
			return err
		}
	}
}

// disowned reports whether an engine says that it did not run the request.
// Such an answer is not passed on, and the verdict of the try is withdrawn.
func (t *try) disowned(resp *http.Response) bool {
	if t.r.Pool.Kind != catalog.Engine || (resp.StatusCode != http.StatusNotFound && resp.StatusCode != http.StatusServiceUnavailable) {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDisown))
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
	t.r.Attempt.Disown()
	return true
}

// unknownTokens stands for an output whose length is not known.
const unknownTokens = -1

// setUsed records what is charged: the engine's count, or else the prompt and
// the tokens that were passed on, if they are known.
func (r *Request) setUsed(u *usage, tokens int) {
	switch {
	case u != nil && u.TotalTokens > 0:
		r.Used, r.Known = u.TotalTokens, true
	case tokens >= 0:
		r.Used, r.Known = r.Chat.prompt()+int64(tokens), true
	}
}

// watchKey ends the context of a running model stream when its key is
// withdrawn. The returned function ends the watch.
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
