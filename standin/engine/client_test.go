package engine

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/engine"
	"github.com/hibiscusyard/hibiscusyard/standin"
)

// Guards against a client of model engines that interprets the protocol
// differently from the stand-in, and against an order that the client reports
// as refused although the engine executes it.
func TestClientAgainstStandin(t *testing.T) {
	e := New(Config{MemoryMB: 1000, Fencing: true, Models: map[string]string{"a": Disk, "b/c": Remote}})
	server := httptest.NewServer(e)
	client := engine.NewClient()
	t.Cleanup(func() { client.Close(); server.CloseClientConnections(); server.Close() })
	address, ctx := server.Listener.Addr().String(), t.Context()
	order := engine.LoadOrder{Model: "a", ReplicaID: "a1", FencingToken: 5, MemoryMB: 800}
	steps := []struct {
		what    string
		faults  standin.Faults
		change  func(*engine.LoadOrder)
		outcome engine.Outcome
		reason  string
	}{
		{"load", standin.Faults{}, func(*engine.LoadOrder) {}, engine.Done, ""},
		{"old token", standin.Faults{}, func(o *engine.LoadOrder) { o.FencingToken = 4 }, engine.Refused, engine.ReasonStaleToken},
		{"memory", standin.Faults{}, func(o *engine.LoadOrder) { o.ReplicaID = "a2" }, engine.Refused, engine.ReasonMemory},
		{"unknown", standin.Faults{}, func(o *engine.LoadOrder) { o.Model, o.ReplicaID = "x", "x1" }, engine.Refused, engine.ReasonNotFound},
		{"name with a slash", standin.Faults{}, func(o *engine.LoadOrder) { o.Model, o.ReplicaID, o.MemoryMB = "b/c", "b1", 100 }, engine.Done, ""},
		{"engine refuses orders", standin.Faults{Refuse: true}, func(o *engine.LoadOrder) { o.ReplicaID = "a3" }, engine.Refused, engine.ReasonUnavailable},
		{"rate limit", standin.Faults{Rate: 1e-9}, func(o *engine.LoadOrder) { o.ReplicaID = "a3" }, engine.Refused, engine.ReasonUnavailable},
		{"lost answer", standin.Faults{LoseAnswers: 1}, func(o *engine.LoadOrder) { o.ReplicaID, o.MemoryMB = "a4", 50 }, engine.Unknown, engine.ReasonUnreachable},
		{"internal error", standin.Faults{Outage: standin.OutageError}, func(o *engine.LoadOrder) { o.ReplicaID = "a5" }, engine.Unknown, engine.ReasonInvalid},
	}
	for _, s := range steps {
		o := order
		s.change(&o)
		e.SetFaults(s.faults)
		if s.faults.Rate > 0 { // exhaust the burst
			_, _, _ = client.Healthy(ctx, address)
		}
		got := client.Load(ctx, address, o)
		if got.Outcome != s.outcome || got.Reason != s.reason {
			t.Errorf("%s: got %s %q, want %s %q: %v", s.what, got.Outcome, got.Reason, s.outcome, s.reason, got.Err)
		}
	}
	e.SetFaults(standin.Faults{})
	entries, answer, err := client.Index(ctx, address)
	if err != nil || len(entries) != 3 || entries[0] != (engine.Entry{Name: "a", State: engine.Ready, ReplicaID: "a1", MemoryMB: 800, Checkpoint: Disk}) {
		t.Errorf("got index %+v, error %v, want 3 entries with replica a1 of model a first", entries, err)
	}
	want := engine.Load{Known: true, MemoryUsedMB: 950, MemoryTotalMB: 1000}
	if answer.Incarnation != e.State().Incarnation || answer.Load != want {
		t.Errorf("got response %+v, want load %+v", answer, want)
	}
	if got := client.Unload(ctx, address, engine.UnloadOrder{Model: "a", ReplicaID: "a4", FencingToken: 6, SendBy: time.Now().Add(time.Hour)}); got.Outcome != engine.Done {
		t.Errorf("unload: got %+v, want outcome Done", got)
	}
	if n := e.State().Replicas["a"]; n != 1 {
		t.Errorf("got %d replicas of model a after the unload, want 1", n)
	}
}
