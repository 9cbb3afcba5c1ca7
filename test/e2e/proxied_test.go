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

// proxies holds the fault proxies between the processes of a system.
type proxies struct {
	engine, service *processtest.Proxy
	table, peer     map[*processtest.Instance]*processtest.Proxy
}

// systemSlots limits the proxied systems that run at once; each has about six
// processes.
var systemSlots = make(chan struct{}, 4)

// newProxiedSystem starts a system with a fault proxy between each instance and
// the table and in front of each peer listener and each upstream. It marks the
// test as parallel. load is the load time of the engine's models.
func newProxiedSystem(t *testing.T, load time.Duration) *system {
	t.Helper()
	t.Parallel()
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots }) // runs after the processes have ended
	return buildSystem(t, &proxies{
		table: map[*processtest.Instance]*processtest.Proxy{}, peer: map[*processtest.Instance]*processtest.Proxy{},
	}, load)
}

// testListLag is the maximum lag of the instance list in the settings of
// proxied systems.
const testListLag = 3 * time.Second

// start starts an instance, behind proxies if the system has them.
func (s *system) start(name, dataCentre string) *processtest.Instance {
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

// registerUpstream makes the instance list show an upstream in a state after a lag.
func (s *system) registerUpstream(name, address, state string, lag time.Duration) {
	s.t.Helper()
	a := netip.MustParseAddrPort(address)
	s.fleet.List.SetFaults(standin.Faults{ListLag: duration.Duration(lag)})
	s.fleet.List.Register(instances.Registration{
		ID: name, Service: processtest.UpstreamService, State: state,
		IP: a.Addr().String(), Port: int(a.Port()), DataCentre: "east",
	})
}

// waitSince waits until d has passed since start, for faults that are defined
// by their duration.
func waitSince(t *testing.T, start time.Time, d time.Duration) {
	t.Helper()
	processtest.Eventually(t, "the fault has lasted "+d.String(), func() bool { return time.Since(start) >= d })
}

// answerLog records the answers that callers got. It is safe for concurrent
// use, except for check.
type answerLog struct {
	mu      sync.Mutex
	answers []answer
}

func (j *answerLog) add(a answer) answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers = append(j.answers, a)
	return a
}

func (j *answerLog) len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.answers)
}

// run repeats calls at an instance until stop is closed.
func (j *answerLog) run(wg *sync.WaitGroup, stop <-chan struct{}, i *processtest.Instance, c call) {
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				if a := j.add(c.do(i)); a.err != nil {
					<-time.After(10 * time.Millisecond) // limits the rate of calls to an instance that has ended
				}
			}
		}
	})
}

// check compares the callers' answers with the upstreams' counts by request
// ID: no request ran twice, a request that was answered with 200 ran, and a
// request with the verdict not_run did not run.
func (j *answerLog) check(s *system, more ...*processtest.Standin) {
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
	counts := map[string]int{}
	for _, a := range j.answers {
		if a.header == nil {
			counts["broken connection"]++
			continue
		}
		var r refusal
		json.Unmarshal([]byte(a.body), &r) //nolint:errcheck // not every answer is a refusal.
		id := a.header.Get("X-Request-Id")
		var stored service.Answer
		if a.keyed && json.Unmarshal([]byte(a.body), &stored) == nil && stored.RequestID != "" {
			id = stored.RequestID // a stored outcome names the request that ran
		}
		switch {
		case r.Error.Verdict == "not_run" && ran[id] > 0:
			s.t.Errorf("request %s got the verdict not_run (%s) but ran", id, r.Error.Code)
		case a.status == http.StatusOK && ran[id] == 0:
			s.t.Errorf("request %s got status 200 but did not run: %q", id, tail(a.body))
		case a.status != http.StatusOK && r.Error.Verdict == "":
			s.t.Errorf("answer without verdict: %d %q", a.status, a.body)
		}
		counts[http.StatusText(a.status)+" "+r.Error.Code]++
	}
	s.t.Logf("answers: %v", counts)
}
