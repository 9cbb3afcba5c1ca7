package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/tools/explain"
)

const logs = `  9.1 entry-2 {"fields":{"instance":"entry-2","model":"letters","upstream":"e1","unload":false,"outcome":"accepted"},"level":"info","timestamp":"2026-01-01T00:00:09Z","message":"placement decision"}
{"fields":{"instance":"entry-2","model":"other","upstream":"e2"},"level":"info","timestamp":"2026-01-01T00:00:09Z","message":"placement decision"}
{"fields":{"instance":"entry-1","request":"r1","model":"letters","code":"deadline_too_short","after_ms":2000},"level":"info","timestamp":"2026-01-01T00:00:10Z","message":"request refused"}
{"fields":{"instance":"entry-1","request":"r2","code":"rate_limited"},"level":"info","timestamp":"2026-01-01T00:00:10Z","message":"request refused"}
not a log line
{"fields":{"instance":"entry-2","token":3},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"leadership taken"}
{"fields":{"instance":"entry-2","token":2},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"leadership taken"}
`

// Guards against an explanation of a request that lacks its own lines or the
// decisions about its model in the same period, or that has other lines.
func TestChainOfARequest(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(logs))
	if err != nil || len(lines) != 6 {
		t.Fatalf("got %d lines, error %v, want 6 lines", len(lines), err)
	}
	chain := explain.Request(lines, "r1", 5*time.Second)
	var got []string
	for _, l := range chain {
		got = append(got, l.Message)
	}
	if want := "leadership taken, placement decision, request refused"; strings.Join(got, ", ") != want {
		t.Errorf("got chain %v, want %s", got, want)
	}
	if explain.Request(lines, "unknown", time.Second) != nil {
		t.Error("got a chain for a request ID that no line has, want none")
	}
	var text strings.Builder
	if err := explain.Print(&text, chain); err != nil || !strings.Contains(text.String(), "* entry-1          request refused: after_ms=2000 code=deadline_too_short") {
		t.Errorf("got output %q, error %v", text.String(), err)
	}
}

const usageLogs = `{"fields":{"instance":"entry-1","token":7},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"leadership taken"}
{"fields":{"instance":"entry-1","window":353445119,"token":7},"level":"info","timestamp":"2026-01-01T00:00:06Z","message":"usage reported"}
{"fields":{"instance":"entry-1","window":353445120,"token":7,"outcome":"unknown"},"level":"info","timestamp":"2026-01-01T00:00:11Z","message":"usage not reported; retrying"}
{"fields":{"instance":"entry-1","token":7},"level":"info","timestamp":"2026-01-01T00:00:12Z","message":"leadership ended"}
{"fields":{"instance":"entry-2","token":8},"level":"info","timestamp":"2026-01-01T00:00:12.5Z","message":"leadership taken"}
{"fields":{"instance":"entry-2","window":353445120,"token":8,"after_ms":4400},"level":"info","timestamp":"2026-01-01T00:00:16Z","message":"usage reported"}
{"fields":{"instance":"entry-2","window":353445121,"last":353445130,"token":8},"level":"warn","timestamp":"2026-01-01T00:01:30Z","message":"usage window skipped"}
`

// Guards against an explanation of a window that lacks the attempts and changes of
// leadership between its end and its report, or windows that were skipped together.
func TestWindow(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(usageLogs))
	if err != nil {
		t.Fatal(err)
	}
	for window, want := range map[int64]string{
		353445119: "leadership taken, usage reported",
		353445120: "usage not reported; retrying, leadership ended, leadership taken, usage reported",
		353445125: "usage window skipped",
		353445131: "",
	} {
		var got []string
		for _, l := range explain.Window(lines, window, 5*time.Second) {
			got = append(got, l.Message)
		}
		if strings.Join(got, ", ") != want {
			t.Errorf("window %d: got %v, want %s", window, got, want)
		}
	}
	var text strings.Builder
	if err := explain.Print(&text, explain.Window(lines, 353445120, time.Second)); err != nil || !strings.Contains(text.String(), "* entry-2          usage reported: after_ms=4400 token=8 window=353445120") {
		t.Errorf("got output %q, error %v", text.String(), err)
	}
}
