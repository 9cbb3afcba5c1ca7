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

// salesCall is a call with the key that the tests of edits withdraw.
var salesCall = call{method: http.MethodPost, path: "/signup/new", key: salesKey, header: map[string]string{"X-Request-Timeout": "20"}}

// setSalesKey grants or withdraws the key of the workspace sales by an edit
// through an instance, and returns the time at which the edit was accepted.
func (s *system) setSalesKey(i *processtest.Instance, granted bool) time.Time {
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

// wantNotRun checks that an answer is a refusal with the verdict not_run.
func wantNotRun(t *testing.T, what string, a answer) {
	t.Helper()
	if a.status == http.StatusOK || !strings.Contains(a.body, `"verdict":"not_run"`) {
		t.Errorf("%s: got status %d %q, error %v, want a refusal with not_run", what, a.status, a.body, a.err)
	}
}

// fiveInstances adds three instances to the system, so that an edit is accepted
// while one instance does not answer.
func fiveInstances(s *system) []*processtest.Instance {
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

// Guards against an instance that is frozen while a key is withdrawn and still
// accepts the key after the thaw, also for a call that was queued in its socket.
func TestKeyWithdrawnWhileInstanceIsFrozen(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
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
		cut       bool // from table and peers, so that the instance does not receive the edit
	}{{pauseLimit + time.Second, false}, {editTimeLimit, false}, {editTimeLimit, true}} {
		s.setSalesKey(editor, true)
		processtest.Eventually(t, "the key is served", func() bool { return salesCall.do(frozen).status == http.StatusOK })
		frozen.Freeze()
		if c.cut {
			s.proxies.table[frozen].Cut()
			s.proxies.peer[frozen].Cut()
		}
		accepted := s.setSalesKey(editor, false)
		queued := make(chan answer, 1)
		go func() { queued <- salesCall.do(frozen) }()
		waitSince(t, accepted, c.thawAfter)
		effects := s.service.ServiceCounts().Effects
		frozen.Thaw()
		a := <-queued
		if c.thawAfter >= editTimeLimit {
			wantNotRun(t, "call that was queued in the socket", a)
			if n := s.service.ServiceCounts().Effects; n != effects {
				t.Errorf("got %d effects of calls with the withdrawn key after the thaw, want none", n-effects)
			}
		}
		if c.cut {
			wantNotRun(t, "call after the thaw while cut off", salesCall.do(frozen))
			s.proxies.table[frozen].Heal()
			s.proxies.peer[frozen].Heal()
		}
		processtest.Eventually(t, "the key is refused as invalid", func() bool {
			sentAt := time.Now()
			a := salesCall.do(frozen)
			if a.status == http.StatusOK && sentAt.Sub(accepted) > editTimeLimit {
				t.Errorf("the key was served %s after its withdrawal", sentAt.Sub(accepted))
			}
			return strings.Contains(a.body, "invalid_key")
		})
	}
}

// newTestPeer returns a peer hub in the test process that is connected to an
// instance, for sending it peer messages.
func newTestPeer(t *testing.T, to *processtest.Instance) (*peer.Hub, context.Context) {
	t.Helper()
	hub := peer.NewHub(peer.Identity{Instance: "sender", Incarnation: "1", DataCentre: "east", Address: "127.0.0.1:1"},
		processtest.PeerSecret, &log.Logger{Handler: discard.New()})
	t.Cleanup(hub.Close)
	hub.SetTargets(t.Context(), []string{to.Peer})
	processtest.Eventually(t, "the test peer is connected", func() bool { return len(hub.Connected()) == 1 })
	return hub, t.Context()
}

// Guards against an edit that is not in force in time when peer links and table
// are slow, or at an instance that the list does not show yet, and against late
// and repeated pushes that restore an old version.
func TestEditUnderFaults(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
	refusedInTime := func(what string, accepted time.Time, all ...*processtest.Instance) {
		t.Helper()
		for _, i := range all {
			processtest.Within(t, editTimeLimit-time.Since(accepted), what+": the key is refused at "+i.Name, func() bool {
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

	// A test peer keeps the old version and pushes it late and repeatedly.
	hub, ctx := newTestPeer(t, s.two)
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
		t.Errorf("got version %d after version %d, want a higher one", current.Version, old.Version)
	}
	for range 3 {
		for _, push := range []catalogsync.Push{old, current, old} {
			if err := hub.Call(ctx, s.two.Name, peer.KindCatalogPush, push, nil); err != nil {
				t.Errorf("push of version %d: %v", push.Version, err)
			}
			wantNotRun(t, "after a late push", salesCall.do(s.two))
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
