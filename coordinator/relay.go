package coordinator

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/delta"
	"github.com/hibiscusyard/hibiscusyard/decision/quarantine"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/decision/usage"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// An instance reads a table from the store itself once the leader has been silent for
// relaySilenceShare of the shortest bound, or its copy of the table is older than
// relayAgeShare of that bound.
const (
	relaySilenceShare = 0.55
	relayAgeShare     = 0.75
)

// maxRelayBytes is the size in bytes above which changes are not relayed. Instances
// read larger ones from the store themselves, as the leader's link is no faster than
// theirs.
const maxRelayBytes = 4 << 10

const (
	// relayIntervalPerInstance limits the leader to about 1,000 messages a second about
	// table changes. maxRelayInterval limits the delay that this adds; it is a share of
	// the shortest bound of the deployments, 2 s.
	relayIntervalPerInstance = time.Millisecond
	maxRelayInterval         = 400 * time.Millisecond
)

// Source is an instance's copy of a store table. The leader subscribes to the table
// and relays the changes to all instances, since a subscription by each instance would
// cost the store a call per change and instance.
type Source interface {
	Table() string
	Version() int64
	Age(now bootclock.Time) time.Duration
	// Since returns the rows whose changes after a version affect requests, and the
	// version up to which they are complete. ok is false if not all are known.
	Since(after int64) (rows []ports.VersionedRow, to int64, ok bool)
	// At returns the value of a row at a version. ok is false if it is not known.
	At(key string, version int64) (value []byte, ok bool)
	// Apply applies all changes after version from up to version to. proved is a time
	// at which no newer change existed, or 0 if none is known.
	Apply(from, to int64, rows []ports.VersionedRow, proved bootclock.Time, era int64)
	// Era returns the era of the store in which the table was last read.
	Era() int64
}

// instanceReport is what an instance regularly reports to the leader.
type instanceReport struct {
	Demands []residency.ModelDemand `cbor:"1,keyasint"`
	Sent    bootclock.Time          `cbor:"2,keyasint"` // on the sender's clock
	// Versions are the versions of the sender's sources, in the order of the sources.
	Versions []int64 `cbor:"3,keyasint"`
	// Weak is set if the sender leads only when no other instance does.
	Weak bool `cbor:"4,keyasint,omitempty"`
	// Uptime is how long the sender's process has been running.
	Uptime time.Duration `cbor:"5,keyasint"`
	// Resigned is set if the sender is shutting down.
	Resigned bool `cbor:"6,keyasint,omitempty"`
	// Evidence is what requests showed about causes of crashes.
	Evidence *quarantine.Evidence `cbor:"7,keyasint,omitempty"`
	// Paces say how long work takes at upstreams that share their machines, 100 being usual:
	// those named in answers since the last report.
	Paces map[string]float64 `cbor:"20,keyasint,omitempty"`
	// Usage are the requests that began on the sender, if one is due.
	Usage *usage.Report `cbor:"8,keyasint,omitempty"`

	received bootclock.Time // when the leader got the report
}

// heartbeat is the message that the leader sends to an instance regularly, and also
// when a relayed table has changed.
type heartbeat struct {
	Token   uint64 `cbor:"1,keyasint"`
	Members int    `cbor:"2,keyasint"`
	// Echo is the Sent time of the receiver's last report, on the receiver's clock. It
	// bounds the age of this message.
	Echo bootclock.Time `cbor:"3,keyasint,omitempty"`
	// Tables are the changes of the relayed tables, in the order of the sources.
	Tables []relay `cbor:"4,keyasint,omitempty"`
	// Usage tells about true time and decided windows, if it is due.
	Usage *usageNews `cbor:"5,keyasint,omitempty"`
	// Ordered are the numbers of upstreams that the leader last ordered.
	Ordered []orderedUpstreams `cbor:"6,keyasint,omitempty"`
}

// relay carries the changes of one table.
type relay struct {
	From int64         `cbor:"1,keyasint"`
	To   int64         `cbor:"2,keyasint"`
	Rows []relayedRow  `cbor:"3,keyasint,omitempty"`
	Age  time.Duration `cbor:"4,keyasint"` // age of the sender's copy of the table
	// Fetch is set if the changes are too large to relay or not all known, so that the
	// receiver has to read them from the store.
	Fetch bool `cbor:"5,keyasint,omitempty"`
	// Era is the era of the store in which the sender read the table.
	Era int64 `cbor:"6,keyasint,omitempty"`
}

type relayedRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	// Delta, if set, turns the receiver's value at version From into the new one.
	Delta *delta.Delta `cbor:"5,keyasint,omitempty"`
}

// relayStatus is the state of a table in the last heartbeat from the leader.
type relayStatus struct {
	at      bootclock.Time
	age     time.Duration
	version int64 // version that this instance has after applying the relay or reading the changes itself
}

// relayProgress holds, for each source, the version up to which an instance has been
// sent changes on its link.
type relayProgress struct{ versions []int64 }

// changes are the changes of one source after a version. Most instances have been sent
// the same version, so that one lookup serves all of them.
type changes struct {
	rows []relayedRow
	to   int64
	ok   bool
	size int // size of the rows in bytes
}

// sendHeartbeats sends a heartbeat to all instances if one is due, and otherwise to
// those with table changes that they have not been sent.
func (c *Coordinator) sendHeartbeats(now bootclock.Time) {
	c.mu.Lock()
	if !c.leading {
		c.mu.Unlock()
		return
	}
	due := now.Sub(c.lastHeartbeat) >= c.heartbeatInterval()
	if !due && !c.relayDue(now) {
		c.mu.Unlock()
		return
	}
	if due {
		c.lastHeartbeat = now
	}
	connected := c.hub.Connected()
	cache := make([]map[int64]changes, len(c.config.Sources))
	messages := map[string]*heartbeat{}
	ordered := c.orderedNumbers()
	for _, id := range connected {
		message := &heartbeat{Token: c.lease.Token(), Members: len(connected) + 1, Ordered: ordered}
		report, reported := c.reports[id.Instance]
		changed := false
		if reported {
			message.Echo = report.Sent
			message.Tables, changed = c.tableChanges(now, id.Instance, report, cache)
		}
		if !due && !changed {
			continue
		}
		message.Usage = c.usageNewsFor(now, id, report)
		messages[id.Instance] = message
		for i, r := range message.Tables {
			c.relayProgress[id.Instance].versions[i] = r.To
		}
	}
	c.mu.Unlock()
	c.client.recordLeading(len(connected) + 1)
	for instance, message := range messages {
		go c.send(instance, peer.KindHeartbeat, message)
	}
}

// relayDue reports whether a source has changed since the last relay and the relay
// interval has passed. If the interval has not passed, it schedules a wake-up. The
// caller holds mu.
func (c *Coordinator) relayDue(now bootclock.Time) bool {
	changed := len(c.relayedVersions) != len(c.config.Sources)
	for i, s := range c.config.Sources {
		changed = changed || c.relayedVersions[i] != s.Version()
	}
	if !changed {
		return false
	}
	if wait := relayInterval(c.client.Members()) - now.Sub(c.lastRelay); wait > 0 {
		c.wakeAfter(wait)
		return false
	}
	c.lastRelay, c.relayedVersions = now, c.client.versions()
	return true
}

// relayInterval returns the shortest time between two relays of table changes to all
// instances.
func relayInterval(instances int) time.Duration {
	return min(time.Duration(instances)*relayIntervalPerInstance, maxRelayInterval)
}

// tableChanges returns the changes of all sources that an instance has not been sent,
// and whether there are any. cache holds the changes already looked up in this round,
// by source and version. The caller holds mu.
func (c *Coordinator) tableChanges(now bootclock.Time, instance string, report instanceReport, cache []map[int64]changes) (list []relay, changed bool) {
	progress := c.relayProgress[instance]
	if progress == nil {
		progress = &relayProgress{versions: append([]int64(nil), report.Versions...)}
		c.relayProgress[instance] = progress
	}
	for i, s := range c.config.Sources {
		if i >= len(progress.versions) {
			break
		}
		// An instance that reads a table itself may have a newer version than it was sent.
		progress.versions[i] = max(progress.versions[i], report.Versions[min(i, len(report.Versions)-1)])
		if cache[i] == nil {
			cache[i] = map[int64]changes{}
		}
		after, ok := cache[i][progress.versions[i]]
		if !ok {
			after = changesSince(s, progress.versions[i])
			cache[i][progress.versions[i]] = after
		}
		r := relay{From: progress.versions[i], To: max(after.to, progress.versions[i]), Age: s.Age(now), Era: s.Era()}
		if !after.ok {
			r.To, r.Fetch = max(s.Version(), progress.versions[i]), true
		}
		if after.size > maxRelayBytes {
			r.Fetch = true
		} else {
			r.Rows = after.rows
		}
		changed = changed || len(after.rows) > 0
		list = append(list, r)
	}
	return list, changed
}

// changesSince returns the changes of a source after a version. Large rows are encoded
// as deltas to their value at that version, if it is known.
func changesSince(s Source, version int64) changes {
	var found changes
	var rows []ports.VersionedRow
	rows, found.to, found.ok = s.Since(version)
	for _, row := range rows {
		r := relayedRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}
		size := len(row.Value)
		if size > maxRelayBytes {
			if old, ok := s.At(row.Key, version); ok {
				d := delta.Diff(old, row.Value)
				r.Value, r.Delta, size = nil, d, d.Size()
			}
		}
		found.rows, found.size = append(found.rows, r), found.size+size
	}
	return found
}

// versions returns the versions of this instance's sources.
func (l *Client) versions() []int64 {
	versions := make([]int64, len(l.c.config.Sources))
	for i, s := range l.c.config.Sources {
		versions[i] = s.Version()
	}
	return versions
}

func (l *Client) handleHeartbeat(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var message heartbeat
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	l.mu.Lock()
	current := l.recordContact(from.Instance, message.Token)
	var late []usage.WindowCounts
	if current {
		l.members = message.Members
		late = l.applyUsageNews(bootclock.Now(), &message)
	}
	l.mu.Unlock()
	if current {
		if message.Ordered != nil {
			l.c.mu.Lock()
			l.c.recordOrdered(message.Token, message.Ordered)
			l.c.mu.Unlock()
		}
		l.logLateUsage(late)
		l.applyRelays(&message)
	}
	return nil, nil
}

// applyRelays applies the table changes of a heartbeat. They prove the state only as
// of the echoed time less the age of the leader's copy, since the message may have been
// delayed for long.
func (l *Client) applyRelays(message *heartbeat) {
	now := bootclock.Now()
	for i, r := range message.Tables {
		if i >= len(l.c.config.Sources) {
			return
		}
		s := l.c.config.Sources[i]
		rows, complete := l.decodeRelay(s, r)
		if complete {
			var proved bootclock.Time
			if message.Echo != 0 {
				proved = message.Echo.Add(-r.Age)
			}
			s.Apply(r.From, r.To, rows, proved, r.Era)
		}
		l.mu.Lock()
		l.relayStatuses[s.Table()] = relayStatus{at: now, age: r.Age, version: r.To}
		l.mu.Unlock()
	}
}

// decodeRelay returns the rows of a relay, and whether it holds all changes since the
// version that this instance has.
func (l *Client) decodeRelay(s Source, r relay) ([]ports.VersionedRow, bool) {
	if r.From > s.Version() || r.Fetch {
		return nil, false
	}
	rows := make([]ports.VersionedRow, 0, len(r.Rows))
	for _, row := range r.Rows {
		value := row.Value
		if row.Delta != nil {
			old, _ := s.At(row.Key, r.From)
			text, err := row.Delta.Apply(old)
			if err != nil {
				l.c.config.Log.WithError(err).WithField("key", row.Key).Info("relayed delta not applied; reading the row from the store")
				return nil, false
			}
			value = text
		}
		rows = append(rows, ports.VersionedRow{Table: s.Table(), Key: row.Key, Value: value, Version: row.Version, Deleted: row.Deleted})
	}
	return rows, true
}

// Relays reports whether this instance can rely on the leader's relay for a table of
// which it has the given version. If it is false, the instance has to read the table
// itself: on the leader, after too long a silence or with too old a copy, and until
// changes that were not relayed have been read.
func (l *Client) Relays(now bootclock.Time, table string, version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	status, ok := l.relayStatuses[table]
	silence, bound := now.Sub(status.at), float64(l.c.config.ShortestBound)
	return ok && version >= status.version && l.leader != "" && l.leader != l.c.config.Instance &&
		float64(silence) < relaySilenceShare*bound && float64(silence+status.age) < relayAgeShare*bound
}
