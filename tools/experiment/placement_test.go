package experiment

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against runs with the same seed that differ, and against runs that
// violate the planner's invariants: Execute fails if a copy has no row or memory
// is overcommitted.
func TestPlacementRepeats(t *testing.T) {
	saved := Deployments
	defer func() { Deployments = saved }()
	Deployments = []Deployment{saved[0]}
	Deployments[0].Models, Deployments[0].Adapters, Deployments[0].Workers = 12, 6, 3
	var first string
	for range 2 {
		var out bytes.Buffer
		c := Placement{Days: 1, Seed: 5, Deployment: "A", Parallel: 3, out: &out}
		if err := c.Execute(nil); err != nil {
			t.Fatal(err)
		}
		if first == "" {
			first = out.String()
		}
		if out.String() != first || strings.Count(first, "\n") != 7 {
			t.Fatalf("two runs differ:\n%s\n%s", first, out.String())
		}
	}
}
