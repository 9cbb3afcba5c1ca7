package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

const (
	// crashGrace is the time after the fifth crash from which requests with the part
	// that causes the crashes must not reach upstreams.
	crashGrace = 3 * time.Second
	// crashLoad is the length of the load.
	crashLoad = 8 * time.Second
	// crashDowntime is how long an upstream is down after a crash.
	crashDowntime = 500 * time.Millisecond
	// crashShare is the share of the requests with the part that crashes upstreams.
	crashShare = 0.1
	// refusalTime is the time within which a request that can't be served is refused.
	refusalTime = 300 * time.Millisecond
)

// loadAnswer is the answer to a request of sendDrawn.
type loadAnswer struct {
	answer
	instance int
	crashing bool // the request crashes upstreams
	sent     time.Time
	length   time.Duration
}

// newCrashSystem starts a system with eight engines that all serve one model and crash
// on a part of the prompt.
func newCrashSystem(t *testing.T, part string) *testSystem {
	t.Helper()
	s := newTestSystem(t, 8, "letters")
	for i := len(s.engines); i < 8; i++ {
		s.engines = append(s.engines, s.start(&userplatform.Upstream{
			ID: fmt.Sprintf("engine-%d", i+1), Service: "engine", Zone: "north", Slots: 16, Events: 8, EventDuration: 2 * time.Millisecond,
			Engine: &userplatform.Engine{ModelCapacity: 2, AdapterSlots: 4, LoadTime: 50 * time.Millisecond, Models: map[string][]string{"letters": nil}},
		}))
	}
	for i := len(s.rotas); i < 4; i++ {
		s.rotas = append(s.rotas, s.start(&userplatform.Upstream{ID: fmt.Sprintf("rota-%d", i+1), Service: "rota", Zone: "north", Slots: 6}))
	}
	for _, u := range s.engines {
		u.CrashOnPart(part, crashDowntime)
	}
	return s
}

// sendPrompts sends streams to all instances, about 40 a second. A tenth of them have the
// part "crashing" at the given position in the prompt. The others share all other parts
// with them.
func (s *testSystem) sendPrompts(length time.Duration, position int) []loadAnswer {
	s.t.Helper()
	return s.sendDrawn(length, func(i int, random *rand.Rand) (request, bool) {
		parts := []string{"first", fmt.Sprintf("session-%d", random.IntN(10))}
		crashing := random.Float64() < crashShare
		if crashing {
			parts[position] = "crashing"
		}
		r := draftRequest("letters")
		r.prefix = fmt.Sprintf("%s:50,%s:30,own-%d:20", parts[0], parts[1], i)
		return r, crashing
	})
}

// sendDrawn sends the requests that draw returns to all instances, about 40 a second. draw
// also reports whether a request crashes upstreams.
func (s *testSystem) sendDrawn(length time.Duration, draw func(i int, random *rand.Rand) (request, bool)) []loadAnswer {
	s.t.Helper()
	var mu sync.Mutex
	var answers []loadAnswer
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / 40)
	defer ticker.Stop()
	random := rand.New(rand.NewPCG(1, 2))
	for began, i := time.Now(), 0; time.Since(began) < length; i++ {
		<-ticker.C
		r, crashing := draw(i, random)
		group.Go(func() {
			sent := time.Now()
			a := loadAnswer{answer: s.send(i%len(s.nodes), r), instance: i % len(s.nodes), crashing: crashing, sent: sent, length: time.Since(sent)}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	group.Wait()
	return answers
}

// checkCrashes checks that requests with the part stopped reaching upstreams in time, and
// checks the answers.
func (s *testSystem) checkCrashes(answers []loadAnswer, stopped int) {
	s.t.Helper()
	for _, violation := range userplatform.PromptCrashViolations(s.engines, "crashing", crashGrace, nil) {
		s.t.Error(violation)
	}
	s.checkAnswers(answers, stopped)
}

// checkAnswers checks that requests that crash upstreams are refused at once in the end,
// and that the others are served. Answers of a stopped instance, -1 for none, do not
// count.
func (s *testSystem) checkAnswers(answers []loadAnswer, stopped int) {
	s.t.Helper()
	crashed := 0
	for _, u := range slices.Concat(s.engines, s.rotas) {
		crashed += len(u.Crashes())
	}
	if crashed == 0 {
		s.t.Fatal("no upstream crashed; the test shows nothing")
	}
	s.t.Logf("%d crashes", crashed)
	end := answers[len(answers)-1].sent
	sound, served := 0, 0
	for _, a := range answers {
		late := a.sent.After(end.Add(-crashLoad/4)) && a.instance != stopped
		switch {
		case late && a.crashing:
			wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			if a.status != http.StatusServiceUnavailable || err != nil || wait <= 0 || a.length > refusalTime {
				s.t.Errorf("request that crashes upstreams: got status %d, Retry-After %q after %s, want 503 with a time within %s", a.status, a.header.Get("Retry-After"), a.length, refusalTime)
			}
		case late:
			sound++
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		}
	}
	if served*10 < sound*9 {
		s.t.Errorf("%d of %d sound requests served after the crashes, want nine in ten", served, sound)
	}
}

// Guards against requests with one part of a prompt that crash one upstream after the
// other, through different instances, while sound requests share all other parts.
func TestPromptPartThatCrashesUpstreamsIsKeptFromThem(t *testing.T) {
	for position, name := range []string{"first part", "second part"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCrashSystem(t, "crashing")
			s.checkCrashes(s.sendPrompts(crashLoad, position), -1)
		})
	}
}

// Guards against a part that crashes upstreams and is hidden by the parts of sessions: four
// requests with it come in one session, then four in the next one, and a sound request goes
// on with each session.
func TestPromptPartBehindSessionsIsKeptFromUpstreams(t *testing.T) {
	s := newCrashSystem(t, "crashing")
	const perSession = 4
	sent, goesOn := 0, -1
	answers := s.sendDrawn(crashLoad+2*time.Second, func(i int, random *rand.Rand) (request, bool) {
		r, parts := draftRequest("letters"), fmt.Sprintf("instructions-%d:30,session-%d:30", i%4, random.IntN(10))
		crashing := i > 40 && i%20 == 0
		switch {
		case crashing:
			parts = fmt.Sprintf("crashing:30,group-%d:30", sent/perSession)
			if sent++; sent%perSession == 0 {
				goesOn = i + 10
			}
		case i == goesOn:
			parts = fmt.Sprintf("instructions-0:30,group-%d:30", sent/perSession-1)
		}
		r.prefix = fmt.Sprintf("first:50,%s,own-%d:20", parts, i)
		return r, crashing
	})
	s.checkCrashes(answers, -1)
}

// Guards against one request that crashes one upstream after the other, with all kinds of
// routes, while other requests share its caller, its path or all parts of its prompt, and
// against a request that is asked often and refused because it stands beside crashes.
func TestRequestThatCrashesUpstreamsIsKeptFromThem(t *testing.T) {
	for _, c := range []struct{ name, method, prefix string }{
		{"stream", http.MethodPost, "/drafts/"}, {"unsafe", http.MethodPost, "/signup/"}, {"safe", http.MethodGet, "/lookup/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCrashSystem(t, "")
			for _, u := range slices.Concat(s.engines, s.rotas) {
				u.CrashOnRequest("committee", c.prefix+"crashing", crashDowntime)
				u.SetPace(u.Events, 20*time.Millisecond)
			}
			answers := s.sendDrawn(crashLoad, func(i int, random *rand.Rand) (request, bool) {
				r, crashing := request{method: c.method, key: "committee-key"}, false
				switch p := random.Float64(); {
				case p < crashShare:
					r.path, crashing = c.prefix+"crashing", true
				case p < 1.2*crashShare:
					r.path, r.key = c.prefix+"crashing", "archive-key"
				case p < 0.5:
					r.path = c.prefix + "popular"
				default:
					r.path = fmt.Sprint(c.prefix, i)
				}
				if c.name == "stream" {
					r.model, r.tokens = "letters", "100,20"
					r.prefix = fmt.Sprintf("first:50,session:30,own-%s:20", r.path)
				}
				return r, crashing
			})
			for _, violation := range userplatform.RequestCrashViolations(slices.Concat(s.engines, s.rotas), "committee", c.prefix+"crashing", crashGrace, nil) {
				s.t.Error(violation)
			}
			s.checkAnswers(answers, -1)
		})
	}
}

// Guards against evidence and verdicts that are lost with the leader.
func TestPromptPartIsKeptFromUpstreamsWhenTheLeaderIsLost(t *testing.T) {
	s := newCrashSystem(t, "crashing")
	answers := s.sendPrompts(time.Second, 1)
	lost := s.stopLeader()
	answers = append(answers, s.sendPrompts(crashLoad, 1)...)
	var stopped int
	if _, err := fmt.Sscanf(lost, "entry-%d", &stopped); err != nil {
		t.Fatal(err)
	}
	s.checkCrashes(answers, stopped-1)
}

// Guards against verdicts that are lost when all instances restart at once.
func TestQuarantineOutlastsAllInstances(t *testing.T) {
	s := newCrashSystem(t, "crashing")
	s.sendPrompts(4*time.Second, 1)
	before := 0
	for _, u := range s.engines {
		before += len(u.Crashes())
	}
	if before == 0 {
		t.Fatal("no upstream crashed; the test shows nothing")
	}
	for _, n := range s.nodes {
		n.Stop()
	}
	s.nodes, s.callerAddresses, s.readyAddresses = nil, nil, nil
	s.addNode()
	s.eventually("the new instance is ready", func() bool {
		return s.status("http://"+s.readyAddresses[0]+"/readiness") == http.StatusOK
	})
	r := draftRequest("letters")
	r.prefix = "first:50,crashing:30,own-after-restart:20"
	a := s.send(0, r)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("got status %d with Retry-After %q, want 503 with a time", a.status, a.header.Get("Retry-After"))
	}
	after := 0
	for _, u := range s.engines {
		after += len(u.Crashes())
	}
	if after > before {
		t.Errorf("%d crashes after all instances restarted, want none", after-before)
	}
}
