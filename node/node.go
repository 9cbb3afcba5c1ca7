// Package node is the library behind the daemon on the users' platform: it
// wires the adapter, the filter chain for requests and the controllers for
// state into one instance.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/coordinator"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/gateway"
	"github.com/hibiscusyard/hibiscusyard/platform"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/chain"
	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

const (
	// feedWait is how long a feed of the store stays open without a change. The
	// age of the state is counted from when the call was sent.
	feedWait = 700 * time.Millisecond
	// upstreamGap collects changes of entries that come together.
	upstreamGap = 200 * time.Millisecond
	// staleShare is the part of the bound on withdrawn keys after which keyed
	// requests are refused; the rest covers a request on its way.
	staleShare = 0.8
	// memoryShare is the part of the memory limit that the Go heap aims at.
	memoryShare = 0.6
	// sweepEvery is how often old idle connections are closed.
	sweepEvery = 2 * time.Second
	// closeAfter is when an instance in shutdown takes no more requests: the
	// platform notices missed readiness within two seconds, and an answer to a
	// later request might not end in the grace period.
	closeAfter = 2800 * time.Millisecond
	// quitReserve is kept before the exit for refusing the requests that wait.
	quitReserve = 400 * time.Millisecond
	// exitReserve is kept of the grace period for closing connections.
	exitReserve = 500 * time.Millisecond
	// waitPoll is how often the start looks for the first desired state, and the
	// shutdown for the end of the last request.
	waitPoll = 20 * time.Millisecond
)

// Node is one running instance.
type Node struct {
	settings Settings
	log      log.Interface
	metrics  *metrics.Set
	state    *state
	pool     *connpool.Pool
	coord    *coordinator.Coordinator
	hub      *peer.Hub
	handler  *gateway.Handler
	route    *gateway.Route
	draining atomic.Bool

	callers net.Listener
	mu      sync.Mutex
	servers []*http.Server
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// New prepares an instance from validated settings. Nothing is started.
func New(s Settings, logger log.Interface) *Node {
	n := &Node{
		settings: s, metrics: metrics.NewSet(),
		log: logger.WithFields(log.Fields{"instance": s.Instance, "data_centre": s.DataCentre}),
	}
	n.pool = connpool.New(connpool.Config{})
	store := platform.NewStore(s.Store, n.pool)
	n.state = newState(n.log)
	shortest := milliseconds(min(s.Bounds.DrainMS, s.Bounds.ConfigurationMS))
	n.state.desired = &watcher{
		store: store, table: platform.TableDesired, wait: feedWait, shortest: shortest, log: n.log,
		change: n.state.changeDesired, done: n.state.done,
	}
	n.state.entries = &watcher{
		store: store, table: platform.TableUpstreams, wait: feedWait, gap: upstreamGap, shortest: shortest, log: n.log,
		change: n.state.changeUpstream, done: n.state.done,
	}
	n.coord = coordinator.New(coordinator.Config{
		Instance: s.Instance, Boot: uuid.NewString(), Address: s.PeerListen, DataCentre: s.DataCentre,
		Store: store, Engines: &platform.Engines{Pool: n.pool}, View: n.state.View,
		Sources: []coordinator.Source{n.state.desired, n.state.entries},
		Bounds: quota.CentralBounds{
			Window: seconds(s.Bounds.QuotaWindowS), Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack,
		},
		Weak: s.Weak(), ShortestBound: shortest, Size: n.state.size,
		LeaseGap: milliseconds(s.Bounds.LeaseMS), StoreParallel: s.StoreParallel, Log: n.log, Metrics: n.metrics,
	})
	client := n.coord.Client()
	n.state.desired.relayed = func(now bootclock.Time) bool {
		return client.Relays(now, platform.TableDesired, n.state.desired.Version())
	}
	n.state.entries.relayed = func(now bootclock.Time) bool {
		return client.Relays(now, platform.TableUpstreams, n.state.entries.Version())
	}
	followers := func() int {
		if client.Leader() == s.Instance {
			return 1
		}
		return n.state.size()
	}
	n.state.desired.followers, n.state.entries.followers = followers, followers
	n.state.members = client.Members
	n.state.onChange = func() {
		client.Notify()
		n.coord.Notify()
	}
	n.handler = n.newHandler(client)
	return n
}

func (n *Node) newHandler(client *coordinator.Client) *gateway.Handler {
	dialect := platform.Dialect{}
	stale := time.Duration(staleShare * float64(milliseconds(n.settings.Bounds.RevokeMS)))
	n.route = gateway.NewRoute(n.settings.Instance, n.settings.DataCentre)
	n.route.State, n.route.Placement, n.route.Limiter, n.route.StaleAfter = n.state, client, client, stale
	n.route.Forward = &gateway.Forward{Pool: n.pool, Dialect: dialect}
	n.route.Budget = gateway.NewBudget(gateway.BudgetConfig{
		Ratio: n.settings.Bounds.BudgetRatio, Slack: n.settings.Bounds.BudgetSlack,
		Window: seconds(n.settings.Bounds.BudgetWindowS),
	})
	filters := chain.New[*gateway.Request](
		gateway.Identify{State: n.state, StaleAfter: stale},
		gateway.ReadBody{},
		n.route,
	)
	return gateway.NewHandler(dialect, filters, n.log, n.metrics)
}

// Start binds the listeners and starts all parts.
func (n *Node) Start() error {
	debug.SetMemoryLimit(int64(memoryShare * n.settings.MemoryMB * (1 << 20)))
	peers, err := n.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.group.Go(func() { n.state.desired.run(ctx) })
	n.group.Go(func() { n.state.entries.run(ctx) })
	n.group.Go(func() { n.sweep(ctx) })
	n.group.Go(func() { n.serveCallers(ctx) })
	n.group.Go(func() { n.coordinate(ctx, peers) })
	n.log.WithFields(log.Fields{"callers": n.settings.CallerListen, "store": n.settings.Store}).Info("instance started")
	return nil
}

// listen binds all listeners and serves readiness and metrics.
func (n *Node) listen() (peers net.Listener, err error) {
	var ready, metric net.Listener
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&n.callers, n.settings.CallerListen}, {&ready, n.settings.ReadyListen},
		{&peers, n.settings.PeerListen}, {&metric, n.settings.MetricsListen},
	} {
		if *l.into, err = net.Listen("tcp", l.address); err != nil {
			return nil, oops.In("node").Wrapf(err, "listen")
		}
	}
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+platform.ReadyPath, n.serveReady)
	n.serve(ready, &http.Server{Handler: readiness})
	exposed := http.NewServeMux()
	exposed.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	n.serve(metric, &http.Server{Handler: exposed, ReadHeaderTimeout: readTimeout})
	return peers, nil
}

func (n *Node) serve(l net.Listener, server *http.Server) {
	n.addServer(server)
	n.group.Go(func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.WithError(err).Error("listener failed")
		}
	})
}

func (n *Node) addServer(server *http.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers = append(n.servers, server)
}

func (n *Node) allServers() []*http.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.servers)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns why no callers should be sent here, empty if they should.
func (n *Node) notReady() string {
	switch {
	case n.draining.Load():
		return "shutting down"
	case n.state.View().Config == nil:
		return "no desired state yet"
	case n.state.Age(bootclock.Now()) > n.route.StaleAfter:
		return "the desired state can't be proved current"
	}
	return ""
}

// serveCallers opens the callers' listener once the first desired state has
// told the limits that net/http takes at the start.
func (n *Node) serveCallers(ctx context.Context) {
	for n.state.View().Config == nil {
		if !duration.Sleep(ctx, waitPoll) {
			n.callers.Close()
			return
		}
	}
	limits := n.state.View().Config.Limits
	server := &http.Server{
		Handler: n.handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ConnState: noteIdle,
	}
	n.addServer(server)
	idle := func() time.Duration { return n.state.View().Config.Limits.IdleTimeout }
	err := server.Serve(&idleListener{Listener: n.callers, idleFor: idle})
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.WithError(err).Error("listener of callers failed")
	}
}

// coordinate takes part in the coordination of the instances.
func (n *Node) coordinate(ctx context.Context, peers net.Listener) {
	hub, err := n.coord.Start(ctx)
	if err != nil {
		peers.Close()
		return
	}
	n.hub = hub
	mux := http.NewServeMux()
	mux.Handle(peer.Path, hub)
	n.serve(peers, &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout})
	n.coord.Run(ctx)
	hub.Close()
}

func (n *Node) sweep(ctx context.Context) {
	for duration.Sleep(ctx, sweepEvery) {
		n.pool.Sweep()
		n.route.Forget(n.state.View())
	}
}

// Shutdown takes the instance out of service: readiness goes off and another
// instance may lead at once, callers are served until the platform sends no
// more of them and their requests have ended, or the grace period is nearly over.
func (n *Node) Shutdown() {
	started := bootclock.Now()
	n.log.Info("shutdown started")
	n.draining.Store(true)
	n.handler.Drain()
	n.coord.Resign()
	limit := seconds(n.settings.Bounds.GraceS) - exitReserve
	closed := false
	for {
		elapsed := bootclock.Since(started)
		if elapsed >= limit || (elapsed >= closeAfter && n.handler.Active() == 0) {
			break
		}
		if elapsed >= closeAfter && !closed {
			closed = true
			n.handler.Close()
			for _, server := range n.allServers() {
				server.SetKeepAlivesEnabled(false) // closes idle connections
			}
		}
		if elapsed >= limit-quitReserve {
			n.handler.Quit()
		}
		time.Sleep(waitPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitReserve/3)
	defer cancel()
	for _, server := range slices.Backward(n.allServers()) {
		if err := server.Shutdown(ctx); err != nil {
			n.log.WithError(err).Warn("connections closed before their requests ended")
		}
	}
	n.Stop()
	n.log.WithField("after_ms", bootclock.Since(started).Milliseconds()).Info("instance stopped")
}

// Stop ends all parts at once. Requests that run are cut.
func (n *Node) Stop() {
	n.cancel()
	for _, server := range n.allServers() {
		server.Close()
	}
	n.group.Wait()
	n.pool.Close()
}
