package quotasync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
)

// Guards against requests within the rate that are refused with rate_limited
// while the only holder of the workspace's slots shuts down and the other
// instance has not yet reread the slot rows.
func TestSlotHandoverWithoutRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		defer c.close()
		wait(15 * time.Second)
		c.expectSlots(quota.Slots, "alone")
		c.setListed("b", "run-1-b")
		b := c.start("b", "run-1-b")
		wait(5 * time.Second)
		if c.slotCounts()["b"] != 0 {
			t.Fatalf("got slots %v before the members were unchanged for RebalanceAfter, want none at b", c.slotCounts())
		}
		refused, admitted := 0, 0
		spend := func(until time.Duration) {
			for began := time.Now(); time.Since(began) < until; wait(20 * time.Millisecond) {
				if _, err := b.Admit(context.Background(), team, 1); err != nil {
					refused++
					t.Logf("%v after the start of the shutdown: %v", time.Since(began), err)
				} else {
					admitted++
				}
			}
		}
		// The next refresh runs minRefreshGap after this one.
		if err := b.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		b.requestRefresh()
		wait(10 * time.Millisecond)
		a := c.nodes["a"]
		go func() {
			a.stop()
			if err := a.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
		}()
		spend(6 * time.Second)
		if refused > 0 || admitted < 150 {
			t.Errorf("got %d requests refused and %d admitted, want 0 refused and at least 150 admitted", refused, admitted)
		}
	})
}
