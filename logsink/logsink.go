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
	done    chan struct{}
	once    sync.Once
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
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

// Close writes what is queued. Write must not be called any more.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	batch := make([]byte, 0, batchBytes)
	for line := range s.lines {
		batch = append(batch[:0], line...)
	collect:
		for len(batch) < batchBytes {
			select {
			case more, ok := <-s.lines:
				if !ok {
					break collect
				}
				batch = append(batch, more...)
			default:
				break collect
			}
		}
		s.write(s.noteDropped(batch))
	}
	s.write(s.noteDropped(nil))
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
