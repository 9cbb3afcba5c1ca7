package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"

	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
)

// Guards against measuring a synthetic system that does not represent a running
// one: a catalogue that the product rejects, or a planner that is not leading or
// publishes only some of its upstreams.
func TestSyntheticSystem(t *testing.T) {
	for _, size := range upstreamSizes {
		data, err := syntheticCatalog(size, targetPools).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := catalog.Load(data); err != nil {
			t.Errorf("%d upstreams: %v", size, err)
		}
		p, _ := loadedPlanner(size, targetPools)
		v := publishedView(size)
		if models := size * Models / Upstreams; !p.Leading() || len(v.Upstreams) != size || len(v.Models) < models/3 {
			t.Errorf("%d upstreams: got leading %t and a view of %d upstreams and %d models", size, p.Leading(), len(v.Upstreams), len(v.Models))
		}
	}
}

// Guards against a wrong linear fit and extrapolation.
func TestFit(t *testing.T) {
	points := []Point{{Size: 1, Micros: 5}, {Size: 2, Micros: 7}, {Size: 10, Micros: 23}}
	line := Fit(points, func(p Point) float64 { return p.Micros })
	if math.Abs(line.At(100)-203) > 1e-6 {
		t.Errorf("line %+v: got %g at 100, want 203", line, line.At(100))
	}
}

// Guards against a command that accepts unknown arguments and a table that omits
// a cost.
func TestPrint(t *testing.T) {
	var out, errs bytes.Buffer
	if code := Run([]string{"--part", "nothing"}, &out, &errs); code != cli.ExitUsage {
		t.Errorf("exit code %d for an unknown part, want %d", code, cli.ExitUsage)
	}
	Print(&out, []Series{{Name: "bytes", Per: "byte", Sizes: []int{1, 2, 3}, Target: 100, EncodedLength: func(n int) int { return n }}})
	if want := "| bytes | length, B | byte | 1: 1 2: 2 3: 3 |"; !strings.Contains(out.String(), want) || !strings.Contains(out.String(), "100: 100") {
		t.Errorf("output %q lacks %q or the value at the target", out.String(), want)
	}
}
