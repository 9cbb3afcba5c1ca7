package hibiscusyard

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

const (
	// agesQueryPeriod is the time after its start in which an instance queries its
	// peers for the ages of upstreams: links are established within that time.
	agesQueryPeriod   = 10 * time.Second
	agesQueryInterval = 500 * time.Millisecond
)

// fetchUpstreamAges queries each peer once for how long upstreams have been
// running. Without it, an instance that replaces another one would ramp up every
// service that is already in use.
func (i *Instance) fetchUpstreamAges(ctx context.Context) error {
	answered := map[string]bool{}
	for deadline := time.Now().Add(agesQueryPeriod); time.Now().Before(deadline) && duration.Sleep(ctx, agesQueryInterval); {
		index, _ := i.catalog.Current()
		if index == nil {
			continue // no catalogue, and so no pools yet
		}
		for _, id := range i.hub.Connected() {
			if !answered[id.Incarnation] {
				answered[id.Incarnation] = i.fetchAgesFrom(ctx, id.Instance)
			}
		}
	}
	return nil
}

// fetchAgesFrom applies the upstream ages that one peer reports, and returns
// whether the peer answered. Each age is subtracted from the time of the query,
// which gives a lower bound of the start time of the upstream.
func (i *Instance) fetchAgesFrom(ctx context.Context, instance string) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	queriedAt := time.Now()
	var ages map[string][]balance.Age
	if err := i.hub.Call(ctx, instance, peer.KindUpstreamAges, struct{}{}, &ages); err != nil {
		return false
	}
	for pool, list := range ages {
		for _, a := range list {
			i.route.RecordRunningSince(pool, a.Upstream, a.Incarnation, queriedAt.Add(-a.Age))
		}
	}
	return true
}

func (i *Instance) handleUpstreamAges(context.Context, peer.Identity, []byte) (any, error) {
	return i.route.Ages(time.Now()), nil
}
