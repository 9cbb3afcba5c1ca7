package e2e

import (
	"bufio"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// pauseLimit is the length of a process pause after which an instance checks
// its session before it forwards requests.
const pauseLimit = 3 * time.Second

func keyed(key string) call {
	return call{method: http.MethodPost, path: "/signup/new", key: lawKey, body: "x", header: map[string]string{"Idempotency-Key": key}}
}

// Guards against a second run and a false not_run verdict when the claim write
// of a keyed call is delayed, fails or is followed by a freeze, or when the
// instance list does not show the instance that runs the call.
func TestClaimUnderFaults(t *testing.T) {
	s := newProxiedSystem(t, loadTime)
	j := &answerLog{}
	toTable := s.proxies.table[s.one]
	runs := func(key string) int { return s.service.ServiceCounts().ByKey[key] }
	wantServedOrMayHaveRun := func(what string, a answer) {
		t.Helper()
		if a.status != http.StatusOK && !strings.Contains(a.body, `"verdict":"may_have_run"`) {
			t.Errorf("%s: %d %q", what, a.status, a.body)
		}
	}
	sendToBoth := func(key string) (answers [2]answer) {
		var wg sync.WaitGroup
		for n, i := range []*processtest.Instance{s.one, s.two} {
			wg.Go(func() { answers[n] = j.add(keyed(key).do(i)) })
		}
		wg.Wait()
		return answers
	}

	toTable.Delay(300 * time.Millisecond)
	for _, a := range sendToBoth("delay") {
		wantServedOrMayHaveRun("claims that are delayed at one instance", a)
	}
	toTable.Heal()

	toTable.Cut()
	j.add(keyed("cut").do(s.one)).wantRefusal(t, "cut from the table", http.StatusServiceUnavailable, "claim_unavailable", "not_run")
	if n := runs("cut"); n != 0 {
		t.Errorf("the call ran %d times without a claim", n)
	}
	toTable.Heal()
	processtest.Eventually(t, "a repeat after the cut is served", func() bool { return j.add(keyed("cut").do(s.one)).status == http.StatusOK })

	// The claim is written to the table, and the table's answer is in flight.
	toTable.Delay(time.Second)
	items := s.fleet.Table.TableCounts().Items
	frozen := make(chan answer, 1)
	go func() { frozen <- j.add(keyed("freeze").do(s.one)) }()
	processtest.Eventually(t, "the claim is in the table", func() bool { return s.fleet.Table.TableCounts().Items > items })
	s.one.Freeze()
	start := time.Now()
	wantServedOrMayHaveRun("repeat while the claiming instance is frozen", j.add(keyed("freeze").do(s.two)))
	waitSince(t, start, pauseLimit+time.Second)
	toTable.Heal()
	s.one.Thaw()
	<-frozen
	processtest.Eventually(t, "a repeat is served after the thaw", func() bool {
		return j.add(keyed("freeze").do(s.two)).status == http.StatusOK
	})

	processtest.Eventually(t, "the instance serves after its session check", func() bool {
		return j.add(keyed("thawed").do(s.one)).status == http.StatusOK
	})

	s.service.SetFaults(standin.Faults{AnswerLatency: duration.Duration(2 * testListLag)})
	slow := make(chan answer, 1)
	go func() { slow <- j.add(keyed("list").do(s.one)) }()
	processtest.Eventually(t, "the service has run the call", func() bool { return runs("list") == 1 })
	s.fleet.List.Deregister(s.one.Name)
	start = time.Now()
	processtest.Eventually(t, "the instance has been off the list for longer than the list lag", func() bool {
		wantServedOrMayHaveRun("repeat while the list lacks the instance", j.add(keyed("list").do(s.two)))
		return time.Since(start) > testListLag
	})
	<-slow
	for _, key := range []string{"delay", "cut", "freeze", "thawed", "list"} {
		if n := runs(key); n != 1 {
			t.Errorf("the call with key %s ran %d times, want once", key, n)
		}
	}
	j.check(s)
}

// requestFault is a fault that is injected while calls run at both instances.
type requestFault struct {
	name       string
	start, end func(s *system)
}

// upstreamsDelayed names the only fault under which all calls may succeed.
const upstreamsDelayed = "upstreams delayed"

func requestFaults() []requestFault {
	set := func(pick func(*system) *processtest.Standin, f standin.Faults) (start, end func(*system)) {
		return func(s *system) { pick(s).SetFaults(f) }, func(s *system) { pick(s).SetFaults(standin.Faults{}) }
	}
	service := func(s *system) *processtest.Standin { return s.service }
	engine := func(s *system) *processtest.Standin { return s.engine }
	var list []requestFault
	add := func(name string, start, end func(*system)) {
		list = append(list, requestFault{name: name, start: start, end: end})
	}
	standinFault := func(name string, pick func(*system) *processtest.Standin, f standin.Faults) {
		start, end := set(pick, f)
		add(name, start, end)
	}
	add("upstreams frozen", func(s *system) { s.service.Freeze(); s.engine.Freeze() }, func(s *system) { s.service.Thaw(); s.engine.Thaw() })
	add("upstreams cut off", func(s *system) { s.proxies.service.Cut(); s.proxies.engine.Cut() },
		func(s *system) { s.proxies.service.Heal(); s.proxies.engine.Heal() })
	add("upstreams silent", func(s *system) { s.proxies.service.Blackhole(); s.proxies.engine.Blackhole() },
		func(s *system) { s.proxies.service.Heal(); s.proxies.engine.Heal() })
	add(upstreamsDelayed, func(s *system) {
		s.proxies.service.Delay(200 * time.Millisecond)
		s.proxies.engine.Delay(200 * time.Millisecond)
	}, func(s *system) { s.proxies.service.Heal(); s.proxies.engine.Heal() })
	add("answers lost on the way", func(s *system) { s.proxies.service.LoseAnswers(); s.proxies.engine.LoseAnswers() },
		func(s *system) { s.proxies.service.Heal(); s.proxies.engine.Heal() })
	standinFault("answers lost after the effect", service, standin.Faults{LoseAnswers: 5})
	standinFault("reset before the effect", service, standin.Faults{ResetBefore: 5})
	standinFault("streams truncated", engine, standin.Faults{TruncateAfter: 3})
	standinFault("streams hang", engine, standin.Faults{HangAfter: 3})
	standinFault("answers of another request", engine, standin.Faults{ForeignID: true})
	standinFault("answers are garbage", engine, standin.Faults{Garbage: true})
	standinFault("engine refuses", engine, standin.Faults{Refuse: true})
	add("upstreams restart cold before the first byte", func(s *system) {
		late := standin.Faults{AnswerLatency: duration.Duration(500 * time.Millisecond)}
		s.service.SetFaults(late)
		s.engine.SetFaults(late)
		processtest.Eventually(s.t, "calls wait for their first byte", func() bool {
			return s.service.ServiceCounts().Running > 0 && s.engine.EngineCounts().Running > 0
		})
		s.service.Restart()
		s.engine.Restart()
	}, func(s *system) { s.service.SetFaults(standin.Faults{}); s.engine.SetFaults(standin.Faults{}) })
	add("instance frozen", func(s *system) {
		s.two.Freeze()
		waitSince(s.t, time.Now(), pauseLimit+500*time.Millisecond)
	}, func(s *system) { s.two.Thaw() })
	return list
}

// Guards against calls that run twice, false not_run verdicts, answers to
// other requests and incomplete answers that look complete, while upstreams and
// instances fail during calls and streams, and against failures that persist
// after the fault has been removed.
func TestCallsAndStreamsUnderFaults(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
	const tokens = 10
	stream := chat("small", lawKey, tokens, true)
	stream.do(s.one).wantStream(t, "first request", tokens)
	plain := call{method: http.MethodPost, path: "/signup/new", key: lawKey, body: "x"}
	for _, c := range []*call{&stream, &plain} {
		c.header = map[string]string{"X-Request-Timeout": "1"}
	}
	all := &answerLog{}
	for _, f := range requestFaults() {
		stop, calls, streams := make(chan struct{}), &answerLog{}, &answerLog{}
		var wg sync.WaitGroup
		for _, i := range []*processtest.Instance{s.one, s.two} {
			calls.run(&wg, stop, i, plain)
			streams.run(&wg, stop, i, stream)
		}
		f.start(s)
		nCalls, nStreams := calls.len(), streams.len()
		processtest.Eventually(t, f.name+": calls and streams end", func() bool {
			return calls.len() >= nCalls+6 && streams.len() >= nStreams+6
		})
		f.end(s)
		for _, i := range []*processtest.Instance{s.one, s.two} {
			processtest.Eventually(t, f.name+": calls are served again at "+i.Name, func() bool { return all.add(plain.do(i)).status == http.StatusOK })
			processtest.Eventually(t, f.name+": streams are served again at "+i.Name, func() bool {
				a := all.add(stream.do(i))
				return a.status == http.StatusOK && strings.Contains(a.body, "[DONE]")
			})
		}
		close(stop)
		wg.Wait()
		failed := 0
		for _, a := range append(calls.answers, streams.answers...) {
			if a.err != nil || a.status != http.StatusOK || strings.Contains(a.body, "event: error") {
				failed++
			}
		}
		if t.Logf("%s: %d calls, %d streams, %d failed", f.name, calls.len(), streams.len(), failed); failed == 0 && f.name != upstreamsDelayed {
			t.Errorf("%s: no request failed, so the fault had no effect", f.name)
		}
		for _, a := range streams.answers {
			switch {
			case a.err != nil || a.status != http.StatusOK || strings.Contains(a.body, "event: error"):
				if strings.Contains(a.body, "[DONE]") {
					t.Errorf("%s: a failed stream looks complete: %q", f.name, a.body)
				}
			default:
				a.wantStream(t, f.name, tokens)
			}
			if strings.Contains(a.body, "request-of-another-caller") {
				t.Errorf("%s: the caller got the answer to another request", f.name)
			}
		}
		all.answers = append(append(all.answers, calls.answers...), streams.answers...)
		if t.Failed() {
			break
		}
	}
	all.check(s)
	if state := s.engine.EngineCounts(); state.MaxReplicas["small"] > 1 {
		t.Errorf("got peak replicas %v, want at most 1", state.MaxReplicas)
	}
}

// Guards against a call that is repeated at a second upstream after the first
// one has run it and its answer was lost, or after the connection was reset.
func TestCallIsNotRepeatedElsewhere(t *testing.T) {
	s := newProxiedSystem(t, loadTime)
	second := processtest.StartStandin(t, "service-2", "service")
	s.pools.Pools[1].Upstreams = append(s.pools.Pools[1].Upstreams, catalog.Upstream{Name: "signup-2", Address: second.Address, DataCentre: "east"})
	s.one.MustPut("pools", s.pools)
	j := &answerLog{}
	for _, faults := range []standin.Faults{{LoseAnswers: 2}, {ResetBefore: 2}} {
		s.service.SetFaults(faults)
		before := s.service.ServiceCounts()
		processtest.Eventually(t, "the fault is over", func() bool {
			for _, i := range []*processtest.Instance{s.one, s.two} {
				a := j.add(call{method: http.MethodPost, path: "/signup/new", key: lawKey, body: "x"}.do(i))
				if a.status != http.StatusOK {
					a.wantRefusal(t, "failed call", http.StatusBadGateway, "upstream_failed", "may_have_run")
				}
			}
			now := s.service.ServiceCounts()
			return now.Lost+now.Reset-before.Lost-before.Reset == 2
		})
	}
	if second.ServiceCounts().Effects == 0 {
		t.Error("the second upstream got no call")
	}
	failed := 0
	for _, a := range j.answers {
		if a.status != http.StatusOK {
			failed++
		}
	}
	if failed != 4 {
		t.Errorf("%d calls failed, want the 4 whose answers or connections were lost", failed)
	}
	j.check(s, second)
}

// Guards against a stream that looks complete or runs again when its instance
// is killed or its engine cut off, and against a stream that is cut because its
// caller reads slowly, its instance is frozen or the list shows its engine as
// leaving.
func TestStreamAndKills(t *testing.T) {
	s := newProxiedSystem(t, 300*time.Millisecond)
	chat("small", lawKey, 1, true).do(s.one).wantStream(t, "first request", 1)
	j := &answerLog{}
	startStream := func(i *processtest.Instance, tokens int) chan answer {
		before, result := s.engine.EngineCounts().TokensSent, make(chan answer, 1)
		go func() { result <- j.add(chat("small", lawKey, tokens, true).do(i)) }()
		processtest.Eventually(t, "the stream runs", func() bool { return s.engine.EngineCounts().TokensSent > before+5 })
		return result
	}

	const slowTokens = 400
	req, err := http.NewRequest(http.MethodPost, "http://"+s.one.Caller+"/v1/chat/completions", strings.NewReader(chat("small", lawKey, slowTokens, true).body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+lawKey)
	resp, err := callerClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	slow := answer{status: resp.StatusCode, header: resp.Header}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		slow.body += lines.Text() + "\n"
		if strings.Count(slow.body, "data:") == 10 { // stops reading until the engine has sent the whole stream
			processtest.Eventually(t, "the engine has completed the slow caller's stream", func() bool { return s.engine.EngineCounts().Running == 0 })
		}
	}
	slow.wantStream(t, "slow caller", slowTokens)

	leaving := startStream(s.one, 200)
	s.registerUpstream("worker-1", s.proxies.engine.Address, "leaving", time.Second)
	(<-leaving).wantStream(t, "stream while its engine is shown as leaving", 200)
	s.registerUpstream("worker-1", s.proxies.engine.Address, "live", 0)

	frozen := startStream(s.one, 100)
	s.one.Freeze()
	waitSince(t, time.Now(), pauseLimit+500*time.Millisecond)
	s.one.Thaw()
	(<-frozen).wantStream(t, "stream through a frozen instance", 100)

	cut := startStream(s.two, 5000)
	s.one.Kill()
	s.proxies.engine.Cut()
	if a := <-cut; !strings.Contains(a.body, "may_have_run") || strings.Contains(a.body, "[DONE]") {
		t.Errorf("stream of a cut engine: %v %q", a.err, tail(a.body))
	}
	s.proxies.engine.Heal()
	processtest.Eventually(t, "requests are served after the cut and the kill of the other instance", func() bool {
		return j.add(chat("small", lawKey, 3, true).do(s.two)).status == http.StatusOK
	})
	killed := startStream(s.two, 5000)
	s.two.Kill()
	if a := <-killed; a.err == nil || strings.Contains(a.body, "[DONE]") {
		t.Errorf("stream of a killed instance: %v %q", a.err, tail(a.body))
	}
	processtest.Eventually(t, "the engine stops the stream", func() bool { return s.engine.EngineCounts().Running == 0 })
	j.check(s)
}
