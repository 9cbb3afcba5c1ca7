package fairqueue

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a backlogged workspace that lags behind another by more than one
// largest request of each, also while a further workspace joins and leaves.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Config{MaxEntries: 1 << 20, MaxPerWorkspace: 1 << 20})
		flows := rapid.IntRange(2, 5).Draw(t, "flows")
		weights, largest, served := make([]float64, flows), make([]int64, flows), make([]float64, flows)
		push := func(i int) {
			cost := rapid.Int64Range(1, 4000).Draw(t, "cost")
			largest[i] = max(largest[i], cost)
			q.Push(epoch, Entry[int]{Workspace: fmt.Sprint(i), Weight: weights[i], Cost: cost, Value: i})
		}
		join := func(i int) {
			weights[i] = float64(rapid.IntRange(1, 20).Draw(t, "weight"))
			for range 30 {
				push(i)
			}
		}
		for i := range flows - 1 {
			join(i)
		}
		joins := rapid.IntRange(0, 150).Draw(t, "joins")
		for step := range 200 {
			if step == joins { // the last workspace joins late; the bound holds from then on
				join(flows - 1)
				clear(served)
			}
			if rapid.Bool().Draw(t, "guest") {
				q.Push(epoch, Entry[int]{Workspace: "guest", Weight: 1, Cost: 100, Value: -1})
			}
			item, ok := q.Pop(epoch)
			if !ok {
				t.Fatal("pop from a backlogged queue returned no entry")
			}
			if item.Value < 0 {
				continue
			}
			served[item.Value] += float64(item.Cost) / weights[item.Value]
			push(item.Value)
			for i := range flows {
				for j := range i {
					if largest[i] == 0 {
						continue
					}
					bound := float64(largest[i])/weights[i] + float64(largest[j])/weights[j]
					if gap := math.Abs(served[i] - served[j]); gap > bound+1e-6 {
						t.Fatalf("normalized service of workspaces %d and %d differs by %.1f, want at most %.1f", i, j, gap, bound)
					}
				}
			}
		}
	})
}

// Guards against entries that are lost or leave the queue twice, against service
// after the deadline, and against exceeded bounds.
func TestEveryEntryLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Fair, FIFO}).Draw(t, "policy")
		q := New[int](Config{Policy: policy, MaxEntries: 12, MaxPerWorkspace: 7})
		now, next := epoch, 0
		waiting, gone := map[int]*Item[int]{}, map[int]bool{}
		leave := func(item *Item[int], how string) {
			if waiting[item.Value] == nil || gone[item.Value] {
				t.Fatalf("entry %d left by %s but was not waiting", item.Value, how)
			}
			delete(waiting, item.Value)
			gone[item.Value] = true
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				e := Entry[int]{Workspace: rapid.StringMatching("[a-e]").Draw(t, "ws"), Value: next,
					Weight: rapid.Float64Range(0.1, 9).Draw(t, "w"), Cost: rapid.Int64Range(0, 500).Draw(t, "cost")}
				if rapid.Bool().Draw(t, "bounded") {
					e.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
				}
				item, shed := q.Push(now, e)
				waiting[next] = item
				next++
				for _, s := range shed {
					leave(s.Item, "push")
				}
			case 2:
				odd := rapid.Bool().Draw(t, "odd")
				item, ok := q.PopFunc(now, func(i *Item[int]) bool { return !odd || i.Value%2 == 1 })
				if ok {
					leave(item, "pop")
					if !item.Deadline.IsZero() && now.After(item.Deadline) {
						t.Fatalf("entry %d served after its deadline", item.Value)
					}
				}
			case 3:
				for _, item := range waiting {
					if !q.Cancel(item) || q.Cancel(item) {
						t.Fatal("first cancel did not remove the entry, or second cancel removed it again")
					}
					leave(item, "cancel")
					break
				}
			case 4:
				for _, s := range q.Expire(now) {
					leave(s.Item, "expire")
				}
				q.Each(func(i *Item[int]) {
					if !i.Deadline.IsZero() && now.After(i.Deadline) {
						t.Fatalf("entry %d still waits after its deadline", i.Value)
					}
				})
			}
			total := 0
			for _, b := range q.Backlog() {
				total += b.Entries
				if b.Entries > 7 {
					t.Fatalf("a workspace has %d entries, want at most 7", b.Entries)
				}
			}
			if q.Len() != len(waiting) || total != len(waiting) || q.Len() > 12 {
				t.Fatalf("got length %d, sum over workspaces %d, want %d and at most 12", q.Len(), total, len(waiting))
			}
		}
	})
}

// Guards against shedding an entry of the wrong workspace when the queue is full.
func TestShedsFurthestAboveShare(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy Policy
		counts map[string]int
		pusher string
		want   string
	}{
		{"large workspace is shed for a small one", Fair, map[string]int{"big": 7, "small": 1}, "small", "big"},
		{"share depends on weight", Fair, map[string]int{"big": 5, "light": 3}, "big", "light"},
		{"only workspace", Fair, map[string]int{"big": 8}, "big", "big"},
		{"FIFO sheds the new entry", FIFO, map[string]int{"big": 7, "small": 1}, "small", "small"},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := New[int](Config{Policy: c.policy, MaxEntries: 8})
			weights := map[string]float64{"big": 2, "small": 1, "light": 0.5}
			for name, n := range c.counts {
				for range n {
					q.Push(epoch, Entry[int]{Workspace: name, Weight: weights[name], Cost: 10})
				}
			}
			_, shed := q.Push(epoch, Entry[int]{Workspace: c.pusher, Weight: weights[c.pusher], Cost: 10})
			if len(shed) != 1 || shed[0].Item.Workspace != c.want || shed[0].Reason != verdict.QueueFull {
				t.Fatalf("shed %+v, want one entry of workspace %s", shed, c.want)
			}
		})
	}
}

// Guards against entries that wait although service would start after their
// deadline, and against a retry time that does not depend on the backlog.
func TestDeadlineShedding(t *testing.T) {
	q := New[int](Config{})
	now := epoch
	for range 3 { // a rate of 100 tokens a second for another class
		q.Push(now, Entry[int]{Workspace: "c", Class: "cold", Weight: 1, Cost: 100})
	}
	for range 3 {
		now = now.Add(time.Second)
		q.Pop(now)
	}
	for range 40 {
		q.Push(now, Entry[int]{Workspace: "a", Weight: 1, Cost: 100})
	}
	for range 20 { // 100 tokens in 100 ms: 1000 tokens a second
		now = now.Add(100 * time.Millisecond)
		q.Pop(now)
	}
	push := func(workspace, class string, maxWait, load time.Duration) []Shed[int] {
		e := Entry[int]{Workspace: workspace, Class: class, Weight: 1, Cost: 100, Deadline: now.Add(maxWait)}
		if load > 0 {
			e.NotBefore = now.Add(load)
		}
		item, shed := q.Push(now, e)
		q.Cancel(item)
		return shed
	}
	for _, c := range []struct {
		name          string
		workspace     string
		class         string
		maxWait, load time.Duration
		retry         time.Duration // -1: served
	}{
		{"another model does not wait for the backlog", "a", "cold", 500 * time.Millisecond, 0, -1},
		{"backlog of 2 s ahead", "a", "", 500 * time.Millisecond, 0, 1500 * time.Millisecond},
		{"deadline after the backlog", "a", "", 2100 * time.Millisecond, 0, -1},
		{"another workspace does not wait for the backlog", "b", "", 500 * time.Millisecond, 0, -1},
		{"model load ends too late", "b", "", 5 * time.Second, 20 * time.Second, 15 * time.Second},
	} {
		shed := push(c.workspace, c.class, c.maxWait, c.load)
		if c.retry < 0 {
			if len(shed) != 0 {
				t.Errorf("%s: shed %+v, want no shed entry", c.name, shed[0])
			}
			continue
		}
		if len(shed) != 1 || shed[0].Reason != verdict.DeadlineTooShort || (shed[0].RetryAfter-c.retry).Abs() > 50*time.Millisecond {
			t.Errorf("%s: shed %+v, want retry after %s", c.name, shed, c.retry)
		}
	}
	if shed := q.Expire(now.Add(time.Hour)); len(shed) != 0 {
		t.Errorf("%d entries without a deadline were shed, want none", len(shed))
	}
}

// Guards against a cancelled entry that is charged to its workspace, and against a
// FIFO policy that does not serve in order of arrival.
func TestOrder(t *testing.T) {
	for _, c := range []struct {
		policy Policy
		want   string
	}{{Fair, "abab"}, {FIFO, "aaab"}} {
		q := New[int](Config{Policy: c.policy})
		expensive, _ := q.Push(epoch, Entry[int]{Workspace: "a", Weight: 1, Cost: 1 << 30})
		for _, ws := range []string{"a", "a", "a", "b", "b"} {
			q.Push(epoch, Entry[int]{Workspace: ws, Weight: 1, Cost: 10})
		}
		q.Cancel(expensive)
		got := ""
		for range 4 {
			item, _ := q.Pop(epoch)
			got += item.Workspace
		}
		if got != c.want {
			t.Errorf("policy %d served %s, want %s", c.policy, got, c.want)
		}
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, workspaces := range []int{10, 100, 2600} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			q := New[int](Config{MaxEntries: 1 << 20})
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("workspace", i)
				q.Push(epoch, Entry[int]{Workspace: names[i], Weight: 1, Cost: 100})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				// A deadline makes Push estimate the start of service.
				q.Push(epoch, Entry[int]{Workspace: names[i%workspaces], Weight: 1, Cost: 100, Deadline: epoch.Add(time.Hour)})
				q.Pop(epoch)
			}
		})
	}
}
