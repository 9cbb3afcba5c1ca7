package request

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// ReadBody reads the whole body into r.Body before the request is sent, so that
// an upstream never receives a partial request when the caller disconnects. A
// limit (in bytes) or a timeout of 0 means no bound.
func (r *Request) ReadBody(limit int64, timeout time.Duration) error {
	if limit > 0 && r.HTTP.ContentLength > limit {
		return tooLarge(limit)
	}
	body := r.HTTP.Body
	if limit > 0 {
		body = http.MaxBytesReader(r.Writer.ResponseWriter, body, limit)
	}
	if timeout > 0 {
		defer r.limitRead(timeout)()
	}
	data, err := io.ReadAll(body)
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.BadRequest, "the body did not arrive within %s", timeout).WithCause(err)
	case err != nil:
		return verdict.New(verdict.BadRequest, "the body ended early").WithCause(err)
	}
	r.Body = data
	return nil
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
