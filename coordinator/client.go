package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/bootclock"
	"github.com/hibiscusyard/hibiscusyard/fleet"
	"github.com/hibiscusyard/hibiscusyard/peer"
	"github.com/hibiscusyard/hibiscusyard/residency"
	"github.com/hibiscusyard/hibiscusyard/verdict"
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

// need counts this instance's requests for one model.
type need struct {
	arrived   int
	deadlines map[int]bootclock.Time // of requests that wait
	running   map[string]int
	adapters  map[string]int // running requests; 0 for one used since the last report
}

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
	clear(l.ready)
	for _, r := range u.Ready {
		l.ready[modelKey{r.Service, r.Model}] = now.Add(r.In)
	}
	if u.Full || len(u.Changed) > 0 || len(u.Gone) > 0 {
		l.broadcast()
	}
	if object {
		l.hurry()
	}
}

// runsGoing reports whether requests run for a model that is about to be
// unloaded. The leader is told at once, as its last report may be too old to
// show them.
func (l *Client) runsGoing(p residency.Placement) bool {
	before, ok := l.placements[p.Upstream]
	if !ok || before.Started != p.Started {
		return false
	}
	for k, n := range l.needs {
		if n.running[p.Upstream] == 0 {
			continue
		}
		_, was := before.Models[k.model]
		if _, is := p.Models[k.model]; was && !is {
			return true
		}
	}
	return false
}

// hurry has the needs reported at once.
func (l *Client) hurry() {
	select {
	case l.urgent <- struct{}{}:
	default:
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

func (l *Client) need(service, model string) *need {
	k := modelKey{service, model}
	n := l.needs[k]
	if n == nil {
		n = &need{deadlines: map[int]bootclock.Time{}, running: map[string]int{}, adapters: map[string]int{}}
		l.needs[k] = n
	}
	return n
}

// Want implements gateway.Placement.
func (l *Client) Want(service, model string, deadline bootclock.Time) func() {
	l.mu.Lock()
	n := l.need(service, model)
	l.nextWait++
	id := l.nextWait
	n.deadlines[id] = deadline
	n.arrived++
	l.mu.Unlock()
	l.hurry()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(n.deadlines, id)
	}
}

// Ran implements gateway.Placement.
func (l *Client) Ran(service, model, adapter, upstream string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.need(service, model)
	n.arrived++
	n.running[upstream]++
	if adapter != "" {
		n.adapters[adapter]++
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if adapter != "" {
			n.adapters[adapter]--
		}
		if n.running[upstream]--; n.running[upstream] == 0 {
			delete(n.running, upstream)
		}
	}
}

// run reports the needs to the leader.
func (l *Client) run(ctx context.Context) {
	ticker := time.NewTicker(needsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.urgent:
			if !sleep(ctx, needsGap) {
				return
			}
		}
		if err := l.report(ctx); err != nil {
			l.c.config.Log.WithError(err).Debug("needs not reported")
		}
	}
}

func (l *Client) report(ctx context.Context) error {
	needs, leader, due := l.collect()
	if !due || leader == "" {
		return nil
	}
	if leader == l.c.config.Instance {
		l.c.needs(leader, needs)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return l.c.hub.Notify(ctx, leader, peer.KindNeeds, beat{Needs: needs, Sent: bootclock.Now(), Versions: l.versions(), Weak: l.c.config.Weak, Uptime: bootclock.Since(l.c.started), Resigned: l.c.hasResigned()})
}

// collect returns the needs since the last report, and whether they are to be
// sent: one report without needs ends the ones before.
func (l *Client) collect() ([]residency.Need, string, bool) {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []residency.Need
	for k, n := range l.needs {
		r := residency.Need{Service: k.service, Model: k.model, Arrived: n.arrived, Waiting: len(n.deadlines), Running: map[string]int{}}
		for _, deadline := range n.deadlines {
			if left := deadline.Sub(now); r.Left == 0 || left < r.Left {
				r.Left = left
			}
		}
		for id, running := range n.running {
			r.Running[id] = running
		}
		if r.Arrived == 0 && r.Waiting == 0 && len(r.Running) == 0 {
			continue
		}
		n.arrived = 0
		for id, running := range n.adapters {
			r.Adapters = append(r.Adapters, id)
			if running == 0 {
				delete(n.adapters, id)
			}
		}
		list = append(list, r)
	}
	due := len(list) > 0 || l.reported || now.Sub(l.beatAt) >= beatEvery
	l.reported = len(list) > 0
	if due {
		l.beatAt = now
	}
	return list, l.leader, due
}

// ask calls the leader, or answers itself if this instance leads.
func ask[Q, A any](ctx context.Context, l *Client, kind peer.Kind, question Q, local func(context.Context, Q) (A, error)) (A, error) {
	var answer A
	leader := l.Leader()
	switch leader {
	case "":
		return answer, errNoLeader
	case l.c.config.Instance:
		return local(ctx, question)
	}
	err := l.c.hub.Call(ctx, leader, kind, question, &answer)
	return answer, err
}

// Adapter implements gateway.Placement.
func (l *Client) Adapter(ctx context.Context, service, model, adapter string) error {
	answer, err := ask(ctx, l, peer.KindLoadAdapter, adapterQuestion{service, model, adapter}, l.c.loadAdapter)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.placements[answer.Upstream]; ok && !slices.Contains(p.Models[model], adapter) {
		clone := residency.Placement{Upstream: p.Upstream, Started: p.Started, Revision: p.Revision, Models: map[string][]string{}}
		for k, v := range p.Models {
			clone.Models[k] = v
		}
		clone.Models[model] = append(slices.Clone(clone.Models[model]), adapter)
		l.placements[answer.Upstream] = clone
	}
	delete(l.absent, absence{answer.Upstream, model, adapter})
	return nil
}

// Take implements gateway.Limiter. Without a leader the request waits a while
// for one: most changes of leader are short.
func (l *Client) Take(ctx context.Context, w *fleet.Workspace, tokens int64, patience time.Duration) *verdict.Refusal {
	deadline, ok := ctx.Deadline()
	hold := noLeaderRetry
	if ok {
		hold = time.Duration(holdShare * float64(time.Until(deadline)))
	}
	give := bootclock.Now().Add(hold)
	for {
		changed := l.Changed()
		call, cancel := context.WithTimeout(ctx, takeTimeout)
		answer, err := ask(call, l, peer.KindTakeTokens, takeQuestion{w.Name, tokens, patience}, l.c.take)
		cancel()
		switch {
		case err == nil && answer.Granted:
			if !sleep(ctx, answer.After) {
				return verdict.New(verdict.CallerGone, "the caller closed the connection")
			}
			return nil
		case err == nil:
			return verdict.New(verdict.RateLimited, "workspace %s is over its limit", w.Name).After(answer.After)
		case ctx.Err() != nil || !bootclock.Now().Before(give):
			return verdict.New(verdict.NotReady, "the limit of workspace %s can't be checked", w.Name).After(noLeaderRetry).Because(err)
		}
		timer := time.NewTimer(tick)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
