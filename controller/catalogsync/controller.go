package catalogsync

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/freshness"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Peers is the part of the peer hub that the controller uses.
type Peers interface {
	Connected() []peer.Identity
	Call(ctx context.Context, instance string, kind peer.Kind, request, answer any) error
}

// Push is the message that carries a catalogue to a peer.
type Push struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
}

// Fetch is the empty request for a peer's catalogue, and for its freshness.
type Fetch struct{}

// Controller keeps the catalogue of one instance current. Its methods are safe
// for concurrent use.
type Controller struct {
	store      store
	weights    ports.WeightStore
	peers      Peers
	members    func() int
	self       string
	relays     func() []string
	staleAfter time.Duration
	poll       time.Duration
	log        log.Interface

	adoptMu sync.Mutex // serialises adoptions together with their callbacks

	mu        sync.Mutex
	stored    *catalog.Index  // the tables as stored
	index     *catalog.Index  // stored, with leaving upstreams marked
	leaving   map[string]bool // addresses of leaving upstreams
	body      []byte
	tracker   freshness.Tracker
	changed   chan struct{}
	onAdopt   []func(*catalog.Index)
	confirmed map[string]uint64 // highest version that each peer has confirmed
}

// Config holds the dependencies and settings of a Controller.
type Config struct {
	Table   ports.Table
	Objects ports.ObjectStore
	// Weights is the weight store in which edits look up new checkpoints; nil
	// skips the check.
	Weights ports.WeightStore
	Peers   Peers
	// Members returns the number of members, including this instance.
	Members func() int
	// Self is this instance's name. Relays returns the names of the instances that
	// read the table on behalf of its data centre.
	Self   string
	Relays func() []string
	// StaleAfter is the maximum age of the freshness proof while keyed requests
	// are served.
	StaleAfter time.Duration
	// Poll is the interval between two refreshes.
	Poll time.Duration
	Log  log.Interface
}

// New returns a controller without a catalogue.
func New(c Config) *Controller {
	return &Controller{
		store: store{table: c.Table, objects: c.Objects}, weights: c.Weights, peers: c.Peers, members: c.Members, self: c.Self, relays: c.Relays,
		staleAfter: c.StaleAfter, poll: c.Poll, log: c.Log,
		changed: make(chan struct{}), confirmed: map[string]uint64{},
	}
}

// OnAdopt registers a callback for every new index, that is, for new versions and
// for changes of the leaving marks. It must be called before Run.
func (c *Controller) OnAdopt(callback func(*catalog.Index)) { c.onAdopt = append(c.onAdopt, callback) }

// Current returns the current index, nil before the first one, and a channel
// that is closed when a newer one takes effect.
func (c *Controller) Current() (*catalog.Index, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index, c.changed
}

// Fresh reports whether keyed requests may be served, that is, whether the latest
// freshness proof is at most StaleAfter old.
func (c *Controller) Fresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, ok := c.tracker.Age(now)
	return ok && age <= c.staleAfter
}

// Age returns the age of the latest freshness proof, and false if there is none.
func (c *Controller) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Age(now)
}

// Run refreshes the catalogue periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.poll)
	defer ticker.Stop()
	for {
		c.refreshOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refreshOnce tries to prove that the version is current. An instance that is not
// a relay queries the relays of its data centre, so that the number of table reads
// does not grow with the number of instances. It reads the table itself once
// after its start, which makes it a voter, and whenever the relays have no fresh
// proof.
func (c *Controller) refreshOnce(ctx context.Context) {
	if relays := c.relays(); c.freshnessAnswer().Voter && !slices.Contains(relays, c.self) {
		relayAge := c.queryFreshness(ctx, relays)
		// If a newer version could not be fetched, the instance's own proof is old.
		if ownAge, ok := c.Age(time.Now()); ok && max(ownAge, relayAge) <= maxRelayAgePolls*c.poll {
			return
		}
	}
	if _, _, err := c.readTable(ctx); err != nil {
		c.log.WithError(err).Debug("catalogue row not read")
		c.queryFreshness(ctx, c.connectedPeers())
	}
}

// maxRelayAgePolls is the maximum age of a relay's proof in poll intervals. A
// relay reads the table once per interval; one lost answer is tolerated.
const maxRelayAgePolls = 2

// readTable reads the catalogue row, adopts a newer version, and returns the row's
// pointer and revision.
func (c *Controller) readTable(ctx context.Context) (pointer, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	head, revision, err := c.store.head(ctx)
	if err != nil {
		return pointer{}, 0, err
	}
	if head.Version > c.version() {
		body, err := c.fetchBody(ctx, head)
		if err != nil {
			return pointer{}, 0, err
		}
		if err := c.adopt(head.Version, head.Digest, body); err != nil {
			return pointer{}, 0, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.TableRead(sent, head.Version)
	return head, revision, nil
}

// fetchBody reads a catalogue body from the object store or, if that fails, from
// a connected peer that serves it.
func (c *Controller) fetchBody(ctx context.Context, head pointer) ([]byte, error) {
	body, err := c.store.body(ctx, head.Digest)
	if err == nil {
		return body, nil
	}
	for _, instance := range c.connectedPeers() {
		var push Push
		if c.peers.Call(ctx, instance, peer.KindCatalogFetch, Fetch{}, &push) == nil && push.Digest == head.Digest {
			return push.Body, nil
		}
	}
	return nil, err
}

func (c *Controller) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stored.Version()
}

// adopt verifies a catalogue and makes it current if its version is newer. Older
// and equal versions are ignored.
func (c *Controller) adopt(version uint64, digest string, body []byte) error {
	if version <= c.version() {
		return nil
	}
	index, err := decode(digest, body)
	if err != nil {
		return err
	}
	if index.Version() != version {
		return errors.New("version in catalogue body differs from the announced version")
	}
	c.adoptMu.Lock()
	defer c.adoptMu.Unlock()
	if version <= c.version() {
		return nil
	}
	c.mu.Lock()
	c.stored, c.body = index, body
	c.tracker.Adopted(version)
	c.mu.Unlock()
	c.log.WithFields(log.Fields{"version": version, "digest": digest}).Info("catalogue version adopted")
	c.publishIndex()
	return nil
}

// SetLeaving marks the upstreams at the given addresses, which the platform lists
// as leaving, in the current index. The stored tables are not changed.
func (c *Controller) SetLeaving(addresses map[string]bool) {
	c.adoptMu.Lock()
	defer c.adoptMu.Unlock()
	c.mu.Lock()
	same := maps.Equal(c.leaving, addresses)
	c.leaving = addresses
	held := c.stored != nil
	c.mu.Unlock()
	if !same && held {
		c.publishIndex()
	}
}

// publishIndex makes the stored index with the leaving marks current and runs the
// callbacks. The caller holds adoptMu, so that callbacks receive versions in order.
func (c *Controller) publishIndex() {
	c.mu.Lock()
	index := c.stored.WithLeaving(c.leaving)
	c.index = index
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	for _, callback := range c.onAdopt {
		callback(index)
	}
}

// connectedPeers returns the names of the instances with an established link.
func (c *Controller) connectedPeers() []string {
	var names []string
	for _, id := range c.peers.Connected() {
		names = append(names, id.Instance)
	}
	return names
}

// queryFreshness sends freshness queries to the instances and fetches a newer
// version if one of them has it. It returns the age of the most recent proof among
// the answers, or the maximum duration if there is none.
func (c *Controller) queryFreshness(ctx context.Context, instances []string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	answers := c.collectAnswers(ctx, instances)
	list := make([]freshness.Answer, 0, len(answers))
	var newest string
	var highest uint64
	youngest := time.Duration(math.MaxInt64)
	for instance, a := range answers {
		list = append(list, a)
		if a.Proved {
			youngest = min(youngest, a.Age)
		}
		if a.Version > highest {
			newest, highest = instance, a.Version
		}
	}
	if highest > c.version() {
		c.fetchFrom(ctx, newest)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.EvaluateAnswers(sent, c.members(), list)
	return youngest
}

// collectAnswers queries the freshness of the instances concurrently and returns
// the answers by instance. Instances that do not answer are omitted.
func (c *Controller) collectAnswers(ctx context.Context, instances []string) map[string]freshness.Answer {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]freshness.Answer{}
	for _, instance := range instances {
		wg.Go(func() {
			var a freshness.Answer
			if c.peers.Call(ctx, instance, peer.KindFreshness, Fetch{}, &a) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[instance] = a
		})
	}
	wg.Wait()
	return answers
}

func (c *Controller) fetchFrom(ctx context.Context, instance string) {
	var push Push
	if err := c.peers.Call(ctx, instance, peer.KindCatalogFetch, Fetch{}, &push); err != nil {
		return
	}
	if err := c.adopt(push.Version, push.Digest, push.Body); err != nil {
		c.log.WithError(err).WithField("peer", instance).Warn("catalogue from peer rejected")
	}
}
