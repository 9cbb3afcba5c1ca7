package processtest

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

func TestMain(m *testing.M) { Main(m) }

// Guards against a fault that has no effect or that persists after Heal: a test
// that uses such a proxy would pass without the fault.
func TestProxyFaults(t *testing.T) {
	var effects atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { effects.Add(1) }))
	t.Cleanup(server.Close)
	const delay = 200 * time.Millisecond
	cases := map[string]struct {
		fault    func(*Proxy)
		answered bool
		effect   bool
	}{
		"none":         {func(*Proxy) {}, true, true},
		"cut":          {func(p *Proxy) { p.Cut() }, false, false},
		"black hole":   {func(p *Proxy) { p.Blackhole() }, false, false},
		"reset":        {func(p *Proxy) { p.Reset() }, false, false},
		"lose answers": {func(p *Proxy) { p.LoseAnswers() }, false, true},
		"delay":        {func(p *Proxy) { p.Delay(delay) }, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewProxy(t, server.Listener.Addr().String())
			get := func(limit time.Duration) (bool, time.Duration) {
				client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
				start := time.Now()
				resp, err := client.Post(p.URL(), "", nil)
				if err == nil {
					resp.Body.Close()
				}
				return err == nil, time.Since(start)
			}
			limit := WaitCap
			if name == "black hole" {
				limit = delay
			}
			c.fault(p)
			before := effects.Load()
			answered, took := get(limit)
			if answered != c.answered {
				t.Errorf("unexpected answered = %t", answered)
			}
			if name == "delay" && took < 2*delay {
				t.Errorf("answered after %s, less than the delay of both directions", took)
			}
			if effect := effects.Load() > before; effect != c.effect {
				t.Errorf("unexpected effect = %t", effect)
			}
			p.Heal()
			if answered, _ := get(WaitCap); !answered {
				t.Error("got no answer after Heal")
			}
		})
	}
}

// Guards against signals that do not reach the process and processes that
// outlive their test.
func TestProcessSignals(t *testing.T) {
	s := StartStandin(t, "service", "service")
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answers := func() bool {
		resp, err := client.Get(s.URL())
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}
	Eventually(t, "the process answers", answers)
	s.Freeze()
	Eventually(t, "the frozen process does not answer", func() bool { return !answers() })
	s.Thaw()
	Eventually(t, "the thawed process answers", answers)
	s.Terminate()
	if code := s.ExitCode(); code != 0 {
		t.Errorf("exit code %d after SIGTERM", code)
	}
	killed := StartStandin(t, "table", "table")
	killed.Kill()
	if code := killed.ExitCode(); code == 0 {
		t.Error("a killed process exited with 0")
	}
}
