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

// newRoute creates the filter that queues requests, selects upstreams and
// forwards to them.
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

// newClaimStore creates the store for claims of requests with an Idempotency-Key.
func newClaimStore(i *Instance) *idempotency.Store {
	return &idempotency.Store{
		Table: i.table, Objects: i.objects, Instance: i.settings.Instance, Incarnation: i.incarnation,
		IncarnationEnded: i.incarnationEnded, NewToken: uuid.NewString, Now: time.Now,
	}
}

// incarnationEnded reports whether the incarnation of an instance has certainly
// ended. While the instance list is older than the ListLag setting, an instance
// that it lacks is not considered ended.
func (i *Instance) incarnationEnded(instance, incarnation string) bool {
	for _, m := range i.members.Members() {
		if m.Instance == instance {
			return m.Incarnation != "" && m.Incarnation != incarnation
		}
	}
	return i.members.ListAge(time.Now()) < i.settings.ListLag.Std()
}
