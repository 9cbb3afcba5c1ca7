package quotasync

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

// Guards against instances that get only their own part of the rate, and
// against many table calls: at most three readings and one write for each
// instance at the start, and no write while nothing changes.
func TestAdmitOverInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		var reads, writes atomic.Int64
		c.table.SetHook(func(op, key string) portstest.Fault {
			if op == "transact" {
				writes.Add(1)
			} else {
				reads.Add(1)
			}
			return portstest.None
		})
		for _, name := range []string{"a", "b", "c"} {
			c.list(name, "run-1-"+name)
		}
		for _, name := range []string{"a", "b", "c"} {
			c.start(name, "run-1-"+name)
		}
		wait(4 * time.Second)
		c.want(quota.Slots, "after the start")
		t.Logf("placing the slots of three instances took %d reads and %d writes", reads.Load(), writes.Load())
		if reads.Load() > 3*3 || writes.Load() > 3 {
			t.Errorf("%d reads and %d writes to place the slots of three instances", reads.Load(), writes.Load())
		}
		before, written := reads.Load(), writes.Load()
		wait(time.Minute)
		if perInstance := float64(reads.Load()-before) / 3; perInstance > 13 || writes.Load() != written {
			t.Errorf("%.1f reads per instance and %d writes in a quiet minute", perInstance, writes.Load()-written)
		}
		total, refusal := c.nodes["a"].spend(t)
		if total < 780 || total > 820 {
			t.Errorf("one instance spent %d of a burst of 800", total)
		}
		if refusal.Reason != verdict.RateLimited || refusal.RetryAfter <= 0 || refusal.RetryAfter > 2*time.Second {
			t.Errorf("refusal %v, retry after %v", refusal, refusal.RetryAfter)
		}
		_, err := c.nodes["b"].Admit(t.Context(), team, 801)
		if got := verdict.From(err); got.Reason != verdict.TooLarge {
			t.Errorf("801 tokens of a burst of 800: %v", err)
		}
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := c.nodes["b"].Admit(gone, team, 100); verdict.From(err).Reason != verdict.CallerGone {
			t.Errorf("caller gone: %v", err)
		}
		wait(5 * time.Second)
		var all sync.WaitGroup
		var admitted atomic.Int64
		for i := range 60 {
			all.Go(func() {
				n := c.nodes[string(rune('a'+i%3))]
				r, err := n.Admit(context.Background(), team, 10)
				if err == nil {
					admitted.Add(1)
					n.Settle(r, 0)
				}
			})
		}
		all.Wait()
		if admitted.Load() < 40 {
			t.Errorf("%d of 60 concurrent requests fitted into 400 tokens", admitted.Load())
		}
	})
}

// Guards against slots that pass to another instance too early or never.
func TestSlotsPass(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, c *cluster)
	}{
		{"gone from the list", func(t *testing.T, c *cluster) {
			had := c.slots()["a"]
			c.crash("a")
			wait(30 * time.Second)
			c.want(quota.Slots-had, "while the list still shows the holder")
			c.list("a", "")
			wait(9 * time.Second)
			c.want(quota.Slots-had, "before the list's lag has passed")
			wait(20 * time.Second)
			c.want(quota.Slots, "after the lag")
			row := c.nodes["b"].rows
			if !slices.ContainsFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(i int) bool { return row[slotKey{team, i}].Empty }) {
				t.Error("no slot was taken over empty")
			}
		}},
		{"new incarnation at the address", func(t *testing.T, c *cluster) {
			had := c.slots()["a"]
			c.crash("a")
			c.start("a", "run-2-a")
			wait(2 * time.Second)
			if c.slots()["a"] != had {
				t.Errorf("the new run holds %v, want %d", c.slots(), had)
			}
		}},
		{"shutdown releases with the level", func(t *testing.T, c *cluster) {
			a := c.nodes["a"]
			a.stop()
			if err := a.Shutdown(context.Background()); err != nil {
				t.Fatal(err)
			}
			c.mu.Lock()
			delete(c.nodes, "a")
			c.mu.Unlock()
			c.list("a", "")
			wait(10 * time.Second)
			c.want(quota.Slots, "after the release")
			if total, _ := c.nodes["b"].spend(t); total < 780 {
				t.Errorf("%d of a burst of 800 after the release", total)
			}
		}},
		{"new member gets its part slowly", func(t *testing.T, c *cluster) {
			c.list("d", "run-1-d")
			c.start("d", "run-1-d")
			wait(8 * time.Second)
			if c.slots()["d"] != 0 {
				t.Errorf("slots moved at once: %v", c.slots())
			}
			wait(2 * time.Minute)
			c.want(quota.Slots, "after rebalancing")
			if got := c.slots()["d"]; got != 2 {
				t.Errorf("the fourth of four members holds %d of 8 slots", got)
			}
		}},
		{"answers of writes lost", func(t *testing.T, c *cluster) {
			c.crash("a")
			c.table.SetHook(func(op, key string) portstest.Fault {
				if op == "get" {
					return portstest.Refuse
				}
				if op == "transact" {
					return portstest.LoseAnswer
				}
				return portstest.None
			})
			c.start("a", "run-2-a")
			wait(20 * time.Second)
			c.want(quota.Slots, "with lost answers")
		}},
		{"table down for an hour", func(t *testing.T, c *cluster) {
			c.table.SetHook(func(op, key string) portstest.Fault { return portstest.Refuse })
			wait(time.Hour)
			c.want(quota.Slots, "during the outage")
			if total, _ := c.nodes["a"].spend(t); total < 780 {
				t.Errorf("%d of a burst of 800 without the table", total)
			}
		}},
		{"frozen while another took the slots", func(t *testing.T, c *cluster) {
			a := c.nodes["a"]
			a.session.invalid.Store(true)
			a.cut.Store(true)
			c.mu.Lock()
			c.cut["a"] = true
			c.mu.Unlock()
			c.list("a", "")
			wait(30 * time.Second)
			if total, refusal := a.spend(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d with an invalid session: %v", total, refusal)
			}
			a.session.invalid.Store(false)
			wait(10 * time.Second)
			if total, _ := a.spend(t); total != 0 {
				t.Errorf("spent %d before the rows were read again", total)
			}
			a.cut.Store(false)
			wait(20 * time.Second)
			if total, _ := a.spend(t); total != 0 || c.slots()["a"] != 0 {
				t.Errorf("spent %d from lost slots; slots %v", total, c.slots())
			}
			c.want(quota.Slots, "after the thaw")
		}},
		{"session ended", func(t *testing.T, c *cluster) {
			had := c.slots()["a"]
			c.crash("a")
			wait(time.Minute)
			c.want(quota.Slots-had, "while the session may last")
			c.mu.Lock()
			c.members = slices.Clone(c.members)
			for i := range c.members {
				if c.members[i].Instance == "a" {
					c.members[i].State = Ended
				}
			}
			c.mu.Unlock()
			wait(20 * time.Second)
			c.want(quota.Slots, "after the session's end")
		}},
		{"alive but gone from the list", func(t *testing.T, c *cluster) {
			a := c.nodes["a"]
			c.list("a", "")
			const step = 100 * time.Millisecond
			both := time.Duration(0) // while slots had two holders; the new one's were still empty
			for range 30 * time.Second / step {
				if held := c.slots(); held["a"]+held["b"]+held["c"] > quota.Slots {
					both += step
				}
				wait(step)
			}
			c.want(quota.Slots, "after the takeover")
			if c.slots()["a"] != 0 || both > 2200*time.Millisecond {
				t.Errorf("slots %v; some had two holders for %v", c.slots(), both)
			}
			if total, _ := a.spend(t); total < 400 {
				t.Errorf("spent %d of what the other holders lend", total)
			}
			a.cut.Store(true)
			wait(3 * time.Second)
			if total, refusal := a.spend(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d without the list and the table: %v", total, refusal)
			}
		}},
		{"two instances that do not see each other take the same slots", func(t *testing.T, c *cluster) {
			began, spent := time.Now(), 0
			c.crash("a")
			c.list("a", "")
			for _, n := range c.nodes {
				n.alone.Store(true)
			}
			for range 60 {
				for _, name := range []string{"b", "c"} {
					total, _ := c.nodes[name].spend(t)
					spent += total
				}
				wait(500 * time.Millisecond)
			}
			if limit := 800 + 80*time.Since(began).Seconds(); float64(spent) > limit {
				t.Errorf("spent %d, the limit is %.0f", spent, limit)
			}
			if c.nodes["b"].conflicts.Load()+c.nodes["c"].conflicts.Load() == 0 {
				t.Error("the instances did not race")
			}
			for _, n := range c.nodes {
				n.alone.Store(false)
			}
			wait(2 * time.Minute) // rebalancing moves one slot after another
			c.want(quota.Slots, "after the members see each other")
		}},
		{"session invalid", func(t *testing.T, c *cluster) {
			a := c.nodes["a"]
			a.session.invalid.Store(true)
			if total, refusal := a.spend(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d with an invalid session: %v", total, refusal)
			}
			if total, _ := c.nodes["b"].spend(t); total > 800-100*c.slots()["a"]+40 {
				t.Errorf("another instance spent %d, with grants of an instance without a session", total)
			}
			a.session.invalid.Store(false)
			wait(2 * time.Second)
			if total, _ := a.spend(t); total == 0 {
				t.Error("nothing was spent after the session was valid again")
			}
		}},
		{"no ticks for more than 3 s", func(t *testing.T, c *cluster) {
			c.nodes["a"].stop()
			wait(3100 * time.Millisecond)
			if total, refusal := c.nodes["a"].spend(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d after a freeze: %v", total, refusal)
			}
		}},
		{"lenders cut off", func(t *testing.T, c *cluster) {
			c.mu.Lock()
			c.cut["a"] = true
			c.mu.Unlock()
			began := time.Now()
			own := c.slots()["a"] * 100
			total, _ := c.nodes["a"].spend(t)
			if total < own-10 || total > own+80 {
				t.Errorf("spent %d with own slots of %d", total, own)
			}
			if waited := time.Since(began); waited > 300*time.Millisecond {
				t.Errorf("refused after %v", waited)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, "a", "b", "c")
				defer c.close()
				wait(15 * time.Second)
				c.want(quota.Slots, "at first")
				tc.run(t, c)
			})
		})
	}
}

// Guards against a slot taken without one of the four grounds, and against
// spending a generation twice after a release whose answer was lost.
func TestDecide(t *testing.T) {
	self, other := holderKey{"a", "run-1"}, holderKey{"b", "run-1"}
	row := func(h holderKey, address string, generation uint64) stored {
		return stored{SlotRow: SlotRow{Holder: h.instance, Incarnation: h.incarnation, Address: address, Level: 5, Generation: generation}, exists: true}
	}
	full, released := quota.Start{Level: 9}, quota.Start{Level: 5}
	for i, tc := range []struct {
		view  slotView
		want  action
		start quota.Start
	}{
		{slotView{first: true, known: true}, take, full},
		{slotView{known: true}, leave, quota.Start{}},
		{slotView{first: true, known: true, leaving: true}, leave, quota.Start{}},
		{slotView{first: true}, leave, quota.Start{}},
		{slotView{row: row(holderKey{}, "", 3), first: true, known: true}, take, released},
		{slotView{row: row(holderKey{}, "", 3), known: true}, leave, quota.Start{}},
		{slotView{row: row(other, "there", 3), first: true, known: true}, leave, quota.Start{}},
		{slotView{row: row(other, "there", 3), first: true, known: true, gone: true}, take, quota.Start{Empty: true}},
		{slotView{row: row(other, "there", 3), known: true, gone: true}, leave, quota.Start{}},
		{slotView{row: row(holderKey{"a", "run-0"}, "here", 3), known: true}, take, quota.Start{Empty: true}},
		{slotView{row: row(other, "there", 3), first: true, known: true, holding: true}, drop, quota.Start{}},
		{slotView{row: row(self, "here", 3), known: true, holding: true, activated: 3}, keep, quota.Start{}},
		{slotView{row: row(self, "here", 3), known: true, activated: 2}, adopt, released},
		{slotView{row: row(self, "here", 3), known: true, activated: 3}, free, quota.Start{}},
		{slotView{row: row(self, "here", 3), holding: true, activated: 3}, free, quota.Start{}},
	} {
		tc.view.self, tc.view.address, tc.view.full = self, "here", full
		if got, start := decide(tc.view); got != tc.want || start != tc.start {
			t.Errorf("case %d: action %d with %+v, want %d with %+v", i, got, start, tc.want, tc.start)
		}
	}
	if key, ok := parseSlotKey(slotKey{"a/b", 7}.String()); !ok || key != (slotKey{"a/b", 7}) {
		t.Errorf("a workspace name with a slash gave %v", key)
	}
	if _, ok := parseSlotKey(fmt.Sprintf("share/a/%d", quota.Slots)); ok {
		t.Error("a slot beyond the last was accepted")
	}
}
