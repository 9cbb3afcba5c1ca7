package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { scenarios["late-order"] = lateOrder }

const (
	cutTime = 5500 * time.Millisecond
	// retransmission is when the bytes of the order, sent right after the start of the cut,
	// are sent once more after its end: at 0.2, 0.6, 1.4, 3.0 and 6.2 s.
	retransmission = 700 * time.Millisecond
	leaseTime      = 3 * time.Second
	thawTime       = 300 * time.Millisecond
)

// lateOrder cuts the leader's machine off from the store and from a worker, right before it
// gives that worker an order.
func lateOrder(s *system, trouble bool) ([]string, error) {
	w := &worker{id: "engine-1", service: "redactor", slots: 64, loadTime: time.Second, models: []string{"m1"}, disk: []string{"m1", "m2", "m3"}, serve: streamAnswer(5, 20*time.Millisecond)}
	if err := s.addWorker(w); err != nil {
		return nil, err
	}
	path, err := newLink(s, w.address)
	if err != nil {
		return nil, err
	}
	w.through = path.address()
	if err := w.register(); err != nil {
		return nil, err
	}
	if err := s.operate(1, threeModels("m1", "m2", "m3")); err != nil {
		return nil, err
	}
	stores := map[string]*link{}
	for n := range 3 {
		name := fmt.Sprintf("front-%d", n+1)
		store, err := newLink(s, s.address)
		if err != nil {
			return nil, err
		}
		stores[name] = store
		if _, err := s.addInstance(name, store.address()); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	leader, err := s.holder()
	if err != nil {
		return nil, err
	}
	var first, other *instance
	for _, i := range s.instances {
		if i.name == leader {
			first = i
		} else {
			other = i
		}
	}
	s.note("%s leads", leader)
	var group sync.WaitGroup
	n := 0
	ask := func(i *instance, model string, deadline time.Duration) {
		n++
		id := fmt.Sprintf("%s-%04d", i.name, n)
		group.Go(func() {
			header := map[string]string{userplatform.HeaderModel: model, userplatform.HeaderTokens: "100,40", userplatform.HeaderPrefix: "5c1e07a2:60," + id + ":40"}
			a := s.ask(i, http.MethodPost, "/drafts/"+id, id, deadline, header, []byte("{}"))
			s.note("consumer gets %d for %s (%s)", a.status, id, model)
		})
	}
	// The leader's machine serves requests, so that it has channels to the worker.
	for range 10 {
		ask(first, "m1", 5*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	healed := start
	if trouble {
		s.note("%s is cut off from the store and from %s", leader, w.id)
		stores[leader].cut("all", retransmission)
		path.cut(leader, retransmission)
	}
	ask(first, "m2", 2500*time.Millisecond) // makes the leader order a load
	time.Sleep(cutTime)
	if trouble {
		stores[leader].heal()
		path.heal()
		healed = time.Now()
		s.note("the cut is over")
	}
	time.Sleep(retransmission + 200*time.Millisecond)
	// These make the leader of now order a load.
	ask(other, "m3", 8*time.Second)
	time.Sleep(1300 * time.Millisecond)
	ask(other, "m3", 8*time.Second)
	time.Sleep(5 * time.Second)
	group.Wait()
	s.noteLogs("leadership", "placement decision")
	w.mu.Lock()
	calls := w.calls
	w.mu.Unlock()
	var broken []string
	for i, a := range calls {
		for _, b := range calls[i+1:] {
			excused := func(c orderCall) bool { return c.at.After(healed) && c.at.Before(healed.Add(thawTime)) }
			if a.holder == b.holder || excused(a) || excused(b) {
				continue
			}
			said := fmt.Sprintf("%s (generation %d, %s) at %.0f ms and %s (generation %d, %s) at %.0f ms, answered %d and %d", a.holder, a.token, a.model, s.at(a.at), b.holder, b.token, b.model, s.at(b.at), a.status, b.status)
			if b.token < a.token {
				broken = append(broken, "ONE: a lower generation number after a higher one: "+said)
			}
			if b.at.Sub(a.at) < leaseTime {
				broken = append(broken, "ONE: two holders within leaseMs: "+said)
			}
		}
	}
	if len(calls) < 2 {
		return nil, errors.New("the worker got no two orders")
	}
	return broken, nil
}

// holder returns the instance that the lease row of the system names.
func (s *system) holder() (string, error) {
	var record struct{ Holder string }
	if err := json.Unmarshal(s.store.Value("hibiscusyard", "lease"), &record); err != nil {
		return "", err
	}
	return record.Holder, nil
}
