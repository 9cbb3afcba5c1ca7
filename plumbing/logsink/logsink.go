// Package logsink writes log lines without ever holding up the code that logs:
// lines wait in a bounded queue, and those that find it full are counted and
// reported once there is room again.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 1024
	// batchBytes is how much is written with one system call.
	batchBytes = 32 << 10
)

// Sink is an io.Writer of whole lines. Its methods may be called from several
// goroutines.
type Sink struct {
	out     io.Writer
	lines   chan []byte
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
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
		s.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost since start.
func (s *Sink) Dropped() uint64 { return s.total.Load() }

// Close writes what is queued. Lines that come later are dropped: connections
// that are still ending may log until the process is gone.
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
			batch = s.collect(append(batch[:0], line...))
		case <-s.quit:
			for batch = s.collect(batch[:0]); len(batch) > 0; batch = s.collect(batch[:0]) {
				s.write(batch)
			}
			s.write(s.noteDropped(nil))
			return
		}
		s.write(s.noteDropped(batch))
	}
}

// collect adds the lines that wait to a batch.
func (s *Sink) collect(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// noteDropped appends a line about the lines lost since the last such line.
func (s *Sink) noteDropped(batch []byte) []byte {
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
		s.total.Add(1) // nobody is left to tell
	}
}
