package quotasync

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

const (
	// slotWait bounds how long a request waits until a slot of its workspace is
	// reachable. The rows are read at most once per minRefreshGap and then written.
	slotWait = 3 * minRefreshGap
	slotPoll = 10 * time.Millisecond
)

// Ready reports whether the instance may spend from its slots: the rows have
// been read and the session has been valid since.
func (s *Sync) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateSpending(time.Now())
	return s.spending
}

// awaitSlots waits until this instance or one that it can reach holds a slot
// of the workspace. An edit can add a workspace before any of its slots has
// been taken, and slots change their holder when an instance leaves; without
// the wait, requests within the rate would be refused in the meantime.
func (s *Sync) awaitSlots(ctx context.Context, workspace string) error {
	ticker := time.NewTicker(slotPoll)
	defer ticker.Stop()
	for requested := false; ; {
		if s.slotReachable(workspace) {
			return nil
		}
		if !requested {
			requested = true
			s.requestRefresh()
		}
		select {
		case <-ctx.Done():
			return noReachableHolder(workspace)
		case <-ticker.C:
		}
	}
}

func noReachableHolder(workspace string) error {
	return verdict.New(verdict.NotReady, "no holder of a share of workspace %q is within reach yet", workspace).WithRetryAfter(minRefreshGap)
}

// slotReachable reports whether a slot of the workspace is held by this
// instance or, according to the rows last read and the peers' answers since, by
// an instance that it can reach.
func (s *Sync) slotReachable(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Located(workspace, s.config.Reachable)
}
