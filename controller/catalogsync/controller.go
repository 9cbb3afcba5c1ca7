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

// Push carries a catalogue to a peer.
type Push struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
}

// Fetch asks a peer for the catalogue that it serves.
type Fetch struct{}

// Controller keeps the catalogue of one instance. Its methods are safe for
// concurrent use.
type Controller struct {
	store      store
	weights    ports.Weights
	peers      Peers
	members    func() int
	self       string
	relays     func() []string
	staleAfter time.Duration
	poll       time.Duration
	log        log.Interface

	adopting sync.Mutex // orders adoptions with their callbacks

	mu      sync.Mutex
	stored  *catalog.Index  // as operators wrote it
	index   *catalog.Index  // with the upstreams that are leaving marked
	leaving map[string]bool // addresses of upstreams
	body    []byte
	tracker freshness.Tracker
	changed chan struct{}
	onAdopt []func(*catalog.Index)
	known   map[string]uint64 // latest version that each peer has confirmed
}

// Config holds what a controller needs.
type Config struct {
	Table   ports.Table
	Objects ports.Objects
	// Weights is where edits look up new checkpoints; nil skips that.
	Weights ports.Weights
	Peers   Peers
	// Members returns the number of members, this instance included.
	Members func() int
	// Self is this instance's name, and Relays names the instances of its data
	// centre that read the table for the others.
	Self       string
	Relays     func() []string
	StaleAfter time.Duration
	Poll       time.Duration
	Log        log.Interface
}

// New returns a controller that holds no version yet.
func New(c Config) *Controller {
	return &Controller{
		store: store{table: c.Table, objects: c.Objects}, weights: c.Weights, peers: c.Peers, members: c.Members, self: c.Self, relays: c.Relays,
		staleAfter: c.StaleAfter, poll: c.Poll, log: c.Log,
		changed: make(chan struct{}), known: map[string]uint64{},
	}
}

// OnAdopt registers a callback for new versions. It must be called before Run.
func (c *Controller) OnAdopt(callback func(*catalog.Index)) { c.onAdopt = append(c.onAdopt, callback) }

// Current returns the index in force, nil before the first, and a channel
// that is closed when a newer one is adopted.
func (c *Controller) Current() (*catalog.Index, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index, c.changed
}

// Fresh reports whether keyed requests may be served: a version is held and
// its latest proof is young enough.
func (c *Controller) Fresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, ok := c.tracker.Age(now)
	return ok && age <= c.staleAfter
}

// Age returns the age of the latest proof.
func (c *Controller) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Age(now)
}

// Run polls until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.poll)
	defer ticker.Stop()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// round proves once that the version is current. An instance that is no relay
// asks the relays of its data centre, so that the table's reads do not grow
// with the number of instances; it reads the table itself once after its
// start, which makes it a voter, and whenever the relays have no fresh proof.
func (c *Controller) round(ctx context.Context) {
	if relays := c.relays(); c.answer().Voter && !slices.Contains(relays, c.self) {
		relayed := c.ask(ctx, relays)
		// A newer version that could not be fetched leaves the own proof old.
		if own, ok := c.Age(time.Now()); ok && max(own, relayed) <= relayedAge*c.poll {
			return
		}
	}
	if _, _, err := c.readTable(ctx); err != nil {
		c.log.WithError(err).Debug("catalogue row not read")
		c.ask(ctx, c.connected())
	}
}

// relayedAge is the greatest age of a relay's proof, in polls: a relay reads
// the table once a poll, with room for one lost answer.
const relayedAge = 2

// readTable reads the row, adopts a newer version, and returns what the row
// says with its revision.
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

// fetchBody reads a body from the object store, or from a peer that holds it
// if the store does not answer.
func (c *Controller) fetchBody(ctx context.Context, head pointer) ([]byte, error) {
	body, err := c.store.body(ctx, head.Digest)
	if err == nil {
		return body, nil
	}
	for _, instance := range c.connected() {
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

// adopt puts a newer version in force. Older and equal versions are ignored.
func (c *Controller) adopt(version uint64, digest string, body []byte) error {
	if version <= c.version() {
		return nil
	}
	index, err := decode(digest, body)
	if err != nil {
		return err
	}
	if index.Version() != version {
		return errors.New("catalogue body holds another version than its row")
	}
	c.adopting.Lock()
	defer c.adopting.Unlock()
	if version <= c.version() {
		return nil
	}
	c.mu.Lock()
	c.stored, c.body = index, body
	c.tracker.Adopted(version)
	c.mu.Unlock()
	c.log.WithFields(log.Fields{"version": version, "digest": digest}).Info("catalogue in force")
	c.apply()
	return nil
}

// SetLeaving marks the upstreams at the given addresses as leaving, as the
// platform's list says, in the index in force. The tables stay as they are.
func (c *Controller) SetLeaving(addresses map[string]bool) {
	c.adopting.Lock()
	defer c.adopting.Unlock()
	c.mu.Lock()
	same := maps.Equal(c.leaving, addresses)
	c.leaving = addresses
	held := c.stored != nil
	c.mu.Unlock()
	if !same && held {
		c.apply()
	}
}

// apply puts the stored index with the marks of leaving upstreams in force.
// The caller holds adopting, so that callbacks see versions in order.
func (c *Controller) apply() {
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

// connected names the instances with a working link.
func (c *Controller) connected() []string {
	var names []string
	for _, id := range c.peers.Connected() {
		names = append(names, id.Instance)
	}
	return names
}

// ask sends one round of freshness queries and fetches a newer version from an
// instance that has one. It returns the age of the youngest proof among the
// answers, or the longest duration without one.
func (c *Controller) ask(ctx context.Context, instances []string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	answers := c.collect(ctx, instances)
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
	c.tracker.Answers(sent, c.members(), list)
	return youngest
}

func (c *Controller) collect(ctx context.Context, instances []string) map[string]freshness.Answer {
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
		c.log.WithError(err).WithField("peer", instance).Warn("catalogue from peer refused")
	}
}
