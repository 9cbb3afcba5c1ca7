package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/bootclock"
	"github.com/hibiscusyard/hibiscusyard/fleet"
	"github.com/hibiscusyard/hibiscusyard/peer"
	"github.com/hibiscusyard/hibiscusyard/ports"
	"github.com/hibiscusyard/hibiscusyard/quota"
	"github.com/hibiscusyard/hibiscusyard/residency"
)

const (
	// tick is the longest time between two looks at the plan and the lease.
	tick = 100 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = time.Second
	// renewTimeout bounds one renewal of the lease, so that a lost one is noticed
	// before the lease ends. A store that is 50 times slower than usual answers a
	// transaction in 450 ms.
	renewTimeout = 900 * time.Millisecond
	// orderTimeout bounds the wait for an answer to an order.
	orderTimeout = time.Second
	// heartbeatShare is how often the leader sends its state without a change, as
	// a share of the shortest bound.
	heartbeatShare = 0.2
	// leaderSilence is how long a leader may be silent before its link is
	// dropped and the lease row is read.
	leaderSilence = 1400 * time.Millisecond
	// handOverAfter is how long after its last renewal a leader that has lost the
	// store offers the lease to another instance.
	handOverAfter = renewEvery + renewTimeout
	// lookEvery is the time between two reads of the lease row while there is
	// no leader; half of it is random, so that instances do not read together.
	lookEvery = 500 * time.Millisecond
	// pushGap collects changes of what is served.
	pushGap = 30 * time.Millisecond
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
	// lookers is the number of weak instances that read the lease row each
	// lookEvery. A new leader makes itself known to the others.
	lookers = 8
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
	pushed  map[string]residency.Placement
	pushAt  bootclock.Time
	// readySent are the models of which the expected time was sent last.
	readySent []modelKey
	pulsed    bootclock.Time // when all instances were sent a pulse
	told      map[string]*told
	beats     map[string]beat // last word of each instance
	peers     []string        // addresses of all instances, as last sent
	looked    bootclock.Time
	leading   bool
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
		if !sleep(ctx, lookEvery) {
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
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-ticker.C:
		}
	}
	c.release()
}

// Resign gives the lease up for good, before the instance is shut down. It
// goes on following other leaders until Run ends.
func (c *Coordinator) Resign() {
	c.mu.Lock()
	c.resigned = true
	leading := c.leading
	c.mu.Unlock()
	if leading && c.hub != nil && c.handOver(context.Background()) {
		return
	}
	c.release()
}

func (c *Coordinator) hasResigned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resigned
}

// lookSoon makes the coordinator look for a leader at once.
func (c *Coordinator) lookSoon() {
	c.mu.Lock()
	c.looked = 0
	c.mu.Unlock()
	c.Notify()
}

// release gives the lease up, so that another instance need not wait for its end.
func (c *Coordinator) release() {
	c.mu.Lock()
	change, ok := c.lease.Release(bootclock.Now())
	token := c.lease.Token()
	c.stepDown("released")
	c.mu.Unlock()
	if !ok {
		return
	}
	// The others look at the row as soon as they are told.
	defer c.tell(&update{Token: token, Resigned: true})
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Commit(ctx, change)
	if err != nil {
		c.config.Log.WithError(err).Warn("lease not released; it ends by itself")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Written(sent, bootclock.Now(), page, err)
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

// offers reports whether the lease is to be offered to another instance now:
// because it can't be renewed, or because this instance is weak and another one
// is not. The caller holds mu.
func (c *Coordinator) offers(now bootclock.Time) bool {
	if !c.leading || now.Before(c.offerAt) {
		return false
	}
	strong := false
	for _, b := range c.beats {
		strong = strong || !b.Weak
	}
	yields := c.config.Weak && strong && now.Sub(c.since) > yieldAfter
	// A renewal whose answer was lost counts once the row shows it, and a store
	// that is read will also be written.
	reached := now.Sub(c.lease.received) < renewTimeout+renewRetry
	if !yields && (reached || c.lease.until.Sub(now) >= leaseTerm-handOverAfter) {
		return false
	}
	c.offerAt = now.Add(offerRetry)
	return true
}

// lookAround reads the lease row, follows its holder and takes the lease if it
// has ended.
func (c *Coordinator) lookAround(ctx context.Context, now bootclock.Time) {
	c.mu.Lock()
	early := c.looked != 0 && now.Before(c.looked)
	c.mu.Unlock()
	if early {
		return
	}
	pause := lookEvery
	if c.config.Weak {
		pause = lookEvery * time.Duration(max(c.client.Members(), lookers)) / lookers
	}
	c.mu.Lock()
	c.looked = now.Add(pause/2 + mathrand.N(pause))
	c.mu.Unlock()
	c.read(ctx)
	c.contend(ctx)
	c.follow(ctx)
	c.mu.Lock()
	if free := c.lease.FreeIn(bootclock.Now()); free > 0 && !c.config.Weak {
		// Looks again when the lease ends, and no sooner.
		c.looked = min(c.looked.Add(free), now.Add(free+mathrand.N(freeSpread)))
	}
	c.mu.Unlock()
}

// follow keeps the link to the holder of the lease.
func (c *Coordinator) follow(ctx context.Context) {
	c.mu.Lock()
	record, ok := c.lease.Record()
	mine := c.lease.Mine()
	c.mu.Unlock()
	if !ok || mine || record.Address == c.config.Address {
		c.hub.SetTargets(ctx, nil)
		return
	}
	c.client.follow(record)
	c.hub.SetTargets(ctx, []string{record.Address})
}

func (c *Coordinator) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := bootclock.Now()
	page, err := c.config.Store.Read(ctx, Table)
	if err != nil {
		c.config.Log.WithError(err).Info("lease row not read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.lease.Seen(sent, bootclock.Now(), page); err != nil {
		c.config.Log.WithError(err).Error("lease row not understood")
	}
}

// contend renews the lease or takes it if it is free.
func (c *Coordinator) contend(ctx context.Context) {
	c.mu.Lock()
	unsettled, resigned := c.lease.Unsettled(), c.resigned
	c.mu.Unlock()
	if resigned {
		return
	}
	if unsettled {
		c.read(ctx)
	}
	sent := bootclock.Now()
	c.mu.Lock()
	change, ok := c.lease.Propose(sent)
	if ok && !c.lease.Mine() && c.config.Weak {
		if c.freeSince == 0 {
			c.freeSince = sent
		}
		if sent.Sub(c.freeSince) < weakDelay {
			c.lease.Withdraw()
			ok = false
		}
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	page, err := c.config.Store.Commit(ctx, change)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Written(sent, bootclock.Now(), page, err)
	if err != nil {
		c.config.Log.WithError(err).Info("lease not written")
	}
}

// stepDown ends the duties of a leader. The caller holds mu.
func (c *Coordinator) stepDown(reason string) {
	if !c.leading {
		return
	}
	c.leading, c.planner, c.central, c.seen = false, nil, nil, nil
	c.client.lost()
	c.config.Log.WithFields(log.Fields{"reason": reason, "token": c.lease.Token()}).Info("leadership ended")
}

// lead plans and sends orders while the lease is held.
func (c *Coordinator) lead(ctx context.Context) {
	now := bootclock.Now()
	c.mu.Lock()
	if !c.lease.Held(now) {
		c.mu.Unlock()
		return
	}
	if !c.leading {
		c.begin(now)
	}
	if v := c.config.View(); v != c.seen && v.Config != nil {
		c.seen = v
		c.planner.Observe(now, v)
		c.central.SetLimits(now, limits(v.Config))
	}
	var ask []*fleet.Upstream
	var orders []residency.Order
	if c.lease.MayOrder(now) {
		ask = c.planner.Unsure(now)
		orders = c.planner.Plan(now)
	}
	token, announce := c.lease.Token(), c.announce
	c.announce = nil
	update, full := c.update(now)
	c.mu.Unlock()
	if announce != nil {
		c.hub.SetTargets(ctx, announce)
	}
	if update != nil {
		c.push(update, full)
	}
	c.pulse(now)
	for _, u := range ask {
		go c.ask(ctx, u)
	}
	for _, o := range orders {
		go c.order(ctx, o, token)
	}
}

func (c *Coordinator) begin(now bootclock.Time) {
	c.leading, c.since = true, now
	c.planner = residency.NewPlanner(c.config.StoreParallel)
	c.central = quota.NewCentral(c.config.Bounds, c.lease.FirstEver())
	if c.levels != nil && c.levelsToken+1 == c.lease.Token() {
		c.central.Restore(c.levels)
	}
	c.levels = nil
	c.pushed, c.seen, c.beats, c.peers, c.readySent = nil, nil, map[string]beat{}, nil, nil
	c.told = map[string]*told{}
	c.announce = c.client.peerAddresses()
	c.config.Log.WithFields(log.Fields{"token": c.lease.Token(), "orders_in_ms": max(c.lease.ordersAt.Sub(now).Milliseconds(), 0)}).Info("leadership taken")
}

func limits(config *fleet.Config) []quota.CentralLimit {
	list := make([]quota.CentralLimit, 0, len(config.Workspaces))
	for _, w := range config.Workspaces {
		if w.Limited() {
			list = append(list, quota.CentralLimit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
		}
	}
	return list
}

// ask gets the report of an upstream whose state is in doubt.
func (c *Coordinator) ask(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	asked := bootclock.Now()
	report, err := c.config.Engines.Report(ctx, u.ID, u.Address)
	if err != nil {
		c.config.Log.WithError(err).WithField("upstream", u.ID).Info("report not received")
		return
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.Reported(bootclock.Now(), asked, u.ID, u.Started, report)
	}
	c.mu.Unlock()
	c.Notify()
}

// order sends one order. The lease is checked right before, since the process
// may have been suspended since the decision.
func (c *Coordinator) order(ctx context.Context, o residency.Order, token uint64) residency.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.mu.Lock()
	may := c.lease.MayOrder(bootclock.Now()) && c.lease.Token() == token
	c.mu.Unlock()
	outcome, err := residency.NotSent, error(nil)
	if may {
		outcome, err = c.config.Engines.Order(ctx, o, c.config.Instance, token)
	}
	c.mu.Lock()
	if c.planner != nil {
		c.planner.Sent(bootclock.Now(), o, outcome)
	}
	c.mu.Unlock()
	entry := c.config.Log.WithFields(log.Fields{
		"upstream": o.Upstream, "unload": o.Unload, "model": o.Model, "adapter": o.Adapter, "source": o.Source.String(),
		"sequence": o.Sequence, "token": token, "outcome": outcome.String(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("placement decision")
	c.config.Metrics.GetOrCreateCounter(`hibiscusyard_orders_total{outcome="` + outcome.String() + `"}`).Inc()
	c.Notify()
	return outcome
}

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
	if now.Sub(c.pushAt) < pushGap {
		time.AfterFunc(pushGap, c.Notify)
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

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
