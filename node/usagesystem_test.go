package node_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// usageSystem is a test system whose instances report usage.
type usageSystem struct {
	*testSystem
	api   *userplatform.API
	links []usageLinks    // of each instance
	steps []*atomic.Int64 // by which the wall clock of each instance is off, in nanoseconds

	sent []usageRequest
}

// usageLinks are the links of an instance to the store and the API.
type usageLinks struct{ store, api *standin.Link }

// usageRequest is a request that was answered, and the time in which it ran.
type usageRequest struct {
	workspace   string
	begun, done time.Time
}

func newUsageSystem(t *testing.T, instances int) *usageSystem {
	t.Helper()
	t.Parallel() // these tests mostly wait for the end of windows
	s := &usageSystem{api: userplatform.NewAPI(testLeaseGap)}
	server := httptest.NewServer(s.api.Gate())
	t.Cleanup(server.Close)
	link := func(target string) *standin.Link {
		l, err := standin.NewLink(target)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		return l
	}
	s.testSystem = newConfiguredSystem(t, func(settings *node.Settings) {
		links := usageLinks{store: link(settings.Store), api: link(server.Listener.Addr().String())}
		step := &atomic.Int64{}
		s.links, s.steps = append(s.links, links), append(s.steps, step)
		settings.Store = links.store.Address()
		settings.WallClock = func() time.Time { return time.Now().Add(time.Duration(step.Load())) }
		settings.Duties = node.Duties{Address: links.api.Address(), List: []string{"usage_reporting,autoscaling"}, CallsPerS: 50}
		settings.Bounds.UsageWindowS, settings.Bounds.UsageLateS = usageWindow.Seconds(), 10
	}, instances)
	return s
}

// leader waits until an instance leads and returns its index.
func (s *usageSystem) leader() int {
	s.t.Helper()
	index := -1
	s.eventually("an instance leads", func() bool {
		var lease struct {
			Holder  string `json:"holder"`
			Expires int64  `json:"expires_ns"`
		}
		if err := json.Unmarshal(s.store.Value("hibiscusyard", "lease"), &lease); err != nil || lease.Expires == 0 {
			return false
		}
		_, err := fmt.Sscanf(lease.Holder, "entry-%d", &index)
		index--
		return err == nil
	})
	return index
}

// decidedUpTo returns the first window that is not decided according to the store.
func (s *usageSystem) decidedUpTo() int64 {
	s.t.Helper()
	var state struct {
		Decided int64 `cbor:"2,keyasint"`
	}
	value := s.store.Value("hibiscusyard-usage", "state")
	if len(value) == 0 {
		return 0
	}
	if err := cbor.Unmarshal(value[1:], &state); err != nil {
		s.t.Fatal(err)
	}
	return state.Decided
}

// kill ends instances that can't write to the store any more, as a killed process can't.
func (s *usageSystem) kill(instances ...int) {
	s.store.Gate().SetFaults(standin.Faults{Outage: standin.OutageClose})
	for _, i := range instances {
		s.nodes[i].Stop()
	}
	s.store.Gate().SetFaults(standin.Faults{})
}

// others returns all instances but one.
func (s *usageSystem) others(instance int) []int {
	var list []int
	for i := range s.nodes {
		if i != instance {
			list = append(list, i)
		}
	}
	return list
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
	window := usageWindowOf(s.sent[len(s.sent)-1].done)
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
