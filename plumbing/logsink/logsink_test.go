package logsink_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/plumbing/logsink"
)

// stalledWriter is a log output that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Guards against requests that block on a slow reader of the logs, and against
// lines that are dropped without being reported.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	sink := logsink.New(out)
	const lines = 5000
	for i := range lines { // would never end if a write blocked on the reader
		fmt.Fprintf(sink, "{\"n\":%d}\n", i)
	}
	lost := sink.Dropped()
	if lost == 0 || lost >= lines {
		t.Errorf("got %d of %d lines dropped, want some but not all", lost, lines)
	}
	close(out.release)
	sink.Close()
	text := out.got.String()
	if got := strings.Count(text, "{\"n\":"); got != lines-int(lost) {
		t.Errorf("got %d lines written and %d dropped, want %d in total", got, lost, lines)
	}
	reported := 0
	for _, match := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		reported += n
	}
	if reported != int(lost) {
		t.Errorf("got %d lines reported as dropped, want %d", reported, lost)
	}
}

// Guards process shutdown: lines written after Close, by connections that are
// still closing, must not panic. Found by the soak test (seeds 203, 208).
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	sink := logsink.New(&out)
	fmt.Fprintln(sink, "before")
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 500 {
				fmt.Fprintln(sink, "meanwhile")
			}
		})
	}
	sink.Close()
	group.Wait()
	fmt.Fprintln(sink, "after")
	if !strings.HasPrefix(out.String(), "before\n") || strings.Contains(out.String(), "after") {
		t.Errorf("got %q, want \"before\" first and no \"after\"", out.String())
	}
}

// Guards against long lines, of which callers choose a part, that fill the memory of a
// process whose log is read slowly.
func TestQueueIsBoundedInBytes(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	sink := logsink.New(out)
	line := append(bytes.Repeat([]byte("x"), 64<<10), '\n')
	for range 500 {
		sink.Write(line)
	}
	if kept := 500 - int(sink.Dropped()); kept < 10 || kept*len(line) > 8<<20 {
		t.Errorf("%d lines of 64 KiB are kept", kept)
	}
	close(out.release)
	sink.Close()
}
