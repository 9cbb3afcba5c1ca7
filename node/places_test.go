package node_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// sendDrafts sends requests for a model at once, to the instances in turn, and returns the
// answers.
func (s *testSystem) sendDrafts(n int, deadline time.Duration, model string) []answer {
	answers := make([]answer, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			r := draftRequest(model)
			r.deadline = deadline
			answers[i] = s.send(i%len(s.nodes), r)
		})
	}
	group.Wait()
	return answers
}

// countStatuses counts the answers by status and checks that the refused callers are told
// when to return.
func countStatuses(t *testing.T, answers []answer) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
		if a.status != http.StatusServiceUnavailable {
			continue
		}
		if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || seconds <= 0 {
			t.Errorf("refused with Retry-After %q", a.header.Get("Retry-After"))
		}
	}
	return statuses
}

// counter returns the value of a counter of an instance, 0 if there is none.
func (s *testSystem) counter(instance int, name string) float64 {
	s.t.Helper()
	response, err := http.Get("http://" + s.metricsAddresses[instance] + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				s.t.Fatal(err)
			}
			return n
		}
	}
	return 0
}

// Load: more requests for one model, at several instances, than its only engine runs. Guards
// against an engine whose queue grows until the callers have left.
func TestEngineIsSentWhatItRunsOverAllInstances(t *testing.T) {
	s := newTestSystem(t, 4)
	engine := s.engines[0]
	engine.SetPace(8, 20*time.Millisecond)
	answers := s.sendDrafts(64, 2*time.Second, "notices")
	statuses := countStatuses(t, answers)
	if statuses[http.StatusOK] < engine.Slots || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != len(answers) {
		t.Errorf("answers %v: want %d or more served and the others refused", statuses, engine.Slots)
	}
	for _, a := range engine.Arrivals() {
		if !a.Ran {
			t.Errorf("request %s reached the engine while all slots were taken", a.ID)
		}
	}
}

// Guards against requests that wait for a place and get no answer because the leader that
// they asked is gone.
func TestRequestsThatWaitForAPlaceOutliveTheLeader(t *testing.T) {
	s := newTestSystem(t, 3)
	engine := s.engines[0]
	engine.SetPace(8, 50*time.Millisecond)
	var answers []answer
	var group sync.WaitGroup
	group.Go(func() { answers = s.sendDrafts(24, 8*time.Second, "notices") })
	s.eventually("the engine is busy", func() bool { return engine.Running() > 4 })
	lost := s.stopLeader()
	group.Wait()
	served := 0
	for _, a := range answers {
		if a.err == nil && a.status == http.StatusOK {
			served++
		}
	}
	// A third of the callers were connected to the leader.
	if served < len(answers)/3 {
		t.Errorf("%d of %d requests served", served, len(answers))
	}
	s.eventually("the next request is served", func() bool {
		for i := range s.nodes {
			if fmt.Sprintf("entry-%d", i+1) != lost && s.send(i, draftRequest("notices")).status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// Guards against questions to the leader in services that limit the requests to cold
// upstreams, which are served without it.
func TestNoPlacesAreAskedForWithColdLimit(t *testing.T) {
	s := newTestSystem(t, 2)
	desired := userplatform.Sample()
	desired.Version = 2
	for i := range desired.Services {
		desired.Services[i].ColdPerSecond = 50
	}
	if err := desired.Write(s.store); err != nil {
		t.Fatal(err)
	}
	asked := make([]float64, len(s.nodes))
	for i := range s.nodes {
		s.eventually("the desired state is in force", func() bool {
			before := s.counter(i, `hibiscusyard_places_asked_total`)
			s.send(i, draftRequest("notices"))
			asked[i] = s.counter(i, `hibiscusyard_places_asked_total`)
			return asked[i] == before
		})
	}
	for _, a := range s.sendDrafts(8, 4*time.Second, "notices") {
		if a.status != http.StatusOK {
			t.Errorf("got status %d", a.status)
		}
	}
	for i := range s.nodes {
		if n := s.counter(i, `hibiscusyard_places_asked_total`); n != asked[i] {
			t.Errorf("instance %d asked for %v places", i, n-asked[i])
		}
	}
}
