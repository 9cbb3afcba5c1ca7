package e2e

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Guards against an accepted edit that other instances do not apply in time, or
// apply and then revert.
func TestEditIsInForceAtOtherInstance(t *testing.T) {
	s := newSystem(t)
	extra := s.routes.Routes[1]
	extra.Name, extra.Prefix = "extra", "/extra/"
	request := call{method: http.MethodGet, path: "/extra/hello", key: salesKey}
	request.do(s.two).wantRefusal(t, "before the edit", http.StatusNotFound, "unknown_route", "not_run")
	before := slices.Clone(s.routes.Routes)
	s.routes.Routes = append(s.routes.Routes, extra)
	s.one.MustPut("routes", s.routes)
	took := processtest.Within(t, editTimeLimit, "the other instance serves the new route", func() bool {
		return request.do(s.two).status == http.StatusOK
	})
	t.Logf("route in force after %.3f of the time limit", took.Seconds()/editTimeLimit.Seconds())
	for range 20 {
		if a := request.do(s.two); a.status != http.StatusOK {
			t.Fatalf("the edit was reverted: status %d: %s", a.status, a.body)
		}
	}
	s.routes.Routes = before
	s.two.MustPut("routes", s.routes)
	processtest.Within(t, editTimeLimit, "the other instance no longer serves the route", func() bool {
		return request.do(s.one).status == http.StatusNotFound
	})
}

// Guards against requests that run without a valid key, and against refusals
// that cause work at an upstream or carry the wrong verdict.
func TestRefusedBeforeForwarding(t *testing.T) {
	s := newSystem(t)
	cases := map[string]struct {
		call   call
		status int
		code   string
	}{
		"no key for a service":     {call{method: "POST", path: "/signup/new"}, http.StatusUnauthorized, "missing_key"},
		"wrong key for a service":  {call{method: "POST", path: "/signup/new", key: "wrong"}, http.StatusUnauthorized, "invalid_key"},
		"no key for a model":       {chat("small", "", 1, true), http.StatusUnauthorized, "missing_key"},
		"wrong key for a model":    {chat("small", "wrong", 1, true), http.StatusUnauthorized, "invalid_key"},
		"hash as the key":          {chat("small", catalog.HashKey(lawKey), 1, true), http.StatusUnauthorized, "invalid_key"},
		"admin token as the key":   {chat("small", processtest.AdminToken, 1, true), http.StatusUnauthorized, "invalid_key"},
		"key of another workspace": {chat("small", salesKey, 1, true), http.StatusForbidden, "forbidden"},
		"unknown route":            {call{method: "GET", path: "/nowhere/x", key: lawKey}, http.StatusNotFound, "unknown_route"},
		"unknown model":            {chat("absent", lawKey, 1, true), http.StatusNotFound, "unknown_model"},
		"headers too large": {call{method: "POST", path: "/signup/new", key: salesKey,
			header: map[string]string{"X-Padding": strings.Repeat("x", 20<<10)}}, http.StatusRequestHeaderFieldsTooLarge, "headers_too_large"},
		"body too large": {call{method: "POST", path: "/signup/new", key: salesKey, body: strings.Repeat("x", 2<<20)},
			http.StatusRequestEntityTooLarge, "body_too_large"},
		"malformed JSON": {call{method: "POST", path: "/v1/chat/completions", key: lawKey, body: "{"}, http.StatusBadRequest, "bad_request"},
	}
	for name, c := range cases {
		for _, i := range []*processtest.Instance{s.one, s.two} {
			c.call.do(i).wantRefusal(t, name+" at "+i.Name, c.status, c.code, "not_run")
		}
	}
	if n := s.service.ServiceCounts().Requests; n != 0 {
		t.Errorf("got %d requests at the service from refused requests, want none", n)
	}
	if n := s.engine.EngineCounts(); n.Chats != 0 || len(n.Loads) != 0 {
		t.Errorf("got %d chats and the loads %v at the engine from refused requests, want none", n.Chats, n.Loads)
	}
	s.checkCallerKeyIsRefusedByAdminAndPeer()
}

// checkCallerKeyIsRefusedByAdminAndPeer checks that the administration API and
// the peer port refuse a caller's key.
func (s *system) checkCallerKeyIsRefusedByAdminAndPeer() {
	s.t.Helper()
	for _, address := range []string{s.one.Admin + "/v1/routes", s.one.Admin + "/v1/status", s.one.Peer + "/"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		if err != nil {
			s.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+lawKey)
		resp, err := callerClient.Do(req)
		if err != nil {
			s.t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode < http.StatusBadRequest {
			s.t.Errorf("%s accepted a caller's key: status %d", address, resp.StatusCode)
		}
	}
}

// Guards against a key that other instances still accept after its withdrawal
// was accepted.
func TestWithdrawnKeyIsRefusedEverywhere(t *testing.T) {
	s := newSystem(t)
	request := call{method: http.MethodPost, path: "/signup/new", key: salesKey}
	if a := request.do(s.two); a.status != http.StatusOK {
		t.Fatalf("before the withdrawal: status %d: %s", a.status, a.body)
	}
	s.routes.Routes[1].Workspaces = slices.DeleteFunc(s.routes.Routes[1].Workspaces,
		func(w catalog.Workspace) bool { return w.Name == "sales" })
	s.one.MustPut("routes", s.routes)
	took := processtest.Within(t, editTimeLimit, "the key is refused at the other instance", func() bool {
		return request.do(s.two).status == http.StatusUnauthorized
	})
	t.Logf("key withdrawn after %.3f of the time limit", took.Seconds()/editTimeLimit.Seconds())
	before := s.service.ServiceCounts().Effects
	for _, i := range []*processtest.Instance{s.one, s.two} {
		request.do(i).wantRefusal(t, "withdrawn key at "+i.Name, http.StatusUnauthorized, "invalid_key", "not_run")
	}
	if n := s.service.ServiceCounts().Effects; n != before {
		t.Errorf("got %d effects of calls with a withdrawn key, want none", n-before)
	}
}

// Guards against refusing requests of a workspace that is within its rate
// because the instances hold no share slots of it right after the edit that
// added it.
func TestNewWorkspaceIsServedAtOnce(t *testing.T) {
	s := newSystem(t)
	const newKey = "key-of-the-new-workspace"
	fresh := catalog.Workspace{Name: "fresh", Keys: []string{catalog.HashKey(newKey)}, Rate: 10000, Burst: 100000}
	s.routes.Routes[1].Workspaces = append(s.routes.Routes[1].Workspaces, fresh)
	s.one.MustPut("routes", s.routes)
	request := call{method: http.MethodPost, path: "/signup/new", key: newKey}
	for _, i := range []*processtest.Instance{s.one, s.two} {
		if a := request.do(i); a.status != http.StatusOK {
			t.Errorf("first call at %s: status %d: %s", i.Name, a.status, a.body)
		}
	}
}
