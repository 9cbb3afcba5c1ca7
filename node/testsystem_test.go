package node_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	apexjson "github.com/apex/log/handlers/json"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// testSystem is a stand-in platform with upstreams and instances in one process.
type testSystem struct {
	t                *testing.T
	store            *userplatform.Store
	address          string
	configure        func(*node.Settings)
	engines          []*userplatform.Upstream
	rotas            []*userplatform.Upstream
	nodes            []*node.Node
	callerAddresses  []string // addresses for callers
	readyAddresses   []string
	metricsAddresses []string
}

// newTestSystem starts a platform with two engines, two plain upstreams and the
// given number of instances, and waits until all instances are ready and one
// leads. Each engine serves one model of its own and the common models.
func newTestSystem(t *testing.T, instances int, common ...string) *testSystem {
	t.Helper()
	return newConfiguredSystem(t, func(*node.Settings) {}, instances, common...)
}

// newConfiguredSystem is newTestSystem with instance settings changed by configure.
func newConfiguredSystem(t *testing.T, configure func(*node.Settings), instances int, common ...string) *testSystem {
	t.Helper()
	s := &testSystem{t: t, store: userplatform.NewStore(), configure: configure}
	server := httptest.NewServer(s.store.Gate())
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	if err := userplatform.Sample().Write(s.store); err != nil {
		t.Fatal(err)
	}
	for i, model := range []string{"notices", "summaries"} {
		models := map[string][]string{model: nil}
		for _, m := range common {
			models[m] = nil
		}
		u := &userplatform.Upstream{
			ID: fmt.Sprintf("engine-%d", i+1), Service: "engine", Zone: "north", Slots: 16, Events: 8, EventDuration: 2 * time.Millisecond,
			Engine: &userplatform.Engine{ModelCapacity: 2, AdapterSlots: 4, LoadTime: 50 * time.Millisecond, Models: models},
		}
		s.engines = append(s.engines, s.start(u))
		s.rotas = append(s.rotas, s.start(&userplatform.Upstream{
			ID: fmt.Sprintf("rota-%d", i+1), Service: "rota", Zone: "north", Slots: 6, EventDuration: time.Millisecond,
		}))
	}
	for range instances {
		s.addNode()
	}
	for _, ready := range s.readyAddresses {
		s.eventually("instance is ready", func() bool { return s.status("http://"+ready+"/readiness") == http.StatusOK })
	}
	s.eventually("an instance leads", func() bool { return len(s.store.Value("hibiscusyard", "lease")) > 0 })
	return s
}

func (s *testSystem) start(u *userplatform.Upstream) *userplatform.Upstream {
	s.t.Helper()
	if err := u.Start(s.store); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(u.Close)
	return u
}

// maxStarts bounds the tries to start an instance on ports that the system has given.
const maxStarts = 3

func (s *testSystem) addNode() *node.Node {
	s.t.Helper()
	var handler log.Handler = discard.New()
	if testing.Verbose() {
		handler = apexjson.New(s.t.Output())
	}
	var n *node.Node
	var settings node.Settings
	for try := 1; ; try++ {
		var err error
		settings, err = sample.Settings(fmt.Sprintf("entry-%d", len(s.nodes)+1), s.address)
		if err != nil {
			s.t.Fatal(err)
		}
		settings.Bounds.LeaseMS, settings.Bounds.QuotaSlack = 300, 1000 // short, as tests wait for new leaders and empty buckets
		s.configure(&settings)
		n = node.New(settings, &log.Logger{Handler: handler, Level: log.InfoLevel})
		if err = n.Start(); err == nil {
			break
		}
		// Another process may take one of the ports before the instance listens.
		if !errors.Is(err, syscall.EADDRINUSE) || try == maxStarts {
			s.t.Fatal(err)
		}
	}
	s.nodes = append(s.nodes, n)
	s.callerAddresses = append(s.callerAddresses, settings.CallerListen)
	s.readyAddresses = append(s.readyAddresses, settings.ReadyListen)
	s.metricsAddresses = append(s.metricsAddresses, settings.MetricsListen)
	s.t.Cleanup(n.Stop)
	return n
}

func (s *testSystem) eventually(what string, condition func() bool) {
	s.t.Helper()
	processtest.Eventually(s.t, what, condition)
}

func (s *testSystem) status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// request describes one request of a caller.
type request struct {
	id, method, path, key, model string
	resume, resumes              string // ID of the last event, and of the attempt that brought the first
	tokens, prefix               string
	deadline                     time.Duration
}

// answer is the response that a caller received; err is set if it was cut off.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var requestCount atomic.Int64

// send sends one request on a new connection.
func (s *testSystem) send(instance int, r request) answer {
	s.t.Helper()
	return s.sendWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, instance, r)
}

// sendWith sends a request with a client, which may reuse its connections.
func (s *testSystem) sendWith(client *http.Client, instance int, r request) answer {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), processtest.WaitCap)
	defer cancel()
	response, err := client.Do(s.newRequest(ctx, instance, r))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// sendAndDiscard sends a request and counts the bytes of the answer body, which it
// discards.
func (s *testSystem) sendAndDiscard(instance int, r request) (status int, n int64, err error) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), processtest.WaitCap)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(s.newRequest(ctx, instance, r))
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	n, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, n, err
}

// newRequest builds the HTTP request for r, with defaults for unset fields.
func (s *testSystem) newRequest(ctx context.Context, instance int, r request) *http.Request {
	s.t.Helper()
	if r.id == "" {
		r.id = fmt.Sprintf("request-%d", requestCount.Add(1))
	}
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.deadline == 0 {
		r.deadline = 4 * time.Second
	}
	hr, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.callerAddresses[instance]+r.path, strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	hr.Host = "rota.example"
	hr.Header.Set(userplatform.HeaderID, r.id)
	hr.Header.Set(userplatform.HeaderDeadline, fmt.Sprint(r.deadline.Milliseconds()))
	for name, value := range map[string]string{
		userplatform.HeaderModel: r.model, userplatform.HeaderTokens: r.tokens, userplatform.HeaderResume: r.resume,
		userplatform.HeaderPrefix: r.prefix, userplatform.HeaderResumes: r.resumes,
	} {
		if value != "" {
			hr.Header.Set(name, value)
		}
	}
	if r.key != "" {
		hr.Header.Set("Authorization", "Token "+r.key)
	}
	return hr
}

// draftRequest returns a streaming request for a model.
func draftRequest(model string) request {
	return request{path: "/drafts/x", key: "committee-key", model: model, tokens: "100,20"}
}

// eventIDs returns the IDs of the events in a stream.
func eventIDs(body string) []string {
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// countRuns counts the arrivals of a request at some upstreams, and how many of them
// ran.
func countRuns(id string, upstreams ...*userplatform.Upstream) (ran, arrived int) {
	for _, u := range upstreams {
		for _, a := range u.Arrivals() {
			if a.ID == id {
				arrived++
				if a.Ran {
					ran++
				}
			}
		}
	}
	return ran, arrived
}
