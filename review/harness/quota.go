package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { scenarios["usage-cap"] = usageCap }

const (
	capRate     = 2000.0  // tokens a second
	capBurst    = 40000.0 // tokens
	capRequest  = 2000    // tokens of one request
	capWindow   = 8 * time.Second
	capOverage  = 0.1
	capSlack    = 11000.0
	storeOutage = 2500 * time.Millisecond
)

// usageCap lets one tenant send many times its usual while the platform's store is down
// for some seconds, and adds up the tokens of the requests that run in each window.
func usageCap(s *system, trouble bool) ([]string, error) {
	for n := range 2 {
		w := &worker{id: fmt.Sprintf("app-%d", n+1), service: "rota-app", slots: 200, serve: plainAnswer(20 * time.Millisecond)}
		if err := s.addWorker(w); err != nil {
			return nil, err
		}
	}
	desired := map[string]any{
		"routes": []map[string]any{{
			"name": "lookup", "host": host, "prefix": "/lookup/", "kind": "safe", "service": "rota-app", "timeoutMs": 800,
			"targetLatencyMs": 300, "priority": 2, "attempts": 2,
		}},
		"services": []map[string]any{{"name": "rota-app", "healthPath": "/health", "connectionLimit": 400}},
		"tenants": []map[string]any{
			{"name": "committee", "apiKeys": []string{"committee-key"}, "unit": "tokens", "ratePerS": capRate, "burst": capBurst, "plainTokens": 200},
		},
	}
	if err := s.operate(1, desired); err != nil {
		return nil, err
	}
	for n := range 3 {
		if _, err := s.addInstance(fmt.Sprintf("front-%d", n+1), s.address); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			s.note("the store answers 503 from now on")
			s.store.Gate().SetFaults(standin.Faults{Outage: standin.OutageError})
			time.Sleep(storeOutage)
			s.store.Gate().SetFaults(standin.Faults{})
			s.note("the store answers again")
		})
	}
	// Each request has a new channel to any instance, 30 of them a second at each.
	var mu sync.Mutex
	served := 0
	for n, until := 0, time.Now().Add(12*time.Second); time.Now().Before(until); n++ {
		i := s.instances[n%len(s.instances)]
		group.Go(func() {
			id := fmt.Sprintf("%s-%04d", i.name, n)
			header := map[string]string{"Authorization": "Token committee-key", userplatform.HeaderTokens: fmt.Sprintf("%d,%d", capRequest-500, 500)}
			a := s.ask(i, http.MethodGet, "/lookup/"+id, id, 1500*time.Millisecond, header, nil)
			s.note("consumer gets %d for %s", a.status, id)
			if a.status == http.StatusOK {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(time.Second / 90)
	}
	group.Wait()
	s.noteLogs("leadership", "lease not written")
	var runs []time.Time
	for _, w := range s.workers {
		for _, a := range w.all() {
			if a.ran {
				runs = append(runs, a.at)
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	bound := (capRate*capWindow.Seconds()+capBurst)*(1+capOverage) + capSlack
	most, first := 0, 0
	for last := range runs {
		for runs[last].Sub(runs[first]) > capWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	tokens := float64(most * capRequest)
	s.result("%d requests served; at most %.0f tokens ran in a window of %s, the bound is %.0f", served, tokens, capWindow, bound)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	if tokens > bound {
		return []string{fmt.Sprintf("QUOTA: tenant committee ran %.0f tokens in %s, the bound is %.0f", tokens, capWindow, bound)}, nil
	}
	return nil, nil
}
