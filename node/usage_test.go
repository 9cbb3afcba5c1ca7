package node_test

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

const (
	// usageWindow is the length of a window in these tests.
	usageWindow = time.Second
	// usageClockSlack is the difference between the test's and the instances' time beyond
	// which a request counts as in the wrong window.
	usageClockSlack = 100 * time.Millisecond
	// testLeaseGap is the lease_ms of the instances.
	testLeaseGap = 300 * time.Millisecond
)

// usageSystem is a test system whose instances report usage.
type usageSystem struct {
	*testSystem
	api *userplatform.API

	mu   sync.Mutex
	sent []usageRequest
}

// usageRequest is a request that was answered, and the time in which it ran.
type usageRequest struct {
	workspace   string
	begun, done time.Time
}

func newUsageSystem(t *testing.T, instances int, configure func(*node.Settings)) *usageSystem {
	t.Helper()
	s := &usageSystem{api: userplatform.NewAPI(testLeaseGap)}
	server := httptest.NewServer(s.api.Gate())
	t.Cleanup(server.Close)
	s.testSystem = newConfiguredSystem(t, func(settings *node.Settings) {
		settings.Duties = node.Duties{Address: server.Listener.Addr().String(), List: []string{"usage_reporting,autoscaling"}, CallsPerS: 50}
		settings.Bounds.UsageWindowS, settings.Bounds.UsageLateS = usageWindow.Seconds(), 10
		configure(settings)
	}, instances)
	return s
}

// usageWindowOf returns the window that a time lies in.
func usageWindowOf(t time.Time) int64 { return t.UnixNano() / int64(usageWindow) }

// ask sends one request, a stream or a plain one, to an instance.
func (s *usageSystem) ask(instance int, stream bool) {
	r := request{method: http.MethodGet, path: "/lookup/1", key: "committee-key"}
	if stream {
		r = draftRequest("notices")
	}
	begun := time.Now()
	if s.send(instance, r).status != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, usageRequest{"committee", begun, time.Now()})
}

// serve sends requests to the instances until a condition holds.
func (s *usageSystem) serve(instances []int, what string, until func() bool) {
	s.t.Helper()
	i := 0
	s.eventually(what, func() bool {
		s.ask(instances[i%len(instances)], i%2 == 0)
		i++
		return until()
	})
}

// serveWindows sends requests during a number of windows.
func (s *usageSystem) serveWindows(n int64, instances ...int) {
	s.t.Helper()
	end := usageWindowOf(time.Now()) + n
	s.serve(instances, "the windows end", func() bool { return usageWindowOf(time.Now()) > end })
}

// reported waits until the last window with requests so far is reported.
func (s *usageSystem) reported() {
	s.t.Helper()
	s.mu.Lock()
	last := s.sent[len(s.sent)-1].done
	s.mu.Unlock()
	window := usageWindowOf(last)
	s.eventually("the last window is reported", func() bool { return s.api.Usage()[window].Counts != nil })
}

// checkRule checks that one instance at a time made calls, and reported each window once.
func (s *usageSystem) checkRule() {
	s.t.Helper()
	for _, violation := range s.api.Violations() {
		s.t.Error(violation)
	}
}

// ran returns the number of requests that the upstreams have run, by workspace.
func (s *usageSystem) ran() map[string]int64 {
	return userplatform.CountRuns(append(append([]*userplatform.Upstream(nil), s.engines...), s.rotas...)...)
}

// total returns the number of reported requests by workspace.
func (s *usageSystem) total() map[string]int64 {
	total := map[string]int64{}
	for _, report := range s.api.Usage() {
		for workspace, n := range report.Counts {
			total[workspace] += n
		}
	}
	return total
}

// checkExact checks that each request that ran was reported, in a window in which it may
// have begun.
func (s *usageSystem) checkExact() {
	s.t.Helper()
	if got, want := s.total(), s.ran(); !maps.Equal(got, want) {
		s.t.Errorf("reported %v in total, the upstreams have run %v", got, want)
	}
	least, most := map[int64]int64{}, map[int64]int64{}
	for _, r := range s.sent {
		first, last := usageWindowOf(r.begun.Add(-usageClockSlack)), usageWindowOf(r.done.Add(usageClockSlack))
		if first == last {
			least[first]++
		}
		for w := first; w <= last; w++ {
			most[w]++
		}
	}
	reports := s.api.Usage()
	for w := range most {
		if n := reports[w].Counts["committee"]; n < least[w] || n > most[w] {
			s.t.Errorf("window %d: %d requests reported, want %d to %d", w, n, least[w], most[w])
		}
	}
}

// Guards against reports that are missing, inaccurate or of another window while nothing
// fails, and against windows without requests that are left out between others.
func TestUsageIsReportedExactly(t *testing.T) {
	s := newUsageSystem(t, 3, func(*node.Settings) {})
	s.serveWindows(4, 0, 1, 2)
	quiet := usageWindowOf(time.Now()) + 1
	s.eventually("a window without requests is reported", func() bool { return s.api.Usage()[quiet].Counts != nil })
	s.serveWindows(1, 0, 1, 2)
	s.reported()
	s.checkExact()
	s.checkRule()
}
