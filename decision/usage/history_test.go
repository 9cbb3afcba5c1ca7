package usage_test

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reported returns the total of all reports by workspace.
func (s *simulation) reported() map[string]int64 {
	total := map[string]int64{}
	for _, body := range s.api {
		for workspace, n := range decodeBody(s.t, body) {
			total[workspace] += n
		}
	}
	return total
}

func decodeBody(t *rapid.T, body string) map[string]int64 {
	var report struct {
		Counts map[string]int64 `json:"counts"`
	}
	if err := json.Unmarshal([]byte(body), &report); err != nil {
		t.Fatal(err)
	}
	return report.Counts
}

// drain ends all faults and requests, and lets the last windows be decided and sent.
func (s *simulation) drain() {
	s.apiDown = false
	for i, m := range s.machines {
		m.linked, m.frozen = true, 0
		if s.leader == nil || i != s.leader.machine {
			s.relink(i)
		}
	}
	end := s.now + 4*simWindow
	for s.now < end || s.pending() {
		if s.now > end+time.Hour {
			s.t.Fatal("reports are not sent")
		}
		s.now += simStep
		s.steps++
		for i := range s.machines {
			s.report(i, false)
		}
		for range len(s.reports) {
			s.deliver(false)
		}
		if s.leader == nil {
			s.elect(0)
		}
		s.lead()
		s.heartbeat()
	}
}

func (s *simulation) pending() bool {
	_, ok := s.machines[s.leader.machine].ledger.Next()
	return ok
}

// Guards against two contents of one window, and against requests that are counted twice,
// over random histories of lost, late, repeated and reordered messages, changes of leader,
// freezes, steps of clocks, restarts and a store that comes back from a copy.
func TestReportsNeverExceedWhatBegan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		faults := []string{"new leader", "freeze", "restart", "restart all", "cut", "step clock", "copy", "restore", "API"}
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				s.step()
			}
			s.fail(faults)
		}
		s.drain()
		for workspace, n := range s.reported() {
			if n > s.began[workspace] {
				t.Fatalf("%s: %d requests reported, %d began", workspace, n, s.began[workspace])
			}
		}
	})
}

// Guards against requests that are lost although no process has ended, no instance was out
// of reach beyond the decision of a window, and the store has kept everything; and against
// requests that are counted in another window because a wall clock was stepped.
func TestReportsAreExactIfNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.elect(0)
		for range 30 {
			s.step() // the first leader begins within the first window
		}
		faults := []string{"new leader", "step clock", "API"}
		for range rapid.IntRange(1, 20).Draw(t, "faults") {
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				s.step()
			}
			s.fail(faults)
		}
		s.drain()
		reported := s.reported()
		for workspace, n := range s.began {
			if reported[workspace] != n {
				t.Fatalf("%s: %d requests reported, %d began", workspace, reported[workspace], n)
			}
		}
		for window, counts := range s.windows {
			got := decodeBody(t, s.api[window])
			for workspace, n := range counts {
				// Requests within the tolerance of the end may be in the next window.
				if diff := got[workspace] - n; diff > simEdge || diff < -simEdge {
					t.Fatalf("window %d, %s: %d requests reported, %d began", window, workspace, got[workspace], n)
				}
			}
		}
	})
}

// simEdge is the number of requests that may begin within simTolerance of both ends of a
// window.
const simEdge = 2 * simMachines * 3 * int64(simTolerance/simStep)
