package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// update tells what the engines serve: what has changed since the last one, all
// of it, or what one instance's requests wait for.
type update struct {
	Token   uint64                `cbor:"1,keyasint"` // of the sender's term
	Full    bool                  `cbor:"2,keyasint,omitempty"`
	Changed []residency.Placement `cbor:"3,keyasint,omitempty"`
	Gone    []string              `cbor:"4,keyasint,omitempty"`
	Ready   []readyIn             `cbor:"5,keyasint,omitempty"`
	// OrdersIn is how long the leader gives no orders yet.
	OrdersIn time.Duration `cbor:"8,keyasint,omitempty"`
	// Resigned says that the sender leads no more.
	Resigned bool `cbor:"6,keyasint,omitempty"`
	// Peers are the addresses of all instances, for whoever leads next.
	Peers []string `cbor:"7,keyasint,omitempty"`
}

// readyIn says when a model that requests wait for will be served.
type readyIn struct {
	Service string        `cbor:"1,keyasint"`
	Model   string        `cbor:"2,keyasint"`
	In      time.Duration `cbor:"3,keyasint"`
}

// gather takes over what the planner has changed, and returns what instances
// are told at once because their requests wait for it: models that are served
// now, and when the others will be. The caller holds mu.
func (c *Coordinator) gather(now bootclock.Time) map[string]*update {
	urgent := map[string]*update{}
	of := func(instance string) *update {
		if urgent[instance] == nil {
			urgent[instance] = &update{Token: c.lease.Token(), OrdersIn: max(c.lease.ordersAt.Sub(now), 0)}
		}
		return urgent[instance]
	}
	changed, gone := c.planner.Changes()
	for _, p := range changed {
		before, known := c.placements[p.Upstream]
		if known && samePlacement(before, p) {
			continue
		}
		c.placements[p.Upstream] = p
		c.unsent[p.Upstream] = struct{}{}
		for _, w := range c.planner.Waiters(p.Upstream) {
			if _, was := before.Models[w.Model]; !was && p.Models[w.Model] != nil {
				of(w.Instance).add(p)
			}
		}
	}
	for _, id := range gone {
		if _, known := c.placements[id]; known {
			delete(c.placements, id)
			c.unsent[id] = struct{}{}
		}
	}
	for instance := range c.waiters {
		for _, o := range c.planner.Outlooks(now, instance) {
			u := of(instance)
			for _, p := range o.Served {
				u.add(p)
			}
			if o.Known {
				u.Ready = append(u.Ready, readyIn{Service: o.Service, Model: o.Model, In: o.In})
			}
		}
	}
	clear(c.waiters)
	return urgent
}

// add names a placement once.
func (u *update) add(p residency.Placement) {
	if !slices.ContainsFunc(u.Changed, func(q residency.Placement) bool { return q.Upstream == p.Upstream }) {
		u.Changed = append(u.Changed, p)
	}
}

// update returns what to send to all instances, nil for nothing, and the whole
// state for instances that are new. The caller holds mu.
func (c *Coordinator) update(now bootclock.Time) (changed, full *update) {
	connected := c.hub.Connected()
	gap := pushGap(len(connected) + 1)
	if wait := gap - now.Sub(c.pushAt); wait > 0 {
		if gap > residency.UnloadNotice {
			// The next push is too far: a request that still meets an unload is
			// turned away by the upstream and goes elsewhere.
			c.giveNotice(now)
		}
		c.wakeIn(wait)
		return nil, nil
	}
	peers := c.newPeers(connected)
	if len(c.unsent) == 0 && peers == nil && !c.client.newcomers(connected) {
		return nil, nil
	}
	c.pushAt = now
	c.giveNotice(now)
	ordersIn := max(c.lease.ordersAt.Sub(now), 0)
	changed = &update{Token: c.lease.Token(), OrdersIn: ordersIn, Peers: peers}
	for _, id := range slices.Sorted(maps.Keys(c.unsent)) {
		if p, ok := c.placements[id]; ok {
			changed.Changed = append(changed.Changed, p)
		} else {
			changed.Gone = append(changed.Gone, id)
		}
	}
	clear(c.unsent)
	full = &update{Token: c.lease.Token(), OrdersIn: ordersIn, Peers: c.peers, Full: true}
	for _, id := range slices.Sorted(maps.Keys(c.placements)) {
		full.Changed = append(full.Changed, c.placements[id])
	}
	return changed, full
}

// giveNotice starts the notice of the models that are about to be unloaded. The
// caller holds mu.
func (c *Coordinator) giveNotice(now bootclock.Time) {
	if c.planner.Told(now) {
		time.AfterFunc(residency.UnloadNotice, c.Notify)
	}
}

// pushGap is the time between two pushes to all instances. It grows with their
// number, so that the pushes of the leader, and what each instance receives, do
// not: instances whose requests wait for a model are told at once.
func pushGap(instances int) time.Duration {
	return min(max(minPushGap, time.Duration(instances)*pushGapPerInstance), maxPushGap)
}

// wakeIn makes the coordinator look at the plan after a time, once however often
// it is called until then. The caller holds mu.
func (c *Coordinator) wakeIn(d time.Duration) {
	if c.waking {
		return
	}
	c.waking = true
	time.AfterFunc(d, func() {
		c.mu.Lock()
		c.waking = false
		c.mu.Unlock()
		c.Notify()
	})
}

// heartbeat is how often the leader sends its state without a change.
func (c *Coordinator) heartbeat() time.Duration {
	return time.Duration(heartbeatShare * float64(c.config.ShortestBound))
}

// newPeers returns the addresses of all instances if they have changed. The
// caller holds mu.
func (c *Coordinator) newPeers(connected []peer.Identity) []string {
	list := []string{c.config.Address}
	for _, id := range connected {
		list = append(list, id.Address)
	}
	if slices.Equal(list, c.peers) {
		return nil
	}
	c.peers = list
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

// push sends an update to all instances. It is encoded once for all.
func (c *Coordinator) push(changed, full *update) {
	c.client.adopt(c.config.Instance, changed)
	var changedBody, fullBody cbor.RawMessage
	for _, id := range c.hub.Connected() {
		body := &changedBody
		message := changed
		if c.client.newcomer(id.Instance, id.Incarnation) {
			body, message = &fullBody, full
		} else if len(changed.Changed) == 0 && len(changed.Gone) == 0 && changed.Peers == nil {
			continue
		}
		if *body == nil {
			*body = c.encode(message)
		}
		go c.send(id.Instance, peer.KindPlacements, *body)
	}
}

// hurryTo sends instances what their requests wait for.
func (c *Coordinator) hurryTo(urgent map[string]*update) {
	for instance, u := range urgent {
		if instance == c.config.Instance {
			c.client.adopt(instance, u)
			continue
		}
		go c.send(instance, peer.KindPlacements, u)
	}
}

// tell sends the same message to all instances.
func (c *Coordinator) tell(message *update) {
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
		c.config.Log.WithError(err).WithField("peer", instance).Debug("message not sent")
		c.client.forget(instance)
	}
}

// linkChanged forgets what an instance has been told when its link ends.
func (c *Coordinator) linkChanged(id peer.Identity, up bool) {
	c.client.forget(id.Instance)
	c.mu.Lock()
	delete(c.relayed, id.Instance)
	delete(c.beats, id.Instance)
	c.mu.Unlock()
	if !up {
		c.client.linkLost(id.Instance)
	}
	c.Notify()
}
