package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Sizes of the world. The bounds are those of the users' deployments but for
// the gap between holders of the lease, which would take most of a short run.
const (
	instances = 3
	engines   = 3
	plain     = 2
	events    = 6
	leaseMS   = 500
	revokeMS  = 5000
	graceS    = 8
)

// member is one instance and the proxies in front of its store and its callers.
type member struct {
	name          string
	settings      string
	callers       string // address of the process
	ready         string
	store, ingest *processtest.Proxy
	process       *processtest.Process
}

// world is the platform with its upstreams and the instances as processes.
type world struct {
	faults  int // kinds of faults that are drawn
	t       *testing.T
	store   *userplatform.Store
	members []*member

	mu        sync.Mutex
	upstreams []*userplatform.Upstream // those that have ended included
	next      int
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: userplatform.NewStore()}
	server := httptest.NewServer(w.store.Gate())
	t.Cleanup(server.Close)
	if err := userplatform.Sample().Write(w.store); err != nil {
		t.Fatal(err)
	}
	for range engines {
		w.addEngine()
	}
	for range plain {
		w.addPlain()
	}
	for range instances {
		w.addMember(server.Listener.Addr().String())
	}
	for _, m := range w.members {
		w.awaitReady(m)
	}
	return w
}

func (w *world) add(u *userplatform.Upstream) {
	if err := u.Start(w.store); err != nil {
		w.t.Error(err)
		return
	}
	w.t.Cleanup(u.Close)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams = append(w.upstreams, u)
}

func (w *world) id(kind string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return fmt.Sprintf("%s-%d", kind, w.next)
}

func (w *world) addEngine() {
	w.add(&userplatform.Upstream{
		ID: w.id("engine"), Service: "engine", Zone: "north", Slots: 16, Events: events, Work: pace,
		Engine: &userplatform.Engine{Places: 2, AdapterSlots: 2, LoadTime: 20 * pace, Models: map[string][]string{"notices": nil}},
	})
}

func (w *world) addPlain() {
	w.add(&userplatform.Upstream{ID: w.id("rota"), Service: "rota", Zone: "north", Slots: 6, Work: pace})
}

func (w *world) all() []*userplatform.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*userplatform.Upstream(nil), w.upstreams...)
}

func (w *world) addMember(store string) {
	m := &member{name: fmt.Sprintf("entry-%d", len(w.members)+1)}
	m.store = processtest.NewProxy(w.t, store)
	m.ingest = processtest.NewProxy(w.t, "127.0.0.1:1")
	m.settings = filepath.Join(w.t.TempDir(), "settings.json")
	w.members = append(w.members, m)
	w.start(m)
}

// start runs the process of a member, each time at new addresses: the system
// may have given the old ones to other connections.
func (w *world) start(m *member) {
	settings, err := sample.Settings(m.name, m.store.Address)
	if err != nil {
		w.t.Fatal(err)
	}
	settings.MemoryMB, settings.CPUShare = 284, 0.4
	settings.Bounds.LeaseMS, settings.Bounds.RevokeMS, settings.Bounds.GraceS = leaseMS, revokeMS, graceS
	m.callers, m.ready = settings.CallerListen, settings.ReadyListen
	data, err := json.Marshal(settings)
	if err != nil {
		w.t.Fatal(err)
	}
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		w.t.Fatal(err)
	}
	m.ingest.Redirect(m.callers)
	m.process = processtest.Start(w.t, m.name, "hibiscusyard-front", "serve", "--settings", m.settings)
}

func (w *world) awaitReady(m *member) {
	w.t.Helper()
	processtest.Eventually(w.t, m.name+" is ready", func() bool {
		if m.process.Ended() { // another process took one of its addresses first
			w.start(m)
		}
		response, err := http.Get("http://" + m.ready + "/readiness")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// weakMemory is what the smallest instances of the deployments have in bytes.
const weakMemory = 160 << 20

// checkMemory fails if a process has ever taken more memory than an instance has.
func (w *world) checkMemory() {
	if raceDetector {
		return
	}
	for _, m := range w.members {
		if m.process.Ended() {
			continue
		}
		if peak := m.process.PeakMemory(); peak > weakMemory {
			w.t.Errorf("%s took %d MiB", m.name, peak>>20)
		}
	}
}
