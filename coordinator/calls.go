package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// callLeader sends a request to the leader, or runs local if this instance leads.
func callLeader[Q, A any](ctx context.Context, l *Client, kind peer.Kind, request Q, local func(context.Context, Q) (A, error)) (A, error) {
	var response A
	leader := l.Leader()
	switch leader {
	case "":
		return response, errNoLeader
	case l.c.config.Instance:
		return local(ctx, request)
	}
	err := l.c.hub.Call(ctx, leader, kind, request, &response)
	return response, err
}

// waitForLeader waits until something has changed, at most tick: a link to the leader that
// is up again is no change.
func waitForLeader(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// handleCall returns the handler of a call that f answers.
func handleCall[Q, A any](f func(context.Context, Q) (A, error)) peer.Handler {
	return func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var request Q
		if err := cbor.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		return f(ctx, request)
	}
}

// LoadAdapter implements gateway.Placement.
func (l *Client) LoadAdapter(ctx context.Context, service, model, adapter string, software fleet.VersionConstraint) error {
	response, err := callLeader(ctx, l, peer.KindLoadAdapter, adapterRequest{service, model, adapter, software}, l.c.loadAdapter)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.placements[response.Upstream]; ok && !slices.Contains(p.Models[model], adapter) {
		clone := residency.Placement{Upstream: p.Upstream, Started: p.Started, Revision: p.Revision, Models: map[string][]string{}}
		for k, v := range p.Models {
			clone.Models[k] = v
		}
		clone.Models[model] = append(slices.Clone(clone.Models[model]), adapter)
		l.placements[response.Upstream] = clone
	}
	delete(l.absent, absence{response.Upstream, model, adapter})
	return nil
}

// Take implements gateway.Limiter. While there is no leader, the request waits for
// one, because most leader changes are short.
func (l *Client) Take(ctx context.Context, w *fleet.Workspace, tokens int64, maxWait time.Duration) *verdict.Refusal {
	deadline, ok := ctx.Deadline()
	leaderWait := noLeaderRetry
	if ok {
		leaderWait = time.Duration(leaderWaitShare * float64(time.Until(deadline)))
	}
	giveUpAt := bootclock.Now().Add(leaderWait)
	for {
		changed := l.Changed()
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		response, err := callLeader(call, l, peer.KindTakeTokens, takeRequest{w.Name, tokens, maxWait}, l.c.take)
		cancel()
		switch {
		case err == nil && response.Granted:
			if !duration.Sleep(ctx, response.After) {
				return verdict.New(verdict.CallerGone, "the caller closed the connection")
			}
			return nil
		case err == nil:
			return verdict.New(verdict.RateLimited, "workspace %s is over its limit", w.Name).WithRetryAfter(response.After)
		case ctx.Err() != nil || !bootclock.Now().Before(giveUpAt):
			return verdict.New(verdict.NotReady, "the limit of workspace %s can't be checked", w.Name).WithRetryAfter(noLeaderRetry).WithCause(err)
		}
		waitForLeader(ctx, changed)
	}
}
