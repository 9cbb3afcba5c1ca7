package quotasync

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/quota"
	"github.com/hibiscusyard/hibiscusyard/verdict"
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

// AwaitSlots waits until any instance holds a slot of the workspace. An edit
// can bring a workspace into force before its slots have been taken; without
// the wait its first requests would be refused as over their rate.
func (s *Sync) AwaitSlots(ctx context.Context, workspace string) error {
	if s.held(workspace) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	ticker := time.NewTicker(slotPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return verdict.New(verdict.NotReady, "the shares of workspace %q have not been taken yet", workspace).After(minRefreshGap)
		case <-ticker.C:
			if s.held(workspace) {
				return nil
			}
		}
	}
}

// held reports whether a row or the ledger shows a slot of the workspace as held.
func (s *Sync) held(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := range quota.Slots {
		if s.rows[slotKey{workspace, index}].Holder != "" || s.ledger.Holds(workspace, index) {
			return true
		}
	}
	return false
}
