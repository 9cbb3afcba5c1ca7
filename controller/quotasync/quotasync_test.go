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

// Guards against instances that can spend only the rate of their own slots, and
// against excessive table calls: at most three reads and one write per instance
// at the start, and no write while nothing changes.
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
			c.setListed(name, "run-1-"+name)
		}
		for _, name := range []string{"a", "b", "c"} {
			c.start(name, "run-1-"+name)
		}
		wait(4 * time.Second)
		c.expectSlots(quota.Slots, "after the start")
		t.Logf("taking the slots at the start of three instances took %d reads and %d writes", reads.Load(), writes.Load())
		if reads.Load() > 3*3 || writes.Load() > 3 {
			t.Errorf("got %d reads and %d writes at the start of three instances, want at most 9 and 3", reads.Load(), writes.Load())
		}
		before, written := reads.Load(), writes.Load()
		wait(time.Minute)
		if perInstance := float64(reads.Load()-before) / 3; perInstance > 13 || writes.Load() != written {
			t.Errorf("got %.1f reads per instance and %d writes in a minute without changes, want at most 13 and 0", perInstance, writes.Load()-written)
		}
		total, refusal := c.nodes["a"].admitUntilRefused(t)
		if total < 780 || total > 820 {
			t.Errorf("one instance spent %d tokens, want 780 to 820 of a burst of 800", total)
		}
		if refusal.Reason != verdict.RateLimited || refusal.RetryAfter <= 0 || refusal.RetryAfter > 2*time.Second {
			t.Errorf("got refusal %v with retry after %v, want rate_limited with at most 2s", refusal, refusal.RetryAfter)
		}
		_, err := c.nodes["b"].Admit(t.Context(), team, 801)
		if got := verdict.From(err); got.Reason != verdict.TooLarge {
			t.Errorf("801 tokens with a burst of 800: got %v, want too_large", err)
		}
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := c.nodes["b"].Admit(gone, team, 100); verdict.From(err).Reason != verdict.CallerGone {
			t.Errorf("cancelled context: got %v, want caller_gone", err)
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
			t.Errorf("got %d of 60 concurrent requests admitted, want at least 40", admitted.Load())
		}
	})
}

// Guards against slots that another instance takes over too early or never.
func TestSlotsPass(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, c *cluster)
	}{
		{"holder missing from the list", func(t *testing.T, c *cluster) {
			had := c.slotCounts()["a"]
			c.crash("a")
			wait(30 * time.Second)
			c.expectSlots(quota.Slots-had, "while the list still shows the holder")
			c.setListed("a", "")
			wait(9 * time.Second)
			c.expectSlots(quota.Slots-had, "before the list's lag has passed")
			wait(20 * time.Second)
			c.expectSlots(quota.Slots, "after the lag")
			row := c.nodes["b"].rows
			if !slices.ContainsFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(i int) bool { return row[slotKey{team, i}].Empty }) {
				t.Error("got no slot taken over empty, want at least one")
			}
		}},
		{"new incarnation at the address", func(t *testing.T, c *cluster) {
			had := c.slotCounts()["a"]
			c.crash("a")
			c.start("a", "run-2-a")
			wait(2 * time.Second)
			if c.slotCounts()["a"] != had {
				t.Errorf("got slots %v after the restart, want %d at a", c.slotCounts(), had)
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
			c.setListed("a", "")
			wait(10 * time.Second)
			c.expectSlots(quota.Slots, "after the release")
			if total, _ := c.nodes["b"].admitUntilRefused(t); total < 780 {
				t.Errorf("spent %d of a burst of 800 after the release, want at least 780", total)
			}
		}},
		{"new member gains slots gradually", func(t *testing.T, c *cluster) {
			c.setListed("d", "run-1-d")
			c.start("d", "run-1-d")
			wait(8 * time.Second)
			if c.slotCounts()["d"] != 0 {
				t.Errorf("got slots %v before RebalanceAfter, want none at d", c.slotCounts())
			}
			wait(2 * time.Minute)
			c.expectSlots(quota.Slots, "after rebalancing")
			if got := c.slotCounts()["d"]; got != 2 {
				t.Errorf("got %d of 8 slots at the fourth of four members, want 2", got)
			}
		}},
		{"answers of writes lost", func(t *testing.T, c *cluster) {
			c.crash("a")
			c.table.SetHook(func(op, key string) portstest.Fault {
				if op == "get" {
					return portstest.Refuse
				}
				if op == "transact" {
					return portstest.LoseResponse
				}
				return portstest.None
			})
			c.start("a", "run-2-a")
			wait(20 * time.Second)
			c.expectSlots(quota.Slots, "with lost answers")
		}},
		{"table down for an hour", func(t *testing.T, c *cluster) {
			c.table.SetHook(func(op, key string) portstest.Fault { return portstest.Refuse })
			wait(time.Hour)
			c.expectSlots(quota.Slots, "during the outage")
			if total, _ := c.nodes["a"].admitUntilRefused(t); total < 780 {
				t.Errorf("spent %d of a burst of 800 without the table, want at least 780", total)
			}
		}},
		{"suspended while another instance took the slots", func(t *testing.T, c *cluster) {
			a := c.nodes["a"]
			a.session.invalid.Store(true)
			a.unreachable.Store(true)
			c.mu.Lock()
			c.unreachable["a"] = true
			c.mu.Unlock()
			c.setListed("a", "")
			wait(30 * time.Second)
			if total, refusal := a.admitUntilRefused(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d with an invalid session: %v", total, refusal)
			}
			a.session.invalid.Store(false)
			wait(10 * time.Second)
			if total, _ := a.admitUntilRefused(t); total != 0 {
				t.Errorf("spent %d before the rows were reread, want 0", total)
			}
			a.unreachable.Store(false)
			wait(20 * time.Second)
			if total, _ := a.admitUntilRefused(t); total != 0 || c.slotCounts()["a"] != 0 {
				t.Errorf("spent %d from slots that were taken over, slots %v; want 0 and none at a", total, c.slotCounts())
			}
			c.expectSlots(quota.Slots, "after the process resumed")
		}},
		{"session ended", func(t *testing.T, c *cluster) {
			had := c.slotCounts()["a"]
			c.crash("a")
			wait(time.Minute)
			c.expectSlots(quota.Slots-had, "while the session may still be valid")
			c.mu.Lock()
			c.members = slices.Clone(c.members)
			for i := range c.members {
				if c.members[i].Instance == "a" {
					c.members[i].State = Ended
				}
			}
			c.mu.Unlock()
			wait(20 * time.Second)
			c.expectSlots(quota.Slots, "after the session's end")
		}},
		{"alive but missing from the list", func(t *testing.T, c *cluster) {
			a := c.nodes["a"]
			c.setListed("a", "")
			const step = 100 * time.Millisecond
			both := time.Duration(0) // time with two holders of a slot, while the new holder's is still empty
			for range 30 * time.Second / step {
				if held := c.slotCounts(); held["a"]+held["b"]+held["c"] > quota.Slots {
					both += step
				}
				wait(step)
			}
			c.expectSlots(quota.Slots, "after the takeover")
			if c.slotCounts()["a"] != 0 || both > 2200*time.Millisecond {
				t.Errorf("got slots %v and two holders of a slot for %v, want none at a and at most 2.2s", c.slotCounts(), both)
			}
			if total, _ := a.admitUntilRefused(t); total < 400 {
				t.Errorf("spent %d tokens borrowed from the other holders, want at least 400", total)
			}
			a.unreachable.Store(true)
			wait(3 * time.Second)
			if total, refusal := a.admitUntilRefused(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d while unlisted and without the table, with refusal %v; want 0 and not_ready", total, refusal)
			}
		}},
		{"two instances that do not see each other take the same slots", func(t *testing.T, c *cluster) {
			began, spent := time.Now(), 0
			c.crash("a")
			c.setListed("a", "")
			for _, n := range c.nodes {
				n.isolated.Store(true)
			}
			for range 60 {
				for _, name := range []string{"b", "c"} {
					total, _ := c.nodes[name].admitUntilRefused(t)
					spent += total
				}
				wait(500 * time.Millisecond)
			}
			if limit := 800 + 80*time.Since(began).Seconds(); float64(spent) > limit {
				t.Errorf("spent %d, want at most %.0f", spent, limit)
			}
			if c.nodes["b"].conflicts.Load()+c.nodes["c"].conflicts.Load() == 0 {
				t.Error("got no write conflict between the instances, want at least one")
			}
			for _, n := range c.nodes {
				n.isolated.Store(false)
			}
			wait(2 * time.Minute) // rebalancing moves one slot per refresh
			c.expectSlots(quota.Slots, "after the members see each other")
		}},
		{"session invalid", func(t *testing.T, c *cluster) {
			a := c.nodes["a"]
			a.session.invalid.Store(true)
			if total, refusal := a.admitUntilRefused(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d with an invalid session: %v", total, refusal)
			}
			if total, _ := c.nodes["b"].admitUntilRefused(t); total > 800-100*c.slotCounts()["a"]+40 {
				t.Errorf("another instance spent %d, including grants from an instance whose session is invalid", total)
			}
			a.session.invalid.Store(false)
			wait(2 * time.Second)
			if total, _ := a.admitUntilRefused(t); total == 0 {
				t.Error("spent 0 after the session became valid again, want more")
			}
		}},
		{"no ticks for more than 3 s", func(t *testing.T, c *cluster) {
			c.nodes["a"].stop()
			wait(3100 * time.Millisecond)
			if total, refusal := c.nodes["a"].admitUntilRefused(t); total != 0 || refusal.Reason != verdict.NotReady {
				t.Errorf("spent %d after a suspension, with refusal %v; want 0 and not_ready", total, refusal)
			}
		}},
		{"lenders unreachable", func(t *testing.T, c *cluster) {
			c.mu.Lock()
			c.unreachable["a"] = true
			c.mu.Unlock()
			began := time.Now()
			own := c.slotCounts()["a"] * 100
			total, _ := c.nodes["a"].admitUntilRefused(t)
			if total < own-10 || total > own+80 {
				t.Errorf("spent %d with %d tokens in its own slots, want -10 to +80 of that", total, own)
			}
			if waited := time.Since(began); waited > 300*time.Millisecond {
				t.Errorf("refused after %v, want at most 300ms", waited)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, "a", "b", "c")
				defer c.close()
				wait(15 * time.Second)
				c.expectSlots(quota.Slots, "before the test case")
				tc.run(t, c)
			})
		})
	}
}

// Guards against taking a slot when none of the four ownership rules allows it,
// and against spending a generation twice after a release whose answer was lost.
func TestDecide(t *testing.T) {
	self, other := holderKey{"a", "run-1"}, holderKey{"b", "run-1"}
	row := func(h holderKey, address string, generation uint64) storedRow {
		return storedRow{SlotRow: SlotRow{Holder: h.instance, Incarnation: h.incarnation, Address: address, Level: 5, Generation: generation}, exists: true}
	}
	full, released := quota.SlotStart{Level: 9}, quota.SlotStart{Level: 5}
	for i, tc := range []struct {
		view  slotView
		want  action
		start quota.SlotStart
	}{
		{slotView{ranksFirst: true, configured: true}, take, full},
		{slotView{configured: true}, ignore, quota.SlotStart{}},
		{slotView{ranksFirst: true, configured: true, leaving: true}, ignore, quota.SlotStart{}},
		{slotView{ranksFirst: true}, ignore, quota.SlotStart{}},
		{slotView{row: row(holderKey{}, "", 3), ranksFirst: true, configured: true}, take, released},
		{slotView{row: row(holderKey{}, "", 3), configured: true}, ignore, quota.SlotStart{}},
		{slotView{row: row(other, "there", 3), ranksFirst: true, configured: true}, ignore, quota.SlotStart{}},
		{slotView{row: row(other, "there", 3), ranksFirst: true, configured: true, holderGone: true}, take, quota.SlotStart{Empty: true}},
		{slotView{row: row(other, "there", 3), configured: true, holderGone: true}, ignore, quota.SlotStart{}},
		{slotView{row: row(holderKey{"a", "run-0"}, "here", 3), configured: true}, take, quota.SlotStart{Empty: true}},
		{slotView{row: row(other, "there", 3), ranksFirst: true, configured: true, holding: true}, drop, quota.SlotStart{}},
		{slotView{row: row(self, "here", 3), configured: true, holding: true, activated: 3}, keep, quota.SlotStart{}},
		{slotView{row: row(self, "here", 3), configured: true, activated: 2}, adopt, released},
		{slotView{row: row(self, "here", 3), configured: true, activated: 3}, free, quota.SlotStart{}},
		{slotView{row: row(self, "here", 3), holding: true, activated: 3}, free, quota.SlotStart{}},
	} {
		tc.view.self, tc.view.address, tc.view.full = self, "here", full
		if got, start := decide(tc.view); got != tc.want || start != tc.start {
			t.Errorf("case %d: got action %d with %+v, want %d with %+v", i, got, start, tc.want, tc.start)
		}
	}
	if key, ok := parseSlotKey(slotKey{"a/b", 7}.String()); !ok || key != (slotKey{"a/b", 7}) {
		t.Errorf("key of a workspace name with a slash: got %v, want the same key", key)
	}
	if _, ok := parseSlotKey(fmt.Sprintf("share/a/%d", quota.Slots)); ok {
		t.Error("key with a slot index beyond the last was accepted")
	}
}
