package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// scaleSystem is a test system whose engines may be ordered. It begins with two engines in
// the data centre north, which hold two models each.
type scaleSystem struct {
	*testSystem
	api     *userplatform.API
	scaling *userplatform.Scaling
}

const scaledModels = 12

func scaledModel(i int) string { return fmt.Sprintf("scaled-%d", i) }

// scaledDesired returns the sample's desired state with more models, whose engines may be
// ordered between two and six.
func scaledDesired() userplatform.Desired {
	desired := userplatform.Sample()
	desired.Version = 2
	engine := &desired.Services[0]
	model := engine.Engine.Models[0]
	for i := range scaledModels {
		model.Name = scaledModel(i)
		engine.Engine.Models = append(engine.Engine.Models, model)
	}
	engine.Scale = &userplatform.Scale{Minimum: 2, Maximum: 6, BootS: 0.3}
	return desired
}

func newScaleSystem(t *testing.T, instances int, configure func(*node.Settings)) *scaleSystem {
	t.Helper()
	s := &scaleSystem{api: userplatform.NewAPI(testLeaseGap)}
	server := httptest.NewServer(s.api.Gate())
	t.Cleanup(server.Close)
	s.testSystem = newConfiguredSystem(t, func(settings *node.Settings) {
		settings.Duties = node.Duties{Address: server.Listener.Addr().String(), List: []string{"autoscaling"}, CallsPerS: 50}
		configure(settings)
	}, instances)
	s.scaling = &userplatform.Scaling{
		Store: s.store, BootTime: 300 * time.Millisecond, DrainTime: time.Second,
		New: func(service, zone string, n int) *userplatform.Upstream {
			return &userplatform.Upstream{
				ID: fmt.Sprintf("ordered-%d", n), Service: service, Zone: zone, Slots: 16, Events: 8, EventDuration: 2 * time.Millisecond,
				Engine: &userplatform.Engine{ModelCapacity: 2, AdapterSlots: 4, LoadTime: 50 * time.Millisecond, Models: map[string][]string{}},
			}
		},
	}
	t.Cleanup(s.scaling.Close)
	for _, u := range s.engines {
		s.scaling.Add(u)
	}
	s.api.OnScale = s.scaling.Order
	return s
}

// enable writes the desired state that allows to order engines.
func (s *scaleSystem) enable() {
	s.t.Helper()
	if err := scaledDesired().Write(s.store); err != nil {
		s.t.Fatal(err)
	}
}

// demand sends requests for the first n models until a condition holds.
func (s *scaleSystem) demand(n int, what string, until func() bool) {
	s.t.Helper()
	i := 0
	s.eventually(what, func() bool {
		r := draftRequest(scaledModel(i % n))
		r.deadline = time.Second
		s.send(i%len(s.nodes), r)
		i++
		return until()
	})
}

// orderedNumbers returns the numbers of all scaling calls that took effect.
func (s *scaleSystem) orderedNumbers() []int {
	var numbers []int
	for _, call := range s.api.Calls() {
		var body struct{ Desired int }
		if err := json.Unmarshal([]byte(call.Body), &body); err != nil {
			s.t.Fatal(err)
		}
		numbers = append(numbers, body.Desired)
	}
	return numbers
}

// checkRule checks that one instance at a time made calls.
func (s *scaleSystem) checkRule() {
	s.t.Helper()
	for _, violation := range s.api.Violations() {
		s.t.Error(violation)
	}
}

// Guards against requested models that do not fit while the platform would start engines,
// and against new engines that stay empty or get no requests: six models are asked for, and
// two engines with two places each are there.
func TestUpstreamsAreOrderedWhenModelsDoNotFit(t *testing.T) {
	s := newScaleSystem(t, 2, func(*node.Settings) {})
	s.enable()
	s.demand(6, "a third engine is ordered and serves", func() bool {
		running := s.scaling.Running("engine", "north")
		return len(running) >= 3 && len(running[2].Arrivals()) > 0
	})
	for i := range 6 {
		s.eventually(scaledModel(i)+" is served", func() bool {
			return s.send(i%2, draftRequest(scaledModel(i))).status == http.StatusOK
		})
	}
	numbers := s.orderedNumbers()
	for i, n := range numbers {
		if n < 3 || n > 6 || i > 0 && n < numbers[i-1] {
			t.Errorf("got numbers %v, want rising ones between 3 and 6", numbers)
			break
		}
	}
	s.checkRule()
}

// Guards against calls where the duty is not enabled, or the service has no scale.
func TestNothingIsOrderedUnlessEnabled(t *testing.T) {
	t.Run("duty", func(t *testing.T) {
		s := newScaleSystem(t, 1, func(settings *node.Settings) { settings.Duties.List = []string{"usage_reporting"} })
		s.enable()
		end := time.Now().Add(6 * time.Second)
		s.demand(8, "the time is over", func() bool { return time.Now().After(end) })
		if calls := s.api.Calls(); len(calls) > 0 {
			t.Errorf("got calls %v, want none", calls)
		}
	})
	t.Run("scale", func(t *testing.T) {
		s := newScaleSystem(t, 1, func(*node.Settings) {})
		desired := scaledDesired()
		desired.Services[0].Scale = nil
		if err := desired.Write(s.store); err != nil {
			t.Fatal(err)
		}
		end := time.Now().Add(6 * time.Second)
		s.demand(8, "the time is over", func() bool { return time.Now().After(end) })
		if calls := s.api.Calls(); len(calls) > 0 {
			t.Errorf("got calls %v, want none", calls)
		}
	})
}

// Guards against calls that are dropped because the API gives no response: the calls are
// carried out, but the responses are lost.
func TestScalingCallWithoutResponseIsRepeated(t *testing.T) {
	s := newScaleSystem(t, 2, func(*node.Settings) {})
	s.enable()
	s.api.Gate().SetFaults(standin.Faults{LoseAnswers: 1})
	s.demand(6, "a call is repeated", func() bool {
		numbers := s.orderedNumbers()
		for i := 1; i < len(numbers); i++ {
			if numbers[i] == numbers[i-1] {
				return true
			}
		}
		return false
	})
	s.api.Gate().SetFaults(standin.Faults{})
	s.demand(6, "the engines serve", func() bool { return len(s.scaling.Running("engine", "north")) >= 3 })
	s.checkRule()
}

// Guards against calls of two holders with one token, tokens that go back, and a new leader
// that does not know what its predecessor ordered last: the leader is stopped right after it
// has ordered five engines for ten models. The next one, which sees demand for fewer, must
// not order fewer, and order more when the demand grows.
func TestNewLeaderGoesOnScaling(t *testing.T) {
	s := newScaleSystem(t, 3, func(*node.Settings) {})
	s.enable()
	ordered, stopped := make(chan struct{}), make(chan struct{})
	fiveOrdered := sync.OnceFunc(func() { close(ordered) })
	s.api.OnScale = func(service, zone string, desired int) {
		s.scaling.Order(service, zone, desired)
		if desired == 5 {
			fiveOrdered()
		}
	}
	var calls []userplatform.DutyCall
	var first string // holder of the call for five
	go func() {
		defer close(stopped)
		<-ordered
		calls = s.api.Calls()
		first = calls[len(calls)-1].Holder
		for i, n := range s.nodes {
			if fmt.Sprintf("entry-%d", i+1) == first {
				n.Stop()
			}
		}
	}()
	s.demand(10, "five engines are ordered and the leader is stopped", func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	})
	for i := range s.nodes {
		if fmt.Sprintf("entry-%d", i+1) == first {
			s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
			s.callerAddresses = append(s.callerAddresses[:i:i], s.callerAddresses[i+1:]...)
			break
		}
	}
	end := time.Now().Add(6 * time.Second)
	s.demand(7, "the time is over", func() bool { return time.Now().After(end) })
	for i, n := range s.orderedNumbers() {
		if i >= len(calls) && n != 5 {
			t.Errorf("got numbers %v, the first %d of them of the first leader, want only 5 from the next one", s.orderedNumbers(), len(calls))
			break
		}
	}
	s.demand(12, "the next leader orders more", func() bool {
		calls, numbers := s.api.Calls(), s.orderedNumbers()
		return calls[len(calls)-1].Holder != first && numbers[len(numbers)-1] == 6
	})
	s.checkRule()
}
