package request

import (
	"context"
	"errors"
	"io"
)

// ErrResponseTooLarge means that a response exceeds the limit for buffered ones.
var ErrResponseTooLarge = errors.New("response too large")

// firstResponse is the length up to which a response of unknown length is read before the
// memory for the longest one is taken.
const firstResponse = 16 << 10

// Hold makes the request hold n bytes more, until it drops them or ends. It waits a short
// time for room, and returns a refusal if there is none.
func (r *Request) Hold(ctx context.Context, n int64) error {
	return r.memory.grow(ctx, r, n, 0)
}

// Drop takes n bytes from what the request holds.
func (r *Request) Drop(n int64) { r.memory.shrink(r, n) }

// ReadResponse reads a whole response of at most limit bytes, for which it waits for room
// until ctx is done: the request has run. A length below 0 means that it is not known; the
// memory for the longest response is then taken at once, since two that have a part of it
// could wait for each other.
func (r *Request) ReadResponse(ctx context.Context, body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrResponseTooLarge
	}
	size := length
	if length < 0 {
		size = min(firstResponse, limit)
	}
	if err := r.memory.await(ctx, r, size, 0, 0); err != nil {
		return nil, responseError(ctx, err)
	}
	data := make([]byte, size)
	n, err := readFull(body, data)
	switch {
	case errors.Is(err, io.EOF) && length >= 0:
		return nil, io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF):
		return data[:n], nil
	case err != nil || length >= 0:
		return data, err
	}
	if err := r.memory.await(ctx, r, limit, 0, 0); err != nil {
		return nil, responseError(ctx, err)
	}
	r.Drop(size)
	for int64(len(data)) <= limit {
		data = append(data, 0)
		data = data[:cap(data)]
		more, err := readFull(body, data[n:])
		n += more
		if errors.Is(err, io.EOF) && int64(n) <= limit {
			r.Drop(max(limit-int64(cap(data)), 0))
			return data[:n], nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return nil, ErrResponseTooLarge
}

// responseError returns the error of a wait for room that has ended.
func responseError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// Record keeps a copy of the response of up to limit bytes, as far as there is room for it.
// The writer then accepts the response to its end even if the caller disconnects.
func (r *Request) Record(ctx context.Context, limit int) {
	r.Writer.record, r.Writer.limit = true, limit
	r.Writer.hold = func(n int64) bool { return r.Hold(ctx, n) == nil }
	r.Writer.drop = r.Drop
}
