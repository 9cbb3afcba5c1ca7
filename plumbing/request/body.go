package request

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// ReadBody reads the whole body, so that a caller who breaks off never leaves
// half a request at an upstream. A limit or a timeout of 0 is none.
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
		return verdict.New(verdict.BadRequest, "the body did not arrive within %s", timeout).Because(err)
	case err != nil:
		return verdict.New(verdict.BadRequest, "the body ended early").Because(err)
	}
	r.Body = data
	return nil
}

func tooLarge(limit int64) error {
	return verdict.New(verdict.BodyTooLarge, "the body exceeds %d bytes", limit)
}

// limitRead bounds the time for reading. The returned function lifts the
// bound, so that the server notices a hang-up.
func (r *Request) limitRead(timeout time.Duration) func() {
	control := http.NewResponseController(r.Writer.ResponseWriter)
	if control.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return func() {}
	}
	return func() { control.SetReadDeadline(time.Time{}) } //nolint:errcheck // a broken connection shows at the next read.
}
