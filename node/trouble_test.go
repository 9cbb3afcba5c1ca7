package node_test

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Guards an instance against upstreams that send bytes without end in place of
// an answer: the caller gets one that is no success, well before its deadline
// where nothing has been passed on, and the memory stays that of the bounds.
func TestAnswersWithoutEndAreCut(t *testing.T) {
	for name, c := range map[string]struct {
		fault userplatform.Fault
		plain bool
	}{
		"head of a plain answer": {userplatform.EndlessHead, true},
		"body of a plain answer": {userplatform.EndlessBody, true},
		"head of a stream":       {userplatform.EndlessHead, false},
		"body of a stream":       {userplatform.EndlessBody, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, 1)
			r := draft("notices")
			if c.plain {
				r = request{path: "/signup/1", key: "committee-key"}
			}
			wantFirst := s.send(0, r)
			if wantFirst.status != http.StatusOK {
				t.Fatalf("got %d before the fault", wantFirst.status)
			}
			for _, list := range [][]*userplatform.Upstream{s.engines, s.rotas} {
				for _, u := range list {
					u.Fail(c.fault, c.fault, c.fault, c.fault)
				}
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			a := s.send(0, r)
			runtime.ReadMemStats(&after)
			if a.err == nil && a.status == http.StatusOK {
				t.Errorf("got a whole success of %d bytes", len(a.body))
			}
			if len(a.body) > 40<<20 {
				t.Errorf("%d bytes were passed on", len(a.body))
			}
			if taken := after.Sys - min(before.Sys, after.Sys); taken > 184<<20 {
				t.Errorf("the process grew by %d MiB, more than a weak instance has", taken>>20)
			}
		})
	}
}

// Guards against streams that never end though nothing comes: bytes that are no
// event are no progress, and the stream ends by the caller's deadline. A sound
// stream that is as slow as that is not cut.
func TestStalledStreamsEndAndSlowOnesDoNot(t *testing.T) {
	s := newScene(t, 1)
	for _, u := range s.engines {
		u.Fail(userplatform.Dribble, userplatform.Dribble)
	}
	r := draft("notices")
	r.deadline = 2 * time.Second
	began := time.Now()
	a := s.send(0, r)
	if a.err == nil && a.status == http.StatusOK {
		t.Errorf("a stalled stream ended as a success: %q", a.body)
	}
	if took := time.Since(began); took > 2*r.deadline {
		t.Errorf("a stalled stream ended after %s, want the deadline of %s", took, r.deadline)
	}
	s = newScene(t, 1)
	for _, u := range s.engines {
		u.SetPace(8, 400*time.Millisecond) // 3.6 s in all
	}
	slow := draft("notices")
	slow.deadline = 10 * time.Second
	wantStream(t, s.send(0, slow))
}
