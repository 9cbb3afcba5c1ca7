package request

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

const (
	// firstBuffer is the first buffer for a body of unknown length.
	firstBuffer = 512
	// maxFirstBuffer bounds the first buffer for a body of known length: a caller may
	// announce more than it sends.
	maxFirstBuffer = 16 << 10
	// bufferGrowth is the factor by which the buffer of a body grows.
	bufferGrowth = 4
)

// ReadBody admits the request and reads the whole body into r.Body before the request is
// sent, so that an upstream never receives a partial request when the caller disconnects. A
// limit (in bytes) or a timeout of 0 means no bound. The memory for the head, and for the
// body as it arrives, is taken from Server.Memory.
func (r *Request) ReadBody(limit int64, timeout time.Duration) error {
	length := r.HTTP.ContentLength
	if limit > 0 && length > limit {
		return tooLarge(limit)
	}
	if err := r.memory.admit(r); err != nil {
		return err
	}
	if length == 0 {
		r.memory.complete(r)
		return nil
	}
	body := r.HTTP.Body
	if limit > 0 && length < 0 {
		body = http.MaxBytesReader(r.Writer.ResponseWriter, body, limit)
	}
	if timeout > 0 {
		defer r.limitRead(timeout)()
	}
	var data []byte
	var err error
	if length > 0 {
		data, err = r.readKnown(body, length)
	} else {
		data, err = r.readUnknown(body)
	}
	if err != nil {
		r.memory.releaseBody(r)
		return r.bodyRefusal(err, limit, timeout)
	}
	r.memory.complete(r)
	r.HTTP.Trailer = nil // it is not passed on
	r.Body, r.bodyRead = data, true
	return nil
}

func (r *Request) bodyRefusal(err error, limit int64, timeout time.Duration) error {
	var exceeded *http.MaxBytesError
	var refusal *verdict.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &exceeded):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded) && r.memory.evicted(r):
		return verdict.New(verdict.MemoryFull, "the body arrived too slowly while this instance had no room for others").WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.BadRequest, "the body did not arrive within %s", timeout).WithCause(err)
	default:
		return verdict.New(verdict.BadRequest, "the body ended early").WithCause(err)
	}
}

// readKnown reads a body of a known length into a buffer that grows with what has arrived.
// Both buffers are held while one is copied into the next.
func (r *Request) readKnown(body io.Reader, length int64) ([]byte, error) {
	var data []byte
	for size := min(length, maxFirstBuffer); ; size = min(size*bufferGrowth, length) {
		if err := r.memory.grow(r.HTTP.Context(), r, size, int64(len(data))); err != nil {
			return nil, err
		}
		old := int64(len(data))
		grown := make([]byte, size)
		copy(grown, data)
		if old > 0 {
			r.memory.shrink(r, old)
		}
		if _, err := io.ReadFull(body, grown[old:]); err != nil {
			return nil, err
		}
		if data = grown; size == length {
			return data, nil
		}
	}
}

// readUnknown reads a body of unknown length into chunks, as io.ReadAll does, and then
// copies them into one buffer.
func (r *Request) readUnknown(body io.Reader) ([]byte, error) {
	chunks, total := make([][]byte, 0, 4), int64(0)
	for size, next := int64(firstBuffer), int64(firstBuffer/2); ; size, next = next, next+next/2 {
		if err := r.memory.grow(r.HTTP.Context(), r, size, total); err != nil {
			return nil, err
		}
		chunk := make([]byte, size)
		n, err := readFull(body, chunk)
		chunk, total = chunk[:n], total+int64(n)
		switch {
		case err == nil:
			chunks = append(chunks, chunk)
		case !errors.Is(err, io.EOF):
			return nil, err
		case len(chunks) == 0:
			return chunk, nil
		default:
			return r.join(append(chunks, chunk), total)
		}
	}
}

// readFull reads until the buffer is full. Unlike io.ReadFull it returns io.EOF after a
// part of it, so that a body that ends differs from one that breaks off.
func readFull(body io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = body.Read(buffer[n:])
		n += more
	}
	if n == len(buffer) {
		err = nil
	}
	return n, err
}

// join copies the chunks of a body into one buffer. Both are held meanwhile.
func (r *Request) join(chunks [][]byte, total int64) ([]byte, error) {
	if err := r.memory.grow(r.HTTP.Context(), r, total, total); err != nil {
		return nil, err
	}
	data, held := make([]byte, 0, total), int64(0)
	for _, chunk := range chunks {
		data = append(data, chunk...)
		held += int64(cap(chunk))
	}
	r.memory.shrink(r, held)
	return data, nil
}

func tooLarge(limit int64) error {
	return verdict.New(verdict.BodyTooLarge, "the body exceeds %d bytes", limit)
}

// limitRead sets a deadline for reading the body. The returned function clears
// it, so that the server can detect when the caller disconnects.
func (r *Request) limitRead(timeout time.Duration) func() {
	control := http.NewResponseController(r.Writer.ResponseWriter)
	if control.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return func() {}
	}
	return func() { control.SetReadDeadline(time.Time{}) } //nolint:errcheck // a broken connection causes an error at the next read.
}
