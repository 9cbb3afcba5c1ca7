package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
)

func post(url, id, key string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/any", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// Guards against effects that are counted wrongly if responses are lost: tests
// of requests that must run at most once rely on the counters.
func TestEffectsAndFaults(t *testing.T) {
	s := New(Config{})
	server := httptest.NewServer(s)
	defer server.Close()
	steps := []struct {
		faults      standin.Faults
		id, key     string
		status      int // 0: no response
		byID, byKey int
	}{
		{standin.Faults{}, "r1", "k1", 200, 1, 1},
		{standin.Faults{LoseAnswers: 1}, "r2", "k1", 0, 1, 2},
		{standin.Faults{ResetBefore: 1}, "r3", "k1", 0, 0, 2},
		{standin.Faults{Outage: standin.OutageClose}, "r3", "k1", 0, 0, 2},
		{standin.Faults{Outage: standin.OutageError}, "r3", "k1", 500, 0, 2},
		{standin.Faults{}, "r1", "k2", 200, 2, 1},
	}
	for n, step := range steps {
		s.SetFaults(step.faults)
		status, err := post(server.URL, step.id, step.key)
		state := s.State()
		if status != step.status || (err != nil) != (step.status == 0) || state.ByRequest[step.id] != step.byID || state.ByKey[step.key] != step.byKey {
			t.Errorf("step %d: got status %d, error %v, effects by ID %v and by key %v", n, status, err, state.ByRequest, state.ByKey)
		}
	}
	if state := s.State(); state.MaxPerRequest != 2 || state.MaxPerKey != 2 || state.Lost != 1 || state.Reset != 1 {
		t.Errorf("got counters %+v, want maxima of 2, 1 lost and 1 reset", state)
	}
}

// Guards against a service that exceeds its limit during slow start, and against
// one whose slow start does not end: tests of the ramp-up rely on both.
func TestSlowStart(t *testing.T) {
	s := New(Config{Faults: standin.Faults{
		SlowStartLimit: 2, SlowStartFor: duration.Duration(time.Hour), AnswerLatency: duration.Duration(100 * time.Millisecond),
	}})
	server := httptest.NewServer(s)
	defer server.Close()
	burst := func() (failed int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				status, err := post(server.URL, "r", "k")
				mu.Lock()
				defer mu.Unlock()
				if err != nil || status != http.StatusOK {
					failed++
				}
			})
		}
		wg.Wait()
		return failed
	}
	failed := burst()
	state := s.State()
	if failed == 0 || state.MaxSlowStart != 2 || state.SlowStartFailures != failed || state.Effects != 10-failed {
		t.Errorf("during slow start: got %d failures, state %+v", failed, state)
	}
	s.SetFaults(standin.Faults{})
	if failed := burst(); failed != 0 {
		t.Errorf("after slow start: got %d failures, want 0", failed)
	}
	incarnation := s.State().Incarnation
	s.Restart()
	if s.State().Incarnation == incarnation {
		t.Error("got the same incarnation after a restart, want a new one")
	}
}
