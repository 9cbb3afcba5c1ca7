package hibiscusyard

import (
	"context"
	"net/http"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/catalog"
	"github.com/hibiscusyard/hibiscusyard/verdict"
	"time"
)

// placementControl answers which upstreams can run a request.
type placementControl struct{ instance *Instance }

func newPlacementControl(i *Instance) *placementControl { return &placementControl{instance: i} }

func (p *placementControl) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (p *placementControl) release(context.Context) {}

func (p *placementControl) observe(*catalog.Pool, *catalog.Upstream, http.Header, error) {}

func (p *placementControl) holder() string { return "" }

func (p *placementControl) replicas() []admin.ReplicaStatus { return nil }

// Ready implements filter.Directory.
func (p *placementControl) Ready(pool *catalog.Pool, model string) ([]*catalog.Upstream, <-chan struct{}) {
	if model != "" {
		return nil, nil
	}
	var ready []*catalog.Upstream
	for i := range pool.Upstreams {
		u := &pool.Upstreams[i]
		if !u.Leaving && !pool.Disabled(u.DataCentre) {
			ready = append(ready, u)
		}
	}
	return ready, nil
}

// Wait implements filter.Directory.
func (p *placementControl) Wait(_, _, _ string, _ time.Time) func() { return func() {} }

// ComeBack implements filter.Directory.
func (p *placementControl) ComeBack(_, _ string, _ time.Time) *verdict.Refusal {
	return verdict.New(verdict.PlacementUnavailable, "no placement controller is running")
}
