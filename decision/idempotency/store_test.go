package idempotency

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type objects map[string][]byte

func (o objects) Put(_ context.Context, key string, data []byte) error {
	o[key] = bytes.Clone(data)
	return nil
}

func (o objects) Get(_ context.Context, key string) ([]byte, error) {
	if data, ok := o[key]; ok {
		return data, nil
	}
	return nil, ports.ErrNotFound
}

// history submits requests with a few keys at two instances. Faults and kills
// are taken from a script of bytes.
type history struct {
	script        []byte
	table         *portstest.Table
	objects       objects
	stores        [2]*Store
	serial        int
	ended         map[string]bool
	runs          map[string]int // number of runs by key
	answeredCalls int            // table calls that succeeded
	depth         int
	failure       string
}

func (h *history) nextChoice(n int) int {
	if len(h.script) == 0 {
		return 0
	}
	b := int(h.script[0])
	h.script = h.script[1:]
	return b % n
}

func (h *history) token() string {
	h.serial++
	return fmt.Sprint("token", h.serial)
}

func (h *history) start(i int) {
	if old := h.stores[i]; old != nil {
		h.ended[old.Incarnation] = true
	}
	h.stores[i] = &Store{Table: h.table, Objects: h.objects, Instance: fmt.Sprint(i), Incarnation: h.token(),
		IncarnationEnded: func(_, incarnation string) bool { return h.ended[incarnation] }, NewToken: h.token, Now: time.Now}
}

func (h *history) hook(string, string) portstest.Fault {
	if h.depth < 2 && h.nextChoice(6) == 5 {
		saved := h.answeredCalls
		h.submit(h.nextChoice(2)) // another request interleaves
		h.answeredCalls = saved
	}
	fault := []portstest.Fault{portstest.None, portstest.None, portstest.None, portstest.Refuse, portstest.LoseResponse}[h.nextChoice(5)]
	if fault == portstest.None {
		h.answeredCalls++
	}
	return fault
}

// submit handles one request from claim to response.
func (h *history) submit(instance int) {
	h.depth++
	defer func() { h.depth-- }()
	store, key := h.stores[instance], []string{"k1", strings.Repeat("k2/", 50)}[h.nextChoice(2)]
	body := []string{"a", "a", "a", "b"}[h.nextChoice(4)]
	h.answeredCalls = 0
	before := h.runs[key]
	claim, outcome, refusal := store.Claim(context.Background(), Request{Workspace: "w", Route: "r", Key: key, Digest: body})
	switch {
	case claim != nil:
		h.forward(instance, store, claim, key, body)
	case outcome != nil:
		if string(outcome.Body) != "answer to "+body {
			h.fail("replayed response %q to request body %s", outcome.Body, body)
		}
	case refusal.Verdict() == verdict.NotRun && before > 0 && h.answeredCalls > 0:
		h.fail("got verdict not_run (%s) after %d runs, want may_have_run", refusal.Reason, before)
	case refusal.Verdict() == verdict.NotRun && refusal.Reason != verdict.ClaimUnavailable:
		h.fail("got verdict not_run with reason %s, want it only with claim_unavailable", refusal.Reason)
	}
}

func (h *history) forward(instance int, store *Store, claim *Claim, key, body string) {
	if h.nextChoice(6) == 5 || store != h.stores[instance] { // killed after the claim
		h.start(instance)
		return
	}
	attempt := verdict.Attempt{}
	var outcome *Outcome
	switch h.nextChoice(4) {
	case 0: // no upstream was eligible
	case 1: // broken connection
		attempt.MarkSent()
		h.runs[key]++
	default:
		attempt.MarkSent()
		h.runs[key]++
		outcome = &Outcome{Status: 200, Body: []byte("answer to " + body)}
	}
	if h.runs[key] > 1 {
		h.fail("key %.3s ran %d times, want at most 1", key, h.runs[key])
	}
	if h.nextChoice(6) == 5 { // killed before the outcome was stored
		h.start(instance)
		return
	}
	_ = store.Complete(context.Background(), claim, attempt.Verdict(), outcome)
	if h.nextChoice(4) == 3 {
		store.Sweep(context.Background())
	}
}

func (h *history) fail(format string, args ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf(format, args...)
	}
}

// Guards against a second run of a request with the same Idempotency-Key, and
// against a refusal with verdict not_run after the table returned the earlier
// claim.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{script: rapid.SliceOfN(rapid.Byte(), 50, 400).Draw(rt, "script"),
			table: portstest.NewTable(), objects: objects{}, ended: map[string]bool{}, runs: map[string]int{}}
		h.start(0)
		h.start(1)
		h.table.SetHook(h.hook)
		synctest.Test(t, func(*testing.T) { // virtual time for the delays of ports.Commit
			for len(h.script) > 0 {
				h.submit(h.nextChoice(2))
			}
		})
		if h.failure != "" {
			rt.Fatal(h.failure)
		}
	})
}

// Guards against wrong decisions on a repeat in each state of a claim.
func TestBegin(t *testing.T) {
	yes, no := func(string) bool { return true }, func(string) bool { return false }
	for _, c := range []struct {
		name      string
		row       Row
		gone      bool
		abandoned func(string) bool
		want      Action
	}{
		{"running", Row{State: Running, Digest: "d"}, false, no, RefuseActive},
		{"running at an instance that has ended", Row{State: Running, Digest: "d"}, true, no, RefuseUnknown},
		{"abandoned before forwarding", Row{State: Running, Digest: "d"}, false, yes, Take},
		{"done", Row{State: Done, Digest: "d", Outcome: &Outcome{}}, true, no, Replay},
		{"done, body lost", Row{State: Done, Digest: "d", Outcome: &Outcome{Lost: true}}, false, no, RefuseRan},
		{"unknown", Row{State: Unknown, Digest: "d"}, false, yes, RefuseUnknown},
		{"released", Row{State: Released, Digest: "other"}, false, no, Take},
		{"other request", Row{State: Done, Digest: "other", Outcome: &Outcome{}}, false, no, RefuseReused},
		{"unknown state of a later version", Row{State: "later version", Digest: "d"}, false, no, RefuseUnknown},
	} {
		d := Begin(c.row, true, 7, "d", func(string, string) bool { return c.gone }, c.abandoned)
		if d.Action != c.want || (c.want == Take && d.Revision != 7) {
			t.Errorf("%s: got %+v, want action %d", c.name, d, c.want)
		}
	}
}

// Guards against wrong verdicts in refusals while the table is unreachable, and
// against a key that stays blocked by a claim that was never forwarded.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{table: portstest.NewTable(), objects: objects{}, ended: map[string]bool{}}
		h.start(0)
		h.start(1)
		request := Request{Workspace: "w", Route: "r", Key: "k", Digest: "d"}
		lost := func(op, _ string) portstest.Fault {
			if op == "get" {
				return portstest.Refuse
			}
			return portstest.LoseResponse
		}
		h.table.SetHook(lost)
		claim, _, refusal := h.stores[0].Claim(t.Context(), request)
		if claim != nil || refusal.Reason != verdict.ClaimUnavailable || refusal.Verdict() != verdict.NotRun || refusal.RetryAfter == 0 {
			t.Fatalf("claim with lost write answer: got %+v, %v, want claim_unavailable with not_run and Retry-After", claim, refusal)
		}
		h.table.SetHook(nil)
		if _, _, refusal = h.stores[1].Claim(t.Context(), request); refusal == nil || refusal.Verdict() != verdict.MayHaveRun {
			t.Fatalf("claim of a running key at another instance: got %v, want a refusal with may_have_run", refusal)
		}
		if left := h.stores[0].Sweep(t.Context()); left != 0 {
			t.Fatalf("got %d claims pending after the table recovered, want 0", left)
		}
		if claim, _, refusal = h.stores[1].Claim(t.Context(), request); claim == nil {
			t.Fatalf("the key is still blocked after the sweep: %v", refusal)
		}
		h.table.SetHook(lost)
		if _, _, refusal = h.stores[1].Claim(t.Context(), request); refusal.Reason != verdict.RequestInProgress || refusal.Verdict() != verdict.MayHaveRun {
			t.Fatalf("repeat at the instance that runs the request: got %v, want request_in_progress with may_have_run", refusal)
		}
		refuse := func(string, string) portstest.Fault { return portstest.Refuse }
		h.table.SetHook(refuse)
		if err := h.stores[1].Complete(t.Context(), claim, verdict.MayHaveRun, &Outcome{Status: 200}); err == nil {
			t.Fatal("Complete succeeded during the outage")
		}
		if _, outcome, _ := h.stores[1].Claim(t.Context(), request); outcome == nil {
			t.Fatal("the instance that ran the request did not replay its outcome during the outage")
		}
		h.table.SetHook(nil)
		if left := h.stores[1].Sweep(t.Context()); left != 0 {
			t.Fatalf("got %d unsaved ends after the table recovered, want 0", left)
		}
		if _, outcome, refusal := h.stores[0].Claim(t.Context(), request); outcome == nil {
			t.Fatalf("the outcome was not stored by the sweep: %v", refusal)
		}
	})
}

// Guards against refusing a claim whose own write conflicts with itself, which
// happens if the table drops the transaction token after a lost answer.
func TestConflictWithOwnWrite(t *testing.T) {
	h := &history{table: portstest.NewTable(), objects: objects{}, ended: map[string]bool{}}
	h.start(0)
	h.stores[0].Table = conflictingTable{h.table}
	claim, _, refusal := h.stores[0].Claim(t.Context(), Request{Workspace: "w", Route: "r", Key: "k", Digest: "d"})
	if claim == nil {
		t.Fatalf("the claim's own write was not recognised: %v", refusal)
	}
}

type conflictingTable struct{ *portstest.Table }

func (c conflictingTable) Transact(ctx context.Context, token string, writes ...ports.Write) error {
	_ = c.Table.Transact(ctx, token, writes...)
	return ports.ErrConflict
}

// Guards against bodies that exceed the size of a row, and against responses
// that are not replayed unchanged.
func TestOutcomeBodies(t *testing.T) {
	for _, c := range []struct {
		size     int
		objects  int
		replayed bool
	}{{0, 0, true}, {MaxInline, 0, true}, {MaxInline + 1, 1, true}, {MaxStored + 1, 0, false}} {
		h := &history{table: portstest.NewTable(), objects: objects{}, ended: map[string]bool{}}
		h.start(0)
		request := Request{Workspace: "w", Route: "r", Key: "k", Digest: "d"}
		claim, _, _ := h.stores[0].Claim(t.Context(), request)
		body := bytes.Repeat([]byte("x"), c.size)
		if err := h.stores[0].Complete(t.Context(), claim, verdict.MayHaveRun, &Outcome{Status: 201, Body: body}); err != nil {
			t.Fatal(err)
		}
		_, outcome, refusal := h.stores[0].Claim(t.Context(), request)
		if len(h.objects) != c.objects || (outcome != nil) != c.replayed {
			t.Fatalf("%d bytes: got an unexpected result: %d objects, outcome %v, refusal %v", c.size, len(h.objects), outcome != nil, refusal)
		}
		if c.replayed && (outcome.Status != 201 || !bytes.Equal(outcome.Body, body)) {
			t.Errorf("%d bytes: replayed %d bytes with status %d, want the stored body with 201", c.size, len(outcome.Body), outcome.Status)
		}
		if !c.replayed && (refusal.Reason != verdict.AlreadyRun || refusal.Verdict() != verdict.MayHaveRun) {
			t.Errorf("%d bytes: got refusal %v, want already_run with may_have_run", c.size, refusal)
		}
	}
}

// Guards against different keys, routes or workspaces that map to the same row.
func TestRowKeys(t *testing.T) {
	hashed := RowKey("w", "r", "a b")
	seen := map[string]string{}
	for _, parts := range [][3]string{
		{"w", "r", "k"}, {"w", "r", "K"}, {"w/r", "k", "k"}, {"w", "r/k", "k"}, {"w", "r", "r/k"}, {"w", "r", "a b"},
		{"w", "r", hashed[strings.LastIndex(hashed, "/")+1:]}, {"w", "r", strings.Repeat("k", 255)}, {"w", "r", strings.Repeat("k", 254)},
	} {
		key := RowKey(parts[0], parts[1], parts[2])
		if other, taken := seen[key]; taken || len(key) > 200 {
			t.Errorf("%v: row key %s is longer than 200 bytes or also used by %q", parts, key, other)
		}
		seen[key] = fmt.Sprint(parts)
	}
	for key, valid := range map[string]bool{"": false, "a": true, " ~": true, "a\n": false, "é": false, "\x7f": false,
		strings.Repeat("k", 255): true, strings.Repeat("k", 256): false} {
		if ValidKey(key) != valid {
			t.Errorf("key %q: ValidKey returned the wrong result %t", key, !valid)
		}
	}
}
