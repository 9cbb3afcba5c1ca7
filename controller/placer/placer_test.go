package placer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/engine"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

// fakeEngines fakes all engines. It holds the loaded replicas by address.
type fakeEngines struct {
	mu            sync.Mutex
	replicas      map[string]map[string]engine.Entry
	answersToLose int // number of load answers to lose after the load has taken effect
	loads         int
}

var errLost = errors.New("answer lost")

func (f *fakeEngines) Load(ctx context.Context, address string, o engine.LoadOrder) engine.Result {
	select {
	case <-ctx.Done():
		return engine.Result{Err: ctx.Err()}
	case <-time.After(time.Second):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	if f.replicas[address] == nil {
		f.replicas[address] = map[string]engine.Entry{}
	}
	f.replicas[address][o.ReplicaID] = engine.Entry{Name: o.Model, State: engine.Ready, ReplicaID: o.ReplicaID, MemoryMB: o.MemoryMB}
	if f.answersToLose > 0 {
		f.answersToLose--
		return engine.Result{Err: errLost}
	}
	return engine.Result{Outcome: engine.Done, Answer: engine.Answer{Incarnation: address}}
}

func (f *fakeEngines) Unload(_ context.Context, address string, o engine.UnloadOrder) engine.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.replicas[address], o.ReplicaID)
	return engine.Result{Outcome: engine.Done, Answer: engine.Answer{Incarnation: address}}
}

func (f *fakeEngines) Index(_ context.Context, address string) ([]engine.Entry, engine.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []engine.Entry
	for _, e := range f.replicas[address] {
		list = append(list, e)
	}
	return list, engine.Answer{Incarnation: address}, nil
}

func (f *fakeEngines) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.replicas {
		n += len(c)
	}
	return n
}

func testIndex() *catalog.Index {
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "p", Kind: catalog.Engine,
		Upstreams: []catalog.Upstream{{Name: "u", Address: "127.0.0.1:1", DataCentre: "d", MemoryMB: 2000}},
		Models:    []catalog.Model{{Name: "m", MemoryMB: 800, LoadTime: duration.Duration(time.Second)}}}}}
	c.ApplyDefaults()
	return catalog.NewIndex(c, "")
}

// elapse waits for virtual time to pass inside a synctest bubble.
func elapse(d time.Duration) { <-time.After(d) }

// node is a running placer with its log and the last view that it published.
type node struct {
	*Placer
	stop func()
	mu   sync.Mutex
	view placement.View
	logs *memory.Handler
}

func start(t *testing.T, name string, table *portstest.Table, f *fakeEngines) *node {
	n := &node{logs: memory.New()}
	n.Placer = New(table, f, Config{Instance: name, Incarnation: name, Log: &log.Logger{Handler: n.logs, Level: log.InfoLevel},
		Publish: func(v placement.View) { n.mu.Lock(); n.view = v; n.mu.Unlock() }})
	n.SetCatalog(testIndex())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	n.stop = func() { cancel(); <-done }
	return n
}

func (n *node) hasReadyModel() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.view.Models) > 0 && len(n.view.Models[0].Ready) == 1
}

var demand = []placement.Demand{{Pool: "p", Model: "m", Workspace: "w", Waiting: 1, Arrivals: 1, Deadline: time.Minute}}

// waitUntil calls each every 100 ms of virtual time until a condition holds, and
// fails the test after a minute.
func waitUntil(t *testing.T, what string, holds func() bool, each func()) {
	for end := time.Now().Add(time.Minute); !holds(); elapse(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 1 min: %s", what)
		}
		each()
	}
}

// Guards against a second replica after a lost answer to a load, against a repeated
// load after a handover of the lease, and against more than one log line for a
// decision. The test covers table, engine and view.
func TestPlaceAndHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, f := portstest.NewTable(), &fakeEngines{replicas: map[string]map[string]engine.Entry{}, answersToLose: 1}
		a := start(t, "a", table, f)
		waitUntil(t, "a holds the lease", a.Holding, func() {})
		b := start(t, "b", table, f)
		waitUntil(t, "m is ready", a.hasReadyModel, func() { a.Report("i", demand) })
		if f.total() != 1 || f.loads != 1 {
			t.Fatalf("got %d replicas after %d loads, want 1 after 1", f.total(), f.loads)
		}
		lines := 0
		for _, e := range a.logs.Entries {
			if e.Message == "placement decision" && e.Fields["decision"] == "load" {
				lines++
			}
		}
		if lines != 1 {
			t.Errorf("got %d log lines for one load, want 1", lines)
		}
		a.stop()
		waitUntil(t, "b serves m", b.hasReadyModel, func() { b.Report("i", demand) })
		if f.total() != 1 || f.loads != 1 || b.Holder().Holder != "b" {
			t.Errorf("after handover: got %d replicas after %d loads, holder %+v, want 1 after 1, holder b", f.total(), f.loads, b.Holder())
		}
		b.stop()
		if rows, err := table.List(t.Context(), "replica"); err != nil || len(rows) != 1 {
			t.Errorf("got rows %v and error %v, want 1 row", rows, err)
		}
	})
}

// Guards against orders without a confirmed row during a table outage, and against
// placement that does not resume after the outage.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, f := portstest.NewTable(), &fakeEngines{replicas: map[string]map[string]engine.Entry{}}
		a := start(t, "a", table, f)
		waitUntil(t, "a holds the lease", a.Holding, func() {})
		for i, fault := range []portstest.Fault{portstest.Refuse, portstest.LoseResponse} {
			table.SetHook(func(op, key string) portstest.Fault {
				if op == "transact" && key != "lease/placer" {
					return fault
				}
				return portstest.None
			})
			for range 30 {
				a.Report("i", demand)
				elapse(100 * time.Millisecond)
			}
			if f.loads != 0 {
				t.Fatalf("outage %d: got %d loads without a confirmed row, want 0", i, f.loads)
			}
		}
		table.SetHook(nil)
		waitUntil(t, "m is ready", a.hasReadyModel, func() { a.Report("i", demand) })
		if rows, err := table.List(t.Context(), "replica"); err != nil || len(rows) != 1 || f.loads != 1 {
			t.Errorf("got rows %v, error %v and %d loads, want 1 row and 1 load", rows, err, f.loads)
		}
		a.stop()
		if a.Holding() {
			t.Error("the lease is still held after Run ended")
		}
	})
}
