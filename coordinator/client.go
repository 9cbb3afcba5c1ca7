package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

const (
	// needsEvery is how often the needs are reported while there are any.
	needsEvery = 500 * time.Millisecond
	// beatEvery is how often the leader is told of this instance's clock, by which
	// the age of what it relays is bounded.
	beatEvery = 900 * time.Millisecond
	// needsGap collects needs that arise together.
	needsGap = 3 * time.Millisecond
	// absentFor is how long an upstream is believed when it says that it does
	// not hold a model.
	absentFor = time.Second
	// readyLife is how long after its expected time a model counts as about to be
	// served without a newer word of the leader, which repeats it each needsEvery.
	readyLife = 2 * time.Second
	// noLeaderRetry is when a caller may come back while there is no leader.
	noLeaderRetry = time.Second
	// holdShare is the part of the time left for which a request waits for a leader.
	holdShare = 0.5
	// takeTimeout bounds one question to the leader. A grant is not used later.
	takeTimeout = 400 * time.Millisecond
)

// errNoLeader means that no instance holds the lease as far as known.
var errNoLeader = errors.New("no leader")

type modelKey struct{ service, model string }

type absence struct{ upstream, model, adapter string }

// Client is an instance's way to the leader. It implements the gateway's
// Placement and Limiter.
type Client struct {
	c *Coordinator

	mu         sync.Mutex
	leader     string
	boot       string
	heard      bootclock.Time
	placements map[string]residency.Placement
	ready      map[modelKey]bootclock.Time
	members    int
	ordersAt   bootclock.Time // when the leader begins to give orders
	absent     map[absence]bootclock.Time
	needs      map[modelKey]*need
	nextWait   int
	changed    chan struct{}
	urgent     chan struct{}
	told       map[string]string // instances that have the whole state, by run
	reported   bool              // the last report held needs
	beatAt     bootclock.Time    // when the last report was made
	ages       map[string]relayAge
	token      uint64   // of the newest leader heard of
	peers      []string // addresses of all instances, as the leader said last
}

func newClient(c *Coordinator) *Client {
	return &Client{
		c: c, placements: map[string]residency.Placement{}, ready: map[modelKey]bootclock.Time{},
		absent: map[absence]bootclock.Time{}, needs: map[modelKey]*need{}, changed: make(chan struct{}),
		urgent: make(chan struct{}, 1), told: map[string]string{}, ages: map[string]relayAge{},
	}
}

// Members returns the number of instances, 0 if it is not known.
func (l *Client) Members() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members
}

// Leader returns the instance that is followed, empty without one.
func (l *Client) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// follow takes over who holds the lease.
func (l *Client) follow(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != r.Holder || l.boot != r.Boot {
		l.leader, l.boot, l.heard = r.Holder, r.Boot, 0
	}
}

// peerAddresses returns the addresses of all instances as far as known.
func (l *Client) peerAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers
}

// alive reports whether the leader was heard of lately. A silent link is
// dropped, as it may be dead without a reset.
func (l *Client) alive(now bootclock.Time) bool {
	l.mu.Lock()
	leader, silent := l.leader, l.heard == 0 || now.Sub(l.heard) > leaderSilence
	dead := silent && l.heard != 0
	if dead {
		l.heard = 0
	}
	l.mu.Unlock()
	if dead && leader != "" && l.c.hub != nil {
		l.c.hub.Drop(leader)
	}
	return leader != "" && !silent
}

// lost forgets the leader that this instance was itself.
func (l *Client) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.heard = "", 0
	clear(l.told)
}

func (l *Client) linkLost(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if instance == l.leader {
		l.heard = 0
	}
}

func (l *Client) newcomer(instance, boot string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.told[instance] == boot
	l.told[instance] = boot
	return !known
}

// newcomers reports whether any of the instances has not been sent the whole state.
func (l *Client) newcomers(ids []peer.Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if l.told[id.Instance] != id.Incarnation {
			return true
		}
	}
	return false
}

func (l *Client) forget(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.told, instance)
}

// Notify wakes all requests that wait for a change.
func (l *Client) Notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broadcast()
}

func (l *Client) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed implements gateway.Placement.
func (l *Client) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Client) handlePlacements(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var u update
	if err := cbor.Unmarshal(body, &u); err != nil {
		return nil, err
	}
	l.adopt(from.Instance, &u)
	return nil, nil
}

// hear notes a sign of life of a leader and reports whether it is the newest
// one. The caller holds mu.
func (l *Client) hear(from string, token uint64) bool {
	if token < l.token {
		return false // its term has ended
	}
	l.token = token
	if l.leader != from {
		l.leader, l.boot = from, ""
	}
	l.heard = bootclock.Now()
	return true
}

// lead notes that this instance leads.
func (l *Client) lead(members int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.heard, l.members = l.c.config.Instance, bootclock.Now(), members
}

// adopt takes over an update of the leader.
func (l *Client) adopt(from string, u *update) {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Resigned {
		if l.leader == from && u.Token >= l.token {
			l.leader, l.heard = "", 0
			l.broadcast()
			go l.c.lookSoon()
		}
		return
	}
	if !l.hear(from, u.Token) {
		return
	}
	if len(u.Peers) > 0 {
		l.peers = u.Peers
	}
	object := false
	for _, p := range u.Changed {
		object = object || l.runsGoing(p)
		l.placements[p.Upstream] = p
		for a := range l.absent {
			if a.upstream == p.Upstream {
				delete(l.absent, a)
			}
		}
	}
	for _, id := range u.Gone {
		delete(l.placements, id)
	}
	l.ordersAt = now.Add(u.OrdersIn)
	if u.Full {
		clear(l.ready)
	}
	for k, at := range l.ready {
		if now.Sub(at) > readyLife {
			delete(l.ready, k)
		}
	}
	for _, r := range u.Ready {
		l.ready[modelKey{r.Service, r.Model}] = now.Add(r.In)
	}
	if u.Full || len(u.Changed) > 0 || len(u.Gone) > 0 || len(u.Ready) > 0 {
		l.broadcast()
	}
	if object {
		l.hurry()
	}
}

// Models implements dispatch.Residence: the leader's word, or the entry of the
// upstream if that is newer and there is no leader.
func (l *Client) Models(u *fleet.Upstream) map[string][]string {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	models := u.Models
	if p, ok := l.placements[u.ID]; ok && p.Started == u.Started && (now.Sub(l.heard) < leaderSilence || u.Revision <= p.Revision) {
		models = p.Models
	}
	if len(l.absent) == 0 {
		return models
	}
	return l.without(now, u.ID, models)
}

// without returns the models but those that the upstream said it lacks.
func (l *Client) without(now bootclock.Time, upstream string, models map[string][]string) map[string][]string {
	copied := false
	for a, until := range l.absent {
		if now.After(until) {
			delete(l.absent, a)
			continue
		}
		adapters, ok := models[a.model]
		if a.upstream != upstream || !ok {
			continue
		}
		if !copied {
			clone := make(map[string][]string, len(models))
			for k, v := range models {
				clone[k] = v
			}
			models, copied = clone, true
		}
		if a.adapter == "" {
			delete(models, a.model)
		} else {
			models[a.model] = slices.DeleteFunc(slices.Clone(adapters), func(s string) bool { return s == a.adapter })
		}
	}
	return models
}

// Absent implements gateway.Placement.
func (l *Client) Absent(upstream, model, adapter string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.absent[absence{upstream, model, adapter}] = bootclock.Now().Add(absentFor)
}

// ReadyIn implements gateway.Placement.
func (l *Client) ReadyIn(service, model string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	if at, ok := l.ready[modelKey{service, model}]; ok {
		return max(at.Sub(now), l.ordersAt.Sub(now), 0), true
	}
	return l.ordersAt.Sub(now), l.ordersAt.After(now)
}

// OrdersIn implements gateway.Placement.
func (l *Client) OrdersIn() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.ordersAt.Sub(bootclock.Now()), 0)
}
