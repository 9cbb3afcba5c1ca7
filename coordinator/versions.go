package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// versionsKey is the row of Table with the software versions at which streams may begin.
const versionsKey = "versions"

// savedVersion is a software version as stored in its row.
type savedVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Gone is the time on the store's clock at which its last upstream left, 0 if it serves.
	Gone time.Duration `json:"gone_ns,omitempty"`
}

// ObserveVersions records the software versions that serve. The node calls it after each
// change of its view.
func (l *Client) ObserveVersions() {
	l.mu.Lock()
	// The view is read under mu, so that an older one never follows a newer one.
	changed := l.origins.Observe(bootclock.Now(), l.c.config.View())
	l.mu.Unlock()
	if changed {
		l.c.versionsChanged()
	}
}

// admitVersions takes over the versions that the leader has admitted. The caller holds mu.
func (l *Client) admitVersions(now bootclock.Time, list []origin.Seen) {
	l.origins.Restore(now, list)
	// Streams of a service that is mixed from now on have not been reported.
	l.originsSent = 0
	l.reportOriginsSoon()
	l.broadcast()
}

// admittedVersions returns the versions at which streams may begin or have lately begun.
func (l *Client) admittedVersions(now bootclock.Time) []origin.Seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.origins.Versions(now)
}

// VersionsNotYet implements gateway.Origins.
func (l *Client) VersionsNotYet(service string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.origins.NotYet(service)
}

// readVersions reads the row with the software versions.
func (c *Coordinator) readVersions(ctx context.Context) error {
	sent := bootclock.Now()
	page, err := c.config.Store.Read(ctx, Table)
	if err != nil {
		return err
	}
	c.applySavedVersions(page)
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.client.versionsReadAt = sent
	return nil
}

// versionsChanged makes the next step save the software versions.
func (c *Coordinator) versionsChanged() {
	c.mu.Lock()
	c.origins.nextVersions = 0
	c.mu.Unlock()
	c.Notify()
}

// saveVersions writes the software versions that serve or have lately served, if they have
// changed, and then admits the new ones: an instance that starts while no other one runs
// must know all versions at which a stream may have begun.
func (c *Coordinator) saveVersions(now bootclock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || c.origins.savingVersions || now.Before(c.origins.nextVersions) {
		return
	}
	c.origins.nextVersions = now.Add(versionsCheckInterval)
	clock := c.lease.StoreClock(now)
	c.client.mu.Lock()
	admitted, fresh := c.client.origins.Versions(now), c.client.origins.Unadmitted()
	c.client.mu.Unlock()
	seen := append(admitted, fresh...)
	origin.SortSeen(seen)
	value := encodeVersions(clock, seen)
	if string(value) == c.origins.savedVersions {
		return
	}
	c.origins.savingVersions = true
	change := ports.Change{Table: Table, Key: versionsKey, Value: value, ExpectedVersion: c.versionsRow}
	go c.writeVersions(change, fresh, c.lease.Token())
}

// encodeVersions returns the value of the row with the software versions.
func encodeVersions(clock time.Duration, seen []origin.Seen) []byte {
	list := make([]savedVersion, 0, len(seen))
	for _, s := range seen {
		v := savedVersion{Service: s.Service, Version: s.Version}
		if !s.Serving {
			v.Gone = (clock - s.GoneFor).Round(time.Second)
		}
		list = append(list, v)
	}
	value, err := json.Marshal(list)
	if err != nil {
		panic(err) // the list consists of plain fields
	}
	return value
}

// writeVersions writes the row with the software versions and admits the new ones in the
// same term. The write has a condition, so that one that arrives late replaces no later one.
func (c *Coordinator) writeVersions(change ports.Change, fresh []origin.Seen, token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	page, err := c.config.Store.Commit(ctx, change)
	if err != nil {
		c.config.Log.WithError(err).Info("software versions not written to the store; retrying")
		if err := c.readVersions(ctx); err != nil {
			c.config.Log.WithError(err).Warn("software versions not read from the store; retrying")
		}
	}
	now := bootclock.Now()
	c.mu.Lock()
	current := c.leading && c.lease.Token() == token
	if current {
		c.origins.savingVersions = false
		c.origins.nextVersions = 0
	}
	if err == nil {
		c.versionsRow = page.Version
	}
	if err != nil || !current || !c.lease.Held(now) {
		if current && err != nil {
			c.origins.nextVersions = now.Add(renewRetry)
		}
		c.mu.Unlock()
		return
	}
	c.origins.savedVersions, c.origins.position = string(change.Value), 0
	c.client.mu.Lock()
	c.client.origins.Admit(now, fresh)
	message := &update{Token: token, OrdersIn: max(c.lease.ordersAt.Sub(now), 0), Versions: c.client.origins.Versions(now), HasVersions: true}
	c.client.broadcast()
	c.client.mu.Unlock()
	c.mu.Unlock()
	c.config.Log.WithField("versions", string(change.Value)).Info("software versions admitted")
	c.sendToAll(message)
}

// applySavedVersions takes over the software versions in the row, also if there is none.
func (c *Coordinator) applySavedVersions(page ports.Page) {
	var seen []origin.Seen
	rowVersion := int64(0)
	for _, row := range page.Rows {
		if row.Table != Table || row.Key != versionsKey || row.Deleted {
			continue
		}
		rowVersion = row.Version
		var list []savedVersion
		if err := json.Unmarshal(row.Value, &list); err != nil {
			c.config.Log.WithError(err).Warn("row with the software versions can't be decoded")
			return
		}
		for _, v := range list {
			s := origin.Seen{Service: v.Service, Version: v.Version, Serving: v.Gone == 0}
			if !s.Serving {
				s.GoneFor = max(page.Clock-v.Gone, 0)
			}
			seen = append(seen, s)
		}
	}
	c.mu.Lock()
	c.versionsRow = rowVersion
	c.mu.Unlock()
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.client.origins.Restore(bootclock.Now(), seen)
}
