// Package logsink writes log lines without blocking the code that logs: lines
// are held in a bounded queue. Lines that arrive while it is full are dropped,
// and their number is logged when there is space again.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueLines bounds the lines queued for a slow reader.
	queueLines = 1024
	// queueBytes bounds the bytes of these lines: callers choose a part of some.
	queueBytes = 4 << 20
	// batchBytes is the size from which a batch takes no more lines; a batch is
	// written with one Write call.
	batchBytes = 32 << 10
)

// Sink is an io.Writer of whole lines. Its methods are safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes in lines
	dropped atomic.Uint64
	total   atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	size := int64(len(line))
	if s.queued.Add(size) <= queueBytes {
		select {
		case s.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	s.queued.Add(-size)
	s.dropped.Add(1)
	s.total.Add(1)
	return len(line), nil
}

// Dropped returns the number of dropped lines and failed batch writes since
// start.
func (s *Sink) Dropped() uint64 { return s.total.Load() }

// Close writes the queued lines. Lines written later are discarded: connections
// that are still closing may log until the process exits.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.quit) })
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	batch := make([]byte, 0, batchBytes)
	for {
		select {
		case line := <-s.lines:
			s.queued.Add(-int64(len(line)))
			batch = s.collect(append(batch[:0], line...))
		case <-s.quit:
			for batch = s.collect(batch[:0]); len(batch) > 0; batch = s.collect(batch[:0]) {
				s.write(batch)
			}
			s.write(s.appendDropNotice(nil))
			return
		}
		s.write(s.appendDropNotice(batch))
	}
}

// collect appends queued lines to a batch.
func (s *Sink) collect(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-s.lines:
			s.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// appendDropNotice appends a line with the number of lines dropped since the
// last such line, if any.
func (s *Sink) appendDropNotice(batch []byte) []byte {
	if n := s.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"fields\":{\"lines\":%d},\"level\":\"warn\",\"message\":\"log lines dropped\"}\n", n)
	}
	return batch
}

func (s *Sink) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := s.out.Write(batch); err != nil {
		s.total.Add(1) // the failure can't be logged, only counted
	}
}
