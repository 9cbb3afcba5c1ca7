package node_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

const completeStream = "1 2 3 4 5 6 7 8"

func wantStream(t *testing.T, a answer) {
	t.Helper()
	if got := strings.Join(eventIDs(a.body), " "); a.err != nil || a.status != http.StatusOK || got != completeStream {
		t.Errorf("stream = %d %v, events %q; want 200 with %q\n%s", a.status, a.err, got, completeStream, a.body)
	}
	if a.header.Get(userplatform.HeaderSignature) == "" {
		t.Error("the upstream's signature header is missing")
	}
}

// Guards the normal operation of the whole path from callers through the instances,
// the coordinator and the store to the upstreams.
func TestServesCalmDay(t *testing.T) {
	s := newTestSystem(t, 2)
	for instance := range s.callerAddresses {
		wantStream(t, s.send(instance, draftRequest("notices")))
		if a := s.send(instance, request{path: "/signup/1", key: "committee-key"}); a.status != http.StatusOK {
			t.Errorf("sign-up = %d %s", a.status, a.body)
		}
	}
	t.Run("a model that is not loaded", func(t *testing.T) { wantStream(t, s.send(0, draftRequest("letters"))) })
	t.Run("an adapter", func(t *testing.T) { wantStream(t, s.send(1, draftRequest("notices/a1"))) })
	for name, c := range map[string]struct {
		r      request
		status int
	}{
		"unknown key":   {request{path: "/signup/1", key: "stolen"}, http.StatusUnauthorized},
		"no key":        {request{path: "/signup/1"}, http.StatusUnauthorized},
		"unknown route": {request{path: "/nowhere/1", key: "committee-key"}, http.StatusNotFound},
	} {
		if a := s.send(0, c.r); a.status != c.status {
			t.Errorf("%s: status %d, want %d", name, a.status, c.status)
		}
	}
	for _, u := range append(s.rotas, s.engines...) {
		for _, arrival := range u.Arrivals() {
			if arrival.Key != "" || arrival.Tenant != "committee" {
				t.Errorf("%s got key %q and workspace %q, want no key and workspace committee", u.ID, arrival.Key, arrival.Tenant)
			}
		}
		if u.Engine != nil && u.Engine.Overcommitted() {
			t.Errorf("%s was ordered to load more than fits", u.ID)
		}
	}
}

// Guards against a second run of a request that must not be repeated, and against
// a "not run" refusal after the request has run.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	s := newTestSystem(t, 1)
	for name, fault := range map[string]userplatform.Fault{
		"answer lost": userplatform.ResetAfter, "connection reset": userplatform.ResetBefore,
		"unsigned answer": userplatform.Unsigned, "error answer": userplatform.ErrorResponse,
	} {
		for _, u := range s.rotas {
			u.Fail(fault)
		}
		id := "unsafe " + name
		a := s.send(0, request{id: id, path: "/signup/1", key: "committee-key"})
		if ran, _ := countRuns(id, s.rotas...); ran > 1 {
			t.Errorf("%s: ran %d times, want at most 1", name, ran)
		}
		if a.status < 500 || a.status == http.StatusServiceUnavailable {
			t.Errorf("%s: got status %d, want a 5xx other than 503: the request may have run", name, a.status)
		}
		// The other upstream still has its fault: consume it with requests that may be repeated.
		s.send(0, request{path: "/lookup/1", key: "committee-key", method: http.MethodGet})
		s.send(0, request{path: "/lookup/1", key: "committee-key", method: http.MethodGet})
	}
}

// Guards against the automatic retries of net/http: when a kept-alive connection
// dies, the request must not reach an upstream a second time.
func TestDeadKeptConnectionMakesNoHiddenRepeat(t *testing.T) {
	s := newTestSystem(t, 1)
	for range 4 { // leaves kept-alive connections to both upstreams
		s.send(0, request{path: "/signup/1", key: "committee-key"})
	}
	for _, u := range s.rotas {
		u.Fail(userplatform.ResetAfter, userplatform.ResetAfter)
	}
	a := s.send(0, request{id: "kept", path: "/signup/1", key: "committee-key"})
	if ran, arrived := countRuns("kept", s.rotas...); ran != 1 || arrived != 1 {
		t.Errorf("arrived %d times and ran %d times, want 1 and 1", arrived, ran)
	}
	if a.status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502: the request has run", a.status)
	}
}

// Guards against refusing a request that one upstream has declined although another
// upstream can still run it.
func TestDeclinedRequestIsSentToAnotherUpstream(t *testing.T) {
	s := newTestSystem(t, 1)
	s.rotas[0].Fail(userplatform.RefusedAtCapacity)
	s.rotas[1].Fail(userplatform.RefusedAtCapacity)
	served := 0
	for range 4 {
		if a := s.send(0, request{path: "/signup/1", key: "committee-key"}); a.status == http.StatusOK {
			served++
		}
	}
	if served < 3 {
		t.Errorf("%d of 4 requests served, want at least 3: each upstream declined one", served)
	}
}

// Guards against missing, duplicate and partial events when an upstream aborts a
// stream and another one continues it.
func TestStreamGoesOnAtAnotherUpstream(t *testing.T) {
	s := newTestSystem(t, 1, "letters")
	wantStream(t, s.send(0, draftRequest("letters")))
	preferred := s.engines[0]
	if len(preferred.Arrivals()) == 0 {
		preferred = s.engines[1]
	}
	preferred.Fail(userplatform.CutStream)
	cut := draftRequest("letters")
	cut.id = "cut"
	wantStream(t, s.send(0, cut))
	if ran, _ := countRuns("cut", s.engines...); ran != 2 {
		t.Errorf("the stream ran %d times, want 2: the first upstream aborts it", ran)
	}
}

// Guards against failing a stream aborted by the only upstream with its model,
// although that upstream is still available and can continue it.
func TestStreamGoesOnAtItsOnlyUpstream(t *testing.T) {
	s := newTestSystem(t, 1)
	wantStream(t, s.send(0, draftRequest("notices")))
	s.engines[0].Fail(userplatform.CutStream)
	cut := draftRequest("notices")
	cut.id = "cut"
	wantStream(t, s.send(0, cut))
	if ran, _ := countRuns("cut", s.engines[0]); ran != 2 {
		t.Errorf("the stream ran %d times, want 2", ran)
	}
}

// Guards against a success that no upstream has signed: a stream without events must
// keep its upstream's signature, and a stream that is only closed is no answer.
func TestStreamWithoutEvents(t *testing.T) {
	s := newTestSystem(t, 1)
	s.engines[0].Fail(userplatform.EmptyStream)
	a := s.send(0, draftRequest("notices"))
	if a.status != http.StatusOK || a.header.Get(userplatform.HeaderSignature) == "" || a.body != "" {
		t.Errorf("empty stream: got %d %v %q, want 200 with the signature and no body", a.status, a.header, a.body)
	}
	s.engines[0].Fail(userplatform.ClosedStream)
	if a := s.send(0, draftRequest("notices")); a.status == http.StatusOK && a.header.Get(userplatform.HeaderSignature) == "" {
		t.Errorf("stream only closed: got %d %v, want no success without a signature", a.status, a.header)
	}
}

// Guards against answers without length or chunks that are taken for broken off, and
// against broken ones that look complete to the caller.
func TestUnframedAnswers(t *testing.T) {
	lookup := request{method: http.MethodGet, path: "/lookup/1", key: "committee-key"}
	for _, c := range []struct {
		name  string
		fault userplatform.Fault
		whole bool // the answer is complete
	}{
		{"whole", userplatform.UnframedResponse, true},
		{"reset", userplatform.UnframedReset, false},
	} {
		t.Run("plain "+c.name, func(t *testing.T) {
			s := newTestSystem(t, 1)
			for _, u := range s.rotas {
				u.Fail(slices.Repeat([]userplatform.Fault{c.fault}, 4)...)
			}
			a := s.send(0, lookup)
			if served := a.err == nil && a.status == http.StatusOK; served != c.whole {
				t.Errorf("got %d %q %v, want served %t", a.status, a.body, a.err, c.whole)
			}
			if c.whole && !strings.HasPrefix(a.body, "answer of rota-") {
				t.Errorf("got body %q, want the upstream's", a.body)
			}
		})
	}
	for _, c := range []struct {
		name  string
		fault userplatform.Fault
		runs  int
	}{
		{"whole", userplatform.UnframedResponse, 1},
		{"reset", userplatform.UnframedReset, 2},
		{"ends inside an event", userplatform.UnframedCut, 2},
	} {
		t.Run("stream "+c.name, func(t *testing.T) {
			s := newTestSystem(t, 1)
			s.engines[0].Fail(c.fault)
			r := draftRequest("notices")
			r.id = "unframed-" + strings.ReplaceAll(c.name, " ", "-")
			a := s.send(0, r)
			want := []string{"1", "2", "3", "4", "5", "6", "7", "8"}
			if a.err != nil || a.status != http.StatusOK || !slices.Equal(eventIDs(a.body), want) {
				t.Errorf("got %d %v, events %v, want 200 and %v", a.status, a.err, eventIDs(a.body), want)
			}
			if ran, _ := countRuns(r.id, s.engines...); ran != c.runs {
				t.Errorf("%d runs, want %d", ran, c.runs)
			}
			// Without another attempt the broken stream must not look complete.
			s.engines[0].Fail(c.fault, c.fault, c.fault)
			a = s.send(0, draftRequest("notices"))
			if complete := a.err == nil; complete != (c.fault == userplatform.UnframedResponse) {
				t.Errorf("stream cut in all attempts: got %d %v, events %v", a.status, a.err, eventIDs(a.body))
			}
		})
	}
}

// Guards against a stream that ends as complete because the upstream where it goes on
// closes the connection without an event: the caller would miss the rest.
func TestResumedStreamThatIsOnlyClosedIsNotComplete(t *testing.T) {
	s := newTestSystem(t, 1)
	s.engines[0].Fail(userplatform.CutStream, userplatform.ClosedStream)
	a := s.send(0, draftRequest("notices"))
	if a.err == nil {
		t.Errorf("got a complete answer: %d, events %v", a.status, eventIDs(a.body))
	}
}

// Guards against passing the answer to another request on to a caller.
func TestAnswerOfAnotherRequestIsNeverShown(t *testing.T) {
	s := newTestSystem(t, 1)
	for _, u := range s.rotas {
		u.Fail(userplatform.ForeignResponseFirst)
	}
	a := s.send(0, request{path: "/signup/1", key: "committee-key"})
	if a.status != http.StatusOK || a.body != "yours" {
		t.Errorf("got %d %q, want 200 with the second answer on the connection", a.status, a.body)
	}
}

// Guards against accepting a withdrawn key while the store is unreachable: once the
// state is stale, keyed requests must be refused.
func TestKeysAreRefusedWhenTheStoreIsLost(t *testing.T) {
	s := newTestSystem(t, 1)
	s.store.Gate().SetFaults(standin.Faults{Outage: standin.OutageError})
	s.eventually("keyed requests are refused as not run", func() bool {
		a := s.send(0, request{path: "/signup/1", key: "committee-key"})
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, `"not_run"`) &&
			strings.Contains(a.body, "configuration_stale")
	})
	s.store.Gate().SetFaults(standin.Faults{})
	s.eventually("keyed requests are served again", func() bool {
		return s.send(0, request{path: "/signup/1", key: "committee-key"}).status == http.StatusOK
	})
}

// Guards against a desired state that takes effect late, reverts, or stops the
// instance from serving when it can't be decoded.
func TestDesiredStateFollowsTheStore(t *testing.T) {
	s := newTestSystem(t, 2)
	next := userplatform.Sample()
	next.Version = 7
	next.Tenants = next.Tenants[1:] // withdraws the first workspace's key
	if err := next.Write(s.store); err != nil {
		t.Fatal(err)
	}
	for instance := range s.callerAddresses {
		s.eventually("the key is withdrawn", func() bool {
			return s.send(instance, request{path: "/signup/1", key: "committee-key"}).status == http.StatusUnauthorized
		})
	}
	for _, value := range []string{"{", `{"version":9,"routes":[{"kind":"odd"}]}`, `{"version":"x"}`, `[]`} {
		if err := s.store.Put("op", "config", []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.store.Put("servers", "ghost", []byte(`{"service":"rota","address":5}`)); err != nil {
		t.Fatal(err)
	}
	s.store.DiscardHistory()
	for instance := range s.callerAddresses {
		if a := s.send(instance, request{path: "/signup/1", key: "archive-key"}); a.status != http.StatusOK {
			t.Errorf("instance %d: got status %d after an invalid desired state, want 200", instance, a.status)
		}
	}
}

// Guards against new requests to a leaving upstream or to a data centre taken out
// of service.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	s := newTestSystem(t, 2)
	if err := s.rotas[0].Drain(); err != nil {
		t.Fatal(err)
	}
	receivesNothing := func(instance int) bool {
		before := len(s.rotas[0].Arrivals())
		for range 6 {
			s.send(instance, request{path: "/lookup/1", key: "committee-key", method: http.MethodGet})
		}
		return len(s.rotas[0].Arrivals()) == before
	}
	for instance := range s.callerAddresses {
		s.eventually("the leaving upstream gets no more requests", func() bool { return receivesNothing(instance) })
	}
	if err := s.store.Put("op", "evacuate/north", map[string]any{}); err != nil {
		t.Fatal(err)
	}
	for instance := range s.callerAddresses {
		s.eventually("requests to the data centre taken out are refused", func() bool {
			a := s.send(instance, request{path: "/lookup/1", key: "committee-key", method: http.MethodGet})
			return a.status == http.StatusServiceUnavailable
		})
	}
	s.store.Delete("op", "evacuate/north")
	s.eventually("the data centre is in service again", func() bool {
		return s.send(0, request{path: "/lookup/1", key: "committee-key", method: http.MethodGet}).status == http.StatusOK
	})
}

// Guards a workspace's token limit over the sum of all instances, and against
// refusing requests within the limit because of the instance they arrive at.
func TestWorkspaceLimitHoldsOverAllInstances(t *testing.T) {
	s := newTestSystem(t, 2)
	const tokens, rate, burst = 120, 1000.0, 1000.0
	var mu sync.Mutex
	granted, started := 0, time.Now()
	var group sync.WaitGroup
	for instance := range s.callerAddresses {
		group.Go(func() {
			for time.Since(started) < 2*time.Second {
				r := request{path: "/signup/1", key: "archive-key", tokens: "100,20"}
				if a := s.send(instance, r); a.status == http.StatusOK {
					mu.Lock()
					granted += tokens
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	spent := time.Since(started).Seconds()
	if bound := (rate*spent+burst)*1.1 + 1000; float64(granted) > bound {
		t.Errorf("%d tokens granted in %.1f s, want at most %.0f", granted, spent, bound)
	}
	if float64(granted) < rate*spent*0.8 {
		t.Errorf("%d tokens granted in %.1f s, want at least 80%% of %.0f per second", granted, spent, rate)
	}
}

// Guards a graceful shutdown of the leader: no request must be cut, another instance
// must take over leadership at once, and orders must continue.
func TestShutdownCutsNoRequestAndPassesTheLeadOn(t *testing.T) {
	s := newTestSystem(t, 2)
	slow := s.engines[0]
	slow.SetPace(8, 100*time.Millisecond)
	var group sync.WaitGroup
	for instance := range s.callerAddresses {
		group.Go(func() { wantStream(t, s.send(instance, draftRequest("notices"))) })
	}
	s.eventually("both streams run", func() bool { return len(slow.Arrivals()) >= 2 })
	group.Go(s.nodes[0].Shutdown)
	s.eventually("the instance reports that it is not ready", func() bool {
		return s.status("http://"+s.readyAddresses[0]+"/readiness") == http.StatusServiceUnavailable
	})
	group.Wait()
	s.eventually("the other instance has a model loaded", func() bool {
		a := s.send(1, draftRequest("letters"))
		return a.status == http.StatusOK
	})
	for _, u := range s.engines {
		if u.Engine.Overcommitted() {
			t.Errorf("%s was ordered to load more than fits", u.ID)
		}
	}
}

// Guards against closing a connection although its answer was complete: under
// overload each refusal by an upstream cost a new connection.
func TestRefusalOfUpstreamKeepsConnection(t *testing.T) {
	s := newTestSystem(t, 1)
	s.rotas[1].Close()
	s.store.Delete("servers", s.rotas[1].ID)
	signUp := request{path: "/signup/1", key: "committee-key"}
	s.eventually("only one upstream is left", func() bool {
		a := s.send(0, signUp)
		return a.status == http.StatusOK && strings.Contains(a.body, s.rotas[0].ID)
	})
	before := s.rotas[0].ConnectionsOpened()
	for range 3 {
		s.rotas[0].Fail(userplatform.RefusedAtCapacity)
		s.send(0, signUp)
		s.eventually("the upstream serves requests again", func() bool { return s.send(0, signUp).status == http.StatusOK })
	}
	if n := s.rotas[0].ConnectionsOpened() - before; n > 1 {
		t.Errorf("%d new connections for three refusals, want at most 1", n)
	}
}

// Guards against work without a caller: when the caller disconnects in the middle
// of a stream, its upstream must stop.
func TestUpstreamStopsWhenTheCallerIsGone(t *testing.T) {
	s := newTestSystem(t, 1)
	s.engines[0].SetPace(1000, 100*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callerAddresses[0]+"/drafts/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	hr.Host = "rota.example"
	for name, value := range map[string]string{
		userplatform.HeaderID: "gone", userplatform.HeaderModel: "notices", userplatform.HeaderTokens: "100,20",
		userplatform.HeaderDeadline: "60000", "Authorization": "Token committee-key",
	} {
		hr.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(hr)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if n := s.engines[0].Running(); n != 1 {
		t.Fatalf("%d requests running, want 1", n)
	}
	cancel()
	processtest.Within(t, 500*time.Millisecond, "the upstream stops", func() bool { return s.engines[0].Running() == 0 })
}

// Guards against an incomplete stream that looks complete: if the upstream that
// should continue it sends another answer, nothing of that answer may be passed on,
// and the connection must break if no retry is left. Found by the soak test, seed
// 301: an error answer ended the stream cleanly after its second event.
func TestErrorAnswerDoesNotEndAStream(t *testing.T) {
	s := newTestSystem(t, 1, "letters")
	s.eventually("both engines serve the model", func() bool {
		s.engines[0].Fail(userplatform.RefusedAtCapacity)
		s.engines[1].Fail(userplatform.RefusedAtCapacity)
		s.send(0, draftRequest("letters"))
		s.send(0, draftRequest("letters"))
		return len(s.engines[0].Arrivals()) > 0 && len(s.engines[1].Arrivals()) > 0
	})
	s.eventually("streams are whole again", func() bool { return len(eventIDs(s.send(0, draftRequest("letters")).body)) == 8 })
	before := len(s.engines[0].Arrivals())
	s.send(0, draftRequest("letters"))
	first, second := s.engines[1], s.engines[0]
	if len(s.engines[0].Arrivals()) > before {
		first, second = s.engines[0], s.engines[1]
	}
	for range 4 { // if the other upstream is chosen first, the error answer comes first
		first.Fail(userplatform.CutStream)
		second.Fail(userplatform.ErrorResponse)
		a := s.send(0, draftRequest("letters"))
		if got := strings.Join(eventIDs(a.body), " "); a.err == nil && a.status == http.StatusOK && got != completeStream {
			t.Errorf("a stream with only the events %q ended as if it were complete", got)
		}
		s.eventually("streams are whole again", func() bool { return len(eventIDs(s.send(0, draftRequest("letters")).body)) == 8 })
	}
}
