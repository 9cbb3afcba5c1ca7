// Package e2e holds tests that run instances, upstreams and the platform's
// stand-ins as processes.
package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin/engine"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

func TestMain(m *testing.M) { processtest.Main(m) }

// Keys of callers.
const (
	lawKey   = "key-of-the-law-workspace"
	salesKey = "key-of-the-sales-workspace"
)

// editTimeLimit is the time within which an accepted edit must be in force at
// all instances.
const editTimeLimit = 8 * time.Second

// loadTime is the load time of a model. It is long compared with the rest of a
// request, so that tests can distinguish cold from warm requests.
const loadTime = 1500 * time.Millisecond

// system is two instances in front of an engine and a plain service.
type system struct {
	t               *testing.T
	fleet           *processtest.Fleet
	one, two        *processtest.Instance
	engine, service *processtest.Standin
	routes          admin.RoutesDocument
	pools           admin.PoolsDocument
	proxies         *proxies // nil if the processes are connected directly
}

func newSystem(t *testing.T) *system {
	t.Helper()
	return buildSystem(t, nil, loadTime)
}

func buildSystem(t *testing.T, p *proxies, load time.Duration) *system {
	t.Helper()
	s := &system{t: t, fleet: processtest.NewFleet(t), proxies: p}
	s.engine = processtest.StartStandin(t, "engine", "engine", "--fencing", "--load-remote", load.String())
	s.service = processtest.StartStandin(t, "service", "service")
	for _, upstream := range []*processtest.Standin{s.engine, s.service} {
		upstream.WatchSecrets(lawKey, salesKey, processtest.AdminToken, processtest.PeerSecret)
	}
	if p != nil {
		p.engine, p.service = processtest.NewProxy(t, s.engine.Address), processtest.NewProxy(t, s.service.Address)
	}
	s.one, s.two = s.start("entry-1", "east"), s.start("entry-2", "west")
	processtest.AwaitMembers(t, 2, s.one, s.two)
	s.fillDocuments()
	s.one.MustPut("pools", s.pools)
	s.one.MustPut("routes", s.routes)
	for _, i := range []*processtest.Instance{s.one, s.two} {
		processtest.Eventually(t, i.Name+" is ready", i.Ready)
		processtest.Eventually(t, i.Name+" admits all workspaces", func() bool { return admits(i, "law") && admits(i, "sales") })
	}
	t.Cleanup(s.checkSecrets)
	return s
}

func (s *system) fillDocuments() {
	engineAddress, serviceAddress := s.engine.Address, s.service.Address
	if s.proxies != nil {
		engineAddress, serviceAddress = s.proxies.engine.Address, s.proxies.service.Address
	}
	s.pools.Pools = []catalog.Pool{
		{
			Name: "drafting", Kind: catalog.Engine,
			Upstreams: []catalog.Upstream{{Name: "worker-1", Address: engineAddress, DataCentre: "east", MemoryMB: 16000, Fencing: true}},
			Models:    []catalog.Model{{Name: "small", MemoryMB: 800}, {Name: "large", MemoryMB: 8000}},
		},
		{
			Name: "signup", Kind: catalog.Service,
			Upstreams: []catalog.Upstream{{Name: "signup-1", Address: serviceAddress, DataCentre: "east"}},
		},
	}
	law := catalog.Workspace{Name: "law", Keys: []string{catalog.HashKey(lawKey)}, Rate: 10000, Burst: 100000}
	sales := catalog.Workspace{Name: "sales", Keys: []string{catalog.HashKey(salesKey)}, Rate: 10000, Burst: 100000}
	s.routes.Routes = []catalog.Route{
		{Name: "drafting", Pool: "drafting", Models: []string{"small", "large"}, Workspaces: []catalog.Workspace{law}},
		{Name: "signup", Pool: "signup", Prefix: "/signup/", Workspaces: []catalog.Workspace{law, sales}},
	}
	s.pools.Pools = append(s.pools.Pools, catalog.Pool{Name: "probe", Kind: catalog.Service})
	for _, w := range []catalog.Workspace{law, sales} {
		w.Keys = nil
		s.routes.Routes = append(s.routes.Routes, catalog.Route{
			Name: "probe-" + w.Name, Pool: "probe", Prefix: "/probe-" + w.Name + "/", Workspaces: []catalog.Workspace{w},
			Open: true, OpenWorkspace: w.Name, Timeout: duration.Duration(probeTimeout),
		})
	}
}

const probeTimeout = 100 * time.Millisecond

// admits reports whether the instance admits requests of a workspace, which it
// does only once it holds a share of the workspace's rate. The probe's pool has
// no upstream, so that an admitted probe has no effect.
// TestNewWorkspaceIsServedAtOnce covers the time before.
func admits(i *processtest.Instance, workspace string) bool {
	var r refusal
	a := call{method: http.MethodGet, path: "/probe-" + workspace + "/"}.do(i)
	err := json.Unmarshal([]byte(a.body), &r)
	return err == nil && (r.Error.Code == "no_upstream" || r.Error.Code == "deadline_exceeded")
}

// checkSecrets checks that no key or secret has reached an upstream or a log,
// and that all log lines are JSON.
func (s *system) checkSecrets() {
	if s.t.Failed() {
		return // the upstreams may have ended
	}
	for _, i := range []*processtest.Instance{s.one, s.two} {
		for _, secret := range []string{lawKey, salesKey, processtest.AdminToken, processtest.PeerSecret} {
			if strings.Contains(i.Log(), secret) {
				s.t.Errorf("the log of %s contains a key or secret", i.Name)
			}
		}
		for line := range strings.Lines(i.Log()) {
			if !json.Valid([]byte(line)) && strings.HasSuffix(line, "\n") {
				s.t.Errorf("the log of %s has a line that is not JSON: %s", i.Name, line)
				break
			}
		}
	}
	if !s.engine.Ended() && s.engine.EngineCounts().Credential > 0 {
		s.t.Error("a key reached the engine")
	}
	if !s.service.Ended() && s.service.ServiceCounts().Credential > 0 {
		s.t.Error("a key reached the service")
	}
}

// answer is the response to one call as the caller received it.
type answer struct {
	status  int
	header  http.Header
	body    string
	elapsed time.Duration
	err     error // the request failed or the response was cut
	keyed   bool  // the call had an Idempotency-Key
}

type refusal struct {
	Error struct{ Message, Type, Code, Verdict string }
}

// call is one request of a caller.
type call struct {
	method, path, key, body string
	header                  map[string]string
}

var callerClient = &http.Client{Timeout: processtest.WaitCap}

func (c call) do(i *processtest.Instance) answer {
	req, err := http.NewRequest(c.method, "http://"+i.Caller+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	start := time.Now()
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body.String(), elapsed: time.Since(start), err: err, keyed: c.header["Idempotency-Key"] != ""}
}

// wantRefusal checks that an answer is a refusal with its verdict.
func (a answer) wantRefusal(t *testing.T, what string, status int, code, verdict string) {
	t.Helper()
	var r refusal
	if err := json.Unmarshal([]byte(a.body), &r); err != nil {
		t.Errorf("%s: status %d, %v, not a refusal: %q", what, a.status, a.err, a.body)
		return
	}
	if a.status != status || r.Error.Code != code || r.Error.Verdict != verdict {
		t.Errorf("%s: status %d, code %q, verdict %q, want %d, %q, %q", what, a.status, r.Error.Code, r.Error.Verdict, status, code, verdict)
	}
	if a.header.Get("X-Request-Id") == "" {
		t.Errorf("%s: no request ID", what)
	}
}

// chat returns a chat request that asks for a number of tokens.
func chat(model, key string, tokens int, stream bool) call {
	return call{
		method: http.MethodPost, path: "/v1/chat/completions", key: key,
		body: fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, model, stream, tokens),
	}
}

type chunk struct {
	ID      string
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	}
}

// wantStream checks that an answer is a complete event stream and belongs to the
// caller's own request.
func (a answer) wantStream(t *testing.T, what string, tokens int) {
	t.Helper()
	var text, want strings.Builder
	var last chunk
	done := false
	lines := bufio.NewScanner(strings.NewReader(a.body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if done = data == "[DONE]"; done {
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 || c.ID != a.header.Get("X-Request-Id") {
			t.Errorf("%s: chunk %s of request %s: %v", what, data, a.header.Get("X-Request-Id"), err)
			return
		}
		text.WriteString(c.Choices[0].Delta.Content)
		last = c
	}
	for i := range tokens {
		want.WriteString(engine.Token(i))
	}
	if a.status != http.StatusOK || a.err != nil || !done || text.String() != want.String() {
		t.Errorf("%s: status %d, %v, done %t, text %q, want %q\n%s", what, a.status, a.err, done, text.String(), want.String(), a.body)
		return
	}
	if last.Usage == nil || last.Usage.CompletionTokens != tokens || last.Choices[0].FinishReason == nil {
		t.Errorf("%s: last chunk lacks usage or finish_reason: %s", what, a.body)
	}
}
