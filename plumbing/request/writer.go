package request

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ErrCallerGone means that the caller is gone or does not read.
var ErrCallerGone = errors.New("the caller is gone or does not read")

// Writer writes one answer and knows how far it has got. It can bound each
// write, and keep a copy of the answer.
type Writer struct {
	http.ResponseWriter
	status   int
	complete bool
	control  *http.ResponseController
	timeout  time.Duration // of one write; 0 for none
	bounded  time.Time     // when the write deadline was last moved
	record   bool          // keep a copy, and go on after the caller has gone
	limit    int           // of the copy in bytes
	copied   []byte
	overflow bool
	gone     bool
}

// NewWriter returns a writer that bounds each write by the time-out, if there
// is one.
func NewWriter(w http.ResponseWriter, timeout time.Duration) *Writer {
	return &Writer{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Record keeps a copy of the answer of up to limit bytes. The answer is then
// taken to its end also if the caller hangs up.
func (w *Writer) Record(limit int) { w.record, w.limit = true, limit }

// Recorded returns the copy, and whether it is not whole.
func (w *Writer) Recorded() (body []byte, overflow bool) { return w.copied, w.overflow }

// Gone reports whether the caller of a recorded answer has hung up.
func (w *Writer) Gone() bool { return w.gone }

// Begun reports whether any part of the answer has been written.
func (w *Writer) Begun() bool { return w.status != 0 }

// Complete reports whether the whole answer has been written.
func (w *Writer) Complete() bool { return w.complete }

// End marks an answer that was written piece by piece as whole.
func (w *Writer) End() { w.complete = true }

// Status returns the status written, 0 before.
func (w *Writer) Status() int { return w.status }

// Unwrap lets http.ResponseController reach the connection.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader notes the status.
func (w *Writer) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *Writer) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// errBegun refuses a second answer: it would make a part of the first look whole.
var errBegun = errors.New("another answer has begun")

// WriteAll writes a whole answer.
func (w *Writer) WriteAll(status int, body []byte) error {
	if w.Begun() {
		return errBegun
	}
	w.complete = true
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	return w.Send(body, false)
}

// Send writes a piece of the answer. With flush it goes to the network at once.
func (w *Writer) Send(piece []byte, flush bool) error {
	if w.record {
		w.keep(piece)
	}
	if w.gone {
		return nil
	}
	err := w.deliver(piece, flush)
	if err == nil {
		return nil
	}
	if w.record {
		w.gone = true // the answer is still read to its end for repeats
		return nil
	}
	return fmt.Errorf("%w: %w", ErrCallerGone, err)
}

func (w *Writer) deliver(piece []byte, flush bool) error {
	if err := w.bound(time.Now()); err != nil {
		return err
	}
	if _, err := w.Write(piece); err != nil {
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
func (w *Writer) bound(now time.Time) error {
	if w.timeout == 0 || (!w.bounded.IsZero() && now.Sub(w.bounded) < w.timeout/deadlineSteps) {
		return nil
	}
	w.bounded = now
	if err := w.control.SetWriteDeadline(now.Add(w.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// LimitWrite bounds the time for all further writes.
func (w *Writer) LimitWrite(left time.Duration) error {
	return w.control.SetWriteDeadline(time.Now().Add(left))
}

func (w *Writer) keep(piece []byte) {
	if len(w.copied)+len(piece) > w.limit {
		w.copied, w.overflow = nil, true
	}
	if !w.overflow {
		w.copied = append(w.copied, piece...)
	}
}
