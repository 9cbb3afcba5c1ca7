package quotasync

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

const (
	// slotWait bounds how long a request waits for the first slots of a new
	// workspace: the rows are read at most once in minRefreshGap, then written.
	slotWait = 3 * minRefreshGap
	slotPoll = 10 * time.Millisecond
)

// Ready reports whether the instance may spend from its slots: the rows have
// been read and the session has held since.
func (s *Sync) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate(time.Now())
	return s.spending
}

// awaitSlots waits until this instance or one that it can reach holds a slot
// of the workspace. An edit can bring a workspace into force before its slots
// have been taken, and slots pass on when a holder leaves; without the wait,
// requests within the rate would be refused meanwhile.
func (s *Sync) awaitSlots(ctx context.Context, workspace string) error {
	ticker := time.NewTicker(slotPoll)
	defer ticker.Stop()
	for woken := false; ; {
		if s.held(workspace) {
			return nil
		}
		if !woken {
			woken = true
			s.wake()
		}
		select {
		case <-ctx.Done():
			return unlocated(workspace)
		case <-ticker.C:
		}
	}
}

func unlocated(workspace string) error {
	return verdict.New(verdict.NotReady, "no holder of a share of workspace %q is within reach yet", workspace).After(minRefreshGap)
}

// held reports whether a slot of the workspace is held here or, by the rows as
// last read and the answers since, at an instance within reach.
func (s *Sync) held(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Located(workspace, s.config.Reachable)
}
