package coordinator

import (
	"fmt"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Guards against a table of demand that grows with the names of models that callers ask
// for, at the instance and at the leader that it reports to.
func TestDemandIsKeptOnlyForModelsOfTheService(t *testing.T) {
	registry := fleet.NewRegistry()
	engine := &fleet.Engine{Models: map[string]*fleet.Model{"m": {Name: "m"}}}
	registry.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{"engine": {Name: "engine", Engine: engine}, "plain": {Name: "plain"}}})
	l := newClient(&Coordinator{config: Config{Instance: "i", View: registry.View}})
	deadline := bootclock.Now().Add(1e9)
	for n := range 100 {
		defer l.RecordWaiting("engine", fmt.Sprint("unknown ", n), deadline)()
		defer l.RecordWaiting(fmt.Sprint("unknown ", n), "m", deadline)()
		defer l.RecordWaiting("plain", "m", deadline)()
	}
	done := l.RecordWaiting("engine", "m", deadline)
	if len(l.demands) != 1 {
		t.Errorf("demand for %d models is kept, want 1", len(l.demands))
	}
	if r, _, _ := l.collectReport(); len(r.Demands) != 1 || r.Demands[0].Model != "m" || r.Demands[0].Waiting != 1 {
		t.Errorf("reported %+v", r.Demands)
	}
	done()
	l.collectReport()
	if len(l.demands) != 0 {
		t.Errorf("demand for %d models is kept after all requests, want none", len(l.demands))
	}
}
