package hibiscusyard

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/standin"
)

func echoService(t *testing.T) (address string, keys *[]string) {
	t.Helper()
	var mu sync.Mutex
	seen := &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if value := r.Header.Get("Authorization"); value != "" {
			*seen = append(*seen, value)
		}
		w.Header().Set("X-Upstream-Incarnation", "1")
		w.Write([]byte("done")) //nolint:errcheck // the test reads the answer.
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), seen
}

func startSignupFleet(t *testing.T, n int) (*fleet, string) {
	t.Helper()
	f := startFleet(t, n)
	address, keys := echoService(t)
	t.Cleanup(func() {
		if len(*keys) > 0 {
			t.Errorf("got %d callers' keys at an upstream, want 0", len(*keys))
		}
	})
	f.awaitLinks()
	routes, pools := serviceTables(address, callerKey)
	f.put(0, "pools", pools)
	f.put(0, "routes", routes)
	f.awaitReady()
	return f, address
}

// Guards against an edit that takes effect late or not at all on some
// instances, and against a withdrawn key that is still accepted there.
func TestEditAndWithdrawalInForceEverywhere(t *testing.T) {
	f, address := startSignupFleet(t, 5)
	for k := range f.instances {
		eventually(t, propagationLimit, "granted key works", func() bool { return f.call(k, "/signup/x", callerKey).status == http.StatusOK })
	}
	f.tableConnections[4].down.Store(true) // this instance receives the withdrawal only from a peer
	routes, _ := serviceTables(address, "another-key")
	version := f.put(1, "routes", routes)
	for k, i := range f.instances {
		eventually(t, propagationLimit, "withdrawn key refused", func() bool {
			a := f.call(k, "/signup/x", callerKey)
			return a.code == "invalid_key" && a.verdict == "not_run" && a.status == http.StatusUnauthorized
		})
		if index, _ := i.catalog.Current(); index.Version() != version {
			t.Errorf("instance %d: got version %d, want %d", k, index.Version(), version)
		}
	}
}

// Guards against a lost update when two operators edit the same version.
func TestRacingOperators(t *testing.T) {
	f, address := startSignupFleet(t, 3)
	routes, _ := serviceTables(address, callerKey)
	data, err := json.Marshal(routes)
	if err != nil {
		t.Fatal(err)
	}
	_, base, err := f.admin(0).Get(context.Background(), "routes")
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, len(f.instances))
	for k := range f.instances {
		go func() {
			_, err := f.admin(k).Put(context.Background(), "routes", data, base)
			results <- err
		}()
	}
	accepted := 0
	for range f.instances {
		err := <-results
		var problem *admin.ProblemError
		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &problem) || problem.Status != http.StatusPreconditionFailed:
			t.Errorf("rejected edit: got %v, want status 412", err)
		}
	}
	if accepted != 1 {
		t.Errorf("got %d accepted edits, want 1", accepted)
	}
}

// Guards against reporting a conflict when an edit was applied but the table's
// answer was lost.
func TestEditWithLostAnswer(t *testing.T) {
	f, address := startSignupFleet(t, 2)
	routes, _ := serviceTables(address, callerKey, "second-key")
	before, _ := f.instances[0].catalog.Current()
	f.table.SetFaults(standin.Faults{LoseAnswers: 1})
	if version := f.put(0, "routes", routes); version != before.Version()+1 {
		t.Errorf("got version %d after the edit, want %d", version, before.Version()+1)
	}
	eventually(t, propagationLimit, "granted key works", func() bool { return f.call(1, "/signup/x", "second-key").status == http.StatusOK })
}

// Guards against refusing all callers while no instance can reach the table,
// and against serving on an instance that can't receive withdrawals because it
// reaches neither the table nor a peer.
func TestTableOutage(t *testing.T) {
	f, address := startSignupFleet(t, 3)
	f.awaitShareSlots()
	f.setTableOutage(true)
	stale := f.instances[0].settings.StaleAfter.Std()
	deadline := time.Now().Add(2 * stale)
	for time.Now().Before(deadline) {
		for k := range f.instances {
			if a := f.call(k, "/signup/x", callerKey); a.status != http.StatusOK {
				t.Fatalf("instance %d during the outage: got %+v, want status 200", k, a)
			}
		}
	}
	routes, _ := serviceTables(address, "another-key")
	data, err := json.Marshal(routes)
	if err != nil {
		t.Fatal(err)
	}
	var problem *admin.ProblemError
	if _, err := f.admin(0).Put(context.Background(), "routes", data, 2); !errors.As(err, &problem) {
		t.Errorf("edit during the outage: got %v, want a refusal", err)
	}
	for _, k := range []int{1, 2} {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		f.instances[k].Shutdown(ctx) //nolint:errcheck // the session can't be ended during the outage.
		cancel()
	}
	eventually(t, propagationLimit, "an instance without table and peers refuses", func() bool {
		a := f.call(0, "/signup/x", callerKey)
		return a.code == "configuration_stale" && a.verdict == "not_run"
	})
}

// Guards against an instance that reports ready before it holds a catalogue.
func TestStartDuringOutageIsNotReady(t *testing.T) {
	f := startFleet(t, 1)
	f.setTableOutage(true)
	reasons := strings.Join(f.instances[0].notReady(), "; ")
	if !strings.Contains(reasons, "no catalogue version held") {
		t.Errorf("got reasons %q, want the missing catalogue", reasons)
	}
	if a := f.call(0, "/signup/x", callerKey); a.code != "not_ready" || a.verdict != "not_run" {
		t.Errorf("request: got %+v, want not_ready", a)
	}
}

// Guards against accepting a pool with a checkpoint that is missing from the
// weight store, and against refusing edits while the weight store is down.
func TestEditChecksCheckpoints(t *testing.T) {
	f := startFleet(t, 1)
	pool := func(checkpoint string) []byte {
		data, err := json.Marshal(admin.PoolsDocument{Pools: []catalog.Pool{{
			Name: "drafting", Kind: catalog.Engine, Models: []catalog.Model{{Name: "m", MemoryMB: 1, Checkpoint: checkpoint}},
		}}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	ctx := context.Background()
	eventually(t, waitLimit, "a pool with a known checkpoint is accepted", func() bool {
		_, err := f.admin(0).Put(ctx, "pools", pool(knownCheckpoint), 0)
		return err == nil
	})
	var problem *admin.ProblemError
	if _, err := f.admin(0).Put(ctx, "pools", pool("absent"), 1); !errors.As(err, &problem) || len(problem.Problem.Fields) != 1 {
		t.Errorf("pool with a missing checkpoint: got %v, want one field error", err)
	}
	f.weights.SetFaults(standin.Faults{Outage: standin.OutageClose})
	if _, err := f.admin(0).Put(ctx, "pools", pool("absent"), 1); err != nil {
		t.Errorf("edit during an outage of the weight store: got %v, want none", err)
	}
}

// Guards against a new instance that treats a service already in use as newly
// started and ramps it up again.
func TestNewInstanceFetchesUpstreamAges(t *testing.T) {
	f, _ := startSignupFleet(t, 1)
	eventually(t, waitLimit, "a call is served", func() bool { return f.call(0, "/signup/x", callerKey).status == http.StatusOK })
	// The instance records the upstream only after the caller has received the answer.
	var known []balance.Age
	eventually(t, waitLimit, "the first instance has recorded the age of the service", func() bool {
		known = f.instances[0].route.Ages(time.Now())["signup"]
		return len(known) == 1
	})
	began := time.Now().Add(-known[0].Age)
	f.start(1)
	eventually(t, waitLimit, "the new instance has fetched the age of the service", func() bool {
		ages := f.instances[1].route.Ages(time.Now())["signup"]
		return len(ages) == 1 && time.Now().Add(-ages[0].Age).Sub(began) < 50*time.Millisecond
	})
}
