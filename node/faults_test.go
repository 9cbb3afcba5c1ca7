package node_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Guards against upstreams that send an endless head or body: the caller must get
// no success, well before its deadline if nothing has been passed on, and the
// memory of the instance must stay bounded.
func TestAnswersWithoutEndAreCut(t *testing.T) {
	for name, c := range map[string]struct {
		fault userplatform.Fault
		plain bool
	}{
		"head of a plain answer": {userplatform.EndlessHeader, true},
		"body of a plain answer": {userplatform.EndlessBody, true},
		"head of a stream":       {userplatform.EndlessHeader, false},
		"body of a stream":       {userplatform.EndlessBody, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSystem(t, 1)
			r := draftRequest("notices")
			if c.plain {
				r = request{path: "/signup/1", key: "committee-key"}
			}
			first := s.send(0, r)
			if first.status != http.StatusOK {
				t.Fatalf("got status %d before the fault, want 200", first.status)
			}
			for _, list := range [][]*userplatform.Upstream{s.engines, s.rotas} {
				for _, u := range list {
					u.Fail(c.fault, c.fault, c.fault, c.fault)
				}
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			status, n, err := s.sendAndDiscard(0, r) // a kept body would count as the instance's memory
			runtime.ReadMemStats(&after)
			if err == nil && status == http.StatusOK {
				t.Errorf("got a complete success of %d bytes, want an error", n)
			}
			if n > 40<<20 {
				t.Errorf("%d bytes were passed on, want at most 40 MiB", n)
			}
			if grown := after.Sys - min(before.Sys, after.Sys); grown > 184<<20 {
				t.Errorf("the process grew by %d MiB, want at most 184, the memory of a weak instance", grown>>20)
			}
		})
	}
}

// Guards the memory of the leader against engines that answer its calls with a body without
// end: it asks all of them at once after it has taken the lead.
func TestEndlessAnswersToTheLeaderAreNotKept(t *testing.T) {
	s := newTestSystem(t, 2)
	for i := len(s.engines); i < 24; i++ {
		s.engines = append(s.engines, s.start(&userplatform.Upstream{
			ID: fmt.Sprintf("engine-%d", i+1), Service: "engine", Zone: "north", Slots: 16, Events: 8, EventDuration: 2 * time.Millisecond,
			Engine: &userplatform.Engine{ModelCapacity: 2, AdapterSlots: 4, LoadTime: 50 * time.Millisecond, Models: map[string][]string{"notices": nil}},
		}))
	}
	for _, u := range s.engines[1:] {
		u.Engine.AnswerCallsEndlessly()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s.nodes[0].Shutdown()
	s.eventually("requests are served", func() bool { return s.send(1, draftRequest("notices")).status == http.StatusOK })
	duration.Sleep(t.Context(), 3*time.Second) // several calls to each engine
	runtime.ReadMemStats(&after)
	if grown := after.Sys - min(before.Sys, after.Sys); grown > 184<<20 {
		t.Errorf("the process grew by %d MiB, want at most 184, the memory of a weak instance", grown>>20)
	}
}

// Guards against stalled streams that never end: bytes that form no event are no
// progress, so the stream must end by the caller's deadline. A valid stream of the
// same slow pace must not be cut.
func TestStalledStreamsEndAndSlowOnesDoNot(t *testing.T) {
	s := newTestSystem(t, 1)
	for _, u := range s.engines {
		u.Fail(userplatform.StalledStream, userplatform.StalledStream)
	}
	r := draftRequest("notices")
	r.deadline = 2 * time.Second
	began := time.Now()
	a := s.send(0, r)
	if a.err == nil && a.status == http.StatusOK {
		t.Errorf("a stalled stream ended as a success with body %q", a.body)
	}
	if took := time.Since(began); took > 2*r.deadline {
		t.Errorf("a stalled stream ended after %s, want the deadline of %s", took, r.deadline)
	}
	s = newTestSystem(t, 1)
	for _, u := range s.engines {
		u.SetPace(8, 400*time.Millisecond) // 3.6 s in all
	}
	slow := draftRequest("notices")
	slow.deadline = 10 * time.Second
	wantStream(t, s.send(0, slow))
}

// longTimeout is the deadline of callers and the grace period of shutdowns in tests
// that must not depend on the machine's speed.
const longTimeout = 50 * time.Second

// Guards a planned shutdown under load: callers that keep sending over open
// connections must get a complete answer to each request that an upstream has run,
// and a "not run" refusal to others. A request that races with the close of its
// connection must not have run.
func TestStopUnderLoadAnswersWhatItAccepted(t *testing.T) {
	// The grace period is long enough for the requests on a machine of any speed.
	s := newConfiguredSystem(t, func(settings *node.Settings) { settings.Bounds.GraceS = longTimeout.Seconds() }, 2)
	const callers = 24
	stop := make(chan struct{})
	var lost sync.Map // requests without an answer
	var answered atomic.Int64
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r := request{id: fmt.Sprintf("stop-%d-%d", i, n), path: "/signup/1", key: "committee-key"}
				if i%2 == 0 {
					r = draftRequest("notices")
					r.id = fmt.Sprintf("stop-%d-%d", i, n)
				}
				r.deadline = longTimeout
				a := s.sendWith(client, 0, r)
				switch {
				case a.err != nil:
					lost.Store(r.id, a.err)
					time.Sleep(10 * time.Millisecond) // the listener may be closed
				case a.status == http.StatusOK:
					answered.Add(1)
				}
			}
		})
	}
	s.eventually("requests are served", func() bool { return answered.Load() > callers })
	for _, u := range s.engines {
		u.SetPace(8, 60*time.Millisecond) // longer than the final wait for connections to close
	}
	before := answered.Load()
	s.eventually("longer requests are served", func() bool { return answered.Load() > before+callers })
	began := time.Now()
	s.nodes[0].Shutdown()
	t.Logf("shutdown took %s", time.Since(began))
	close(stop)
	group.Wait()
	for _, list := range [][]*userplatform.Upstream{s.engines, s.rotas} {
		for _, u := range list {
			for _, arrival := range u.Arrivals() {
				if err, ok := lost.Load(arrival.ID); ok && arrival.Ran {
					t.Errorf("request %s reached %s %s after the shutdown began and ran, but its caller got no answer: %v", arrival.ID, u.ID, arrival.At.Sub(began), err)
				}
			}
		}
	}
}

// Guards running requests of an upstream that has lost contact only with the
// platform: its entry expires in the middle of a stream, which must be neither cut
// nor restarted at another upstream.
func TestLapsedEntryEndsNoRunningWork(t *testing.T) {
	s := newTestSystem(t, 1, "notices")
	for _, u := range s.engines {
		u.SetPace(8, 150*time.Millisecond)
	}
	r := draftRequest("notices")
	r.id = "lapsed"
	r.deadline = 10 * time.Second
	done := make(chan answer, 1)
	go func() { done <- s.send(0, r) }()
	s.eventually("the stream runs", func() bool {
		ran, _ := countRuns("lapsed", s.engines...)
		return ran == 1
	})
	for _, u := range s.engines {
		s.store.Delete("servers", u.ID)
	}
	wantStream(t, <-done)
	if ran, _ := countRuns("lapsed", s.engines...); ran != 1 {
		t.Errorf("the stream ran %d times, want 1", ran)
	}
}

// Guards against an answer joined from two: a body that is no event stream, cut in
// the middle and followed by another upstream's stream, which ended as if it were
// complete. Found by the soak test (seeds 612 to 649).
func TestAnswerThatIsNoStreamIsNotGoneOnWith(t *testing.T) {
	s := newTestSystem(t, 1, "notices")
	for range 3 {
		s.engines[0].Fail(userplatform.EndlessBody)
		s.engines[1].Fail(userplatform.RefusedAtCapacity)
		a := s.send(0, draftRequest("notices"))
		if a.err == nil && a.status == http.StatusOK {
			wantStream(t, a)
			if len(a.body) > 1<<20 {
				t.Errorf("got a success of %d bytes starting with %q, want at most 1 MiB", len(a.body), a.body[:40])
			}
		}
	}
}

// Guards against an instance that ends, or stops following the list of upstreams, because
// of one entry that another writer has left there, also in place of a known upstream's.
func TestOddEntryDoesNotStopTheListOfUpstreams(t *testing.T) {
	s := newTestSystem(t, 1)
	nested := `{"service":"rota","address":"127.0.0.1:1","zone":"north","slots":1,"state":"ready","sequence":1,"models":`
	for i, value := range []string{
		nested + strings.Repeat(`[`, 20000), nested + strings.Repeat(`[`, 20000) + strings.Repeat(`]`, 20000) + `}`,
		`{"service":"rota","address":"127.0.0.1:0","zone":"north","slots":6,"state":"ready","sequence":1}`,
		`{"service":"rota","address":"127.0.0.1:70000","zone":"north","slots":6,"state":"ready","sequence":1}`,
		`{"service":"rota","address":"127.0.0.1:1","zone":"north","slots":9223372036854775807,"state":"ready","sequence":9223372036854775807}`,
		`{"service":"rota","address":"127.0.0.1:1","zone":"north","slots":1e999,"state":"ready","sequence":1}`, "\x00\xff", ``,
		fmt.Sprintf(`{"service":"rota","address":%q,"zone":"north","slots":6,"state":"ready","sequence":1,"born":9223372036854775807}`, s.rotas[0].Address()),
	} {
		for _, key := range []string{fmt.Sprintf("odd-%d", i), "rota-1"} {
			if err := s.store.Put("servers", key, []byte(value)); err != nil {
				t.Fatal(err)
			}
		}
	}
	// A request at a new upstream shows that the instance has read what was written before.
	lookup := func() answer {
		return s.send(0, request{method: http.MethodGet, path: "/lookup/x", key: "committee-key"})
	}
	follow := func(id string) {
		u := s.start(&userplatform.Upstream{ID: id, Service: "rota", Zone: "north", Slots: 6, EventDuration: 5 * time.Millisecond})
		s.eventually("the new upstream gets a request", func() bool {
			var group sync.WaitGroup
			for range 8 { // more at once than one upstream is preferred for
				group.Go(func() { lookup() })
			}
			group.Wait()
			return len(u.Arrivals()) > 0
		})
	}
	follow("rota-new")
	for _, u := range s.rotas {
		if err := u.Drain(); err != nil {
			t.Fatal(err)
		}
	}
	follow("rota-newer")
	before := len(s.rotas[0].Arrivals()) + len(s.rotas[1].Arrivals())
	for range 20 {
		if a := lookup(); a.status != http.StatusOK {
			t.Errorf("got status %d, want 200", a.status)
		}
	}
	if after := len(s.rotas[0].Arrivals()) + len(s.rotas[1].Arrivals()); after > before {
		t.Errorf("%d requests reached upstreams that have left, behind an odd entry", after-before)
	}
}
