// Package members tracks the members of an instance's cluster and keeps the
// instance linked to them.
package members

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/membership"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	listInterval = 2 * time.Second
	listTimeout  = 1500 * time.Millisecond
	// linkGrace is how long a new instance waits for links to all listed members
	// before it accepts callers without them.
	linkGrace = 3 * time.Second
)

// Config holds the dependencies and settings of a Controller.
type Config struct {
	Self peer.Identity
	// List is the platform's instance list. It may be nil if Static is set.
	List ports.InstanceList
	// Static lists the peer addresses from the settings.
	Static []string
	// Lag is the maximum delay of the platform's list.
	Lag time.Duration
	Hub *peer.Hub
	Log log.Interface
}

// Controller maintains the member list of one instance. Its methods are safe for
// concurrent use.
type Controller struct {
	config     Config
	mu         sync.Mutex
	table      *membership.Table
	listedAt   time.Time
	runStarted time.Time
	settled    bool
	onChange   []func([]membership.Member)
}

// New returns a controller without other members. It registers a link callback
// on the hub.
func New(c Config) *Controller {
	m := &Controller{config: c, table: membership.New(c.Lag)}
	c.Hub.OnChange(m.linkChanged)
	return m
}

// SetAddress sets the instance's own peer address. It must be called before Run.
func (c *Controller) SetAddress(address string) { c.config.Self.Address = address }

// OnChange registers a callback that receives the members after each list reading
// and link change. It must be called before Run.
func (c *Controller) OnChange(callback func([]membership.Member)) {
	c.onChange = append(c.onChange, callback)
}

func (c *Controller) linkChanged(id peer.Identity, up bool) {
	c.mu.Lock()
	c.table.RecordLink(time.Now(), id.Instance, id.Incarnation, id.Address, id.DataCentre, up)
	c.mu.Unlock()
	c.notify()
}

// Run reads the platform's list periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.runStarted = time.Now()
	c.mu.Unlock()
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) refresh(ctx context.Context) {
	if c.config.List != nil {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		listed, err := c.config.List.List(callCtx)
		cancel()
		if err != nil {
			c.config.Log.WithError(err).Debug("instance list could not be read")
		} else {
			c.mu.Lock()
			c.table.ApplyList(time.Now(), listed)
			c.listedAt = time.Now()
			c.mu.Unlock()
			c.notify()
		}
	}
	c.config.Hub.SetTargets(ctx, c.addresses())
}

// addresses returns the peer addresses to keep links to.
func (c *Controller) addresses() []string {
	addresses := append([]string(nil), c.config.Static...)
	for _, m := range c.Members() {
		if m.Listed && m.Instance != c.config.Self.Instance {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

func (c *Controller) notify() {
	members := c.Members()
	for _, callback := range c.onChange {
		callback(members)
	}
}

// Members returns all members, including this instance.
func (c *Controller) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.table.Members()
	self := c.config.Self
	for i := range list {
		if list[i].Instance == self.Instance {
			list[i].Incarnation, list[i].Connected, list[i].Address = self.Incarnation, true, self.Address
			return list
		}
	}
	return append(list, membership.Member{
		Instance: self.Instance, Incarnation: self.Incarnation, Address: self.Address,
		DataCentre: self.DataCentre, Connected: true, LastSeen: time.Now(),
	})
}

// Count returns the number of members, including this instance. It is at least
// the number of configured peers plus one, so that peers that have never been
// linked count too.
func (c *Controller) Count() int { return max(len(c.Members()), len(c.config.Static)+1) }

// Names returns the names of all members, including this instance.
func (c *Controller) Names() []string {
	var names []string
	for _, m := range c.Members() {
		names = append(names, m.Instance)
	}
	return names
}

// Relays returns the names of the instances that read the platform on behalf of
// this data centre.
func (c *Controller) Relays() []string {
	return membership.Relays(c.Members(), c.config.Self.DataCentre)
}

// ListAge returns the time since the list was last read successfully.
func (c *Controller) ListAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.listedAt)
}

// Settled reports whether the links to all listed members have been up at the same
// time since the start, or linkGrace has passed. Before that, an instance without
// share slots of its own has no peer to request tokens from.
func (c *Controller) Settled(now time.Time) bool {
	members := c.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settled || c.runStarted.IsZero() {
		return c.settled
	}
	linked := !c.listedAt.IsZero() || c.config.List == nil
	for _, m := range members {
		linked = linked && (m.Connected || !m.Listed)
	}
	c.settled = linked || now.Sub(c.runStarted) > linkGrace
	return c.settled
}
