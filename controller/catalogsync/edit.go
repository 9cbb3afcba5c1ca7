package catalogsync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/freshness"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// confirmTimeout is the maximum time to wait for confirmations of an edit.
const confirmTimeout = 2 * time.Second

// ErrVersion means that the edit was not based on the current version. The edit
// has not been applied.
var ErrVersion = errors.New("the tables have changed since that version")

// Result is the propagation state of a committed edit.
type Result struct {
	Version uint64 `json:"version"`
	// Accepted is set if a majority plus one of the members has confirmed the
	// version. An edit that is committed but not accepted still propagates.
	Accepted bool `json:"accepted"`
	// Confirmed and Missing list the peers that have confirmed the version and
	// those that have failed to.
	Confirmed []string `json:"confirmed"`
	Missing   []string `json:"missing"`
}

// Edit applies change to the current catalogue if its version is base, and
// waits for confirmations. Errors wrap ErrVersion, catalog.Errors,
// ports.ErrNotApplied or ports.ErrUnknown.
func (c *Controller) Edit(ctx context.Context, base uint64, change func(*catalog.Catalog)) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	head, revision, err := c.readTable(ctx)
	if err != nil {
		return Result{}, errors.Join(ports.ErrNotApplied, err)
	}
	current := c.Stored()
	if head.Version != base || current.Version() != base {
		return Result{}, ErrVersion
	}
	edited := applyChange(current, base, change)
	if err := edited.Validate(); err != nil {
		return Result{}, err
	}
	if err := c.checkCheckpoints(ctx, current, edited); err != nil {
		return Result{}, err
	}
	body, err := edited.Encode()
	if err != nil {
		return Result{}, err
	}
	next := pointer{Version: edited.Version, Digest: catalog.Digest(body)}
	if err := c.store.commit(ctx, revision, next, body); err != nil {
		if errors.Is(err, ports.ErrConflict) {
			return Result{}, ErrVersion
		}
		return Result{}, err
	}
	if err := c.adopt(next.Version, next.Digest, body); err != nil {
		return Result{}, err
	}
	return c.confirm(ctx, Push{Version: next.Version, Digest: next.Digest, Body: body}), nil
}

// Refresh reads the table immediately. Without it, this instance might not have
// received an edit that another instance has just accepted, and an operator's
// next edit would be refused as based on an old version.
func (c *Controller) Refresh(ctx context.Context) {
	if _, _, err := c.readTable(ctx); err != nil {
		c.log.WithError(err).Debug("catalogue row not read")
	}
}

// Stored returns the index of the stored tables, without the leaving marks of the
// platform. It is nil before the first version.
func (c *Controller) Stored() *catalog.Index {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stored
}

// applyChange returns a copy of the current tables with a change and defaults
// applied.
func applyChange(current *catalog.Index, base uint64, change func(*catalog.Catalog)) *catalog.Catalog {
	edited := &catalog.Catalog{}
	if current != nil {
		edited.Routes = slices.Clone(current.Catalog.Routes)
		edited.Pools = slices.Clone(current.Catalog.Pools)
	}
	change(edited)
	edited.Version = base + 1
	edited.ApplyDefaults()
	return edited
}

// confirm pushes a version to all peers. It returns when a majority plus one of
// the members, or all of them if there are fewer, has confirmed the version, when
// every call has ended, or after confirmTimeout.
func (c *Controller) confirm(ctx context.Context, push Push) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	needed := min(freshness.Majority(c.members())+1, c.members())
	result := Result{Version: push.Version}
	var mu sync.Mutex
	votes := 0
	if c.freshnessAnswer().Voter {
		votes++
	}
	quorumReached := make(chan struct{})
	allAnswered := make(chan struct{})
	var wg sync.WaitGroup
	for _, instance := range c.connectedPeers() {
		wg.Go(func() {
			var a freshness.Answer
			err := c.peers.Call(ctx, instance, peer.KindCatalogPush, push, &a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || a.Version < push.Version {
				result.Missing = append(result.Missing, instance)
				return
			}
			result.Confirmed = append(result.Confirmed, instance)
			c.recordConfirmed(instance, a.Version)
			if a.Voter {
				votes++
			}
			if votes == needed && a.Voter {
				close(quorumReached)
			}
		})
	}
	go func() {
		wg.Wait()
		cancel()
		close(allAnswered)
	}()
	select {
	case <-quorumReached:
	case <-allAnswered:
	}
	mu.Lock()
	defer mu.Unlock()
	result.Accepted = votes >= needed
	return Result{
		Version: result.Version, Accepted: result.Accepted,
		Confirmed: slices.Sorted(slices.Values(result.Confirmed)), Missing: slices.Sorted(slices.Values(result.Missing)),
	}
}

func (c *Controller) recordConfirmed(instance string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed[instance] = max(c.confirmed[instance], version)
}

func (c *Controller) freshnessAnswer() freshness.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Answer(time.Now())
}

// Versions queries the version that each connected peer serves. Peers that do not
// answer are omitted.
func (c *Controller) Versions(ctx context.Context) map[string]uint64 {
	versions := map[string]uint64{}
	for instance, a := range c.collectAnswers(ctx, c.connectedPeers()) {
		versions[instance] = a.Version
	}
	return versions
}

// Register installs the handlers for the controller's messages on the hub.
func (c *Controller) Register(hub *peer.Hub) {
	hub.Handle(peer.KindCatalogPush, c.handlePush)
	hub.Handle(peer.KindCatalogFetch, c.handleFetch)
	hub.Handle(peer.KindFreshness, func(context.Context, peer.Identity, []byte) (any, error) { return c.freshnessAnswer(), nil })
}

func (c *Controller) handlePush(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var push Push
	if err := cbor.Unmarshal(body, &push); err != nil {
		return nil, err
	}
	if err := c.adopt(push.Version, push.Digest, push.Body); err != nil {
		return nil, err
	}
	return c.freshnessAnswer(), nil
}

func (c *Controller) handleFetch(context.Context, peer.Identity, []byte) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stored == nil {
		return nil, errors.New("no catalogue version held")
	}
	return Push{Version: c.stored.Version(), Digest: c.stored.Digest, Body: c.body}, nil
}
