package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// update tells what the engines serve: what has changed since the last one, or
// all of it.
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

// update returns what to send to the instances, nil for nothing, and the whole
// state for instances that are new. The caller holds mu.
func (c *Coordinator) update(now bootclock.Time) (changed, full *update) {
	if wait := pushGap - now.Sub(c.pushAt); wait > 0 {
		c.wakeIn(wait)
		return nil, nil
	}
	connected := c.hub.Connected()
	list, token := c.planner.Placements(), c.lease.Token()
	ordersIn := max(c.lease.ordersAt.Sub(now), 0)
	changed = &update{Token: token, OrdersIn: ordersIn, Ready: c.ready(now), Peers: c.newPeers(connected)}
	present := make(map[string]residency.Placement, len(list))
	for _, p := range list {
		present[p.Upstream] = p
		if old, ok := c.pushed[p.Upstream]; !ok || !samePlacement(old, p) {
			changed.Changed = append(changed.Changed, p)
		}
	}
	for id := range c.pushed {
		if _, ok := present[id]; !ok {
			changed.Gone = append(changed.Gone, id)
		}
	}
	fresh := c.client.newcomers(connected)
	if len(changed.Changed) == 0 && len(changed.Gone) == 0 && changed.Peers == nil && !fresh && slices.Equal(readyModels(changed.Ready), c.readySent) {
		return nil, nil
	}
	c.pushed, c.pushAt, c.readySent = present, now, readyModels(changed.Ready)
	if c.planner.Told(now) {
		time.AfterFunc(residency.UnloadNotice, c.Notify)
	}
	return changed, &update{Token: token, OrdersIn: ordersIn, Peers: c.peers, Full: true, Changed: list, Ready: changed.Ready}
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

func readyModels(list []readyIn) []modelKey {
	keys := make([]modelKey, len(list))
	for i, r := range list {
		keys[i] = modelKey{r.Service, r.Model}
	}
	return keys
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

// ready lists the models under way that were asked for.
func (c *Coordinator) ready(now bootclock.Time) []readyIn {
	var list []readyIn
	for _, w := range c.planner.Waiting(now) {
		if in, known := c.planner.ReadyIn(now, w.Service, w.Model); known {
			list = append(list, readyIn{Service: w.Service, Model: w.Model, In: in})
		}
	}
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
		}
		if *body == nil {
			*body = c.encode(message)
		}
		go c.send(id.Instance, peer.KindPlacements, *body)
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
	delete(c.told, id.Instance)
	delete(c.beats, id.Instance)
	c.mu.Unlock()
	if !up {
		c.client.linkLost(id.Instance)
	}
	c.Notify()
}
