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

// sample is the service's count of effects at a time.
type sample struct {
	what    string
	at      time.Time
	effects int
}

// Guards against more than rate x time + burst over all instances, in any
// window, while shares move under faults and the workspace sends several times
// its rate, and against a workspace that gets nothing after a fault.
func TestSharesUnderFaults(t *testing.T) {
	s := proxiedScene(t, 300*time.Millisecond)
	const rate, burst, callersEach = 40.0, 80.0, 3
	for _, r := range s.routes.Routes {
		for k := range r.Workspaces {
			if r.Workspaces[k].Name == "sales" {
				r.Workspaces[k].Rate, r.Workspaces[k].Burst = rate, burst
			}
		}
	}
	s.one.MustPut("routes", s.routes)
	j, stop := &journal{}, make(chan struct{})
	var wg sync.WaitGroup
	flooded := 0
	flood := func(i *processtest.Instance) {
		flooded += callersEach
		for range callersEach {
			j.run(&wg, stop, i, call{method: http.MethodPost, path: "/signup/new", key: salesKey, header: map[string]string{"X-Request-Timeout": "1"}})
		}
	}
	var samples []sample
	take := func(what string) {
		samples = append(samples, sample{what, time.Now(), s.service.ServiceCounts().Effects})
	}
	served := func(what string, list ...*processtest.Instance) {
		for _, i := range list {
			processtest.Eventually(t, what+": sales are served at "+i.Name, func() bool { return j.add(signup().do(i)).status == http.StatusOK })
		}
	}
	take("start")
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
		take(f.name)
		f.start()
		pass(t, time.Now(), testListLag+time.Second)
		take("end of " + f.name)
		f.end()
		served("after "+f.name, s.one)
	}
	take("kill")
	s.two.Kill()
	// Both newcomers take the slots of the killed instance at once, with a list
	// that shows neither of them yet.
	s.fleet.List.SetFaults(standin.Faults{ListLag: duration.Duration(testListLag)})
	var newcomers []*processtest.Instance
	for n := range 2 {
		newcomers = append(newcomers, s.start(fmt.Sprintf("new-%d", n), "west"))
	}
	for _, i := range newcomers {
		flood(i)
	}
	served("after the kill", append(newcomers, s.one)...)
	pass(t, time.Now(), testListLag)
	take("shutdown with repeated messages")
	hub, ctx := sender(t, s.one)
	released := quota.SlotReleased{Workspace: "sales"}
	newcomers[1].Terminate()
	processtest.Eventually(t, "the shutdown ends while its messages are repeated", func() bool {
		if err := hub.Call(ctx, s.one.Name, peer.KindSlotReleased, released, nil); err != nil {
			t.Errorf("repeated message: %v", err)
		}
		return newcomers[1].Ended()
	})
	if code := newcomers[1].ExitCode(); code != 0 {
		t.Errorf("the shutdown ended with %d", code)
	}
	take("end of the shutdown")
	for range 20 {
		if err := hub.Call(ctx, s.one.Name, peer.KindSlotReleased, released, nil); err != nil {
			t.Errorf("repeated message after the shutdown: %v", err)
		}
	}
	served("after the shutdown", newcomers[0], s.one)
	pass(t, time.Now(), testListLag)
	take("end")
	close(stop)
	wg.Wait()
	for k, from := range samples {
		for _, to := range samples[k+1:] {
			// A call that was admitted before the window may run in it.
			limit := rate*to.at.Sub(from.at).Seconds() + burst + float64(flooded)
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

// Guards against two placers, a second replica and a cold model that stays
// cold when the holder of the placer's lease is cut from the table.
func TestPlacerIsCutFromTable(t *testing.T) {
	s := proxiedScene(t, 300*time.Millisecond)
	holder, other := s.one, s.two
	processtest.Eventually(t, "a placer is known", func() bool {
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
		t.Errorf("most replicas %v", state.MaxReplicas)
	}
}

// Guards against holding requests that a slow weight store can't serve in
// time, against a refusal that does not say when to come back, and against
// refusing requests that can be served.
func TestSlowWeightStore(t *testing.T) {
	const slowLoad = 6 * time.Second
	s := proxiedScene(t, slowLoad)
	chat("small", lawKey, 3, true).do(s.one).wantStream(t, "first load", 3) // shows how slow the store is
	patient := make(chan answer, 1)
	go func() { patient <- chat("large", lawKey, 3, true).do(s.one) }()
	processtest.Eventually(t, "the load has begun", func() bool { return s.engine.EngineCounts().Loads["large"] == 1 })
	hasty := chat("large", lawKey, 3, true)
	hasty.header = map[string]string{"X-Request-Timeout": "2"}
	for _, i := range []*processtest.Instance{s.one, s.two} {
		a := hasty.do(i)
		if a.status == http.StatusOK || !strings.Contains(a.body, `"verdict":"not_run"`) || a.header.Get("Retry-After") == "" {
			t.Errorf("hasty request at %s: %d %q, Retry-After %q", i.Name, a.status, a.body, a.header.Get("Retry-After"))
		}
		if a.elapsed > time.Second {
			t.Errorf("hasty request at %s was held for %s before its refusal", i.Name, a.elapsed)
		}
		chat("small", lawKey, 3, true).do(i).wantStream(t, "loaded model at "+i.Name, 3)
	}
	(<-patient).wantStream(t, "patient request", 3)
	if state := s.engine.EngineCounts(); state.Loads["small"] != 1 || state.Loads["large"] != 1 {
		t.Errorf("loads %v", state.Loads)
	}
}
