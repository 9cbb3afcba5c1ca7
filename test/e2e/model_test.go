package e2e

import (
	"sync"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Guards against a first request that is refused or cut, against a burst of
// requests at both instances that orders several loads of one model, and against
// a later request that waits for or orders another load.
func TestColdBurstLoadsOnceAndThenIsWarm(t *testing.T) {
	s := newSystem(t)
	const tokens, burst = 20, 6
	answers := make([]answer, burst)
	var wg sync.WaitGroup
	for n := range burst {
		instance := []*processtest.Instance{s.one, s.two}[n%2]
		wg.Go(func() { answers[n] = chat("small", lawKey, tokens, true).do(instance) })
	}
	wg.Wait()
	for _, a := range answers {
		a.wantStream(t, "cold request", tokens)
		if a.elapsed < loadTime {
			t.Errorf("a cold request took %s, less than the load", a.elapsed)
		}
	}
	warm := chat("small", lawKey, tokens, true).do(s.two)
	warm.wantStream(t, "warm request", tokens)
	state := s.engine.EngineCounts()
	if state.Loads["small"] != 1 || state.MaxReplicas["small"] != 1 || len(state.Loads) != 1 {
		t.Errorf("got loads %v, peak replicas %v, want one of small", state.Loads, state.MaxReplicas)
	}
	if state.Completed != burst+1 || state.Cancelled != 0 || state.MaxMemoryMB != 800 {
		t.Errorf("got %d streams completed, %d cancelled, peak memory %d MB", state.Completed, state.Cancelled, state.MaxMemoryMB)
	}
	t.Logf("ratio of warm to cold request time: %.3f", warm.elapsed.Seconds()/answers[0].elapsed.Seconds())
	if warm.elapsed >= answers[0].elapsed {
		t.Errorf("the warm request took %s, the cold one %s", warm.elapsed, answers[0].elapsed)
	}
}
