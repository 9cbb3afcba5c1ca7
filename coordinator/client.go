package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/decision/quarantine"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/decision/usage"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

const (
	// demandInterval is the time between reports while there is demand to report.
	demandInterval = 500 * time.Millisecond
	// maxReportInterval is the longest time between reports to the leader. A report
	// carries this instance's clock, which bounds the age of relayed changes.
	maxReportInterval = 900 * time.Millisecond
	// demandBatchDelay delays an urgent report so that simultaneous changes share it.
	demandBatchDelay = 3 * time.Millisecond
	// absenceTTL is how long a model counts as not served by an upstream that has
	// answered that it does not hold the model.
	absenceTTL = time.Second
	// readyTTL is how long after its expected ready time a model still counts as about
	// to be served. The leader repeats its estimate every demandInterval.
	readyTTL = 2 * time.Second
	// noLeaderRetry is the retry delay given to callers while there is no leader.
	noLeaderRetry = time.Second
	// leaderWaitShare is the share of its remaining time that a request waits for a leader.
	leaderWaitShare = 0.5
	// peerCallTimeout bounds one call to another instance. A token grant that arrives
	// later is not used.
	peerCallTimeout = 400 * time.Millisecond
)

// errNoLeader means that this instance knows of no lease holder.
var errNoLeader = errors.New("no leader")

type modelKey struct{ service, model string }

type absence struct{ upstream, model, adapter string }

// Client sends an instance's demand and requests to the leader and holds the state
// that the leader distributes. It implements gateway.Placement, gateway.Limiter,
// gateway.UpstreamLimits, gateway.Quarantine, gateway.Origins and gateway.Usage, and is safe for concurrent use.
type Client struct {
	c *Coordinator

	mu             sync.Mutex
	leader         string
	leaderBoot     string
	lastContact    bootclock.Time
	placements     map[string]residency.Placement
	ready          map[modelKey]bootclock.Time
	members        int
	ordersAt       bootclock.Time // when the leader may start to give orders
	absent         map[absence]bootclock.Time
	demands        map[modelKey]*modelDemand
	nextWaitID     int
	changed        chan struct{}
	urgent         chan struct{}
	synced         map[string]string // incarnation of each instance that has been sent the full state
	reportedDemand bool              // whether the last report contained demand
	reportedAt     bootclock.Time    // when the last report was sent
	relayStatuses  map[string]relayStatus
	token          uint64   // fencing token of the newest known leader
	peers          []string // addresses of all instances, as last received from the leader
	limits         *upstreamlimit.Table
	quarantine     *quarantine.Ledger
	evidenceAt     bootclock.Time // when the evidence against causes of crashes last changed
	leaderSince    bootclock.Time // when the current leader became known
	// paces are what upstreams have said since the last report of how long work takes there.
	paces      map[string]float64
	origins    *origin.Ledger
	originsDue chan struct{}
	// originsSent is the position in the ledger up to which streams have been reported to
	// the leader of the term with originsToken.
	originsSent  int
	originsToken uint64
	// versionsReadAt is when the last read of the saved versions was sent.
	versionsReadAt bootclock.Time
	// clock keeps true time, and counter the requests that began on this instance; both are
	// nil if usage is not reported. usageDecided is the window up to which leaders have
	// announced that they had decided.
	clock        *usage.Clock
	counter      *usage.Counter
	usageDecided int64
	// leaderKnownSince is when this process first knew of a leader.
	leaderKnownSince bootclock.Time
}

func newClient(c *Coordinator) *Client {
	l := &Client{
		c: c, placements: map[string]residency.Placement{}, ready: map[modelKey]bootclock.Time{},
		absent: map[absence]bootclock.Time{}, demands: map[modelKey]*modelDemand{}, changed: make(chan struct{}),
		urgent: make(chan struct{}, 1), synced: map[string]string{}, relayStatuses: map[string]relayStatus{},
		limits: upstreamlimit.NewTable(), quarantine: quarantine.NewLedger(),
		paces:   map[string]float64{},
		origins: origin.NewLedger(), originsDue: make(chan struct{}, 1),
	}
	if c.config.Duties.Has(DutyUsage) {
		now := bootclock.Now()
		l.clock, l.counter = usage.NewClock(now, c.config.WallClock()), usage.NewCounter(now, c.config.Duties.UsageWindow)
	}
	return l
}

// Members returns the number of instances, or 0 if it is unknown.
func (l *Client) Members() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members
}

// Leader returns the instance that is taken for the leader, or "" if there is none.
func (l *Client) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// setLeader records the lease holder named by the lease row.
func (l *Client) setLeader(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != r.Holder || l.leaderBoot != r.Boot {
		l.leader, l.leaderBoot, l.lastContact = r.Holder, r.Boot, 0
	}
}

// peerAddresses returns the known addresses of all instances.
func (l *Client) peerAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers
}

// leaderAlive reports whether a message of the leader has arrived within
// leaderSilence. It drops the link to a silent leader, since the connection may be
// dead without a reset.
func (l *Client) leaderAlive(now bootclock.Time) bool {
	l.mu.Lock()
	leader, silent := l.leader, l.lastContact == 0 || now.Sub(l.lastContact) > leaderSilence
	dead := silent && l.lastContact != 0
	if dead {
		l.lastContact = 0
	}
	l.mu.Unlock()
	if dead && leader != "" && l.c.hub != nil {
		l.c.hub.Drop(leader)
	}
	return leader != "" && !silent
}

// clearLeader discards the known leader after this instance has stopped leading or
// has been offered the lease.
func (l *Client) clearLeader() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.lastContact = "", 0
	clear(l.synced)
}

func (l *Client) linkLost(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if instance == l.leader {
		l.lastContact = 0
		// The last reports may be lost with the link.
		l.originsSent = 0
		l.resetUsage()
	}
}

// markSynced records that the given incarnation of an instance is being sent the full
// state, and reports whether it had not been sent it before.
func (l *Client) markSynced(instance, boot string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.synced[instance] == boot
	l.synced[instance] = boot
	return !known
}

// anyUnsynced reports whether any of the instances has not been sent the full state.
func (l *Client) anyUnsynced(ids []peer.Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if l.synced[id.Instance] != id.Incarnation {
			return true
		}
	}
	return false
}

func (l *Client) clearSynced(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.synced, instance)
}

// Notify wakes all requests waiting for a change.
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
	l.applyUpdate(from.Instance, &u)
	return nil, nil
}

// recordContact records that a leader has sent a message, and reports whether no
// newer leader is known. The caller holds mu.
func (l *Client) recordContact(from string, token uint64) bool {
	if token < l.token {
		return false // the sender's term has ended
	}
	now := bootclock.Now()
	if l.leaderKnownSince == 0 {
		l.leaderKnownSince = now
	}
	if l.leader != from || token != l.token || l.lastContact == 0 {
		l.leaderSince = now
		l.reportOriginsSoon()
		l.resetUsage()
	}
	l.token = token
	if l.leader != from {
		l.leader, l.leaderBoot = from, ""
	}
	l.lastContact = now
	return true
}

// recordLeading records that this instance leads.
func (l *Client) recordLeading(members int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != l.c.config.Instance {
		l.resetUsage()
	}
	l.leader, l.lastContact, l.members = l.c.config.Instance, bootclock.Now(), members
}

// applyUpdate applies an update from the leader.
func (l *Client) applyUpdate(from string, u *update) {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Resigned {
		if l.leader == from && u.Token >= l.token {
			l.leader, l.lastContact = "", 0
			l.broadcast()
			go l.c.readLeaseSoon()
		}
		return
	}
	if !l.recordContact(from, u.Token) {
		return
	}
	if len(u.Peers) > 0 {
		l.peers = u.Peers
	}
	inUse := false
	for _, p := range u.Changed {
		inUse = inUse || l.removesModelInUse(p)
		l.placements[p.Upstream] = p
		for a := range l.absent {
			if a.upstream == p.Upstream {
				delete(l.absent, a)
			}
		}
	}
	for _, id := range u.Removed {
		delete(l.placements, id)
	}
	for _, r := range u.Limits {
		l.applyReportLocked(now, r)
	}
	if u.HasQuarantine {
		l.applyEntries(now, u.Quarantine)
	}
	if u.HasVersions {
		l.admitVersions(now, u.Versions)
	}
	l.quarantine.Keep(now, u.Crashes)
	l.ordersAt = now.Add(u.OrdersIn)
	if u.Full {
		clear(l.ready)
	}
	for k, at := range l.ready {
		if now.Sub(at) > readyTTL {
			delete(l.ready, k)
		}
	}
	for _, r := range u.Ready {
		l.ready[modelKey{r.Service, r.Model}] = now.Add(r.In)
	}
	if u.Full || len(u.Changed) > 0 || len(u.Removed) > 0 || len(u.Ready) > 0 {
		l.broadcast()
	}
	if inUse {
		l.reportSoon()
	}
}

// Models implements dispatch.ServedModels. It returns the models in the leader's last
// placement of this run of the upstream, or those of the upstream's entry if there is
// no such placement, or if the leader is silent and the entry is newer.
func (l *Client) Models(u *fleet.Upstream) map[string][]string {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	models := u.Models
	if p, ok := l.placements[u.ID]; ok && p.Started == u.Started && (now.Sub(l.lastContact) < leaderSilence || u.Revision <= p.Revision) {
		models = p.Models
	}
	if len(l.absent) == 0 {
		return models
	}
	return l.excludeAbsent(now, u.ID, models)
}

// excludeAbsent returns the models without those that the upstream has reported absent.
func (l *Client) excludeAbsent(now bootclock.Time, upstream string, models map[string][]string) map[string][]string {
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

// RecordAbsent implements gateway.Placement.
func (l *Client) RecordAbsent(upstream, model, adapter string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.absent[absence{upstream, model, adapter}] = bootclock.Now().Add(absenceTTL)
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

// TimeUntilOrders implements gateway.Placement.
func (l *Client) TimeUntilOrders() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.ordersAt.Sub(bootclock.Now()), 0)
}
