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
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// tick is the longest time between two looks at the plan and the lease.
	tick = 100 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = time.Second
	// renewTimeout bounds one renewal of the lease, so that a lost one is noticed
	// before the lease ends. A store that is 50 times slower than usual answers a
	// transaction in 450 ms.
	renewTimeout = 600 * time.Millisecond
	// settleAfter is when the row is read to see whether a write of it whose answer
	// is late has been done; a usual one takes some milliseconds.
	settleAfter = 250 * time.Millisecond
	// orderTimeout bounds the wait for an answer to an order.
	orderTimeout = time.Second
	// heartbeatShare is how often the leader sends its state without a change, as
	// a share of the shortest bound.
	heartbeatShare = 0.2
	// leaderSilence is how long a leader may be silent before its link is
	// dropped and the lease row is read.
	leaderSilence = 1200 * time.Millisecond
	// handOverAfter is how long after its last renewal a leader that has lost the
	// store offers the lease to another instance.
	handOverAfter = renewEvery + renewTimeout
	// lookEvery is the time between two reads of the lease row while there is
	// no leader; half of it is random, so that instances do not read together.
	lookEvery = 500 * time.Millisecond
	// minPushGap collects changes of what is served, pushGapPerInstance bounds the
	// messages of the leader to about 700 a second, and maxPushGap how old an
	// instance's knowledge is.
	minPushGap         = 30 * time.Millisecond
	pushGapPerInstance = 1500 * time.Microsecond
	maxPushGap         = 600 * time.Millisecond
	// lookGap is the least time between two looks at the plan. A look takes about
	// a millisecond at 60 engines, and questions for tokens wait meanwhile.
	lookGap = 5 * time.Millisecond
	// weakDelay is how long a weak instance leaves a free lease to others.
	weakDelay = 1500 * time.Millisecond
	// freeSpread is the time over which instances look at a lease that has ended.
	freeSpread = 100 * time.Millisecond
	// renewRetry is the pause after a renewal that failed, and offerRetry the one
	// after an offer that was declined.
	renewRetry = 150 * time.Millisecond
	offerRetry = 500 * time.Millisecond
	// yieldAfter is how long a weak instance leads before it offers the lease to
	// one that is not.
	yieldAfter = 2 * time.Second
	// lookers is the number of instances that read the lease row each lookEvery;
	// those that are not weak look once in maxLook at least. A new leader makes
	// itself known to the others.
	lookers = 8
	maxLook = time.Second
	// seenLately is the age of the row up to which it is not read again.
	seenLately = 300 * time.Millisecond
)

// Engines gives orders to upstreams.
type Engines interface {
	Order(ctx context.Context, o residency.Order, holder string, token uint64) (residency.Outcome, error)
	Report(ctx context.Context, id, address string) (residency.Report, error)
}

// Config describes one instance's part in the coordination.
type Config struct {
	Instance, Boot, Address, DataCentre string
	Store                               ports.RowStore
	Engines                             Engines
	View                                func() *fleet.View
	// Size estimates the number of instances, also while there is no leader.
	Size func() int
	// Sources are the tables that the leader relays to the other instances.
	Sources []Source
	Bounds  quota.CentralBounds
	// LeaseGap is the time in which two holders must not both give orders.
	LeaseGap time.Duration
	// ShortestBound is the time in which an instance has to act on what the store
	// says: on leaving upstreams and on changes of the desired state.
	ShortestBound time.Duration
	// Weak instances have little processor time or a slow link. They lead only
	// if no other instance does.
	Weak bool
	// StoreParallel is the number of loads that the weight store serves at
	// full speed at once.
	StoreParallel int
	Log           log.Interface
	Metrics       *metrics.Set
}

// Coordinator contends for the lease and acts while it holds it. The embedded
// Client is the instance's way to whoever holds it.
type Coordinator struct {
	config  Config
	client  *Client
	hub     *peer.Hub
	wake    chan struct{}
	started bootclock.Time

	mu      sync.Mutex
	lease   *Lease
	planner *residency.Planner // nil unless this instance leads
	central *quota.Central
	seen    *fleet.View // view that the planner and the limits are built from
	// placements are what the engines serve, and unsent the upstreams of which not
	// all instances have been told.
	placements map[string]residency.Placement
	unsent     map[string]struct{}
	// waiters are the instances that have reported waiting requests since the last
	// look at the plan.
	waiters map[string]struct{}
	pushAt  bootclock.Time
	waking  bool           // a look at the plan is due after the gap between pushes
	pulsed  bootclock.Time // when all instances were sent a pulse
	relayed map[string]*relayed
	newsAt  bootclock.Time  // when all instances were last told of changes
	newsOf  []int64         // versions of the sources then
	beats   map[string]beat // last word of each instance
	peers   []string        // addresses of all instances, as last sent
	looked  bootclock.Time
	// outdated says that the lease row has changed since it was read.
	outdated bool
	leading  bool
	// announce are the instances that a new leader dials to make itself known.
	announce []string
	since    bootclock.Time // when this instance began to lead
	renewAt  bootclock.Time // no renewal before then
	offerAt  bootclock.Time // no offer before then
	// freeSince is when a weak instance first saw the lease free.
	freeSince bootclock.Time
	// levels were handed over by the holder of a term.
	levels      map[string]float64
	levelsToken uint64
	// resigned instances follow others but lead no more.
	resigned bool
}

// New returns a coordinator that is not running. Its hub is made by Start.
func New(config Config) *Coordinator {
	c := &Coordinator{
		config: config, wake: make(chan struct{}, 1), started: bootclock.Now(),
		lease: NewLease(config.Instance, config.Boot, config.Address, config.LeaseGap),
	}
	c.client = newClient(c)
	return c
}

// Client returns the instance's way to the leader.
func (c *Coordinator) Client() *Client { return c.client }

// Notify makes the coordinator look at a changed view at once.
func (c *Coordinator) Notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Start reads the secret that instances authenticate each other with, and
// makes the hub. It tries until ctx ends.
func (c *Coordinator) Start(ctx context.Context) (*peer.Hub, error) {
	for {
		secret, err := c.secret(ctx)
		if err == nil {
			c.hub = c.newHub(secret)
			return c.hub, nil
		}
		c.config.Log.WithError(err).Warn("secret of the instances not read; trying again")
		if !duration.Sleep(ctx, lookEvery) {
			return nil, ctx.Err()
		}
	}
}

func (c *Coordinator) newHub(secret string) *peer.Hub {
	self := peer.Identity{Instance: c.config.Instance, Incarnation: c.config.Boot, DataCentre: c.config.DataCentre}
	hub := peer.NewHub(self, secret, c.config.Log)
	hub.DialFirst()
	hub.SetAddress(c.config.Address)
	hub.Handle(peer.KindNeeds, c.handleNeeds)
	hub.Handle(peer.KindTakeTokens, c.handleTake)
	hub.Handle(peer.KindLoadAdapter, c.handleAdapter)
	hub.Handle(peer.KindPulse, c.client.handlePulse)
	hub.Handle(peer.KindHandover, c.handleHandover)
	hub.Handle(peer.KindPlacements, c.client.handlePlacements)
	hub.OnChange(c.linkChanged)
	return hub
}

// secret reads the shared secret, or creates it with the first instance.
func (c *Coordinator) secret(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Read(ctx, Table)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	err = c.lease.Seen(sent, bootclock.Now(), page)
	c.mu.Unlock()
	if err != nil {
		return "", err
	}
	if secret := findSecret(page); secret != "" {
		return secret, nil
	}
	fresh := make([]byte, 32)
	rand.Read(fresh) //nolint:errcheck // crypto/rand.Read never fails.
	secret := hex.EncodeToString(fresh)
	page, err = c.config.Store.Commit(ctx, ports.Change{Table: Table, Key: secretKey, Value: []byte(secret)})
	if errors.Is(err, ports.ErrConflict) {
		if secret := findSecret(page); secret != "" {
			return secret, nil
		}
	}
	return secret, err
}

func findSecret(page ports.Page) string {
	for _, r := range page.Rows {
		if r.Table == Table && r.Key == secretKey {
			return string(r.Value)
		}
	}
	return ""
}

// Run contends for the lease until ctx ends, then gives it up.
func (c *Coordinator) Run(ctx context.Context) {
	go c.client.run(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.step(ctx)
		duration.Sleep(ctx, lookGap)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-ticker.C:
		}
	}
	c.release()
}

func (c *Coordinator) step(ctx context.Context) {
	now := bootclock.Now()
	c.mu.Lock()
	held, mine, until := c.lease.Held(now), c.lease.Mine(), c.lease.until
	if c.leading && !held {
		c.stepDown("lease expired")
		c.tell(&update{Token: c.lease.Token(), Resigned: true})
	}
	resigned := c.resigned
	offer := c.offers(now)
	c.mu.Unlock()
	if offer && c.handOver(ctx) {
		return
	}
	switch {
	case mine && resigned:
		c.release()
	case mine && held:
		if until.Sub(now) < leaseTerm-renewEvery && now.After(c.renewAt) {
			c.renewAt = now.Add(renewRetry)
			c.contend(ctx)
		}
	case !mine && c.client.alive(now):
		c.freeSince = 0
	default:
		c.lookAround(ctx, now)
	}
	c.lead(ctx)
}
