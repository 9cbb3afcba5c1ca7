package e2e

import (
	"sync"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Guards against a first request that is refused or cut, against one burst at
// both instances that orders several loads, and against a second request that
// waits or loads again.
func TestColdBurstLoadsOnceAndThenIsWarm(t *testing.T) {
	s := newScene(t)
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
		t.Errorf("loads %v, most replicas %v, want one of small", state.Loads, state.MaxReplicas)
	}
	if state.Completed != burst+1 || state.Cancelled != 0 || state.MaxMemoryMB != 800 {
		t.Errorf("%d streams completed, %d cancelled, at most %d MB used", state.Completed, state.Cancelled, state.MaxMemoryMB)
	}
	t.Logf("warm to cold time: %.3f", warm.elapsed.Seconds()/answers[0].elapsed.Seconds())
	if warm.elapsed >= answers[0].elapsed {
		t.Errorf("the warm request took %s, the cold one %s", warm.elapsed, answers[0].elapsed)
	}
}
