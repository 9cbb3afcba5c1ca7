package bootclock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

func read(t *testing.T, clock int32) bootclock.Time {
	t.Helper()
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		t.Fatal(err)
	}
	return bootclock.Time(ts.Nano())
}

// Guards against reading the monotonic clock, which stops during a suspension:
// Now must lie between two readings of CLOCK_BOOTTIME, which does not stop.
func TestNowCountsSuspension(t *testing.T) {
	before := read(t, unix.CLOCK_BOOTTIME)
	now := bootclock.Now()
	if after := read(t, unix.CLOCK_BOOTTIME); now.Before(before) || now.After(after) {
		t.Errorf("got %d, want a time between the CLOCK_BOOTTIME readings %d and %d", now, before, after)
	}
}

// Guards against using time.Now for leases, grants, staleness bounds and fences:
// its differences do not include a suspension, so a paused holder would take an
// expired lease for valid. Only deadlines of connections and timers may use it.
func TestLeaseTimesUseBootClock(t *testing.T) {
	for _, pattern := range []string{
		"../../coordinator/*.go", "../../decision/quota/central.go", "../../decision/residency/*.go", "../../decision/dispatch/*.go",
		"../../node/watch.go", "../../node/state.go", "../../gateway/route.go", "../../gateway/filters.go", "../../gateway/budget.go",
	} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v, %v", pattern, files, err)
		}
		for _, file := range files {
			for _, call := range monotonicReadings(t, file) {
				t.Errorf("%s: time.%s does not include suspensions", file, call)
			}
		}
	}
}

// monotonicReadings returns the calls of time.Now and time.Since in a file.
// Test files are skipped.
func monotonicReadings(t *testing.T, file string) []string {
	t.Helper()
	if matched, err := filepath.Match("*_test.go", filepath.Base(file)); err != nil || matched {
		return nil
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var calls []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "time" && (selector.Sel.Name == "Now" || selector.Sel.Name == "Since") {
			calls = append(calls, selector.Sel.Name)
		}
		return true
	})
	return calls
}
