package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// ask calls the leader, or answers itself if this instance leads.
func ask[Q, A any](ctx context.Context, l *Client, kind peer.Kind, question Q, local func(context.Context, Q) (A, error)) (A, error) {
	var answer A
	leader := l.Leader()
	switch leader {
	case "":
		return answer, errNoLeader
	case l.c.config.Instance:
		return local(ctx, question)
	}
	err := l.c.hub.Call(ctx, leader, kind, question, &answer)
	return answer, err
}

// Adapter implements gateway.Placement.
func (l *Client) Adapter(ctx context.Context, service, model, adapter string) error {
	answer, err := ask(ctx, l, peer.KindLoadAdapter, adapterQuestion{service, model, adapter}, l.c.loadAdapter)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.placements[answer.Upstream]; ok && !slices.Contains(p.Models[model], adapter) {
		clone := residency.Placement{Upstream: p.Upstream, Started: p.Started, Revision: p.Revision, Models: map[string][]string{}}
		for k, v := range p.Models {
			clone.Models[k] = v
		}
		clone.Models[model] = append(slices.Clone(clone.Models[model]), adapter)
		l.placements[answer.Upstream] = clone
	}
	delete(l.absent, absence{answer.Upstream, model, adapter})
	return nil
}

// Take implements gateway.Limiter. Without a leader the request waits a while
// for one: most changes of leader are short.
func (l *Client) Take(ctx context.Context, w *fleet.Workspace, tokens int64, patience time.Duration) *verdict.Refusal {
	deadline, ok := ctx.Deadline()
	hold := noLeaderRetry
	if ok {
		hold = time.Duration(holdShare * float64(time.Until(deadline)))
	}
	give := bootclock.Now().Add(hold)
	for {
		changed := l.Changed()
		call, cancel := context.WithTimeout(ctx, takeTimeout)
		answer, err := ask(call, l, peer.KindTakeTokens, takeQuestion{w.Name, tokens, patience}, l.c.take)
		cancel()
		switch {
		case err == nil && answer.Granted:
			if !duration.Sleep(ctx, answer.After) {
				return verdict.New(verdict.CallerGone, "the caller closed the connection")
			}
			return nil
		case err == nil:
			return verdict.New(verdict.RateLimited, "workspace %s is over its limit", w.Name).After(answer.After)
		case ctx.Err() != nil || !bootclock.Now().Before(give):
			return verdict.New(verdict.NotReady, "the limit of workspace %s can't be checked", w.Name).After(noLeaderRetry).Because(err)
		}
		timer := time.NewTimer(tick)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
