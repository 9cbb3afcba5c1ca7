package hibiscusyard

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

const (
	// agesFor is how long after its start an instance asks its peers how long
	// upstreams have been running: links come up within that time.
	agesFor   = 10 * time.Second
	agesEvery = 500 * time.Millisecond
)

// learnAges asks the peers how long upstreams have been running. Without it an
// instance that replaces another one would ramp up every service in use.
func (i *Instance) learnAges(ctx context.Context) error {
	asked := map[string]bool{}
	for deadline := time.Now().Add(agesFor); time.Now().Before(deadline) && duration.Sleep(ctx, agesEvery); {
		index, _ := i.catalog.Current()
		if index == nil {
			continue // the pools are not known yet
		}
		for _, id := range i.hub.Connected() {
			if !asked[id.Incarnation] {
				asked[id.Incarnation] = i.askAges(ctx, id.Instance)
			}
		}
	}
	return nil
}

// askAges takes over one peer's ages and reports whether it answered. The
// age at the time of the question is a lower bound.
func (i *Instance) askAges(ctx context.Context, instance string) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	asked := time.Now()
	var ages map[string][]balance.Age
	if err := i.hub.Call(ctx, instance, peer.KindUpstreamAges, struct{}{}, &ages); err != nil {
		return false
	}
	for pool, list := range ages {
		for _, a := range list {
			i.route.Established(pool, a.Upstream, a.Incarnation, asked.Add(-a.Age))
		}
	}
	return true
}

func (i *Instance) handleAges(context.Context, peer.Identity, []byte) (any, error) {
	return i.route.Ages(time.Now()), nil
}
