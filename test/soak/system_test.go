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
	"time"

	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Sizes of the system. The time limits are those of the users' deployments,
// except for the gap between holders of the lease, which would take most of a
// short run.
const (
	instances     = 3
	engines       = 3
	plainServices = 2
	events        = 6
	leaseMS       = 500
	revokeMS      = 5000
	graceS        = 8
)

// member is one instance with the fault proxies in front of its store and its
// caller listener.
type member struct {
	name          string
	settings      string
	callers       string // address of the instance's caller listener
	ready         string
	store, ingest *processtest.Proxy
	process       *processtest.Process
	excused       []period // in which it need not keep the limits of upstreams
}

type period struct{ from, until time.Time }

// system is the stand-in of the platform with its upstreams, and the instances,
// which run as processes.
type system struct {
	faultKinds int     // number of kinds of faults that are drawn
	crashPart  string  // part of prompts that crashes engines, empty for none
	crashPath  string  // path of a request that crashes upstreams, empty for none
	versions   bool    // engines have two software versions
	duties     *duties // nil without calls to the platform's API
	t          *testing.T
	store      *userplatform.Store
	members    []*member

	leaving sync.WaitGroup // upstreams that will end

	mu        sync.Mutex
	upstreams []*userplatform.Upstream // includes those that have ended
	retired   map[string]bool          // upstreams that have ended for good
	next      int
	started   int // engines and plain upstreams that have been started
}

func newSystem(t *testing.T, versions, withDuties bool) *system {
	t.Helper()
	s := &system{t: t, versions: versions, store: userplatform.NewStore(), retired: map[string]bool{}}
	server := httptest.NewServer(s.store.Gate())
	t.Cleanup(server.Close)
	if err := userplatform.Sample().Write(s.store); err != nil {
		t.Fatal(err)
	}
	if withDuties {
		s.startDuties()
	}
	for range engines {
		s.addEngine()
	}
	for range plainServices {
		s.addPlain()
	}
	for range instances {
		s.addMember(server.Listener.Addr().String())
	}
	for _, m := range s.members {
		s.awaitReady(m)
	}
	return s
}

func (s *system) add(u *userplatform.Upstream) {
	if err := u.Start(s.store); err != nil {
		s.t.Error(err)
		return
	}
	s.t.Cleanup(u.Close)
	u.CrashOnPart(s.crashPart, crashDowntime)
	u.CrashOnRequest(validTenant, s.crashPath, crashDowntime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, u)
}

// retire marks an upstream as ended for good, and reports whether it was not before.
func (s *system) retire(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired[id] {
		return false
	}
	s.retired[id] = true
	return true
}

func (s *system) nextID(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	return fmt.Sprintf("%s-%d", kind, s.next)
}

func (s *system) addEngine() {
	eventDuration := pace
	if s.versions {
		eventDuration = slowPace // streams last long enough to be broken by other faults than their own
	}
	s.add(&userplatform.Upstream{
		ID: s.nextID("engine"), Software: s.software(), Service: "engine", Zone: "north", Slots: 16, Events: events, EventDuration: eventDuration,
		Engine: &userplatform.Engine{ModelCapacity: 2, AdapterSlots: 2, LoadTime: 20 * pace, Models: map[string][]string{"notices": nil}},
	})
}

func (s *system) addPlain() {
	u := &userplatform.Upstream{ID: s.nextID("rota"), Service: "rota", Zone: "north", Slots: 6, EventDuration: pace}
	if s.versions {
		u.RefusalCopies = userplatform.RefusalCopy(s.count() % 4)
	}
	s.add(u)
}

// software returns the version of the next engine's software.
func (s *system) software() string {
	if !s.versions {
		return ""
	}
	return fmt.Sprintf("v%d", 1+s.count()%2)
}

// count numbers the upstreams that are started.
func (s *system) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	return s.started
}

func (s *system) allUpstreams() []*userplatform.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*userplatform.Upstream(nil), s.upstreams...)
}

func (s *system) addMember(store string) {
	m := &member{name: fmt.Sprintf("entry-%d", len(s.members)+1)}
	m.store = processtest.NewProxy(s.t, store)
	m.ingest = processtest.NewProxy(s.t, "127.0.0.1:1")
	m.settings = filepath.Join(s.t.TempDir(), "settings.json")
	s.members = append(s.members, m)
	s.start(m)
}

// start starts the process of a member, each time at new addresses: the operating
// system may have assigned the old ports to other connections.
func (s *system) start(m *member) {
	settings, err := sample.Settings(m.name, m.store.Address)
	if err != nil {
		s.t.Fatal(err)
	}
	settings.MemoryMB, settings.CPUShare = 284, 0.4
	settings.Bounds.LeaseMS, settings.Bounds.RevokeMS, settings.Bounds.GraceS = leaseMS, revokeMS, graceS
	if s.duties != nil {
		s.duties.configure(&settings)
	}
	m.callers, m.ready = settings.CallerListen, settings.ReadyListen
	data, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	m.ingest.Redirect(m.callers)
	m.process = processtest.Start(s.t, m.name, "hibiscusyard-front", "serve", "--settings", m.settings)
}

func (s *system) awaitReady(m *member) {
	s.t.Helper()
	processtest.Eventually(s.t, m.name+" is ready", func() bool {
		if m.process.Ended() { // another process has taken one of its addresses
			s.start(m)
		}
		response, err := http.Get("http://" + m.ready + "/readiness")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// minInstanceMemory is the memory of the smallest instances of the deployments
// in bytes.
const minInstanceMemory = 160 << 20

// checkMemory fails the test if the peak memory of a running process exceeds
// minInstanceMemory.
func (s *system) checkMemory() {
	if raceDetector {
		return
	}
	for _, m := range s.members {
		if m.process.Ended() {
			continue
		}
		if peak := m.process.PeakMemory(); peak > minInstanceMemory {
			s.t.Errorf("%s used %d MiB at its peak", m.name, peak>>20)
		}
	}
}
