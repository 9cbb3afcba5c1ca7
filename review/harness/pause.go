package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { scenarios["pause"] = pause }

const (
	pauseLimit   = 24.0 // requests a second that the worker takes from all machines together
	pauseLength  = 6 * time.Second
	pauseGrace   = 500 * time.Millisecond
	pauseAllowed = 2
)

// pause lets the only worker that holds a rare model name a limit, and then turn requests
// away with 503 and Retry-After while others wait for their turn within that limit.
func pause(s *system, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var until time.Time
	asked := map[string]time.Time{} // first refusal with Retry-After, by instance
	w := &worker{id: "engine-1", service: "redactor", slots: 64, loadTime: time.Second, models: []string{"rare"}, serve: streamAnswer(5, 40*time.Millisecond)}
	w.admit = func(rw http.ResponseWriter, r *http.Request) bool {
		rw.Header().Set(userplatform.HeaderLimit, fmt.Sprint(pauseLimit))
		mu.Lock()
		defer mu.Unlock()
		left := time.Until(until)
		if left <= 0 {
			return false
		}
		id := r.Header.Get(userplatform.HeaderID)
		name := instanceOf(id)
		if asked[name].IsZero() {
			asked[name] = time.Now()
		}
		s.note("worker %s answers 503 with Retry-After %.3f to %s", w.id, left.Seconds(), id)
		rw.Header().Set(userplatform.HeaderNotExecuted, "1")
		rw.Header().Set("Retry-After", fmt.Sprintf("%.3f", left.Seconds()))
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if err := s.addWorker(w); err != nil {
		return nil, err
	}
	if err := s.operate(1, rareModel(map[string]any{"coldPerS": 13.0, "coldStartS": 3.0})); err != nil {
		return nil, err
	}
	for n := range 2 {
		if _, err := s.addInstance(fmt.Sprintf("front-%d", n+1), s.address); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	var group sync.WaitGroup
	send := func(i *instance, n int) {
		group.Go(func() {
			id := fmt.Sprintf("%s-%04d", i.name, n)
			a := s.ask(i, http.MethodPost, "/drafts/"+id, id, 25*time.Second, rareHeader(id), []byte("{}"))
			s.note("consumer gets %d for %s after all", a.status, id)
		})
	}
	// A calm start, from which the instances learn of the limit: two requests a second.
	n := 0
	for ; n < 10; n++ {
		send(s.instances[n%2], n)
		time.Sleep(500 * time.Millisecond)
	}
	// Many users come at once, and a moment later the worker wants a pause.
	for k := range 90 {
		if trouble && k == 30 {
			mu.Lock()
			until = time.Now().Add(pauseLength)
			mu.Unlock()
			s.note("the worker turns requests away for %s", pauseLength)
		}
		send(s.instances[n%2], n)
		n++
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(pauseLength + time.Second)
	group.Wait()
	ran := 0
	late := map[string][]string{}
	for _, a := range w.all() {
		if a.ran {
			ran++
		}
		name := instanceOf(a.id)
		if t := asked[name]; !t.IsZero() && a.at.After(t.Add(pauseGrace)) && a.at.Before(until) {
			late[name] = append(late[name], fmt.Sprintf("%s at %.0f ms", a.id, s.at(a.at)))
		}
	}
	s.result("%d requests ran", ran)
	var broken []string
	for name, list := range late {
		s.result("%s: %d requests reached the worker between half a second after its 503 with Retry-After (at %.0f ms) and the end of that time, %d are allowed", name, len(list), s.at(asked[name]), pauseAllowed)
		if len(list) > pauseAllowed {
			broken = append(broken, fmt.Sprintf("BUDGET: %s sent %d requests in the time for which the worker wanted none: %s", name, len(list), strings.Join(list, ", ")))
		}
	}
	if ran == 0 {
		return nil, fmt.Errorf("no request ran")
	}
	return broken, nil
}

// instanceOf returns the instance that a request was sent to, by its ID.
func instanceOf(id string) string { return id[:strings.LastIndexByte(id, '-')] }

// rareHeader returns the headers of a request for the rare model.
func rareHeader(id string) map[string]string {
	return map[string]string{
		userplatform.HeaderModel: "rare", userplatform.HeaderTokens: "100,40",
		userplatform.HeaderPrefix: "5c1e07a2:60,91bd3f06:20," + id + ":20",
	}
}

// rareModel is a desired state with one model service, whose route has the times of the
// most patient one in the users' sheets and may not be resumed.
func rareModel(cold map[string]any) map[string]any {
	service := map[string]any{
		"name": "redactor", "healthPath": "/health", "connectionLimit": 370,
		"engine": map[string]any{
			"slots": 64, "kvCacheTokens": 111756, "weightsMb": 230000, "adapterSlots": 8, "loadsPerS": 2.6,
			"models": []map[string]any{{"name": "rare", "weightsMb": 65100, "loadS": 1.0, "adapters": 0, "adapterMb": 12, "warmS": 0.6, "diskS": 1.0}},
		},
	}
	for name, value := range cold {
		service[name] = value
	}
	return map[string]any{
		"routes": []map[string]any{{
			"name": "drafts", "host": host, "prefix": "/drafts/", "kind": "streaming", "service": "redactor", "timeoutMs": 25000,
			"targetLatencyMs": 3000, "targetGapMs": 300, "priority": 1, "attempts": 1, "resumable": false, "sticky": true,
		}},
		"services": []map[string]any{service},
	}
}
