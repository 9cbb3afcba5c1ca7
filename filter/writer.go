package filter

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// writeTimeout bounds one write to a caller. A caller that reads nothing for
// that long loses its connection, so that it does not hold an upstream.
const writeTimeout = 30 * time.Second

// ResponseWriter notes whether the answer has begun, bounds the time of
// writes and can keep a copy of the answer.
type ResponseWriter struct {
	http.ResponseWriter
	status   int
	control  *http.ResponseController
	timeout  time.Duration // of one write; 0 means writeTimeout
	bounded  time.Time     // when the write deadline was last moved
	record   bool          // keep a copy, and go on after the caller has gone
	limit    int           // of the copy in bytes
	copied   []byte
	overflow bool
	gone     bool
}

// WriteHeader notes the status.
func (w *ResponseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *ResponseWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// send writes a part of the answer under the write deadline.
func (w *ResponseWriter) send(p []byte, flush bool) error {
	if w.record {
		w.keep(p)
	}
	if w.gone {
		return nil
	}
	err := w.deliver(p, flush)
	if err == nil {
		return nil
	}
	if w.record {
		w.gone = true // the answer is still read to its end for repeats
		return nil
	}
	return fmt.Errorf("%w: %v", errCallerGone, err)
}

func (w *ResponseWriter) deliver(p []byte, flush bool) error {
	if err := w.bound(time.Now()); err != nil {
		return err
	}
	if _, err := w.Write(p); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	if err := w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// deadlineSteps is the part of the write time-out after which the deadline is
// moved. Moving it for each event of a stream costs a timer operation each.
const deadlineSteps = 30

// bound keeps the write deadline ahead: a write ends within the time-out, and
// has at least the time-out less one step.
func (w *ResponseWriter) bound(now time.Time) error {
	if w.control == nil {
		w.control = http.NewResponseController(w.ResponseWriter)
	}
	timeout := w.timeout
	if timeout == 0 {
		timeout = writeTimeout
	}
	if !w.bounded.IsZero() && now.Sub(w.bounded) < timeout/deadlineSteps {
		return nil
	}
	w.bounded = now
	if err := w.control.SetWriteDeadline(now.Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

func (w *ResponseWriter) keep(p []byte) {
	if len(w.copied)+len(p) > w.limit {
		w.copied, w.overflow = nil, true
	}
	if !w.overflow {
		w.copied = append(w.copied, p...)
	}
}

// Begun reports whether any part of the answer has been written.
func (w *ResponseWriter) Begun() bool { return w.status != 0 }

// Status returns the status written, 0 before.
func (w *ResponseWriter) Status() int { return w.status }

// Unwrap lets http.ResponseController reach the connection.
func (w *ResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// limitRead bounds the time in which a caller sends its body. The returned
// function lifts the bound, so that the server notices a hang-up.
func limitRead(w http.ResponseWriter, timeout time.Duration) func() {
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return func() {}
	}
	return func() { control.SetReadDeadline(time.Time{}) } //nolint:errcheck // a broken connection shows at the next read.
}

// slowBody reports whether reading a body failed by its deadline.
func slowBody(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
