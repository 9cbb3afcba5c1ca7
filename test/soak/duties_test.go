package soak

import (
	"math/rand/v2"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

const (
	usageWindow = time.Second
	usageLate   = 2 * time.Second
)

// duties is the stand-in of the platform's API, to which the leader reports usage.
type duties struct {
	api     *userplatform.API
	address string
	scaled  atomic.Int64 // scaling calls, which no instance has the duty to make
}

func (s *system) startDuties() {
	d := &duties{api: userplatform.NewAPI(leaseMS * time.Millisecond)}
	d.api.OnScale = func(string, string, int) { d.scaled.Add(1) }
	server := httptest.NewServer(d.api.Gate())
	s.t.Cleanup(server.Close)
	d.address = server.Listener.Addr().String()
	s.duties = d
}

// configure gives an instance the duty to report usage.
func (d *duties) configure(settings *node.Settings) {
	settings.Duties = node.Duties{Address: d.address, List: []string{"usage_reporting"}, CallsPerS: 50}
	settings.Bounds.UsageWindowS, settings.Bounds.UsageLateS = usageWindow.Seconds(), usageLate.Seconds()
}

// disturb makes the API slow or unreachable at random times until stop is closed. Answers are
// delayed, not requests: a delayed request would take effect after its caller cancelled it.
func (s *system) disturb(random *rand.Rand, stop <-chan struct{}) {
	gate := s.duties.api.Gate()
	defer gate.SetFaults(standin.Faults{})
	for {
		faults := []standin.Faults{
			{}, {AnswerLatency: duration.Duration(time.Duration(random.IntN(1500)) * time.Millisecond)},
			{Outage: standin.OutageClose}, {Outage: standin.OutageError}, {Hang: true}, {LoseAnswers: 2},
		}
		gate.SetFaults(faults[random.IntN(len(faults))])
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(1500)) * time.Millisecond):
		}
	}
}

// awaitUsage waits until windows are reported that ended after all faults.
func (s *system) awaitUsage() {
	recovered := time.Now().UnixNano()/int64(usageWindow) + 1
	processtest.Eventually(s.t, "a usage report of a window after all faults is accepted", func() bool {
		for window := range s.duties.api.Usage() {
			if window >= recovered {
				return true
			}
		}
		return false
	})
}

// checkDuties checks that one instance at a time called the API, and that each window was
// reported with the same counts only.
func (s *system) checkDuties() {
	s.t.Helper()
	for _, violation := range s.duties.api.Violations() {
		s.t.Error(violation)
	}
	if n := s.duties.scaled.Load(); n > 0 {
		s.t.Errorf("%d scaling calls without the duty", n)
	}
	s.t.Logf("%d calls to the API, %d usage windows accepted", len(s.duties.api.Calls()), len(s.duties.api.Usage()))
}
