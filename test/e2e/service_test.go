package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/service"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Guards against calls that run twice, get the answer to another request, or
// lose their method, body or headers in forwarding.
func TestServiceCallArrivesExactlyOnce(t *testing.T) {
	s := newSystem(t)
	const calls = 40
	answers := make([]answer, calls)
	var wg sync.WaitGroup
	for n := range calls {
		instance := []*processtest.Instance{s.one, s.two}[n%2]
		wg.Go(func() {
			c := call{method: http.MethodPut, path: fmt.Sprintf("/signup/users/%d?full=1", n), key: lawKey, body: fmt.Sprintf("body %d", n)}
			c.header = map[string]string{"X-Custom": "kept", "Connection": "X-Hop", "X-Hop": "dropped"}
			answers[n] = c.do(instance)
		})
	}
	wg.Wait()
	state := s.service.ServiceCounts()
	for n, a := range answers {
		var got service.Answer
		if err := json.Unmarshal([]byte(a.body), &got); err != nil || a.status != http.StatusOK {
			t.Errorf("call %d: status %d, %v: %q", n, a.status, a.err, a.body)
			continue
		}
		id := a.header.Get("X-Request-Id")
		want := service.Answer{
			Method: http.MethodPut, Path: fmt.Sprintf("/signup/users/%d", n), Query: "full=1",
			RequestID: id, Body: fmt.Sprintf("body %d", n), Effects: 1,
		}
		if got != want {
			t.Errorf("call %d: answer %+v, want %+v", n, got, want)
		}
		if state.ByRequest[id] != 1 {
			t.Errorf("call %d had %d effects", n, state.ByRequest[id])
		}
	}
	if state.Effects != calls || state.MaxPerRequest != 1 {
		t.Errorf("%d calls had %d effects", calls, state.Effects)
	}
	if h := state.LastHeaders; h.Get("X-Custom") != "kept" || h.Get("X-Hop") != "" || h.Get("Authorization") != "" {
		t.Errorf("headers at the service: %v", h)
	}
}

// Guards against a call that is repeated although it may have run, and against
// the verdict not_run for such a call.
func TestServiceFailureVerdicts(t *testing.T) {
	s := newSystem(t)
	cases := []struct {
		name    string
		faults  standin.Faults
		effects int
		status  int
		code    string
	}{
		{"answer lost after effect", standin.Faults{LoseAnswers: 1}, 1, http.StatusBadGateway, "upstream_failed"},
		{"reset before effect", standin.Faults{ResetBefore: 1}, 0, http.StatusBadGateway, "upstream_failed"},
		{"no answer in time", standin.Faults{Hang: true}, 0, http.StatusGatewayTimeout, "deadline_exceeded"},
	}
	request := call{method: http.MethodPost, path: "/signup/new", key: lawKey, body: "x", header: map[string]string{"X-Request-Timeout": "2"}}
	for _, c := range cases {
		before := s.service.ServiceCounts()
		s.service.SetFaults(c.faults)
		request.do(s.one).wantRefusal(t, c.name, c.status, c.code, "may_have_run")
		s.service.SetFaults(standin.Faults{})
		after := s.service.ServiceCounts()
		if n := after.Effects - before.Effects; n != c.effects {
			t.Errorf("%s: %d effects, want %d", c.name, n, c.effects)
		}
		if n := after.Requests - before.Requests; n != 1 {
			t.Errorf("%s: %d requests reached the service", c.name, n)
		}
	}
	s.service.Kill()
	var r refusal
	a := request.do(s.one)
	if err := json.Unmarshal([]byte(a.body), &r); err != nil || a.status < http.StatusInternalServerError || r.Error.Verdict != "not_run" {
		t.Errorf("service that does not listen: status %d, %+v, %v", a.status, r, err)
	}
}

// Guards against a second run of a call with an Idempotency-Key when it is
// repeated at any instance, also after its answer was lost or while the table is
// down.
func TestKeyedCallRunsAtMostOnce(t *testing.T) {
	s := newSystem(t)
	keyed := func(key, body string) call {
		return call{method: http.MethodPost, path: "/signup/new", key: lawKey, body: body, header: map[string]string{"Idempotency-Key": key}}
	}
	first := keyed("k1", "x").do(s.one)
	// The outcome is stored after the answer has been forwarded; a repeat before
	// that must be refused with request_in_progress.
	var second answer
	processtest.Eventually(t, "the outcome of the first call is stored", func() bool {
		second = keyed("k1", "x").do(s.two)
		if second.status == http.StatusConflict {
			second.wantRefusal(t, "repeat before the outcome is stored", http.StatusConflict, "request_in_progress", "may_have_run")
		}
		return second.status != http.StatusConflict
	})
	if first.status != http.StatusOK || second.status != http.StatusOK || second.body != first.body {
		t.Errorf("repeat: status %d %q, first %d %q", second.status, second.body, first.status, first.body)
	}
	keyed("k1", "y").do(s.two).wantRefusal(t, "key reused for another request", http.StatusUnprocessableEntity, "idempotency_key_reused", "may_have_run")
	s.service.SetFaults(standin.Faults{LoseAnswers: 1})
	keyed("k2", "x").do(s.one).wantRefusal(t, "answer lost after effect", http.StatusBadGateway, "upstream_failed", "may_have_run")
	s.service.SetFaults(standin.Faults{})
	for _, i := range []*processtest.Instance{s.one, s.two} {
		keyed("k2", "x").do(i).wantRefusal(t, "repeat at "+i.Name, http.StatusConflict, "outcome_unknown", "may_have_run")
	}
	s.fleet.Table.SetFaults(standin.Faults{Outage: standin.OutageError})
	keyed("k3", "x").do(s.one).wantRefusal(t, "table out", http.StatusServiceUnavailable, "claim_unavailable", "not_run")
	s.fleet.Table.SetFaults(standin.Faults{})
	state := s.service.ServiceCounts()
	if state.ByKey["k1"] != 1 || state.ByKey["k2"] != 1 || state.ByKey["k3"] != 0 {
		t.Errorf("effects by key: %v", state.ByKey)
	}
}
