// Package hibiscusyard is the library behind the daemon: an Instance serves
// callers, exchanges messages with other instances and runs the placer while it
// holds the lease.
package hibiscusyard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/controller/catalogsync"
	"github.com/hibiscusyard/hibiscusyard/controller/members"
	"github.com/hibiscusyard/hibiscusyard/controller/upstreams"
	"github.com/hibiscusyard/hibiscusyard/decision/idempotency"
	"github.com/hibiscusyard/hibiscusyard/filter"
	"github.com/hibiscusyard/hibiscusyard/plumbing/awsapi"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
	"github.com/hibiscusyard/hibiscusyard/plumbing/session"
	"github.com/hibiscusyard/hibiscusyard/settings"
)

// Version is the version of the build.
const Version = "0.1.0-dev"

// Instance is one running entry instance.
type Instance struct {
	settings    settings.Settings
	log         log.Interface
	metrics     *metrics.Set
	incarnation string

	table     ports.Table
	objects   ports.ObjectStore
	weights   ports.WeightStore // nil if checkpoints are not checked
	instances ports.InstanceList
	upstreams ports.InstanceList // nil if the list does not show upstreams

	hub       *peer.Hub
	session   *session.Session
	members   *members.Controller
	catalog   *catalogsync.Controller
	placement *placementControl
	quota     *quotaControl
	forward   *filter.Forward
	route     *filter.Route
	claims    *idempotency.Store

	listeners listeners
	servers   servers
	draining  atomic.Bool
	requests  requestCounter
	runCtx    context.Context
	stop      context.CancelFunc
	group     *errgroup.Group
}

type listeners struct{ caller, admin, peer net.Listener }

type servers struct{ caller, admin, peer *http.Server }

// New creates an instance from validated settings without starting it.
func New(s settings.Settings, logger log.Interface) (*Instance, error) {
	i := &Instance{
		settings: s, metrics: metrics.NewSet(), incarnation: uuid.NewString(),
		log: logger.WithFields(log.Fields{"instance": s.Instance, "data_centre": s.DataCentre}),
	}
	if err := i.connectPlatform(); err != nil {
		return nil, err
	}
	self := peer.Identity{Instance: s.Instance, Incarnation: i.incarnation, DataCentre: s.DataCentre}
	i.hub = peer.NewHub(self, s.PeerSecret, i.log)
	i.exportTrafficMetrics()
	i.session = session.New(i.table, s.Instance, i.incarnation, s.DataCentre)
	i.members = members.New(members.Config{
		Self: self, List: i.instances, Static: s.Peers, Lag: s.ListLag.Std(), Hub: i.hub, Log: i.log,
	})
	i.catalog = catalogsync.New(catalogsync.Config{
		Table: i.table, Objects: i.objects, Weights: i.weights, Peers: i.hub, Members: i.members.Count,
		Self: s.Instance, Relays: i.members.Relays,
		StaleAfter: s.StaleAfter.Std(), Poll: s.PollInterval.Std(), Log: i.log,
	})
	i.catalog.Register(i.hub)
	i.quota = newQuotaControl(i)
	i.placement = newPlacementControl(i)
	i.forward = &filter.Forward{Client: filter.NewClient(), Session: i.session, Observe: i.placement.recordAnswer}
	i.route, i.claims = newRoute(i), newClaimStore(i)
	i.hub.Handle(peer.KindUpstreamAges, i.handleUpstreamAges)
	return i, nil
}

// connectPlatform builds the clients of the platform's services.
func (i *Instance) connectPlatform() error {
	p := i.settings.Platform
	client := newPlatformClient(i.metrics)
	endpoint := func(url string) awsapi.Endpoint {
		return awsapi.Endpoint{URL: url, Region: p.Region, AccessKey: p.AccessKey, SecretKey: p.SecretKey, HTTP: client}
	}
	table, err := awsapi.NewDynamoTable(endpoint(p.Table), p.TableName)
	if err != nil {
		return oops.In("platform").Wrapf(err, "table client")
	}
	objects, err := awsapi.NewS3Bucket(endpoint(p.Objects), p.Bucket)
	if err != nil {
		return oops.In("platform").Wrapf(err, "object store client")
	}
	i.table, i.objects = table, objects
	if p.Weights != "" {
		if i.weights, err = awsapi.NewS3Bucket(endpoint(p.Weights), p.WeightsBucket); err != nil {
			return oops.In("platform").Wrapf(err, "weight store client")
		}
	}
	if p.Instances == "" {
		return nil
	}
	list, err := awsapi.NewCloudMapInstances(endpoint(p.Instances), p.Namespace, p.Service)
	if err != nil {
		return oops.In("platform").Wrapf(err, "instance list client")
	}
	i.instances = list
	if p.UpstreamService == "" {
		return nil
	}
	upstreams, err := awsapi.NewCloudMapInstances(endpoint(p.Instances), p.Namespace, p.UpstreamService)
	if err != nil {
		return oops.In("platform").Wrapf(err, "upstream list client")
	}
	i.upstreams = upstreams
	return nil
}

// Start binds the listeners and starts the servers and background tasks.
func (i *Instance) Start() error {
	if err := i.listen(); err != nil {
		return err
	}
	address := i.settings.PeerAddress
	if address == "" {
		address = i.listeners.peer.Addr().String()
	}
	i.hub.SetAddress(address)
	i.session.SetAddress(address)
	i.members.SetAddress(address)
	i.placement.prepare(address)
	i.runCtx, i.stop = context.WithCancel(context.Background())
	i.group, _ = errgroup.WithContext(i.runCtx)
	i.serve()
	for _, run := range []func(context.Context) error{
		i.session.Run, i.members.Run, i.catalog.Run, i.quota.run, i.placement.run,
		upstreams.Watch(i.upstreams, i.catalog.SetLeaving, i.log), i.route.Run, i.claims.Run, i.fetchUpstreamAges,
	} {
		i.group.Go(func() error { return run(i.runCtx) })
	}
	i.log.WithFields(log.Fields{
		"caller": i.CallerAddress(), "admin": i.AdminAddress(), "peer": i.PeerAddress(), "incarnation": i.incarnation,
	}).Info("instance started")
	return nil
}

// CallerAddress returns the bound address for callers.
func (i *Instance) CallerAddress() string { return i.listeners.caller.Addr().String() }

// AdminAddress returns the bound address of the administration API.
func (i *Instance) AdminAddress() string { return i.listeners.admin.Addr().String() }

// PeerAddress returns the bound address for peers.
func (i *Instance) PeerAddress() string { return i.listeners.peer.Addr().String() }

func (i *Instance) listen() error {
	var err error
	bind := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var l net.Listener
		l, err = net.Listen("tcp", address)
		return l
	}
	i.listeners.caller = bind(i.settings.CallerListen)
	i.listeners.admin = bind(i.settings.AdminListen)
	i.listeners.peer = bind(i.settings.PeerListen)
	if err == nil {
		return nil
	}
	for _, l := range []net.Listener{i.listeners.caller, i.listeners.admin, i.listeners.peer} {
		if l != nil {
			l.Close()
		}
	}
	return oops.In("instance").Wrapf(err, "listen")
}

// notReady returns the reasons why the load balancer should send no callers to
// this instance; empty when it is ready.
func (i *Instance) notReady() []string {
	var reasons []string
	if i.draining.Load() {
		reasons = append(reasons, "shutting down")
	}
	index, _ := i.catalog.Current()
	if index == nil {
		reasons = append(reasons, "no catalogue version held: the table has not been read yet or holds none")
	} else if !i.catalog.Fresh(time.Now()) {
		reasons = append(reasons, "the catalogue can't be proved current")
	}
	if !i.members.Settled(time.Now()) {
		reasons = append(reasons, "the links to the other instances are being set up")
	}
	if !i.session.Valid(time.Now()) {
		reasons = append(reasons, "the session is not registered or has not been checked since a pause")
	} else if !i.quota.sync.Ready() {
		reasons = append(reasons, "the share slots have not been read since the start or a pause")
	}
	return reasons
}

// headerLimitFactor is the multiple of the MaxHeaderBytes setting up to which
// headers are read, so that the filter chain can refuse them with a verdict.
const headerLimitFactor = 4

func (i *Instance) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		// The filter chain refuses headers above the setting with a verdict; above
		// headerLimitFactor times the setting, net/http stops reading.
		Handler: handler, MaxHeaderBytes: headerLimitFactor * i.settings.MaxHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
	}
}

func (i *Instance) serveOn(l net.Listener, server *http.Server) *http.Server {
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			i.log.WithError(err).Error("listener failed")
		}
	}()
	return server
}

func (i *Instance) serve() {
	i.serveCallers()
	adminServer := &admin.Server{
		Tables: i.catalog, TokenHash: i.settings.AdminTokenHash, Status: i.status,
		Ready: i.notReady, Metrics: i.metrics, Log: i.log,
	}
	i.servers.admin = i.serveOn(i.listeners.admin, i.newServer(limitRequest(adminServer.Handler())))
	mux := http.NewServeMux()
	mux.Handle(peer.Path, i.hub)
	i.servers.peer = i.serveOn(i.listeners.peer, i.newServer(limitRequest(mux)))
}

// serveCallers serves callers with all that they make the instance keep in one account.
func (i *Instance) serveCallers() {
	memory := request.NewMemory(int64(i.settings.BodyMemoryMB)<<20, i.metrics)
	machine := i.settings.MemoryBytes()
	listener := memory.Listen(i.listeners.caller, request.ListenerConfig{
		Machine: machine, Limit: min(i.settings.MaxConnections, request.MaxConnections(machine)), Log: i.log, Metrics: i.metrics,
	})
	server := i.newServer(i.callerHandler(memory))
	listener.Attach(server)
	i.servers.caller = i.serveOn(listener, server)
}

// requestTimeout bounds the receipt of a request to the administration API or of one that
// sets up a peer link.
const requestTimeout = 30 * time.Second

// limitRequest bounds the receipt of requests, also of what their handlers leave unread.
// Peer links, which take the connection over, are not affected.
func limitRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestTimeout)) //nolint:errcheck // not every writer supports deadlines.
		}
		next.ServeHTTP(w, r)
	})
}

func (i *Instance) callerHandler(memory *request.Memory) http.Handler {
	chain := filter.Chain(
		filter.Identify{Catalog: i.catalog},
		filter.Authorise{Catalog: i.catalog},
		filter.Admit{Limiter: i.quota},
		filter.Claims{Store: i.claims},
		i.route,
	)
	handler := filter.NewHandler(filter.Surface{MaxHeader: i.settings.MaxHeaderBytes}, chain, memory, i.log, i.metrics)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", admin.ReadyHandler(i.notReady))
	mux.Handle("GET "+filter.ModelsPath, filter.Models{Catalog: i.catalog})
	mux.Handle("/", i.requests.count(handler))
	return filter.LimitWrites(mux)
}
