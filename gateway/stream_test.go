package gateway

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against relaying partial events: however the stream is split into
// chunks, Add must return only whole events, all of them, in order.
func TestEventsComeOutWhole(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var stream strings.Builder
		n := rapid.IntRange(1, 20).Draw(r, "events")
		for i := 1; i <= n; i++ {
			fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", rapid.IntRange(0, 30).Draw(r, "size")))
		}
		rest, events := stream.String(), EventSplitter{}
		var got strings.Builder
		for len(rest) > 0 {
			size := rapid.IntRange(1, len(rest)).Draw(r, "piece")
			whole, err := events.Add([]byte(rest[:size]))
			if err != nil {
				r.Fatal(err)
			}
			if len(whole) > 0 && !strings.HasSuffix(string(whole), "\n\n") {
				r.Fatalf("got partial event %q", whole)
			}
			got.Write(whole)
			rest = rest[size:]
		}
		if got.String() != stream.String() || events.Incomplete() || events.LastID != fmt.Sprint(n) {
			r.Fatalf("got %q, last ID %s, incomplete %v", got.String(), events.LastID, events.Incomplete())
		}
	})
}

// Guards against a duplicate event when another upstream resumes a stream.
func TestEventsRefuseRepeats(t *testing.T) {
	events := EventSplitter{LastID: "4"}
	if _, err := events.Add([]byte("id: 5\ndata: a\n\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := events.Add([]byte("id: 5\ndata: a\n\n")); !errors.Is(err, errSequence) {
		t.Errorf("repeated event: got error %v, want errSequence", err)
	}
}

// Guards against treating a stream that ends inside an event as complete.
func TestEventsReportIncompleteEnd(t *testing.T) {
	events := EventSplitter{}
	if _, err := events.Add([]byte("id: 1\ndata: a\n\nid: 2\nda")); err != nil {
		t.Fatal(err)
	}
	if !events.Incomplete() || events.LastID != "1" {
		t.Errorf("got incomplete %v, last ID %q, want true, \"1\"", events.Incomplete(), events.LastID)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte("weight-versions: 3\nid: 7\ndata: a\n\nid: 8"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		events, out := EventSplitter{}, 0
		if size <= 0 {
			size = 1
		}
		for start := 0; start < len(stream); start += size {
			whole, err := events.Add(stream[start:min(start+size, len(stream))])
			if err != nil {
				return
			}
			out += len(whole)
		}
		if out > len(stream) {
			t.Fatalf("got %d bytes of events from %d bytes of input", out, len(stream))
		}
	})
}
