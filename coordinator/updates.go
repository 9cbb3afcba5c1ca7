package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/decision/quarantine"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// update is a message about the placements of models: those changed since the last
// push, all of them, or those that requests of one instance wait for.
type update struct {
	Token   uint64                `cbor:"1,keyasint"` // fencing token of the sender's term
	Full    bool                  `cbor:"2,keyasint,omitempty"`
	Changed []residency.Placement `cbor:"3,keyasint,omitempty"`
	Removed []string              `cbor:"4,keyasint,omitempty"`
	Ready   []readyEstimate       `cbor:"5,keyasint,omitempty"`
	// OrdersIn is the time until the leader may give orders.
	OrdersIn time.Duration `cbor:"8,keyasint,omitempty"`
	// Resigned is set if the sender has stopped leading.
	Resigned bool `cbor:"6,keyasint,omitempty"`
	// Peers are the addresses of all instances, to which the next leader connects.
	Peers []string `cbor:"7,keyasint,omitempty"`
	// Limits are the limits that upstreams name: those changed since the last push, or
	// all of them.
	Limits []upstreamlimit.Report `cbor:"9,keyasint,omitempty"`
	// Quarantine are the quarantined and the suspected causes of crashes, all of them if
	// HasQuarantine is set.
	Quarantine    []quarantine.Entry `cbor:"10,keyasint,omitempty"`
	HasQuarantine bool               `cbor:"11,keyasint,omitempty"`
	// Crashes are those that the sender has observed itself: the new ones, or all of them if
	// Full is set. The receivers keep them for the next leader.
	Crashes []quarantine.CrashReport `cbor:"12,keyasint,omitempty"`
	// Versions are the software versions that the leader has admitted, all of them if
	// HasVersions is set.
	Versions    []origin.Seen `cbor:"13,keyasint,omitempty"`
	HasVersions bool          `cbor:"14,keyasint,omitempty"`
}

// readyEstimate is the estimated time until a model that requests wait for is served.
type readyEstimate struct {
	Service string        `cbor:"1,keyasint"`
	Model   string        `cbor:"2,keyasint"`
	In      time.Duration `cbor:"3,keyasint"`
}

// collectUpdates records the planner's placement changes for the next push, and returns
// the updates to send at once, by instance: placements of models that its requests
// wait for, and estimates for those not served yet. The caller holds mu.
func (c *Coordinator) collectUpdates(now bootclock.Time) map[string]*update {
	urgent := map[string]*update{}
	updateFor := func(instance string) *update {
		if urgent[instance] == nil {
			urgent[instance] = &update{Token: c.lease.Token(), OrdersIn: max(c.lease.ordersAt.Sub(now), 0)}
		}
		return urgent[instance]
	}
	changed, removed := c.planner.Changes()
	for _, p := range changed {
		before, known := c.placements[p.Upstream]
		if known && samePlacement(before, p) {
			continue
		}
		c.placements[p.Upstream] = p
		c.unsent[p.Upstream] = struct{}{}
		for _, w := range c.planner.Waiters(p.Upstream) {
			if _, was := before.Models[w.Model]; !was && p.Models[w.Model] != nil {
				updateFor(w.Instance).add(p)
			}
		}
	}
	for _, id := range removed {
		if _, known := c.placements[id]; known {
			delete(c.placements, id)
			c.unsent[id] = struct{}{}
		}
	}
	for instance := range c.waiters {
		for _, o := range c.planner.Availability(now, instance) {
			u := updateFor(instance)
			for _, p := range o.Served {
				u.add(p)
			}
			if o.ReadyInKnown {
				u.Ready = append(u.Ready, readyEstimate{Service: o.Service, Model: o.Model, In: o.ReadyIn})
			}
		}
	}
	clear(c.waiters)
	return urgent
}

// add adds a placement unless the update already has one of that upstream.
func (u *update) add(p residency.Placement) {
	if !slices.ContainsFunc(u.Changed, func(q residency.Placement) bool { return q.Upstream == p.Upstream }) {
		u.Changed = append(u.Changed, p)
	}
}

// nextPush returns the changes to send to all instances and the full state for new
// ones, or nil if no push is due. The caller holds mu.
func (c *Coordinator) nextPush(now bootclock.Time) (changed, full *update) {
	connected := c.hub.Connected()
	interval := pushInterval(len(connected) + 1)
	if wait := interval - now.Sub(c.lastPush); wait > 0 {
		if interval > residency.UnloadNotice {
			// The unload does not wait for the next push, which is too far off. A request
			// that arrives during the unload is refused by the upstream and sent elsewhere.
			c.startUnloadNotice(now)
		}
		c.wakeAfter(wait)
		return nil, nil
	}
	peers := c.newPeers(connected)
	if len(c.unsent) == 0 && len(c.unsentLimits) == 0 && peers == nil && !c.client.anyUnsynced(connected) {
		return nil, nil
	}
	c.lastPush = now
	c.startUnloadNotice(now)
	ordersIn := max(c.lease.ordersAt.Sub(now), 0)
	changed = &update{Token: c.lease.Token(), OrdersIn: ordersIn, Peers: peers}
	for _, id := range slices.Sorted(maps.Keys(c.unsent)) {
		if p, ok := c.placements[id]; ok {
			changed.Changed = append(changed.Changed, p)
		} else {
			changed.Removed = append(changed.Removed, id)
		}
	}
	clear(c.unsent)
	changedLimits, allLimits := c.limitReports(now)
	clear(c.unsentLimits)
	changed.Limits = changedLimits
	full = &update{Token: c.lease.Token(), OrdersIn: ordersIn, Peers: c.sentPeers, Full: true, Limits: allLimits, Quarantine: c.client.entries(now), HasQuarantine: true, Crashes: c.client.observedCrashes(now, 0)}
	full.Versions, full.HasVersions = c.client.admittedVersions(now), true
	for _, id := range slices.Sorted(maps.Keys(c.placements)) {
		full.Changed = append(full.Changed, c.placements[id])
	}
	return changed, full
}

// startUnloadNotice starts the notice period of the models that are about to be
// unloaded. The caller holds mu.
func (c *Coordinator) startUnloadNotice(now bootclock.Time) {
	if c.planner.RecordNotification(now) {
		time.AfterFunc(residency.UnloadNotice, c.Notify)
	}
}

// pushInterval returns the shortest time between two pushes to all instances. It grows
// with their number, so that neither the leader's message rate nor the rate that each
// instance receives does. Instances whose requests wait for a model are updated at
// once.
func pushInterval(instances int) time.Duration {
	return min(max(minPushInterval, time.Duration(instances)*pushIntervalPerInstance), maxPushInterval)
}

// wakeAfter schedules the coordinator's next step after d. While a wake-up is pending,
// further calls have no effect. The caller holds mu.
func (c *Coordinator) wakeAfter(d time.Duration) {
	if c.wakePending {
		return
	}
	c.wakePending = true
	time.AfterFunc(d, func() {
		c.mu.Lock()
		c.wakePending = false
		c.mu.Unlock()
		c.Notify()
	})
}

// heartbeatInterval returns the time between two heartbeats of the leader.
func (c *Coordinator) heartbeatInterval() time.Duration {
	return time.Duration(heartbeatShare * float64(c.config.ShortestBound))
}

// newPeers returns the addresses of all instances if they have changed. The
// caller holds mu.
func (c *Coordinator) newPeers(connected []peer.Identity) []string {
	list := []string{c.config.Address}
	for _, id := range connected {
		list = append(list, id.Address)
	}
	if slices.Equal(list, c.sentPeers) {
		return nil
	}
	c.sentPeers = list
	return list
}

func samePlacement(a, b residency.Placement) bool {
	if a.Started != b.Started || len(a.Models) != len(b.Models) {
		return false
	}
	for model, adapters := range a.Models {
		other, ok := b.Models[model]
		if !ok || len(other) != len(adapters) {
			return false
		}
		for i := range adapters {
			if adapters[i] != other[i] {
				return false
			}
		}
	}
	return true
}

// push sends an update to all instances, the full state to new ones. Each message is
// encoded once.
func (c *Coordinator) push(changed, full *update) {
	c.client.applyUpdate(c.config.Instance, changed)
	var changedBody, fullBody cbor.RawMessage
	for _, id := range c.hub.Connected() {
		body := &changedBody
		message := changed
		if c.client.markSynced(id.Instance, id.Incarnation) {
			body, message = &fullBody, full
		} else if len(changed.Changed) == 0 && len(changed.Removed) == 0 && len(changed.Limits) == 0 && changed.Peers == nil {
			continue
		}
		if *body == nil {
			*body = c.encode(message)
		}
		go c.send(id.Instance, peer.KindPlacements, *body)
	}
}

// sendUrgent sends the instances the updates that their requests wait for.
func (c *Coordinator) sendUrgent(urgent map[string]*update) {
	for instance, u := range urgent {
		if instance == c.config.Instance {
			c.client.applyUpdate(instance, u)
			continue
		}
		go c.send(instance, peer.KindPlacements, u)
	}
}

// sendToAll sends the same message to all instances.
func (c *Coordinator) sendToAll(message *update) {
	body := c.encode(message)
	for _, id := range c.hub.Connected() {
		go c.send(id.Instance, peer.KindPlacements, body)
	}
}

func (c *Coordinator) encode(message any) cbor.RawMessage {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // messages consist of plain fields
	}
	return body
}

func (c *Coordinator) send(instance string, kind peer.Kind, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := c.hub.Notify(ctx, instance, kind, message); err != nil {
		c.config.Log.WithError(err).WithField("peer", instance).Debug("message not sent to the instance")
		c.client.clearSynced(instance)
	}
}

// linkChanged discards what is recorded of a peer, including what it has been sent,
// when its link comes up or goes down.
func (c *Coordinator) linkChanged(id peer.Identity, up bool) {
	c.client.clearSynced(id.Instance)
	c.mu.Lock()
	delete(c.relayProgress, id.Instance)
	delete(c.reports, id.Instance)
	c.usageLinkChanged(id.Instance)
	if up {
		c.origins.losses.LinkUp(bootclock.Now(), id.Instance, id.Incarnation)
	} else {
		c.origins.losses.LinkDown(bootclock.Now(), id.Instance, id.Incarnation, c.hub.Linked(id.Instance))
		if c.places != nil {
			c.places.forget(bootclock.Now(), id.Instance)
		}
	}
	c.mu.Unlock()
	if !up {
		c.client.linkLost(id.Instance)
	}
	c.Notify()
}
