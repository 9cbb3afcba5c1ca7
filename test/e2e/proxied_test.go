package e2e

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/standin/service"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// proxies stand between the processes of a scene.
type proxies struct {
	engine, service *processtest.Proxy
	table, peer     map[*processtest.Instance]*processtest.Proxy
}

// scenes bounds the proxied scenes that run at once; each has about six processes.
var scenes = make(chan struct{}, 4)

// proxiedScene is a scene of a test that runs beside others, with a fault
// proxy before each table client, each peer listener and each upstream.
func proxiedScene(t *testing.T, load time.Duration) *scene {
	t.Helper()
	t.Parallel()
	scenes <- struct{}{}
	t.Cleanup(func() { <-scenes }) // runs after the processes have ended
	return buildScene(t, &proxies{
		table: map[*processtest.Instance]*processtest.Proxy{}, peer: map[*processtest.Instance]*processtest.Proxy{},
	}, load)
}

// testListLag is the lag of the list that instances of proxied scenes allow for.
const testListLag = 3 * time.Second

// start starts an instance, behind proxies if the scene has them.
func (s *scene) start(name, dataCentre string) *processtest.Instance {
	s.t.Helper()
	if s.proxies == nil {
		return s.fleet.StartInstance(name, dataCentre)
	}
	settings := s.fleet.Settings(name, dataCentre)
	settings.ListLag = duration.Duration(testListLag)
	table := processtest.NewProxy(s.t, s.fleet.Table.Address)
	settings.Platform.Table = table.URL()
	peer := processtest.NewProxy(s.t, s.fleet.Table.Address) // redirected once the instance listens
	i := s.fleet.StartBehindProxy(settings, peer)
	s.proxies.table[i], s.proxies.peer[i] = table, peer
	return i
}

// registerUpstream makes the platform's list show an upstream in a state after a lag.
func (s *scene) registerUpstream(name, address, state string, lag time.Duration) {
	s.t.Helper()
	a := netip.MustParseAddrPort(address)
	s.fleet.List.SetFaults(standin.Faults{ListLag: duration.Duration(lag)})
	s.fleet.List.Register(instances.Registration{
		ID: name, Service: processtest.UpstreamService, State: state,
		IP: a.Addr().String(), Port: int(a.Port()), DataCentre: "east",
	})
}

// pass waits until d has passed since start, for faults that are defined by
// their length.
func pass(t *testing.T, start time.Time, d time.Duration) {
	t.Helper()
	processtest.Eventually(t, "the fault has lasted "+d.String(), func() bool { return time.Since(start) >= d })
}

// journal holds the answers that callers got.
type journal struct {
	mu      sync.Mutex
	answers []answer
}

func (j *journal) add(a answer) answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers = append(j.answers, a)
	return a
}

func (j *journal) len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.answers)
}

// run repeats calls at an instance until stop is closed.
func (j *journal) run(wg *sync.WaitGroup, stop <-chan struct{}, i *processtest.Instance, c call) {
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				if a := j.add(c.do(i)); a.err != nil {
					<-time.After(10 * time.Millisecond) // bounds the rate of calls at an instance that is gone
				}
			}
		}
	})
}

// check compares the callers' answers with the upstreams' counts by request
// ID: no request ran twice, one that was answered ran, and one that was told
// not_run did not.
func (j *journal) check(s *scene, more ...*processtest.Standin) {
	s.t.Helper()
	engines := s.engine.EngineCounts()
	ran := map[string]int{}
	for _, upstream := range append(more, s.service) {
		for id, n := range upstream.ServiceCounts().ByRequest {
			ran[id] += n
		}
	}
	for id, n := range engines.ChatsByID {
		ran[id] += n
	}
	for id, n := range ran {
		if n > 1 {
			s.t.Errorf("request %s ran %d times", id, n)
		}
	}
	told := map[string]int{}
	for _, a := range j.answers {
		if a.header == nil {
			told["broken connection"]++
			continue
		}
		var r refusal
		json.Unmarshal([]byte(a.body), &r) //nolint:errcheck // not every answer is a refusal.
		id := a.header.Get("X-Request-Id")
		var first service.Answer
		if a.keyed && json.Unmarshal([]byte(a.body), &first) == nil && first.RequestID != "" {
			id = first.RequestID // a stored outcome names the request that ran
		}
		switch {
		case r.Error.Verdict == "not_run" && ran[id] > 0:
			s.t.Errorf("request %s was told not_run (%s) and ran", id, r.Error.Code)
		case a.status == http.StatusOK && ran[id] == 0:
			s.t.Errorf("request %s was answered and did not run: %q", id, tail(a.body))
		case a.status != http.StatusOK && r.Error.Verdict == "":
			s.t.Errorf("answer without verdict: %d %q", a.status, a.body)
		}
		told[http.StatusText(a.status)+" "+r.Error.Code]++
	}
	s.t.Logf("answers: %v", told)
}
