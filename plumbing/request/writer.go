package request

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ErrCallerGone means that the caller has disconnected or does not read the
// response.
var ErrCallerGone = errors.New("caller disconnected or not reading the response")

// Writer writes one response and tracks its progress. It can set a deadline for
// each write, and keep a copy of the response.
type Writer struct {
	http.ResponseWriter
	status        int
	complete      bool
	control       *http.ResponseController
	timeout       time.Duration    // of one write; 0 for none
	deadlineSetAt time.Time        // when the write deadline was last set
	record        bool             // keep a copy, and continue after the caller has disconnected
	limit         int              // of the copy in bytes
	hold          func(int64) bool // takes memory for the copy, nil for no bound
	drop          func(int64)      // gives it back
	copied        []byte
	overflow      bool
	gone          bool
}

// NewWriter returns a writer that bounds each write by the timeout. A timeout of
// 0 means no bound.
func NewWriter(w http.ResponseWriter, timeout time.Duration) *Writer {
	return &Writer{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Recorded returns the copy that Request.Record has asked for. Overflow means that the
// response exceeded the limit or the memory, and the copy was discarded.
func (w *Writer) Recorded() (body []byte, overflow bool) { return w.copied, w.overflow }

// CallerGone reports whether the caller of a recorded response has disconnected.
func (w *Writer) CallerGone() bool { return w.gone }

// Begun reports whether any part of the response has been written.
func (w *Writer) Begun() bool { return w.status != 0 }

// Complete reports whether the whole response has been written.
func (w *Writer) Complete() bool { return w.complete }

// MarkComplete marks a response that was written in pieces as complete.
func (w *Writer) MarkComplete() { w.complete = true }

// Status returns the status that was written, or 0 if there is none yet.
func (w *Writer) Status() int { return w.status }

// Unwrap gives http.ResponseController access to the connection.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader records the first status and writes the header.
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

// errBegun rejects a second response, which would make a partial first one look
// complete.
var errBegun = errors.New("another response has begun")

// WriteAll writes a complete response.
func (w *Writer) WriteAll(status int, body []byte) error {
	if w.Begun() {
		return errBegun
	}
	w.complete = true
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	return w.Send(body, false)
}

// Send writes a piece of the response. With flush it is sent to the network
// immediately.
func (w *Writer) Send(piece []byte, flush bool) error {
	if w.record {
		w.recordPiece(piece)
	}
	if w.gone {
		return nil
	}
	err := w.deliver(piece, flush)
	if err == nil {
		return nil
	}
	if w.record {
		w.gone = true // the rest is still recorded, for repeats of the request
		return nil
	}
	return fmt.Errorf("%w: %w", ErrCallerGone, err)
}

func (w *Writer) deliver(piece []byte, flush bool) error {
	if err := w.extendWriteDeadline(time.Now()); err != nil {
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

// deadlineUpdateDivisor limits how often the write deadline is moved: at most
// once per timeout/deadlineUpdateDivisor. Moving it for each event of a stream
// would cost a timer operation per event.
const deadlineUpdateDivisor = 30

// extendWriteDeadline moves the write deadline ahead of now. A write ends within
// the timeout, and has at least the timeout less timeout/deadlineUpdateDivisor.
func (w *Writer) extendWriteDeadline(now time.Time) error {
	if w.timeout == 0 || (!w.deadlineSetAt.IsZero() && now.Sub(w.deadlineSetAt) < w.timeout/deadlineUpdateDivisor) {
		return nil
	}
	w.deadlineSetAt = now
	if err := w.control.SetWriteDeadline(now.Add(w.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// LimitWrite sets the write deadline to the time left from now.
func (w *Writer) LimitWrite(left time.Duration) error {
	return w.control.SetWriteDeadline(time.Now().Add(left))
}

func (w *Writer) recordPiece(piece []byte) {
	if w.overflow {
		return
	}
	if n := len(w.copied) + len(piece); n > w.limit || n > cap(w.copied) && !w.growCopy(n) {
		if w.drop != nil {
			w.drop(int64(cap(w.copied)))
		}
		w.copied, w.overflow = nil, true
		return
	}
	w.copied = append(w.copied, piece...)
}

// growCopy makes room for n bytes in the copy, and reports whether there is memory for it.
func (w *Writer) growCopy(n int) bool {
	size := min(max(n, 2*cap(w.copied)), w.limit)
	if w.hold != nil && !w.hold(int64(size)) {
		return false
	}
	old := w.copied
	w.copied = append(make([]byte, 0, size), old...)
	if w.drop != nil {
		w.drop(int64(cap(old)))
	}
	return true
}
