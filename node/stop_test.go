package node_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

const (
	// shortGrace is shorter than the time in which the platform takes a machine out.
	shortGrace = 4 * time.Second
	// runTime is the duration of a request that fits into what is left of shortGrace after
	// new requests are refused, but not into its last quarter.
	runTime = 1200 * time.Millisecond
)

// newStoppingSystem starts a system whose plain upstreams take the given time for a request.
func newStoppingSystem(t *testing.T, run time.Duration, common ...string) *testSystem {
	t.Helper()
	s := newConfiguredSystem(t, func(settings *node.Settings) { settings.Bounds.GraceS = shortGrace.Seconds() }, 2, common...)
	for _, u := range s.rotas {
		u.SetPace(0, run)
	}
	return s
}

// signUp returns a request that must not be repeated.
func signUp(id string) request {
	return request{id: id, path: "/signup/1", key: "committee-key", deadline: longTimeout}
}

// Guards against requests that are taken late in the grace period of a planned stop, passed
// on to an upstream and cut without an answer at its end.
func TestNoRequestIsTakenThatTheStopWouldCut(t *testing.T) {
	s := newStoppingSystem(t, runTime)
	var group sync.WaitGroup
	stopped := make(chan struct{})
	group.Go(func() {
		defer close(stopped)
		s.nodes[0].Shutdown()
	})
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	ran := 0
	for i, open := 0, true; open; i++ {
		group.Go(func() {
			r := signUp(fmt.Sprint("late-", i))
			a := s.send(0, r)
			if runs, _ := countRuns(r.id, s.rotas...); runs > 0 && (a.err != nil || a.status != http.StatusOK) {
				t.Errorf("%s ran and got %d, %v", r.id, a.status, a.err)
			}
		})
		select {
		case <-stopped:
			open = false
		case <-ticker.C:
		}
	}
	group.Wait()
	for _, u := range s.rotas {
		ran += len(u.Arrivals())
	}
	if ran == 0 {
		t.Error("no request ran; the test shows nothing")
	}
}

// Guards against a request whose body arrives late in the grace period: it must be refused
// as not run, not passed on and cut.
func TestBodyThatEndsLateInAStopIsRefused(t *testing.T) {
	s := newStoppingSystem(t, runTime)
	conn, err := net.Dial("tcp", s.callerAddresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := signUp("slow-body")
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: rota.example\r\n%s: %s\r\n%s: 30000\r\nAuthorization: Token %s\r\nContent-Length: 4\r\n\r\nbo",
		r.path, userplatform.HeaderID, r.id, userplatform.HeaderDeadline, r.key)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(s.nodes[0].Shutdown)
	duration.Sleep(t.Context(), shortGrace*3/4) // the body is that slow
	fmt.Fprint(conn, "dy")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	response.Body.Close()
	if runs, _ := countRuns(r.id, s.rotas...); runs != 0 || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ran %d times and got %d, want 0 and 503", runs, response.StatusCode)
	}
}

// Guards against a request that waits for a model through the grace period and is passed on
// at its end: it must be refused while its caller has time to go elsewhere.
func TestWaitingRequestIsRefusedEarlyInAStop(t *testing.T) {
	s := newStoppingSystem(t, runTime)
	next := userplatform.Sample()
	next.Version = 2
	next.Services[0].Engine.Models = append(next.Services[0].Engine.Models, userplatform.Model{Name: "minutes", WeightsMB: 100, LoadS: 0.2, WarmS: 0.1, DiskS: 0.1})
	orders := func() int { return len(s.engines[0].Engine.Holders()) + len(s.engines[1].Engine.Holders()) }
	for _, u := range s.engines {
		u.Engine.SetLoadTime(shortGrace - 500*time.Millisecond)
		u.SetPace(8, runTime/8)
	}
	before := orders()
	if err := next.Write(s.store); err != nil {
		t.Fatal(err)
	}
	r := draftRequest("minutes")
	r.id, r.deadline = "waiting", longTimeout
	done := make(chan answer, 1)
	began := time.Now()
	go func() { done <- s.send(0, r) }()
	s.eventually("the model is being loaded", func() bool { return orders() > before })
	go s.nodes[0].Shutdown()
	a := <-done
	if runs, _ := countRuns(r.id, s.engines...); runs != 0 || a.status != http.StatusServiceUnavailable {
		t.Errorf("ran %d times and got %d, %v; want 0 and 503", runs, a.status, a.err)
	}
	if !strings.Contains(a.body, "draining") {
		t.Errorf("got %q, want a refusal for the stop", a.body)
	}
	if took := time.Since(began); took > shortGrace*3/4 {
		t.Errorf("refused after %s, want within three quarters of the grace period of %s", took, shortGrace)
	}
}

// Guards against a request that runs longer than the grace period and gets no answer: its
// caller must learn that it may have run.
func TestRequestThatOutlastsAStopIsAnswered(t *testing.T) {
	s := newStoppingSystem(t, 2*shortGrace)
	r := signUp("long")
	done := make(chan answer, 1)
	go func() { done <- s.send(0, r) }()
	s.eventually("the request runs", func() bool {
		runs, _ := countRuns(r.id, s.rotas...)
		return runs == 1
	})
	s.nodes[0].Shutdown()
	if a := <-done; a.err != nil || a.status != http.StatusBadGateway {
		t.Errorf("got %d, %v; want 502: the request may have run", a.status, a.err)
	}
}

// Guards against a stream that is broken off late in a planned stop and not gone on with,
// although there is time for the rest.
func TestStreamGoesOnLateInAStop(t *testing.T) {
	const (
		grace = 8 * time.Second
		run   = 3600 * time.Millisecond // breaks off in the middle
		sent  = 2300 * time.Millisecond // after the start of the stop
	)
	s := newConfiguredSystem(t, func(settings *node.Settings) { settings.Bounds.GraceS = grace.Seconds() }, 2)
	for _, u := range s.engines {
		u.SetPace(8, run/8)
		u.Fail(userplatform.CutStream)
	}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(s.nodes[0].Shutdown)
	duration.Sleep(t.Context(), sent)
	r := draftRequest("notices")
	r.deadline = longTimeout
	wantStream(t, s.send(0, r))
}
