package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/decision/residency"
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// tick is the longest time between two steps, which check the lease and the plan.
	tick = 100 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// renewTimeout bounds one lease renewal, so that a lost renewal is detected before
	// the lease expires. A store 50 times slower than usual answers a transaction in
	// 450 ms.
	renewTimeout = 600 * time.Millisecond
	// settleAfter is how long the response to a lease write may take before the row is
	// read to find out whether the write was applied. A write usually takes a few
	// milliseconds.
	settleAfter = 250 * time.Millisecond
	// orderTimeout bounds the wait for the response to an order.
	orderTimeout = time.Second
	// heartbeatShare is the leader's heartbeat interval as a share of the shortest
	// bound. Heartbeats are sent even if nothing has changed.
	heartbeatShare = 0.2
	// leaderSilence is the time without a message from the leader after which its link
	// is dropped and the lease row is read.
	leaderSilence = 1200 * time.Millisecond
	// handOverAfter is how long after its last renewal a leader that can't reach the
	// store offers the lease to another instance.
	handOverAfter = renewInterval + renewTimeout
	// leaseReadInterval is the mean time between reads of the lease row while there is
	// no leader. The actual interval varies by half of it either way, so that instances
	// do not read at the same time.
	leaseReadInterval = 500 * time.Millisecond
	// minPushInterval batches placement changes, pushIntervalPerInstance limits the
	// leader to about 700 messages a second, and maxPushInterval limits how old the
	// placements known to an instance are.
	minPushInterval         = 30 * time.Millisecond
	pushIntervalPerInstance = 1500 * time.Microsecond
	maxPushInterval         = 600 * time.Millisecond
	// minStepInterval is the shortest time between two steps. Planning takes about a
	// millisecond with 60 engines and blocks token requests meanwhile.
	minStepInterval = 5 * time.Millisecond
	// weakDelay is how long a weak instance leaves a free lease for others to take.
	weakDelay = 1500 * time.Millisecond
	// takeoverJitter spreads out the reads of an expired lease by different instances.
	takeoverJitter = 100 * time.Millisecond
	// renewRetry is the pause after a failed renewal, and offerRetry the pause after a
	// declined offer.
	renewRetry = 150 * time.Millisecond
	offerRetry = 500 * time.Millisecond
	// yieldAfter is how long a weak instance leads before it offers the lease to an
	// instance that is not weak.
	yieldAfter = 2 * time.Second
	// leaseReaders is the number of instances that read the lease row per
	// leaseReadInterval; the interval of each grows with the number of instances. For
	// instances that are not weak it is at most maxLeaseReadInterval. A new leader
	// connects to the other instances itself.
	leaseReaders         = 8
	maxLeaseReadInterval = time.Second
	// secretWait is how long an instance that starts waits for the leader to write the
	// secret again that the store has lost, before it creates another one.
	secretWait = 5 * time.Second
	// leaseRowMaxAge is the age up to which the last read of the lease row is reused.
	leaseRowMaxAge = 300 * time.Millisecond
)

// Engines sends orders to upstreams and fetches their reports.
type Engines interface {
	Order(ctx context.Context, o residency.Order, holder string, token uint64) (residency.Outcome, error)
	Report(ctx context.Context, id, address string) (residency.Report, error)
}

// Config configures the coordinator of one instance.
type Config struct {
	Instance, Boot, Address, DataCentre string
	Store                               ports.RowStore
	Engines                             Engines
	View                                func() *fleet.View
	// SetDeparted is called when a run of an upstream has said in an answer that it leaves
	// or has ended, and when that does not hold any longer.
	SetDeparted func(upstream string, d fleet.Departure, departed bool)
	// Paused reports whether an upstream wants nothing from this instance now.
	Paused func(upstream string) bool
	// Size estimates the number of instances, including while there is no leader.
	Size func() int
	// Sources are the tables that the leader relays to the other instances.
	Sources []Source
	Bounds  quota.CentralBounds
	// LeaseGap is the time within which two successive lease holders must not both
	// give orders.
	LeaseGap time.Duration
	// ShortestBound is the time within which an instance must act on changes in the
	// store: upstreams that leave and changes of the desired state.
	ShortestBound time.Duration
	// Weak marks an instance with little processor time or a slow link. It leads only
	// if no other instance does.
	Weak bool
	// StoreParallel is the number of concurrent loads that the weight store serves at
	// full speed.
	StoreParallel int
	// WallClock returns the wall-clock time since the start of 1970. It is used only if
	// usage is reported.
	WallClock func() time.Duration
	// Duties are the calls to the platform's API that this instance makes while it leads.
	Duties  DutyConfig
	Log     log.Interface
	Metrics *metrics.Set
}

// Coordinator contends for the lease and leads while it holds it. Its Client
// connects the instance to the current leader.
type Coordinator struct {
	config    Config
	client    *Client
	hub       *peer.Hub
	wake      chan struct{}
	started   bootclock.Time
	dutyPacer pacer

	mu           sync.Mutex
	lease        *Lease
	planner      *residency.Planner // nil unless this instance leads
	buckets      *leaderBuckets
	observedView *fleet.View // view last passed to the planner and the limits
	// placements are the models served by each engine. unsent holds the upstreams whose
	// change has not been sent to all instances yet.
	placements map[string]residency.Placement
	unsent     map[string]struct{}
	// sends holds the buckets of limited upstreams while this instance leads, and
	// unsentLimits the changed limits that have not been sent to all instances yet.
	sends        *upstreamlimit.Buckets
	unsentLimits map[upstreamlimit.ID]struct{}
	// places admits requests to contended upstreams while this instance leads.
	places *places
	// quarantineChanged is set if the verdicts or the evidence about causes of crashes have
	// changed since they were last judged.
	quarantineChanged bool
	// savedVerdicts is the row with the verdicts that was last written, and sentEntries
	// the signature of the entries that were last sent to all instances.
	savedVerdicts, sentEntries string
	// origins is what this instance has saved of origins while it leads.
	origins originState
	// usage is what a leader needs for usage reports.
	usage usageState
	// scale is what a leader needs to decide on the numbers of upstreams.
	scale scaleState
	// versionsRow is the version of the row with the software versions, as last read or
	// written.
	versionsRow int64
	// nextOriginsRead is the earliest time of the next read of saved origins without a
	// leader, and originsReadFailed when one last failed.
	nextOriginsRead, originsReadFailed bootclock.Time
	readingOrigins                     bool
	// sentCrashesAt is when the crashes that this instance has observed itself were last
	// sent to all instances, 0 if not in this term.
	sentCrashesAt bootclock.Time
	// sharedSecret is the secret with which instances authenticate each other, and
	// secretEra the era of the store in which its row is known to exist.
	sharedSecret string
	secretEra    int64
	// waiters are the instances that have reported waiting requests since the last
	// planning.
	waiters         map[string]struct{}
	lastPush        bootclock.Time
	wakePending     bool           // whether wakeAfter has scheduled a wake-up
	lastHeartbeat   bootclock.Time // when the last heartbeat was sent to all instances
	relayProgress   map[string]*relayProgress
	lastRelay       bootclock.Time            // when table changes were last relayed to all instances
	relayedVersions []int64                   // versions of the sources at that time
	reports         map[string]instanceReport // last report of each instance
	sentPeers       []string                  // addresses of all instances, as last sent to them
	nextLeaseRead   bootclock.Time
	// leaseRowStale is set if the lease row may have changed since it was read.
	leaseRowStale bool
	leading       bool
	// announceTo are the addresses that a new leader dials to announce itself.
	announceTo   []string
	leadingSince bootclock.Time // when this instance began to lead
	nextRenewal  bootclock.Time // earliest time of the next renewal
	nextOffer    bootclock.Time // earliest time of the next offer of the lease
	// freeSince is when a weak instance first saw the lease free.
	freeSince bootclock.Time
	// resigned is set once the instance has given up leading. It still follows other
	// leaders.
	resigned bool
}

// New returns a coordinator that is not running. Start creates its hub.
func New(config Config) *Coordinator {
	c := &Coordinator{
		config: config, wake: make(chan struct{}, 1), started: bootclock.Now(),
		lease: NewLease(config.Instance, config.Boot, config.Address, config.LeaseGap),
	}
	c.buckets = &leaderBuckets{lease: c.lease, bounds: config.Bounds}
	c.client = newClient(c)
	c.origins = newOriginState(0)
	c.initUsage()
	return c
}

// Client returns the instance's client of the leader.
func (c *Coordinator) Client() *Client { return c.client }

// Notify makes the coordinator run its next step without waiting for the tick.
func (c *Coordinator) Notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Start reads the secret with which instances authenticate each other and creates
// the hub. It retries until ctx ends.
func (c *Coordinator) Start(ctx context.Context) (*peer.Hub, error) {
	for {
		secret, err := c.secret(ctx)
		if err == nil {
			c.hub = c.newHub(secret)
			return c.hub, nil
		}
		c.config.Log.WithError(err).Warn("shared secret not read from the store; retrying")
		if !duration.Sleep(ctx, leaseReadInterval) {
			return nil, ctx.Err()
		}
	}
}

func (c *Coordinator) newHub(secret string) *peer.Hub {
	self := peer.Identity{Instance: c.config.Instance, Incarnation: c.config.Boot, DataCentre: c.config.DataCentre}
	hub := peer.NewHub(self, secret, c.config.Log)
	hub.DialImmediately()
	hub.SetAddress(c.config.Address)
	hub.Handle(peer.KindDemandReport, c.handleDemandReport)
	hub.Handle(peer.KindTakeTokens, handleCall(c.take))
	hub.Handle(peer.KindLoadAdapter, handleCall(c.loadAdapter))
	hub.Handle(peer.KindHeartbeat, c.client.handleHeartbeat)
	hub.Handle(peer.KindHandover, c.handleHandover)
	hub.Handle(peer.KindPlacements, c.client.handlePlacements)
	hub.Handle(peer.KindUpstreamLimit, c.handleUpstreamLimit)
	hub.Handle(peer.KindTakeSend, handleCall(c.takeSend))
	hub.Handle(peer.KindTakePlace, c.handleTakePlace)
	hub.Handle(peer.KindTakeTrial, handleCall(c.takeTrial))
	hub.Handle(peer.KindOrigins, c.handleOrigins)
	hub.Handle(peer.KindFindOrigin, handleCall(c.findOrigin))
	hub.Handle(peer.KindListOrigins, handleCall(c.client.listOrigins))
	hub.OnChange(c.linkChanged)
	return hub
}

// secret reads the shared secret. The first instance creates it.
func (c *Coordinator) secret(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Read(ctx, Table)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	err = c.lease.RecordRead(sent, bootclock.Now(), page)
	c.mu.Unlock()
	if err != nil {
		return "", err
	}
	c.applySavedVerdicts(page)
	c.applySavedVersions(page)
	if secret := findSecret(page); secret != "" {
		c.recordSecret(secret, page.Era)
		return secret, nil
	}
	if page.Era > firstEra && bootclock.Since(c.started) < secretWait {
		return "", errSecretLost
	}
	fresh := make([]byte, 32)
	rand.Read(fresh) //nolint:errcheck // crypto/rand.Read never fails.
	secret := hex.EncodeToString(fresh)
	page, err = c.config.Store.Commit(ctx, ports.Change{Table: Table, Key: secretKey, Value: []byte(secret)})
	if errors.Is(err, ports.ErrConflict) {
		if secret := findSecret(page); secret != "" {
			c.recordSecret(secret, page.Era)
			return secret, nil
		}
	}
	if err == nil {
		c.recordSecret(secret, page.Era)
	}
	return secret, err
}

// errSecretLost means that the store has come back from a copy without the secret, which
// the leader writes again.
var errSecretLost = errors.New("the store has lost the secret")

func (c *Coordinator) recordSecret(secret string, era int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedSecret, c.secretEra = secret, era
}

// rewriteRows writes the rows again that the store lost when it came back from a copy. It
// is for the leader.
func (c *Coordinator) rewriteRows(ctx context.Context) {
	c.mu.Lock()
	era, due := c.lease.Era(), c.leading && c.lease.Era() > c.secretEra
	secret := c.sharedSecret
	if due {
		c.secretEra = era
		c.savedVerdicts, c.quarantineChanged = unsaved, true
		c.origins.savedVersions, c.origins.position = unsaved, 0
	}
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := c.config.Store.Commit(ctx, ports.Change{Table: Table, Key: secretKey, Value: []byte(secret)})
	switch {
	case err == nil:
		c.config.Log.WithField("era", era).Info("shared secret written again")
	case errors.Is(err, ports.ErrConflict):
		if findSecret(page) != secret {
			c.config.Log.WithField("era", era).Error("the store has another shared secret; instances that started after it came back can't connect")
		}
	default:
		c.config.Log.WithError(err).Warn("shared secret not written again; retrying")
		c.mu.Lock()
		c.secretEra = era - 1
		c.mu.Unlock()
	}
}

func findSecret(page ports.Page) string {
	for _, r := range page.Rows {
		if r.Table == Table && r.Key == secretKey {
			return string(r.Value)
		}
	}
	return ""
}

// Run contends for the lease and leads while it is held, until ctx ends. It then
// releases the lease.
func (c *Coordinator) Run(ctx context.Context) {
	go c.client.reportDemand(ctx)
	go c.client.reportOrigins(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.step(ctx)
		duration.Sleep(ctx, minStepInterval)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-ticker.C:
		}
	}
	c.finishUsage()
	c.release()
}

func (c *Coordinator) step(ctx context.Context) {
	now := bootclock.Now()
	c.mu.Lock()
	held, own, until := c.lease.Held(now), c.lease.OwnsRow(), c.lease.until
	if c.leading && !held {
		c.stepDown("lease expired")
		c.sendToAll(&update{Token: c.lease.Token(), Resigned: true})
	}
	resigned := c.resigned
	offer := c.shouldOffer(now)
	c.mu.Unlock()
	if offer && c.handOver(ctx) {
		return
	}
	switch {
	case own && resigned:
		c.release()
	case own && held:
		if until.Sub(now) < leaseTerm-renewInterval && now.After(c.nextRenewal) {
			c.nextRenewal = now.Add(renewRetry)
			c.contend(ctx)
		}
	case !own && c.client.leaderAlive(now):
		c.freeSince = 0
	default:
		c.watchLease(ctx, now)
	}
	c.lead(ctx)
	c.rewriteRows(ctx)
	c.judge(bootclock.Now())
	c.saveVersions(bootclock.Now())
	c.requestOrigins(bootclock.Now())
	c.saveOrigins(bootclock.Now())
	c.runUsage(ctx, bootclock.Now())
	c.client.endDepartures(bootclock.Now())
}
