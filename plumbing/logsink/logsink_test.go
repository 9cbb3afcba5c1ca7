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

// stalled is a reader of logs that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Guards against requests that wait for whoever reads the logs, and against
// lines that are lost without a word.
func TestStalledReaderHoldsNothingUp(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	sink := logsink.New(out)
	const lines = 5000
	for i := range lines { // would never end if a write waited for the reader
		fmt.Fprintf(sink, "{\"n\":%d}\n", i)
	}
	lost := sink.Dropped()
	if lost == 0 || lost >= lines {
		t.Errorf("%d of %d lines dropped", lost, lines)
	}
	close(out.release)
	sink.Close()
	text := out.got.String()
	if got := strings.Count(text, "{\"n\":"); got != lines-int(lost) {
		t.Errorf("%d lines written and %d dropped of %d", got, lost, lines)
	}
	told := 0
	for _, match := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		told += n
	}
	if told != int(lost) {
		t.Errorf("the log says that %d lines were dropped, want %d", told, lost)
	}
}

// Guards the end of a process: lines that come after Close, from connections
// that are still ending, must not panic. Found by the soak (seeds 203, 208).
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
		t.Errorf("wrote %q", out.String())
	}
}
