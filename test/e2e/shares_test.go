package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// sample is the service's count of effects at a point in time.
type sample struct {
	what    string
	at      time.Time
	effects int
}

// Guards against admitting more than rate x time + burst over all instances, in
// any window, while share slots move under faults and the workspace sends several
// times its rate, and against a workspace that is not served after a fault.
func TestSharesUnderFaults(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
	const rate, burst, callersEach = 40.0, 80.0, 3
	for _, r := range s.routes.Routes {
		for k := range r.Workspaces {
			if r.Workspaces[k].Name == "sales" {
				r.Workspaces[k].Rate, r.Workspaces[k].Burst = rate, burst
			}
		}
	}
	s.one.MustPut("routes", s.routes)
	j, stop := &answerLog{}, make(chan struct{})
	var wg sync.WaitGroup
	floodCallers := 0
	flood := func(i *processtest.Instance) {
		floodCallers += callersEach
		for range callersEach {
			j.run(&wg, stop, i, call{method: http.MethodPost, path: "/signup/new", key: salesKey, header: map[string]string{"X-Request-Timeout": "1"}})
		}
	}
	var samples []sample
	takeSample := func(what string) {
		samples = append(samples, sample{what, time.Now(), s.service.ServiceCounts().Effects})
	}
	awaitServed := func(what string, list ...*processtest.Instance) {
		for _, i := range list {
			processtest.Eventually(t, what+": sales are served at "+i.Name, func() bool { return j.add(signup().do(i)).status == http.StatusOK })
		}
	}
	takeSample("start")
	flood(s.one)
	flood(s.two)
	table := s.proxies.table[s.one]
	for _, f := range []struct {
		name       string
		start, end func()
	}{
		{"frozen", s.two.Freeze, s.two.Thaw},
		{"peer links cut", func() { s.proxies.peer[s.one].Cut(); s.proxies.peer[s.two].Cut() },
			func() { s.proxies.peer[s.one].Heal(); s.proxies.peer[s.two].Heal() }},
		{"peer links and table delayed", func() { table.Delay(300 * time.Millisecond); s.proxies.peer[s.two].Delay(300 * time.Millisecond) },
			func() { table.Heal(); s.proxies.peer[s.two].Heal() }},
		{"answers of the table lost", table.LoseAnswers, table.Heal},
		{"table out", func() { s.fleet.Table.SetFaults(standin.Faults{Outage: standin.OutageClose}) },
			func() { s.fleet.Table.SetFaults(standin.Faults{}) }},
		{"gone from the list while it lives", func() { s.fleet.List.Deregister(s.two.Name) }, func() {}},
	} {
		takeSample(f.name)
		f.start()
		waitSince(t, time.Now(), testListLag+time.Second)
		takeSample("end of " + f.name)
		f.end()
		awaitServed("after "+f.name, s.one)
	}
	takeSample("kill")
	s.two.Kill()
	// Both added instances take over the slots of the killed instance at the same
	// time, while the list shows neither of them yet.
	s.fleet.List.SetFaults(standin.Faults{ListLag: duration.Duration(testListLag)})
	var addedInstances []*processtest.Instance
	for n := range 2 {
		addedInstances = append(addedInstances, s.start(fmt.Sprintf("new-%d", n), "west"))
	}
	for _, i := range addedInstances {
		flood(i)
	}
	awaitServed("after the kill", append(addedInstances, s.one)...)
	waitSince(t, time.Now(), testListLag)
	takeSample("shutdown with repeated messages")
	hub, ctx := newTestPeer(t, s.one)
	released := quota.SlotReleased{Workspace: "sales"}
	addedInstances[1].Terminate()
	processtest.Eventually(t, "the shutdown ends while its messages are repeated", func() bool {
		if err := hub.Call(ctx, s.one.Name, peer.KindSlotReleased, released, nil); err != nil {
			t.Errorf("repeated message: %v", err)
		}
		return addedInstances[1].Ended()
	})
	if code := addedInstances[1].ExitCode(); code != 0 {
		t.Errorf("the shutdown exited with %d, want 0", code)
	}
	takeSample("end of the shutdown")
	for range 20 {
		if err := hub.Call(ctx, s.one.Name, peer.KindSlotReleased, released, nil); err != nil {
			t.Errorf("repeated message after the shutdown: %v", err)
		}
	}
	awaitServed("after the shutdown", addedInstances[0], s.one)
	waitSince(t, time.Now(), testListLag)
	takeSample("end")
	close(stop)
	wg.Wait()
	for k, from := range samples {
		for _, to := range samples[k+1:] {
			// A call that was admitted before the window may run in it.
			limit := rate*to.at.Sub(from.at).Seconds() + burst + float64(floodCallers)
			if n := float64(to.effects - from.effects); n > limit {
				t.Errorf("from %s to %s: %.0f calls ran in %s, the limit is %.0f", from.what, to.what, n, to.at.Sub(from.at), limit)
			}
		}
	}
	first, last := samples[0], samples[len(samples)-1]
	t.Logf("%d calls ran in %s, %.2f of rate x time + burst", last.effects-first.effects, last.at.Sub(first.at),
		float64(last.effects-first.effects)/(rate*last.at.Sub(first.at).Seconds()+burst))
	j.check(s)
}

// Guards against two placers, a second replica and a cold model that is not
// loaded when the holder of the placer's lease is cut off from the table.
func TestPlacerIsCutFromTable(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
	holder, other := s.one, s.two
	processtest.Eventually(t, "the status names a placer", func() bool {
		status, err := s.one.Status()
		if err == nil && status.Placer == s.two.Name {
			holder, other = s.two, s.one
		}
		return err == nil && status.Placer != ""
	})
	s.proxies.table[holder].Cut()
	processtest.Eventually(t, "the other instance is the placer", func() bool {
		status, err := other.Status()
		return err == nil && status.Placer == other.Name
	})
	processtest.Eventually(t, "a cold model is served", func() bool { return chat("small", lawKey, 3, true).do(other).status == http.StatusOK })
	s.proxies.table[holder].Heal()
	for _, i := range []*processtest.Instance{holder, other} {
		processtest.Eventually(t, "served at "+i.Name, func() bool { return chat("large", lawKey, 3, true).do(i).status == http.StatusOK })
	}
	if state := s.engine.EngineCounts(); state.MaxReplicas["small"] != 1 || state.MaxReplicas["large"] != 1 {
		t.Errorf("got peak replicas %v, want one each", state.MaxReplicas)
	}
}

// Guards against holding requests whose model can't be loaded in time from a
// slow weight store, against refusals without Retry-After, and against refusing
// requests that can be served.
func TestSlowWeightStore(t *testing.T) {
	const slowLoad = 6 * time.Second
	s := newProxiedSystem(t, slowLoad)
	chat("small", lawKey, 3, true).do(s.one).wantStream(t, "first load", 3) // lets the instances measure the load time
	waiting := make(chan answer, 1)
	go func() { waiting <- chat("large", lawKey, 3, true).do(s.one) }()
	processtest.Eventually(t, "the load has begun", func() bool { return s.engine.EngineCounts().Loads["large"] == 1 })
	shortDeadline := chat("large", lawKey, 3, true)
	shortDeadline.header = map[string]string{"X-Request-Timeout": "2"}
	for _, i := range []*processtest.Instance{s.one, s.two} {
		a := shortDeadline.do(i)
		if a.status == http.StatusOK || !strings.Contains(a.body, `"verdict":"not_run"`) || a.header.Get("Retry-After") == "" {
			t.Errorf("hasty request at %s: %d %q, Retry-After %q", i.Name, a.status, a.body, a.header.Get("Retry-After"))
		}
		if a.elapsed > time.Second {
			t.Errorf("hasty request at %s was held for %s before its refusal", i.Name, a.elapsed)
		}
		chat("small", lawKey, 3, true).do(i).wantStream(t, "loaded model at "+i.Name, 3)
	}
	(<-waiting).wantStream(t, "request with a long deadline", 3)
	if state := s.engine.EngineCounts(); state.Loads["small"] != 1 || state.Loads["large"] != 1 {
		t.Errorf("got loads %v, want one each", state.Loads)
	}
}
