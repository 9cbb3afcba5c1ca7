package e2e

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// balancer distributes calls over the ready instances, like the platform's load
// balancer.
type balancer struct {
	mu        sync.Mutex
	instances []*processtest.Instance
	ready     []*processtest.Instance // at the last readiness check
	checkedAt time.Time
	next      int
}

// readinessInterval is the interval of readiness checks; the drain delay of the
// tests is longer.
const readinessInterval = 50 * time.Millisecond

func (b *balancer) add(i *processtest.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = append(b.instances, i)
}

// pick returns the next instance that was ready at the last check, which is up
// to readinessInterval old.
func (b *balancer) pick() *processtest.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if time.Since(b.checkedAt) > readinessInterval {
			b.checkedAt, b.ready = time.Now(), nil
			for _, i := range b.instances {
				if i.Ready() {
					b.ready = append(b.ready, i)
				}
			}
		}
		if len(b.ready) > 0 {
			b.next++
			return b.ready[b.next%len(b.ready)]
		}
	}
}

// load repeats calls until stop is closed and returns all answers.
func (b *balancer) load(stop <-chan struct{}, callers int, next func(n int) call) []answer {
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := next(n).do(b.pick())
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return answers
}

func signup() call {
	return call{method: http.MethodPost, path: "/signup/new", key: salesKey, body: "x"}
}

// Guards against a graceful shutdown that cuts, refuses or drops a request
// while all instances are replaced under load.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	s := newSystem(t)
	b := &balancer{}
	b.add(s.one)
	b.add(s.two)
	chat("small", lawKey, 1, true).do(s.one).wantStream(t, "first request", 1)
	stop := make(chan struct{})
	done := make(chan []answer)
	go func() {
		done <- b.load(stop, 6, func(n int) call {
			if n%2 == 0 {
				return signup()
			}
			return chat("small", lawKey, 40, true)
		})
	}()
	for k, old := range []*processtest.Instance{s.one, s.two} {
		settings := s.fleet.Settings([]string{"entry-3", "entry-4"}[k], old.Settings.DataCentre)
		settings.DrainDelay = duration.Duration(4 * readinessInterval)
		replacement := s.fleet.Start(settings)
		processtest.Eventually(t, replacement.Name+" is ready", replacement.Ready)
		b.add(replacement)
		old.Terminate()
		processtest.Eventually(t, old.Name+" ends", old.Ended)
		if code := old.ExitCode(); code != 0 {
			t.Errorf("%s: got exit code %d, want 0: %s", old.Name, code, tail(old.Log()))
		}
		s.fleet.List.Deregister(old.Name)
	}
	close(stop)
	answers := <-done
	for _, a := range answers {
		if a.err != nil || a.status != http.StatusOK {
			t.Errorf("during the replacement: got status %d, error %v, body %q, want 200", a.status, a.err, a.body)
		}
	}
	t.Logf("%d requests during the replacement", len(answers))
}

func tail(log string) string { return log[max(0, len(log)-2000):] }

// Guards against a second run and a false not_run verdict when an instance is
// killed after the upstream has run a call and before its answer arrives.
func TestKilledInstanceLeavesOutcomeUnknown(t *testing.T) {
	s := newSystem(t)
	keyed := signup()
	keyed.header = map[string]string{"Idempotency-Key": "k1"}
	s.service.SetFaults(standin.Faults{AnswerLatency: duration.Duration(time.Minute)})
	broken := make(chan answer, 1)
	go func() { broken <- keyed.do(s.one) }()
	processtest.Eventually(t, "the service has run the call", func() bool { return s.service.ServiceCounts().ByKey["k1"] == 1 })
	s.one.Kill()
	if a := <-broken; a.err == nil {
		t.Errorf("the caller of the killed instance got %d %q", a.status, a.body)
	}
	s.service.SetFaults(standin.Faults{})
	a := keyed.do(s.two)
	if !strings.Contains(a.body, `"verdict":"may_have_run"`) {
		t.Errorf("the repeat got %d %q, want may_have_run", a.status, a.body)
	}
	if n := s.service.ServiceCounts().ByKey["k1"]; n != 1 {
		t.Errorf("the call ran %d times, want once", n)
	}
}

// Guards against a frozen lease holder that blocks placement permanently, or
// that orders a second replica after its thaw.
func TestFrozenPlacerIsReplaced(t *testing.T) {
	s := newSystem(t)
	holder, other := s.one, s.two
	processtest.Eventually(t, "the status names a placer", func() bool {
		status, err := s.one.Status()
		if err == nil && status.Placer == s.two.Name {
			holder, other = s.two, s.one
		}
		return err == nil && status.Placer != ""
	})
	holder.Freeze()
	processtest.Eventually(t, "the other instance places the model", func() bool {
		return chat("small", lawKey, 3, true).do(other).status == http.StatusOK
	})
	holder.Thaw()
	for _, i := range []*processtest.Instance{holder, other} {
		processtest.Eventually(t, "served by "+i.Name, func() bool {
			a := chat("large", lawKey, 3, true).do(i)
			if a.status != http.StatusOK && !strings.Contains(a.body, `"verdict":"not_run"`) {
				t.Errorf("%s after the thaw: %d %q %v", i.Name, a.status, a.body, a.err)
			}
			return a.status == http.StatusOK
		})
	}
	state := s.engine.EngineCounts()
	if state.MaxReplicas["small"] != 1 || state.MaxReplicas["large"] != 1 || state.MaxMemoryMB > 16000 {
		t.Errorf("got peak replicas %v, peak memory %d MB, want one replica each within 16000 MB", state.MaxReplicas, state.MaxMemoryMB)
	}
}

// Guards against a stream that looks complete although its engine restarted
// during it, and against a model that is not loaded again after the restart.
func TestEngineRestartsDuringStream(t *testing.T) {
	s := newSystem(t)
	chat("small", lawKey, 1, true).do(s.one).wantStream(t, "first request", 1)
	before := s.engine.EngineCounts().TokensSent
	result := make(chan answer, 1)
	go func() { result <- chat("small", lawKey, 2000, true).do(s.one) }()
	processtest.Eventually(t, "the stream runs", func() bool { return s.engine.EngineCounts().TokensSent > before+20 })
	s.engine.Restart()
	a := <-result
	if !strings.Contains(a.body, "event: error") || !strings.Contains(a.body, "may_have_run") || strings.Contains(a.body, "[DONE]") {
		t.Errorf("the cut stream ended with %v: %q", a.err, tail(a.body))
	}
	processtest.Eventually(t, "the model is loaded again", func() bool {
		return chat("small", lawKey, 5, true).do(s.two).status == http.StatusOK
	})
	if state := s.engine.EngineCounts(); state.MaxReplicas["small"] != 1 {
		t.Errorf("got peak replicas %v, want 1", state.MaxReplicas)
	}
}

// arrivals counts the new calls at each service for a second.
func arrivals(services ...*processtest.Standin) []int {
	counts := make([]int, len(services))
	for k, s := range services {
		counts[k] = -s.ServiceCounts().Effects
	}
	<-time.After(time.Second)
	for k, s := range services {
		counts[k] += s.ServiceCounts().Effects
	}
	return counts
}

// minArrivals is the number of calls a second above which a service counts as
// in use; the load makes more than 1000.
const minArrivals = 20

// checkTakeOutAndReturn runs load on two services, one in each data centre,
// takes the western one out and returns it, and checks that no call was refused
// or cut.
func checkTakeOutAndReturn(t *testing.T, takeOut, bringBack func(s *system, west *processtest.Standin)) {
	s := newSystem(t)
	west := processtest.StartStandin(t, "service-west", "service")
	s.pools.Pools[1].Upstreams = append(s.pools.Pools[1].Upstreams, catalog.Upstream{Name: "signup-2", Address: west.Address, DataCentre: "west"})
	s.one.MustPut("pools", s.pools)
	b := &balancer{instances: []*processtest.Instance{s.one, s.two}}
	stop := make(chan struct{})
	done := make(chan []answer)
	go func() { done <- b.load(stop, 4, func(int) call { return signup() }) }()
	both := func() bool {
		n := arrivals(west, s.service)
		return n[0] > minArrivals && n[1] > minArrivals
	}
	processtest.Eventually(t, "both services get calls", both)
	takeOut(s, west)
	processtest.Within(t, editTimeLimit, "the western service gets no new calls", func() bool {
		n := arrivals(west, s.service)
		return n[0] == 0 && n[1] > minArrivals
	})
	if n := arrivals(west, s.service); n[0] != 0 || n[1] <= minArrivals {
		t.Errorf("got %d calls in the west and %d in the east while the west was out", n[0], n[1])
	}
	bringBack(s, west)
	processtest.Eventually(t, "both services get calls after the return", both)
	close(stop)
	for _, a := range <-done {
		if a.err != nil || a.status != http.StatusOK {
			t.Errorf("while an upstream was taken out and returned: got status %d, error %v, body %q, want 200", a.status, a.err, a.body)
		}
	}
}

// Guards against new work at a data centre that was taken out, against running
// requests that are cut when it is taken out, and against a data centre that
// gets no work after its return.
func TestDataCentreTakenOut(t *testing.T) {
	checkTakeOutAndReturn(t, func(s *system, _ *processtest.Standin) {
		s.pools.Pools[1].DisabledDataCentres = []string{"west"}
		s.two.MustPut("pools", s.pools)
	}, func(s *system, _ *processtest.Standin) {
		s.pools.Pools[1].DisabledDataCentres = nil
		s.one.MustPut("pools", s.pools)
	})
}

// Guards against new work at an upstream that the instance list shows as
// leaving, with a list that lags by 2 s.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	register := func(state string) func(*system, *processtest.Standin) {
		return func(s *system, west *processtest.Standin) {
			address := netip.MustParseAddrPort(west.Address)
			s.fleet.List.SetFaults(standin.Faults{ListLag: duration.Duration(2 * time.Second)})
			s.fleet.List.Register(instances.Registration{
				ID: "signup-2", Service: processtest.UpstreamService, State: state,
				IP: address.Addr().String(), Port: int(address.Port()), DataCentre: "west",
			})
		}
	}
	checkTakeOutAndReturn(t, register("leaving"), register("live"))
}

// Guards against refusing requests for loaded models during a table outage, and
// against holding a request until its deadline while its model can't be loaded.
func TestTableOutageKeepsLoadedModels(t *testing.T) {
	s := newSystem(t)
	chat("small", lawKey, 3, true).do(s.one).wantStream(t, "first request", 3)
	s.fleet.Table.SetFaults(standin.Faults{Outage: standin.OutageClose})
	processtest.Eventually(t, "a model that is not loaded is refused", func() bool {
		cold := chat("large", lawKey, 3, true)
		cold.header = map[string]string{"X-Request-Timeout": "20"}
		a := cold.do(s.two)
		chat("small", lawKey, 3, true).do(s.one).wantStream(t, "loaded model during the outage", 3)
		return strings.Contains(a.body, "placement_unavailable") && strings.Contains(a.body, "not_run") && a.header.Get("Retry-After") != ""
	})
	s.fleet.Table.SetFaults(standin.Faults{})
	processtest.Eventually(t, "the other model is loaded after the outage", func() bool {
		return chat("large", lawKey, 3, true).do(s.two).status == http.StatusOK
	})
}

// Guards against a running stream that continues after its key was withdrawn.
func TestWithdrawnKeyEndsRunningStream(t *testing.T) {
	s := newSystem(t)
	chat("small", lawKey, 1, true).do(s.one).wantStream(t, "first request", 1)
	before := s.engine.EngineCounts().TokensSent
	result := make(chan answer, 1)
	go func() { result <- chat("small", lawKey, 20000, true).do(s.one) }()
	processtest.Eventually(t, "the stream runs", func() bool { return s.engine.EngineCounts().TokensSent > before+5 })
	s.routes.Routes[0].Workspaces[0].Keys = nil
	s.routes.Routes[1].Workspaces[0].Keys = nil
	s.two.MustPut("routes", s.routes)
	accepted := time.Now()
	a := <-result
	if took := time.Since(accepted); took > editTimeLimit {
		t.Errorf("the stream continued for %s after the withdrawal", took)
	}
	if !strings.Contains(a.body, "key_withdrawn") || strings.Contains(a.body, "[DONE]") {
		t.Errorf("the stream ended with %q", tail(a.body))
	}
	processtest.Eventually(t, "the engine's stream is cancelled", func() bool { return s.engine.EngineCounts().Running == 0 })
}

// Guards against admitting more than rate x time + burst over all instances
// while a workspace sends several times its rate and an instance is killed.
func TestFloodStaysWithinRateAndBurst(t *testing.T) {
	s := newSystem(t)
	const rate, burst, floodFor = 40.0, 80.0, 6 * time.Second
	for _, r := range s.routes.Routes {
		for k := range r.Workspaces {
			if r.Workspaces[k].Name == "sales" {
				r.Workspaces[k].Rate, r.Workspaces[k].Burst = rate, burst
			}
		}
	}
	before := s.service.ServiceCounts().Effects
	start := time.Now()
	s.one.MustPut("routes", s.routes)
	b := &balancer{instances: []*processtest.Instance{s.one, s.two}}
	stop := make(chan struct{})
	done := make(chan []answer)
	go func() { done <- b.load(stop, 6, func(int) call { return signup() }) }()
	time.AfterFunc(floodFor/2, s.one.Kill)
	time.AfterFunc(floodFor, func() { close(stop) })
	answers := <-done
	elapsed := time.Since(start)
	effects := float64(s.service.ServiceCounts().Effects - before)
	if limit := rate*elapsed.Seconds() + burst; effects > limit {
		t.Errorf("%.0f calls ran in %s, the limit is %.0f", effects, elapsed, limit)
	}
	if minCalls := rate * (floodFor / 2).Seconds(); effects < minCalls {
		t.Errorf("only %.0f calls ran, want at least the %.0f of the time in which both instances ran", effects, minCalls)
	}
	for _, a := range answers {
		if a.err == nil && a.status != http.StatusOK && !strings.Contains(a.body, `"verdict":"not_run"`) && !strings.Contains(a.body, "may_have_run") {
			t.Errorf("answer without verdict: %d %q", a.status, a.body)
		}
	}
	t.Logf("%.0f calls ran of %d in %s", effects, len(answers), elapsed)
}
