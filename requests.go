package hibiscusyard

import (
	"time"

	"github.com/google/uuid"

	"github.com/hibiscusyard/hibiscusyard/decision/balance"
	"github.com/hibiscusyard/hibiscusyard/decision/fairqueue"
	"github.com/hibiscusyard/hibiscusyard/decision/idempotency"
	"github.com/hibiscusyard/hibiscusyard/decision/membership"
	"github.com/hibiscusyard/hibiscusyard/filter"
)

// newRoute wires queueing, the choice of upstreams and forwarding.
func newRoute(i *Instance) *filter.Route {
	route := &filter.Route{
		Directory: i.placement.directory, Catalog: i.catalog, Forward: i.forward,
		Balance: balance.Config{Self: i.settings.Instance},
		Queue:   fairqueue.Config{MaxEntries: i.settings.QueueLimit, MaxPerWorkspace: i.settings.QueueLimit},
	}
	i.members.OnChange(func(members []membership.Member) {
		ids := make([]string, len(members))
		for k, m := range members {
			ids[k] = m.Instance
		}
		route.SetMembers(ids)
	})
	return route
}

// newClaimStore wires the claims of requests with an Idempotency-Key.
func newClaimStore(i *Instance) *idempotency.Store {
	return &idempotency.Store{
		Table: i.table, Objects: i.objects, Instance: i.settings.Instance, Incarnation: i.incarnation,
		Gone: i.gone, NewToken: uuid.NewString, Now: time.Now,
	}
}

// gone reports whether the incarnation of an instance has surely ended. While
// the instance list is not known to be recent, an absent instance is not gone.
func (i *Instance) gone(instance, incarnation string) bool {
	for _, m := range i.members.Members() {
		if m.Instance == instance {
			return m.Incarnation != "" && m.Incarnation != incarnation
		}
	}
	return i.members.ListAge(time.Now()) < i.settings.ListLag.Std()
}
