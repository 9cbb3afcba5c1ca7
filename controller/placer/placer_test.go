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

// engines is a fake of all engines: by address the loaded replicas.
type engines struct {
	mu     sync.Mutex
	copies map[string]map[string]engine.Entry
	lose   int // answers to lose after the effect
	loads  int
}

var errLost = errors.New("answer lost")

func (f *engines) Load(ctx context.Context, address string, o engine.LoadOrder) engine.Result {
	select {
	case <-ctx.Done():
		return engine.Result{Err: ctx.Err()}
	case <-time.After(time.Second):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	if f.copies[address] == nil {
		f.copies[address] = map[string]engine.Entry{}
	}
	f.copies[address][o.ReplicaID] = engine.Entry{Name: o.Model, State: engine.Ready, ReplicaID: o.ReplicaID, MemoryMB: o.MemoryMB}
	if f.lose > 0 {
		f.lose--
		return engine.Result{Err: errLost}
	}
	return engine.Result{Outcome: engine.Done, Answer: engine.Answer{Incarnation: address}}
}

func (f *engines) Unload(_ context.Context, address string, o engine.UnloadOrder) engine.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.copies[address], o.ReplicaID)
	return engine.Result{Outcome: engine.Done, Answer: engine.Answer{Incarnation: address}}
}

func (f *engines) Index(_ context.Context, address string) ([]engine.Entry, engine.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []engine.Entry
	for _, e := range f.copies[address] {
		list = append(list, e)
	}
	return list, engine.Answer{Incarnation: address}, nil
}

func (f *engines) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.copies {
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

// elapse lets virtual time pass inside a synctest bubble.
func elapse(d time.Duration) { <-time.After(d) }

// node is one placer with the last view that it published.
type node struct {
	*Placer
	stop func()
	mu   sync.Mutex
	view placement.View
	logs *memory.Handler
}

func start(t *testing.T, name string, table *portstest.Table, f *engines) *node {
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

func (n *node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.view.Models) > 0 && len(n.view.Models[0].Ready) == 1
}

var demand = []placement.Demand{{Pool: "p", Model: "m", Workspace: "w", Waiting: 1, Arrivals: 1, Deadline: time.Minute}}

// until lets time pass until a condition holds, at most a minute.
func until(t *testing.T, what string, holds func() bool, each func()) {
	for end := time.Now().Add(time.Minute); !holds(); elapse(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
		each()
	}
}

// Guards the whole path through table, engine and view: a lost answer makes no
// second copy, a successor takes the replica over without loading it again,
// and one decision makes one log line.
func TestPlaceAndHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, f := portstest.NewTable(), &engines{copies: map[string]map[string]engine.Entry{}, lose: 1}
		a := start(t, "a", table, f)
		until(t, "a holds the lease", a.Holding, func() {})
		b := start(t, "b", table, f)
		until(t, "m is ready", a.ready, func() { a.Report("i", demand) })
		if f.total() != 1 || f.loads != 1 {
			t.Fatalf("%d copies after %d loads", f.total(), f.loads)
		}
		lines := 0
		for _, e := range a.logs.Entries {
			if e.Message == "placement decision" && e.Fields["decision"] == "load" {
				lines++
			}
		}
		if lines != 1 {
			t.Errorf("%d log lines for one load", lines)
		}
		a.stop()
		until(t, "b serves m", b.ready, func() { b.Report("i", demand) })
		if f.total() != 1 || f.loads != 1 || b.Holder().Holder != "b" {
			t.Errorf("%d copies after %d loads, holder %+v", f.total(), f.loads, b.Holder())
		}
		b.stop()
		if rows, err := table.List(t.Context(), "replica"); err != nil || len(rows) != 1 {
			t.Errorf("rows %v, %v", rows, err)
		}
	})
}

// Guards table outages: no order leaves without a row, and work goes on
// when the table is back.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, f := portstest.NewTable(), &engines{copies: map[string]map[string]engine.Entry{}}
		a := start(t, "a", table, f)
		until(t, "a holds the lease", a.Holding, func() {})
		for i, fault := range []portstest.Fault{portstest.Refuse, portstest.LoseAnswer} {
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
				t.Fatalf("outage %d: %d loads without a confirmed row", i, f.loads)
			}
		}
		table.SetHook(nil)
		until(t, "m is ready", a.ready, func() { a.Report("i", demand) })
		if rows, err := table.List(t.Context(), "replica"); err != nil || len(rows) != 1 || f.loads != 1 {
			t.Errorf("rows %v, %v, %d loads", rows, err, f.loads)
		}
		a.stop()
		if a.Holding() {
			t.Error("the lease must be released")
		}
	})
}
