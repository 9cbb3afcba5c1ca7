package node_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against requests at an upstream that turned one away and wants nothing for a
// time, while another one can serve them, and against an upstream that is not used again
// afterwards.
func TestPauseThatAnUpstreamAsksForIsKept(t *testing.T) {
	s := newTestSystem(t, 4)
	for _, u := range s.rotas {
		u.SetPace(0, 30*time.Millisecond) // so that both get requests
	}
	s.sendLookups(500 * time.Millisecond)
	u := s.busiestRota()
	u.TurnAway(3 * time.Second)
	served, total := s.sendLookups(2900 * time.Millisecond)
	if served < total {
		t.Errorf("%d of %d requests served, want all", served, total)
	}
	asked := 0
	for _, a := range u.Arrivals() {
		if a.Pause > 0 {
			asked++
		}
	}
	if asked == 0 {
		t.Fatal("the upstream asked for no pause; the test shows nothing")
	}
	for _, violation := range u.PauseViolations(sameInstance, nil) {
		t.Error(violation)
	}
	before := len(u.Arrivals())
	s.eventually("the upstream is used again", func() bool {
		s.sendLookups(200 * time.Millisecond)
		return len(u.Arrivals()) > before
	})
}

// Guards against requests that wait, or are told another time, while all upstreams want a
// pause.
func TestRequestIsRefusedAtOnceWhileAllUpstreamsPause(t *testing.T) {
	s := newTestSystem(t, 1)
	const pause = 3 * time.Second
	for _, u := range s.rotas {
		u.TurnAway(pause)
	}
	end := time.Now().Add(pause)
	for range 10 {
		sent := time.Now()
		a := s.send(0, request{path: "/signup/x", key: "committee-key"})
		took := time.Since(sent)
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		left := time.Until(end).Seconds()
		if a.status != http.StatusServiceUnavailable || err != nil || took > refusalTime || seconds < left-0.1 || seconds > left+1 {
			t.Errorf("got status %d with Retry-After %q after %s, want 503 at once with the %.1f s that are left", a.status, a.header.Get("Retry-After"), took, left)
		}
	}
	for _, u := range s.rotas {
		if n := len(u.Arrivals()); n > 2 {
			t.Errorf("%s got %d requests, want at most 2", u.ID, n)
		}
	}
}

// Guards against an upstream that is given up for an odd time, or an instance that waits
// for one.
func TestOddPauseValuesLoseNoUpstream(t *testing.T) {
	s := newTestSystem(t, 1)
	for _, value := range []string{"soon", "-5", "0", "NaN", "Inf", "Wed, 21 Oct 2099 07:28:00 GMT", "1e400"} {
		for _, u := range s.rotas {
			u.TurnAwayWith(value, 100*time.Millisecond)
		}
		s.send(0, request{path: "/signup/x", key: "committee-key"})
		s.eventually("requests are served after "+value, func() bool {
			return s.send(0, request{path: "/signup/x", key: "committee-key"}).status == http.StatusOK
		})
	}
}
