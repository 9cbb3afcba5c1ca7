package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// Guards against a graceful shutdown that cuts a stream, loses an answer, does
// not finish or exits with an error when the platform, the peers or the upstream
// fail during the shutdown.
func TestDrainUnderFaults(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
	chat("small", lawKey, 1, true).do(s.two).wantStream(t, "first request", 1)
	const tokens = 300
	j := &answerLog{}
	for n, c := range []struct {
		name   string
		fault  func(i *processtest.Instance) // after the shutdown has begun
		heal   func(i *processtest.Instance) // once the stream has ended
		broken bool                          // the upstream can't finish the stream
	}{
		{"frozen and thawed", func(i *processtest.Instance) {
			i.Freeze()
			waitSince(t, time.Now(), pauseLimit+500*time.Millisecond)
			i.Thaw()
		}, nil, false},
		{"cut from table and peers", func(i *processtest.Instance) {
			s.proxies.table[i].Cut()
			s.proxies.peer[i].Cut()
		}, nil, false},
		{"delayed", func(i *processtest.Instance) {
			s.proxies.table[i].Delay(300 * time.Millisecond)
			s.proxies.engine.Delay(100 * time.Millisecond)
		}, func(*processtest.Instance) { s.proxies.engine.Heal() }, false},
		{"answers of the table lost", func(i *processtest.Instance) { s.proxies.table[i].LoseAnswers() }, nil, false},
		{"table out", func(*processtest.Instance) { s.fleet.Table.SetFaults(standin.Faults{Outage: standin.OutageClose}) },
			func(i *processtest.Instance) {
				processtest.Eventually(t, i.Name+" ends", i.Ended)
				s.fleet.Table.SetFaults(standin.Faults{})
			}, false},
		{"list still shows it", func(*processtest.Instance) {}, nil, false},
		{"engine restarts cold", func(*processtest.Instance) { s.engine.Restart() }, nil, true},
	} {
		i := s.start(fmt.Sprintf("drained-%d", n), "east")
		processtest.Eventually(t, c.name+": the instance serves", func() bool {
			return i.Ready() && j.add(chat("small", lawKey, 1, true).do(i)).status == http.StatusOK
		})
		before, result := s.engine.EngineCounts().TokensSent, make(chan answer, 1)
		go func() { result <- j.add(chat("small", lawKey, tokens, true).do(i)) }()
		processtest.Eventually(t, c.name+": the stream runs", func() bool { return s.engine.EngineCounts().TokensSent > before+5 })
		i.Terminate()
		processtest.Eventually(t, c.name+": the shutdown has begun", func() bool { return strings.Contains(i.Log(), "shutdown: readiness off") })
		c.fault(i)
		if a := <-result; !c.broken {
			a.wantStream(t, c.name, tokens)
		} else if !strings.Contains(a.body, "may_have_run") || strings.Contains(a.body, "[DONE]") {
			t.Errorf("%s: the stream ended with %v %q", c.name, a.err, tail(a.body))
		}
		if c.heal != nil {
			c.heal(i)
		}
		if code := i.ExitCode(); code != 0 {
			t.Errorf("%s: got exit code %d, want 0: %s", c.name, code, tail(i.Log()))
		}
		processtest.Eventually(t, c.name+": another instance serves", func() bool {
			return j.add(signup().do(s.two)).status == http.StatusOK && j.add(chat("small", lawKey, 1, true).do(s.two)).status == http.StatusOK
		})
		if c.name != "list still shows it" {
			s.fleet.List.Deregister(i.Name)
		}
	}
	j.check(s)
}

// Guards against a second SIGTERM that does not end the shutdown at once, does
// not log the number of cut requests or exits with 0, and against a kill during
// a shutdown that disturbs other instances.
func TestShutdownEndedEarly(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
	chat("small", lawKey, 1, true).do(s.two).wantStream(t, "first request", 1)
	for n, kill := range []bool{false, true} {
		i := s.start(fmt.Sprintf("ended-%d", n), "east")
		processtest.Eventually(t, "the instance serves", func() bool {
			return i.Ready() && chat("small", lawKey, 1, true).do(i).status == http.StatusOK
		})
		before, result := s.engine.EngineCounts().TokensSent, make(chan answer, 1)
		go func() { result <- chat("small", lawKey, 20000, true).do(i) }()
		processtest.Eventually(t, "the stream runs", func() bool { return s.engine.EngineCounts().TokensSent > before+5 })
		i.Terminate()
		processtest.Eventually(t, "the shutdown has begun", func() bool { return strings.Contains(i.Log(), "shutdown: readiness off") })
		if kill {
			i.Kill()
		} else {
			i.Terminate()
			if code := i.ExitCode(); code == 0 {
				t.Error("a shutdown that cut a stream exited with 0")
			}
			if log := i.Log(); !strings.Contains(log, "second signal") || !strings.Contains(log, "shutdown cut 1 requests") {
				t.Errorf("the log lacks the second signal or the number of cut requests: %s", tail(log))
			}
		}
		if a := <-result; a.status == http.StatusOK && a.err == nil && !strings.Contains(a.body, "event: error") || strings.Contains(a.body, "[DONE]") {
			t.Errorf("the cut stream looks complete: %q", tail(a.body))
		}
		processtest.Eventually(t, "the engine stops the stream", func() bool { return s.engine.EngineCounts().Running == 0 })
		for _, other := range []*processtest.Instance{s.one, s.two} {
			chat("small", lawKey, 5, true).do(other).wantStream(t, "at "+other.Name+" after the end", 5)
		}
	}
}
