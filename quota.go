package hibiscusyard

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/controller/quotasync"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/membership"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/filter"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// quotaControl connects the quota controller with the peer hub, the catalogue,
// the members and the filter chain.
type quotaControl struct {
	instance *Instance
	sync     *quotasync.Sync
}

func newQuotaControl(i *Instance) *quotaControl {
	config := quotasync.DefaultConfig()
	config.Table, config.Session, config.ListLag = i.table, i.session, i.settings.ListLag.Std()
	config.Transport, config.Reachable, config.Log = quotaTransport{i.hub}, i.hub.Linked, i.log
	q := &quotaControl{instance: i, sync: quotasync.New(config)}
	i.hub.Handle(peer.KindGrant, handleQuota[quota.GrantBatch](q))
	i.hub.Handle(peer.KindSlotReleased, handleQuota[quota.SlotReleased](q))
	i.catalog.OnAdopt(func(x *catalog.Index) { q.sync.SetLimits(x.Workspaces()) })
	i.members.OnChange(func(list []membership.Member) { q.sync.SetMembers(q.quotaMembers(list)) })
	return q
}

func (q *quotaControl) run(ctx context.Context) error { return q.sync.Run(ctx) }

// release releases the slots and returns borrowed tokens at shutdown.
func (q *quotaControl) release(ctx context.Context) {
	if err := q.sync.Shutdown(ctx); err != nil {
		q.instance.log.WithError(err).Warn("share slot release failed")
	}
}

// quotaMembers converts a snapshot of the members. Without a platform list, a
// member that was linked once counts as listed, because a broken link does not
// prove that its process has ended.
func (q *quotaControl) quotaMembers(list []membership.Member) []quotasync.Member {
	var out []quotasync.Member
	for _, m := range list {
		if !m.Listed && !m.Connected && q.instance.instances != nil {
			continue
		}
		state := quotasync.Live
		if m.Leaving {
			state = quotasync.Leaving
		}
		out = append(out, quotasync.Member{
			Instance: m.Instance, Incarnation: m.Incarnation, Address: m.Address, DataCentre: m.DataCentre, State: state,
		})
	}
	return out
}

// Admit implements filter.Limiter.
func (q *quotaControl) Admit(ctx context.Context, workspace string, tokens int64) (filter.Reservation, error) {
	r, err := q.sync.Admit(ctx, workspace, tokens)
	if err != nil {
		return nil, err
	}
	return quotaReservation{q.sync, r}, nil
}

type quotaReservation struct {
	sync        *quotasync.Sync
	reservation *quota.Reservation
}

// Settle implements filter.Reservation.
func (r quotaReservation) Settle(used int64) { r.sync.Settle(r.reservation, used) }

func handleQuota[T any](q *quotaControl) peer.Handler {
	return func(_ context.Context, from peer.Identity, body []byte) (any, error) {
		message := new(T)
		if err := cbor.Unmarshal(body, message); err != nil {
			return nil, err
		}
		return q.sync.Handle(from.Instance, message)
	}
}

// quotaTransport sends the controller's messages over the peer hub.
type quotaTransport struct{ hub *peer.Hub }

// Send implements quotasync.Transport.
func (t quotaTransport) Send(ctx context.Context, instance string, message any) (any, error) {
	switch m := message.(type) {
	case *quota.GrantBatch:
		answer := &quota.GrantAnswer{}
		return answer, t.hub.Call(ctx, instance, peer.KindGrant, m, answer)
	case *quota.SlotReleased:
		return nil, t.hub.Call(ctx, instance, peer.KindSlotReleased, m, nil)
	}
	return nil, oops.In("quota").Errorf("unexpected message %T", message)
}
