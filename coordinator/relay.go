package coordinator

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/delta"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// An instance follows a table itself once the leader has been silent for, or
// its knowledge is older than, these shares of the shortest bound.
const (
	relayFresh = 0.55
	relayStale = 0.75
)

// fetchBytes is the size from which a row is not relayed: the instances read it
// themselves, as the leader's link is no faster than theirs.
const fetchBytes = 4 << 10

const (
	// newsGapPerInstance bounds the leader's messages on changes of the tables to
	// about 1,000 a second, and maxNewsGap the time that they take longer: a share
	// of the shortest bound of the deployments, 2 s.
	newsGapPerInstance = time.Millisecond
	maxNewsGap         = 400 * time.Millisecond
)

// Source is a table that an instance follows. One feed of the leader serves all
// instances: a feed by each would cost the store a call for every change and
// instance.
type Source interface {
	Table() string
	Version() int64
	Age(now bootclock.Time) time.Duration
	// Since returns the rows whose changes after a version matter to requests,
	// if all are known.
	Since(after int64) (rows []ports.VersionedRow, to int64, ok bool)
	// At returns the value that a row had up to a version, if it is known.
	At(key string, version int64) (value []byte, ok bool)
	// Apply takes over all changes after one version up to another one.
	Apply(from, to int64, rows []ports.VersionedRow, proved bootclock.Time)
}

// beat is what an instance tells the leader regularly.
type beat struct {
	Needs []residency.Need `cbor:"1,keyasint"`
	Sent  bootclock.Time   `cbor:"2,keyasint"` // on the sender's clock
	// Versions are those of the sender's sources, in order.
	Versions []int64 `cbor:"3,keyasint"`
	// Weak says that the sender leads only if no other instance does.
	Weak bool `cbor:"4,keyasint,omitempty"`
	// Uptime is how long the sender's process has been running.
	Uptime time.Duration `cbor:"5,keyasint"`
	// Resigned says that the sender is shutting down.
	Resigned bool `cbor:"6,keyasint,omitempty"`
}

// pulse is what the leader tells one instance regularly, and at once when a
// relayed table has changed.
type pulse struct {
	Token   uint64 `cbor:"1,keyasint"`
	Members int    `cbor:"2,keyasint"`
	// Echo is the time that the receiver has sent last, on its own clock. It
	// shows how old this message may be at most.
	Echo bootclock.Time `cbor:"3,keyasint,omitempty"`
	// Tables are the changes of the relayed tables, in the order of the sources.
	Tables []relay `cbor:"4,keyasint,omitempty"`
}

// relay carries the changes of one table.
type relay struct {
	From int64         `cbor:"1,keyasint"`
	To   int64         `cbor:"2,keyasint"`
	Rows []relayedRow  `cbor:"3,keyasint,omitempty"`
	Age  time.Duration `cbor:"4,keyasint"` // of the sender's knowledge
	// Fetch says that the changes are too large: the receiver reads them itself.
	Fetch bool `cbor:"5,keyasint,omitempty"`
}

type relayedRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	// Delta makes the value of the one that the receiver has.
	Delta *delta.Delta `cbor:"5,keyasint,omitempty"`
}

// relayAge is what the leader said last of its knowledge of a table.
type relayAge struct {
	at  bootclock.Time
	age time.Duration
	to  int64 // version up to which the leader told or should have been read
}

// relayed is up to which versions an instance has been sent changes on its link.
type relayed struct{ versions []int64 }

// changes are those of one source after a version. Most instances have been
// told up to the same version, so that they are looked up once for all.
type changes struct {
	rows []relayedRow
	to   int64
	ok   bool
	size int // bytes of the rows
}

// pulse tells the instances what has changed, and all of them regularly that
// nothing has.
func (c *Coordinator) pulse(now bootclock.Time) {
	c.mu.Lock()
	if !c.leading {
		c.mu.Unlock()
		return
	}
	due := now.Sub(c.pulsed) >= c.heartbeat()
	if !due && !c.newsDue(now) {
		c.mu.Unlock()
		return
	}
	if due {
		c.pulsed = now
	}
	connected := c.hub.Connected()
	known := make([]map[int64]changes, len(c.config.Sources))
	messages := map[string]*pulse{}
	for _, id := range connected {
		p := &pulse{Token: c.lease.Token(), Members: len(connected) + 1}
		b, beaten := c.beats[id.Instance]
		news := false
		if beaten {
			p.Echo = b.Sent
			p.Tables, news = c.tables(now, id.Instance, b, known)
		}
		if !due && !news {
			continue
		}
		messages[id.Instance] = p
		for i, r := range p.Tables {
			c.relayed[id.Instance].versions[i] = r.To
		}
	}
	c.mu.Unlock()
	c.client.lead(len(connected) + 1)
	for instance, p := range messages {
		go c.send(instance, peer.KindPulse, p)
	}
}

// newsDue reports whether a source has changed and the pause between two rounds
// of news has passed. The caller holds mu.
func (c *Coordinator) newsDue(now bootclock.Time) bool {
	news := len(c.newsOf) != len(c.config.Sources)
	for i, s := range c.config.Sources {
		news = news || c.newsOf[i] != s.Version()
	}
	if !news {
		return false
	}
	if wait := newsGap(c.client.Members()) - now.Sub(c.newsAt); wait > 0 {
		c.wakeIn(wait)
		return false
	}
	c.newsAt, c.newsOf = now, c.client.versions()
	return true
}

// newsGap is the time between two rounds of news to all instances.
func newsGap(instances int) time.Duration {
	return min(time.Duration(instances)*newsGapPerInstance, maxNewsGap)
}

// tables returns the changes that an instance has not been sent, and whether
// there are any. The caller holds mu.
func (c *Coordinator) tables(now bootclock.Time, instance string, b beat, known []map[int64]changes) (list []relay, news bool) {
	t := c.relayed[instance]
	if t == nil {
		t = &relayed{versions: append([]int64(nil), b.Versions...)}
		c.relayed[instance] = t
	}
	for i, s := range c.config.Sources {
		if i >= len(t.versions) {
			break
		}
		// An instance that follows a table itself may be further than it was told.
		t.versions[i] = max(t.versions[i], b.Versions[min(i, len(b.Versions)-1)])
		if known[i] == nil {
			known[i] = map[int64]changes{}
		}
		after, ok := known[i][t.versions[i]]
		if !ok {
			after = changesSince(s, t.versions[i])
			known[i][t.versions[i]] = after
		}
		r := relay{From: t.versions[i], To: max(after.to, t.versions[i]), Age: s.Age(now)}
		if !after.ok {
			r.To, r.Fetch = max(s.Version(), t.versions[i]), true
		}
		if after.size > fetchBytes {
			r.Fetch = true
		} else {
			r.Rows = after.rows
		}
		news = news || len(after.rows) > 0
		list = append(list, r)
	}
	return list, news
}

// changesSince returns the changes of a source after a version, large rows by
// what differs from the value that they had then.
func changesSince(s Source, version int64) changes {
	var found changes
	var rows []ports.VersionedRow
	rows, found.to, found.ok = s.Since(version)
	for _, row := range rows {
		r := relayedRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}
		size := len(row.Value)
		if size > fetchBytes {
			if old, ok := s.At(row.Key, version); ok {
				d := delta.Of(old, row.Value)
				r.Value, r.Delta, size = nil, d, d.Size()
			}
		}
		found.rows, found.size = append(found.rows, r), found.size+size
	}
	return found
}

// versions returns how far this instance knows the sources.
func (l *Client) versions() []int64 {
	versions := make([]int64, len(l.c.config.Sources))
	for i, s := range l.c.config.Sources {
		versions[i] = s.Version()
	}
	return versions
}

func (l *Client) handlePulse(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var p pulse
	if err := cbor.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	l.mu.Lock()
	known := l.hear(from.Instance, p.Token)
	if known {
		l.members = p.Members
	}
	l.mu.Unlock()
	if known {
		l.takeRelays(&p)
	}
	return nil, nil
}

// takeRelays applies the tables of a message. The state is proved only as of
// the time that the leader has echoed, since the message may have been held up
// on its way for long.
func (l *Client) takeRelays(p *pulse) {
	now := bootclock.Now()
	for i, r := range p.Tables {
		if i >= len(l.c.config.Sources) {
			return
		}
		s := l.c.config.Sources[i]
		rows, complete := l.received(s, r)
		if complete {
			var proved bootclock.Time
			if p.Echo != 0 {
				proved = p.Echo.Add(-r.Age)
			}
			s.Apply(r.From, r.To, rows, proved)
		}
		l.mu.Lock()
		l.ages[s.Table()] = relayAge{at: now, age: r.Age, to: r.To}
		l.mu.Unlock()
	}
}

// received returns the rows of a relay, and whether it holds all changes from
// what this instance knows on.
func (l *Client) received(s Source, r relay) ([]ports.VersionedRow, bool) {
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
				l.c.config.Log.WithError(err).WithField("key", row.Key).Info("relayed change not applied; reading the row")
				return nil, false
			}
			value = text
		}
		rows = append(rows, ports.VersionedRow{Table: s.Table(), Key: row.Key, Value: value, Version: row.Version, Deleted: row.Deleted})
	}
	return rows, true
}

// Relays reports whether this instance can rely on the leader for a table of
// which it knows a version. Until it has read what was not relayed, it follows
// the table itself. The leader can't rely on anybody.
func (l *Client) Relays(now bootclock.Time, table string, version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.ages[table]
	silence, bound := now.Sub(a.at), float64(l.c.config.ShortestBound)
	return ok && version >= a.to && l.leader != "" && l.leader != l.c.config.Instance &&
		float64(silence) < relayFresh*bound && float64(silence+a.age) < relayStale*bound
}
