package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/controller/catalogsync"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// salesCall is a call with the key that the tests withdraw.
var salesCall = call{method: http.MethodPost, path: "/signup/new", key: salesKey, header: map[string]string{"X-Request-Timeout": "20"}}

// setSalesKey grants the key of sales, or withdraws it, through an instance,
// and returns when the edit was accepted.
func (s *scene) setSalesKey(i *processtest.Instance, granted bool) time.Time {
	s.t.Helper()
	for k := range s.routes.Routes {
		for w := range s.routes.Routes[k].Workspaces {
			if workspace := &s.routes.Routes[k].Workspaces[w]; workspace.Name == "sales" && !s.routes.Routes[k].Open {
				workspace.Keys = nil
				if granted {
					workspace.Keys = []string{catalog.HashKey(salesKey)}
				}
			}
		}
	}
	i.MustPut("routes", s.routes)
	return time.Now()
}

// wantWithdrawn checks that an answer is a refusal without a run.
func wantWithdrawn(t *testing.T, what string, a answer) {
	t.Helper()
	if a.status == http.StatusOK || !strings.Contains(a.body, `"verdict":"not_run"`) {
		t.Errorf("%s: %d %q %v", what, a.status, a.body, a.err)
	}
}

// fiveInstances adds three instances, so that an edit is accepted without one of them.
func fiveInstances(s *scene) []*processtest.Instance {
	all := []*processtest.Instance{s.one, s.two}
	for n := 3; n <= 5; n++ {
		all = append(all, s.start(fmt.Sprintf("entry-%d", n), "east"))
	}
	processtest.AwaitMembers(s.t, len(all), all...)
	for _, i := range all {
		processtest.Eventually(s.t, i.Name+" serves", func() bool { return i.Ready() && salesCall.do(i).status == http.StatusOK })
	}
	return all
}

// Guards against an instance that is frozen while a key is withdrawn and
// serves it after the thaw, also for a call that has waited in its socket.
func TestKeyWithdrawnWhileInstanceIsFrozen(t *testing.T) {
	s := proxiedScene(t, 300*time.Millisecond)
	all := fiveInstances(s)
	// The others dial the instance with the highest address, so that cutting its
	// own proxy cuts all its links.
	frozen := slices.MaxFunc(all, func(a, b *processtest.Instance) int {
		return strings.Compare(s.proxies.peer[a].Address, s.proxies.peer[b].Address)
	})
	editor := all[0]
	if editor == frozen {
		editor = all[1]
	}
	for _, c := range []struct {
		thawAfter time.Duration
		cut       bool // from table and peers, so that nothing tells it of the edit
	}{{pauseLimit + time.Second, false}, {inForce, false}, {inForce, true}} {
		s.setSalesKey(editor, true)
		processtest.Eventually(t, "the key is served", func() bool { return salesCall.do(frozen).status == http.StatusOK })
		frozen.Freeze()
		if c.cut {
			s.proxies.table[frozen].Cut()
			s.proxies.peer[frozen].Cut()
		}
		accepted := s.setSalesKey(editor, false)
		waiting := make(chan answer, 1)
		go func() { waiting <- salesCall.do(frozen) }()
		pass(t, accepted, c.thawAfter)
		effects := s.service.ServiceCounts().Effects
		frozen.Thaw()
		a := <-waiting
		if c.thawAfter >= inForce {
			wantWithdrawn(t, "call that waited in the socket", a)
			if n := s.service.ServiceCounts().Effects; n != effects {
				t.Errorf("the withdrawn key had %d effects after the thaw", n-effects)
			}
		}
		if c.cut {
			wantWithdrawn(t, "call after the thaw while cut off", salesCall.do(frozen))
			s.proxies.table[frozen].Heal()
			s.proxies.peer[frozen].Heal()
		}
		processtest.Eventually(t, "the key is refused for good", func() bool {
			asked := time.Now()
			a := salesCall.do(frozen)
			if a.status == http.StatusOK && asked.Sub(accepted) > inForce {
				t.Errorf("the key was served %s after its withdrawal", asked.Sub(accepted))
			}
			return strings.Contains(a.body, "invalid_key")
		})
	}
}

// sender returns a hub in the test process that is linked to an instance and
// sends what a peer could send.
func sender(t *testing.T, to *processtest.Instance) (*peer.Hub, context.Context) {
	t.Helper()
	hub := peer.NewHub(peer.Identity{Instance: "sender", Incarnation: "1", DataCentre: "east", Address: "127.0.0.1:1"},
		processtest.PeerSecret, &log.Logger{Handler: discard.New()})
	t.Cleanup(hub.Close)
	hub.SetTargets(t.Context(), []string{to.Peer})
	processtest.Eventually(t, "the sender is linked", func() bool { return len(hub.Connected()) == 1 })
	return hub, t.Context()
}

// Guards against an edit that is not in force in time when links and table are
// slow, or at an instance that the list does not show yet, and against late and
// repeated pushes that bring an old version back.
func TestEditUnderFaults(t *testing.T) {
	s := proxiedScene(t, 300*time.Millisecond)
	refusedInTime := func(what string, accepted time.Time, all ...*processtest.Instance) {
		t.Helper()
		for _, i := range all {
			processtest.Within(t, inForce-time.Since(accepted), what+": the key is refused at "+i.Name, func() bool {
				return strings.Contains(salesCall.do(i).body, "invalid_key")
			})
		}
	}

	for _, i := range []*processtest.Instance{s.one, s.two} {
		s.proxies.table[i].Delay(200 * time.Millisecond)
		s.proxies.peer[i].Delay(200 * time.Millisecond)
	}
	refusedInTime("delay", s.setSalesKey(s.one, false), s.one, s.two)
	for _, i := range []*processtest.Instance{s.one, s.two} {
		s.proxies.table[i].Heal()
		s.proxies.peer[i].Heal()
	}

	// A third hub holds the old version back and sends it late and repeatedly.
	hub, ctx := sender(t, s.two)
	fetch := func() (push catalogsync.Push) {
		t.Helper()
		if err := hub.Call(ctx, s.two.Name, peer.KindCatalogFetch, catalogsync.Fetch{}, &push); err != nil {
			t.Fatal(err)
		}
		return push
	}
	s.setSalesKey(s.one, true)
	processtest.Eventually(t, "the key is granted again", func() bool { return salesCall.do(s.two).status == http.StatusOK })
	old := fetch()
	accepted := s.setSalesKey(s.one, false)
	refusedInTime("before late pushes", accepted, s.two)
	current := fetch()
	if current.Version <= old.Version {
		t.Errorf("version %d after version %d", current.Version, old.Version)
	}
	for range 3 {
		for _, push := range []catalogsync.Push{old, current, old} {
			if err := hub.Call(ctx, s.two.Name, peer.KindCatalogPush, push, nil); err != nil {
				t.Errorf("push of version %d: %v", push.Version, err)
			}
			wantWithdrawn(t, "after a late push", salesCall.do(s.two))
		}
	}
	if got := fetch(); got.Version != current.Version {
		t.Errorf("version %d is in force after late pushes, want %d", got.Version, current.Version)
	}
	hub.Close()

	s.setSalesKey(s.one, true)
	s.fleet.List.SetFaults(standin.Faults{ListLag: duration.Duration(time.Hour)})
	unlisted := s.start("unlisted", "east")
	processtest.Eventually(t, "the instance that is not listed serves", func() bool { return salesCall.do(unlisted).status == http.StatusOK })
	processtest.Eventually(t, "an edit is accepted", func() bool {
		result, err := s.one.Put("pools", s.pools)
		return err == nil && result.Accepted
	})
	refusedInTime("lagging list", s.setSalesKey(s.one, false), s.one, s.two, unlisted)
}
