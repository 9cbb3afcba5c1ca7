package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { scenarios["foreign-entry"] = foreignEntry }

const (
	configurationMS = 2000
	streamEvents    = 40
	streamPace      = 100 * time.Millisecond
)

// cut is a stream that ended before its last event.
type cut struct {
	id       string
	at       time.Time
	instance *instance
}

// foreignEntry lets another writer replace the entry of a model worker by one with a
// service that no desired state names. Later the operator adds a model.
func foreignEntry(s *system, trouble bool) ([]string, error) {
	first := &worker{id: "engine-1", service: "redactor", slots: 64, loadTime: time.Second, models: []string{"m1"}, serve: streamAnswer(streamEvents, streamPace)}
	second := &worker{id: "engine-2", service: "redactor", slots: 64, loadTime: time.Second, models: []string{"m1", "m2", "m3"}, serve: streamAnswer(streamEvents, streamPace)}
	for _, w := range []*worker{first, second} {
		if err := s.addWorker(w); err != nil {
			return nil, err
		}
	}
	if err := s.operate(3, threeModels("m1", "m2", "m3")); err != nil {
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
	time.Sleep(10 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	var cuts []cut
	served := 0
	stop := time.Now().Add(16 * time.Second)
	group.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			i := s.instances[n%len(s.instances)]
			group.Go(func() {
				id := fmt.Sprintf("%s-%04d", i.name, n)
				header := map[string]string{userplatform.HeaderModel: "m1", userplatform.HeaderTokens: "100,40", userplatform.HeaderPrefix: "5c1e07a2:60," + id + ":40"}
				a := s.ask(i, http.MethodPost, "/drafts/"+id, id, 12*time.Second, header, []byte("{}"))
				complete := a.err == nil && strings.Contains(string(a.body), fmt.Sprintf("id: %d\n", streamEvents))
				s.note("consumer gets %d for %s, complete: %v %v", a.status, id, complete, a.err)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.status == http.StatusOK && complete:
					served++
				case a.status == http.StatusOK:
					cuts = append(cuts, cut{id, time.Now(), i})
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(4 * time.Second)
	if trouble {
		if err := first.replaceEntry("another-service"); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second) // longer than contactMs
	sent := time.Now()
	if err := s.operate(8, threeModels("m1", "m2", "m3", "m4")); err != nil {
		return nil, err
	}
	until := time.Now().Add(configurationMS*time.Millisecond + time.Second)
	group.Wait()
	var broken []string
	for _, i := range s.instances {
		if i.ended() {
			s.result("process %s has ended by itself: %v", i.name, i.cmd.ProcessState)
			broken = append(broken, fmt.Sprintf("crash: the process %s ended by itself (%v)", i.name, i.cmd.ProcessState))
		}
	}
	s.noteLogs("panic", "leadership", "goroutine 1", "residency.", "can't be decoded")
	around := 0
	for _, c := range cuts {
		if c.at.After(sent) && c.at.Before(until) {
			around++
			broken = append(broken, fmt.Sprintf("LOST: the channel of %s ended at %.0f ms without a complete answer, %.0f ms after version 8 was sent; its worker had not broken off", c.id, s.at(c.at), float64(c.at.Sub(sent).Milliseconds())))
		}
	}
	s.result("%d streams complete, %d cut, %d of them around the new version", served, len(cuts), around)
	if served == 0 {
		return nil, errors.New("no stream was served")
	}
	return broken, nil
}

// replaceEntry writes the entry of the worker for another writer, which names a service
// that does not exist. The worker itself is sound and goes on.
func (w *worker) replaceEntry(service string) error {
	var entry map[string]any
	if err := json.Unmarshal(w.s.store.Value("servers", w.id), &entry); err != nil {
		return err
	}
	sequence, ok := entry["sequence"].(float64)
	if !ok {
		return errors.New("the entry has no sequence")
	}
	entry["service"], entry["sequence"], entry["born"] = service, int64(sequence)+1, w.born
	w.s.note("another writer writes an entry servers/%s of the service %s", w.id, service)
	return w.s.store.Put("servers", w.id, entry)
}

// threeModels is a desired state with one route and the given models of one size, three of
// which fit into a worker.
func threeModels(names ...string) map[string]any {
	models := []map[string]any{}
	for _, name := range names {
		models = append(models, map[string]any{"name": name, "weightsMb": 72700, "loadS": 1.0, "adapters": 0, "adapterMb": 66, "warmS": 0.6, "diskS": 1.0})
	}
	return map[string]any{
		"routes": []map[string]any{{
			"name": "drafts", "host": host, "prefix": "/drafts/", "kind": "streaming", "service": "redactor", "timeoutMs": 12000,
			"targetLatencyMs": 600, "targetGapMs": 300, "priority": 2, "attempts": 1, "resumable": false, "sticky": true,
		}},
		"services": []map[string]any{{
			"name": "redactor", "healthPath": "/health", "connectionLimit": 370, "coldPerS": 13.0, "coldStartS": 3.0,
			"engine": map[string]any{"slots": 64, "kvCacheTokens": 111756, "weightsMb": 230000, "adapterSlots": 8, "loadsPerS": 2.6, "models": models},
		}},
	}
}
