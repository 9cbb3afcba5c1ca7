package node_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

const (
	// usageWindow is the length of a window in these tests.
	usageWindow = time.Second
	// usageClockSlack is the difference between the test's and the instances' time beyond
	// which a request counts as in the wrong window.
	usageClockSlack = 250 * time.Millisecond
	// testLeaseGap is the lease_ms of the instances.
	testLeaseGap = 300 * time.Millisecond
)

// Guards against reports that are missing, inaccurate or of another window while nothing
// fails, and against windows without requests that are left out between others.
func TestUsageIsReportedExactly(t *testing.T) {
	s := newUsageSystem(t, 3)
	s.serveWindows(4, 0, 1, 2)
	quiet := usageWindowOf(time.Now()) + 1
	s.eventually("a window without requests is reported", func() bool { return s.api.Usage()[quiet].Counts != nil })
	s.serveWindows(1, 0, 1, 2)
	s.reported()
	s.checkExact()
	s.checkRule()
}

// Guards against a decided report that is lost, or decided again with other counts, when
// the leader is killed after it wrote the report and before the platform accepted it.
func TestNextLeaderReportsWhatWasDecided(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]standin.Faults{
		"no call has taken effect":         {Outage: standin.OutageClose},
		"calls took effect without answer": {LoseAnswers: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUsageSystem(t, 3)
			s.serveWindows(1, 0, 1, 2)
			s.reported()
			s.api.Gate().SetFaults(faults)
			before := s.api.Gate().Counts()
			leader := s.leader()
			s.serve(s.others(leader), "a report is sent without success", func() bool {
				now := s.api.Gate().Counts()
				return now.Failed+now.Lost+now.Reset > before.Failed+before.Lost+before.Reset+2
			})
			s.kill(leader)
			s.api.Gate().SetFaults(standin.Faults{})
			s.serveWindows(1, s.others(leader)...)
			s.reported()
			s.checkExact()
			s.checkRule()
		})
	}
}

// Guards against a call that is given up when its answer does not come and that is not
// repeated, or repeated with other counts.
func TestCallWithoutAnswerIsRepeated(t *testing.T) {
	s := newUsageSystem(t, 2)
	s.serveWindows(1, 0, 1)
	s.reported()
	s.api.Gate().SetFaults(standin.Faults{LoseAnswers: 3})
	s.serveWindows(2, 0, 1)
	s.reported()
	s.checkExact()
	s.checkRule()
	repeats := 0
	for _, report := range s.api.Usage() {
		repeats += report.Repeats
	}
	if repeats < 3 {
		t.Errorf("%d repeats of reports, want one for each of 3 lost answers", repeats)
	}
}

// Guards against a call of a leader that is partitioned off, which arrives after those of
// the next one when the partition ends.
func TestLeaderThatIsPartitionedOffLeavesNoCallBehind(t *testing.T) {
	s := newUsageSystem(t, 3)
	s.serveWindows(1, 0, 1, 2)
	s.reported()
	leader := s.leader()
	others := s.others(leader)
	s.links[leader].api.Hold("POST /usage")
	s.serve(others, "a report is held up", func() bool { return s.links[leader].api.Counts().HeldUp > 0 })
	s.links[leader].store.Hold("HTTP/1.1")
	s.serve(others, "another instance reports", func() bool {
		for _, call := range s.api.Calls() {
			if call.Holder != fmt.Sprintf("entry-%d", leader+1) {
				return true
			}
		}
		return false
	})
	s.links[leader].store.Release()
	delivered := s.endCut(s.links[leader].api)
	if delivered > 0 {
		t.Errorf("%d reports were delivered after the end of their sender's term", delivered)
	}
	s.serveWindows(1, others...)
	s.reported()
	s.checkExact()
	s.checkRule()
}

// Guards against windows that are not reported any more, or with other counts, after the
// API was down for longer than a window.
func TestReportsFollowAnOutageOfTheAPI(t *testing.T) {
	s := newUsageSystem(t, 2)
	s.serveWindows(1, 0, 1)
	s.reported()
	s.api.Gate().SetFaults(standin.Faults{Outage: standin.OutageClose})
	s.serveWindows(3, 0, 1)
	s.api.Gate().SetFaults(standin.Faults{})
	s.serveWindows(1, 0, 1)
	s.reported()
	s.checkExact()
	s.checkRule()
}

// Guards against counts that are lost when all instances are killed, although the leader
// had saved them, and against a window that is reported twice.
func TestCountsOutlastAllInstances(t *testing.T) {
	s := newUsageSystem(t, 3)
	s.serveWindows(1, 0, 1, 2)
	s.reported()
	s.api.Gate().SetFaults(standin.Faults{Outage: standin.OutageClose})
	s.serveWindows(2, 0, 1, 2)
	// What is not decided yet is reported later with the counts that were saved, but a
	// window without requests is known to be one only to instances that have ended.
	last := usageWindowOf(s.sent[len(s.sent)-1].done)
	s.eventually("the windows are decided", func() bool { return s.decidedUpTo() > last })
	s.kill(0, 1, 2)
	s.api.Gate().SetFaults(standin.Faults{})
	for range 3 {
		s.addNode()
	}
	for _, ready := range s.readyAddresses[3:] {
		s.eventually("instance is ready", func() bool { return s.status("http://"+ready+"/readiness") == http.StatusOK })
	}
	s.reported() // the windows before the kill
	s.serveWindows(1, 3, 4, 5)
	s.reported()
	s.checkExact()
	s.checkRule()
}

// Guards against requests that are counted in another window, and windows that are skipped,
// because the wall clock of one machine is stepped: of the leader or another one, forward
// or back.
func TestSteppedClockMovesNoRequests(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := newUsageSystem(t, 3)
			s.serveWindows(1, 0, 1, 2)
			s.reported()
			leader := s.leader()
			s.steps[leader].Store(int64(step))
			s.serveWindows(2, 0, 1, 2)
			s.steps[leader].Store(0)
			s.steps[s.others(leader)[0]].Store(int64(step))
			s.serveWindows(2, 0, 1, 2)
			s.reported()
			s.checkExact()
			s.checkRule()
		})
	}
}

// Guards against counts that are lost in a planned stop of an instance, of the leader or
// another one.
func TestPlannedStopLosesNoCounts(t *testing.T) {
	t.Parallel()
	for name, stopsLeader := range map[string]bool{"of the leader": true, "of another instance": false} {
		t.Run(name, func(t *testing.T) {
			s := newUsageSystem(t, 3)
			s.serveWindows(1, 0, 1, 2)
			s.reported()
			stopped := s.leader()
			if !stopsLeader {
				stopped = s.others(stopped)[0]
			}
			for range 5 {
				s.ask(stopped, true)
			}
			s.nodes[stopped].Shutdown()
			s.serveWindows(1, s.others(stopped)...)
			s.reported()
			s.checkExact()
			s.checkRule()
		})
	}
}

// Guards against requests that ran and are not counted, or are counted although they did
// not run: answers of all kinds, and none.
func TestUsageCountsWhatRan(t *testing.T) {
	s := newUsageSystem(t, 2)
	s.serveWindows(1, 0, 1)
	for _, fault := range []userplatform.Fault{
		userplatform.ResetAfter, userplatform.RefusedAtCapacity, userplatform.ErrorResponse, userplatform.Unsigned, userplatform.UnframedReset,
	} {
		for _, u := range s.rotas {
			u.Fail(fault)
		}
		s.ask(0, false)
		s.ask(1, false)
	}
	for _, fault := range []userplatform.Fault{userplatform.CutStream, userplatform.RefusedAtCapacity, userplatform.UnframedCut} {
		// One engine alone: a run that goes on elsewhere and is cut again before its first
		// event does not count.
		s.engines[0].Fail(fault)
		for i := range 6 {
			s.ask(i%2, true)
		}
	}
	for _, list := range [][]*userplatform.Upstream{s.engines, s.rotas} {
		for _, u := range list {
			u.ClearFaults()
		}
	}
	s.serveWindows(1, 0, 1)
	s.reported()
	if got, want := s.total(), s.ran(); !maps.Equal(got, want) {
		t.Errorf("reported %v in total, the upstreams have run %v", got, want)
	}
	s.checkRule()
}

// Guards against a window with two contents, and against windows that are not reported any
// more, after the store has come back from a copy that lacks the last decisions, with the
// leader that made them or with another one.
func TestReportsAfterTheStoreCameBackFromACopy(t *testing.T) {
	t.Parallel()
	for name, loseLeader := range map[string]bool{"the leader goes on": false, "the leader is lost": true} {
		t.Run(name, func(t *testing.T) {
			s := newUsageSystem(t, 3)
			s.serveWindows(4, 0, 1, 2)
			s.reported()
			leader := s.leader()
			again := s.store.Restore(2 * usageWindow)
			again()
			serving := []int{0, 1, 2}
			if loseLeader {
				s.kill(leader)
				serving = s.others(leader)
			}
			s.serveWindows(3, serving...)
			s.reported()
			if !loseLeader {
				s.checkExact()
			}
			s.checkRule()
			for workspace, n := range s.total() {
				if ran := s.ran()[workspace]; n > ran {
					t.Errorf("%s: %d requests reported, the upstreams have run %d", workspace, n, ran)
				}
			}
		})
	}
}

// Guards against windows that are not reported any more because the API refuses an earlier
// one as invalid.
func TestRefusedReportHoldsUpNoOthers(t *testing.T) {
	s := newUsageSystem(t, 2)
	refused := usageWindowOf(time.Now()) + 2
	s.api.Refuse(refused)
	s.serveWindows(4, 0, 1)
	s.reported()
	if report, ok := s.api.Usage()[refused]; ok {
		t.Errorf("window %d was accepted: %v", refused, report)
	}
	s.checkRule()
}

// Guards against rows and calls where usage is not enabled, although the API is there.
func TestNoUsageIsReportedUnlessEnabled(t *testing.T) {
	t.Parallel()
	s := &usageSystem{api: userplatform.NewAPI(testLeaseGap)}
	server := httptest.NewServer(s.api.Gate())
	t.Cleanup(server.Close)
	s.testSystem = newConfiguredSystem(t, func(settings *node.Settings) {
		settings.Duties = node.Duties{Address: server.Listener.Addr().String(), List: []string{"autoscaling", ""}, CallsPerS: 50}
		settings.Bounds.UsageWindowS, settings.Bounds.UsageLateS = usageWindow.Seconds(), 10
	}, 2)
	s.serveWindows(4, 0, 1)
	if calls := s.api.Calls(); len(calls) != 0 {
		t.Errorf("got calls %v, want none", calls)
	}
	if row := s.store.Value("hibiscusyard-usage", "state"); row != nil {
		t.Errorf("got a row of %d bytes, want none", len(row))
	}
}
