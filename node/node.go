// Package node implements the daemon for the users' platform: it connects the
// platform adapter, the request filter chain and the state controllers into one
// instance.
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
	"github.com/hibiscusyard/hibiscusyard/decision/upstreamlimit"
	"github.com/hibiscusyard/hibiscusyard/gateway"
	"github.com/hibiscusyard/hibiscusyard/platform"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/chain"
	"github.com/hibiscusyard/hibiscusyard/plumbing/connpool"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

const (
	// feedWait is how long a feed call to the store stays open without a change.
	// The age of the state is measured from when the call was sent.
	feedWait = 700 * time.Millisecond
	// upstreamFeedPause is the pause between feed calls for upstream entries after
	// a change, so that changes that arrive close together share one answer.
	upstreamFeedPause = 200 * time.Millisecond
	// staleShare is the share of the bound on serving withdrawn keys (RevokeMS)
	// after which keyed requests are refused; the rest covers requests in flight.
	staleShare = 0.8
	// memoryShare is the share of the memory limit that is set as the Go runtime's
	// soft memory limit.
	memoryShare = 0.6
	// bodyShare is the share of the memory limit for the bodies of requests and for
	// buffered responses. The garbage of their growth comes on top, within memoryShare.
	bodyShare = 0.2
	// ownTimeout bounds requests and answers of the readiness and metrics endpoints, which are
	// short, and the set-up of peer links. Monitoring systems ask once a minute or more often.
	ownTimeout     = 10 * time.Second
	ownIdleTimeout = 2 * time.Minute
	// sweepInterval is the time between removals of old idle connections and of the
	// history of removed upstreams.
	sweepInterval = 2 * time.Second
	// closeAfter is the longest time from the start of a shutdown after which new requests
	// are refused: the platform detects lost readiness within two seconds. It is at most
	// closeShare of the grace period, since an answer to a later request might not complete
	// in the rest.
	closeAfter = 2800 * time.Millisecond
	closeShare = 0.35
	// waitShare is the share of the grace period after which requests that have not been
	// sent to an upstream are refused, so that their callers can go elsewhere.
	waitShare = 0.5
	// exitReserve is the part of the grace period reserved for closing connections.
	exitReserve = 500 * time.Millisecond
	// pollInterval is the time between checks for the first desired state during
	// start-up, and for the end of the last request during shutdown.
	pollInterval = 20 * time.Millisecond
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
	memory   *request.Memory
	draining atomic.Bool

	callers net.Listener
	mu      sync.Mutex
	servers []*http.Server
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// New creates an instance from validated settings without starting it.
func New(s Settings, logger log.Interface) *Node {
	n := &Node{
		settings: s, metrics: metrics.NewSet(),
		log: logger.WithFields(log.Fields{"instance": s.Instance, "data_centre": s.DataCentre}),
	}
	n.pool = connpool.New(connpool.Config{})
	store := platform.NewStore(s.Store, n.pool)
	store.OnEra = func(era int64) { n.log.WithField("era", era).Info("era of the store") }
	n.state = newState(n.log)
	shortestBound := milliseconds(min(s.Bounds.DrainMS, s.Bounds.ConfigurationMS))
	n.state.desired = &watcher{
		store: store, table: platform.TableDesired, wait: feedWait, shortestBound: shortestBound, log: n.log,
		applyRow: n.state.applyDesired, onAnswer: n.state.onAnswer,
	}
	n.state.entries = &watcher{
		store: store, table: platform.TableUpstreams, wait: feedWait, changePause: upstreamFeedPause, shortestBound: shortestBound, log: n.log,
		applyRow: n.state.applyUpstream, onAnswer: n.state.onAnswer,
	}
	duties := coordinator.DutyConfig{
		Enabled: s.Duties.enabled(), CallsPerS: s.Duties.CallsPerS,
		UsageWindow: seconds(s.Bounds.UsageWindowS), UsageLate: seconds(s.Bounds.UsageLateS),
	}
	if len(duties.Enabled) > 0 {
		duties.API = &platform.Duties{Address: s.Duties.Address, Pool: n.pool, Holder: s.Instance}
	}
	n.coord = coordinator.New(coordinator.Config{
		Instance: s.Instance, Boot: uuid.NewString(), Address: s.PeerListen, DataCentre: s.DataCentre,
		Store: store, Engines: &platform.Engines{Pool: n.pool, OnAnswer: n.recordAnswer}, View: n.state.View, SetDeparted: n.state.setDeparted,
		Paused:  func(upstream string) bool { return n.route.Paused(upstream) },
		Sources: []coordinator.Source{n.state.desired, n.state.entries},
		Bounds: quota.CentralBounds{
			Window: seconds(s.Bounds.QuotaWindowS), Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack,
		},
		Weak: s.Weak(), ShortestBound: shortestBound, Size: n.state.estimateSize,
		LeaseGap: milliseconds(s.Bounds.LeaseMS), StoreParallel: s.StoreParallel, Duties: duties, WallClock: s.wallTime, Log: n.log, Metrics: n.metrics,
	})
	client := n.coord.Client()
	n.state.desired.relayFresh = func(now bootclock.Time) bool {
		return client.Relays(now, platform.TableDesired, n.state.desired.Version())
	}
	n.state.entries.relayFresh = func(now bootclock.Time) bool {
		return client.Relays(now, platform.TableUpstreams, n.state.entries.Version())
	}
	feeders := func() int {
		if client.Leader() == s.Instance {
			return 1
		}
		return n.state.estimateSize()
	}
	n.state.desired.feeders, n.state.entries.feeders = feeders, feeders
	n.state.members = client.Members
	n.state.onChange = func() {
		client.ObserveVersions()
		client.Notify()
		n.coord.Notify()
	}
	n.handler = n.newHandler(client)
	return n
}

// recordAnswer records what an upstream says in the answer to an order or a call.
func (n *Node) recordAnswer(upstream string, head gateway.ResponseHead) {
	u := n.state.View().ByID[upstream]
	if u == nil || !head.From(upstream) {
		return
	}
	if head.Leaving {
		n.coord.Client().RecordDeparture(u, upstreamlimit.Leaving)
	}
	if head.Pause > 0 {
		n.route.RecordPause(u, head.Pause)
	}
}

func (n *Node) newHandler(client *coordinator.Client) *gateway.Handler {
	dialect := platform.Dialect{}
	stale := time.Duration(staleShare * float64(milliseconds(n.settings.Bounds.RevokeMS)))
	n.route = gateway.NewRoute(n.settings.Instance, n.settings.DataCentre)
	n.route.Log = n.log
	n.route.State, n.route.Placement, n.route.Limiter, n.route.Limits, n.route.Quarantine, n.route.Origins, n.route.Usage, n.route.Places, n.route.StaleAfter = n.state, client, client, client, client, client, client, client, stale
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
	n.memory = request.NewMemory(int64(bodyShare*float64(n.settings.memoryBytes())), n.metrics)
	return gateway.NewHandler(dialect, filters, n.memory, n.log, n.metrics)
}

// Start binds the listeners and starts all background work. Callers are accepted
// once the first desired state has been read.
func (n *Node) Start() error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.memoryBytes())))
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
	var readyListener, metricsListener net.Listener
	for _, l := range []struct {
		target  *net.Listener
		address string
	}{
		{&n.callers, n.settings.CallerListen}, {&readyListener, n.settings.ReadyListen},
		{&peers, n.settings.PeerListen}, {&metricsListener, n.settings.MetricsListen},
	} {
		if *l.target, err = net.Listen("tcp", l.address); err != nil {
			return nil, oops.In("node").Wrapf(err, "listen")
		}
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+platform.ReadyPath, n.serveReady)
	n.serve(readyListener, &http.Server{Handler: readyMux, ReadHeaderTimeout: readTimeout, ReadTimeout: ownTimeout, IdleTimeout: ownIdleTimeout, WriteTimeout: ownTimeout})
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	n.serve(metricsListener, &http.Server{Handler: metricsMux, ReadHeaderTimeout: readTimeout, ReadTimeout: ownTimeout, IdleTimeout: ownIdleTimeout, WriteTimeout: ownTimeout})
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

// notReady returns why the instance can't take callers, or "" if it is ready.
func (n *Node) notReady() string {
	switch {
	case n.draining.Load():
		return "shutting down"
	case n.state.View().Config == nil:
		return "no desired state yet"
	case !n.state.entries.Known():
		return "no upstream table yet"
	case n.state.Age(bootclock.Now()) > n.route.StaleAfter:
		return "the desired state can't be proved current"
	}
	return ""
}

// serveCallers starts the caller server after the first desired state has
// arrived, because net/http takes its limits only at start.
func (n *Node) serveCallers(ctx context.Context) {
	for n.state.View().Config == nil {
		if !duration.Sleep(ctx, pollInterval) {
			n.callers.Close()
			return
		}
	}
	limits := n.state.View().Config.Limits
	server := &http.Server{
		Handler: n.handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, DisableGeneralOptionsHandler: true,
	}
	n.addServer(server)
	listener := n.memory.Listen(n.callers, request.ListenerConfig{
		Machine: n.settings.memoryBytes(), Limit: n.settings.maxConnections(), Log: n.log, Metrics: n.metrics,
		IdleTimeout: func() time.Duration { return n.state.View().Config.Limits.IdleTimeout },
	})
	listener.Attach(server)
	err := server.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.WithError(err).Error("caller listener failed")
	}
}

// coordinate starts the coordinator, serves the peer endpoint and runs the
// coordinator until ctx ends.
func (n *Node) coordinate(ctx context.Context, peers net.Listener) {
	hub, err := n.coord.Start(ctx)
	if err != nil {
		peers.Close()
		return
	}
	n.hub = hub
	mux := http.NewServeMux()
	mux.Handle(peer.Path, hub)
	n.serve(peers, &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout, ReadTimeout: ownTimeout})
	n.coord.Run(ctx)
	hub.Close()
}

func (n *Node) sweep(ctx context.Context) {
	for duration.Sleep(ctx, sweepInterval) {
		n.pool.Sweep()
		n.route.Forget(n.state.View())
	}
}

// Shutdown takes the instance out of service gracefully. It withdraws readiness
// and resigns leadership at once, serves callers until closeAfter has passed and
// their requests have completed or the grace period is nearly over, then stops.
func (n *Node) Shutdown() {
	started := bootclock.Now()
	n.log.Info("shutdown started")
	n.draining.Store(true)
	n.handler.Drain()
	n.coord.Resign()
	grace := n.settings.Bounds.GraceS
	limit, closeAt := seconds(grace)-exitReserve, min(closeAfter, seconds(closeShare*grace))
	closed := false
	for {
		elapsed := bootclock.Since(started)
		if elapsed >= limit || (elapsed >= closeAt && n.handler.Active() == 0) {
			break
		}
		if elapsed >= closeAt && !closed {
			closed = true
			n.handler.Close()
			for _, server := range n.allServers() {
				server.SetKeepAlivesEnabled(false) // closes idle connections
			}
		}
		if elapsed >= seconds(waitShare*grace) {
			n.handler.RefuseWaiting()
		}
		time.Sleep(pollInterval)
	}
	n.handler.EndRequests()
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

// Stop ends all background work immediately. Running requests are aborted.
func (n *Node) Stop() {
	n.cancel()
	for _, server := range n.allServers() {
		server.Close()
	}
	n.group.Wait()
	n.pool.Close()
}
