package emulator

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

const (
	// readyTimeout is the time limit for the start of an instance, which takes
	// some 100 ms on loopback, and for the request headers of the store.
	readyTimeout = 30 * time.Second
	readyPoll    = 50 * time.Millisecond
	// probeTimeout is the time limit of one readiness probe.
	probeTimeout = time.Second
	// weightsMB is the size of each model and adapterMB that of each adapter. The
	// values are arbitrary, as only the number per upstream matters here.
	weightsMB = 100.0
	adapterMB = 1.0
	// plainTokens is the number of tokens that a plain request consumes from its
	// workspace's rate limit, and attempts the maximum number of attempts of a
	// request that may be retried.
	plainTokens = 1
	attempts    = 2
	// connectionsPerSlot is the number of connections that an upstream accepts
	// per slot.
	connectionsPerSlot = 4
	// unboundedTokens is the KV cache size, in tokens, configured for engines
	// whose scenario sets none.
	unboundedTokens = 1 << 20
	// dataCentre is the data centre of all instances and upstreams.
	dataCentre = "north"
	// callsPerS is the number of calls a second that the API accepts, leaseGap the time
	// within which holders must not alternate there, and drainTime that from the entry of
	// an upstream as draining to its end.
	callsPerS = 50
	leaseGap  = 3 * time.Second
	drainTime = 3 * time.Second
	// Host is the host name that callers send requests to.
	Host = "emulator.example"
)

// Deployment is a running deployment of a scenario.
type Deployment struct {
	scenario  *Scenario
	log       log.Interface
	store     *userplatform.Store
	server    *http.Server
	address   string
	upstreams map[string]*userplatform.Upstream // those of the start, by ID
	api       *userplatform.API
	apiServer *httptest.Server
	scaling   *userplatform.Scaling

	mu               sync.Mutex
	nodes            []*instance // ready instances, oldest first
	instancesStarted int         // number of instances started so far, for their names
}

// instance is a running instance with its listen addresses.
type instance struct {
	node          *node.Node
	name          string
	callerAddress string
	readyAddress  string
}

// Start starts the deployment and returns when its instances are ready. On an
// error, the caller must still call Stop on the returned Deployment.
func Start(ctx context.Context, s *Scenario, logger log.Interface) (*Deployment, error) {
	w := &Deployment{scenario: s, log: logger, store: userplatform.NewStore(), upstreams: map[string]*userplatform.Upstream{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, oops.In("emulator").Wrap(err)
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w.store.Gate(), ReadHeaderTimeout: readyTimeout}
	go w.server.Serve(l) //nolint:errcheck // returns after Stop.
	w.startAPI()
	if err := w.desiredState().Write(w.store); err != nil {
		return w, err
	}
	for i := range s.Services {
		for k := range s.Services[i].Upstreams {
			if err := w.startUpstream(&s.Services[i], k); err != nil {
				return w, err
			}
		}
	}
	for range s.Instances {
		if err := w.addInstance(ctx); err != nil {
			return w, err
		}
	}
	return w, nil
}

// Stop stops the instances, the upstreams and the store.
func (w *Deployment) Stop() {
	w.mu.Lock()
	nodes := w.nodes
	w.nodes = nil
	w.mu.Unlock()
	for _, i := range nodes {
		i.node.Stop()
	}
	for _, u := range w.upstreams {
		u.Close()
	}
	if w.scaling != nil {
		w.scaling.Close()
	}
	if w.apiServer != nil {
		w.apiServer.Close()
	}
	if w.server != nil {
		w.server.Close()
	}
}

// startAPI starts the platform's API, which accepts usage reports, and starts and drains
// upstreams as ordered, if the scenario has one of these duties.
func (w *Deployment) startAPI() {
	scaled := slices.ContainsFunc(w.scenario.Services, func(s Service) bool { return s.Scale != nil })
	if !scaled && w.scenario.UsageWindow <= 0 {
		return
	}
	w.api = userplatform.NewAPI(leaseGap)
	w.apiServer = httptest.NewServer(w.api.Gate())
	if !scaled {
		return
	}
	w.scaling = &userplatform.Scaling{Store: w.store, DrainTime: drainTime, New: func(service, zone string, n int) *userplatform.Upstream {
		return newUpstream(w.scenario.service(service), fmt.Sprintf("%s-ordered-%d", service, n))
	}}
	for _, s := range w.scenario.Services {
		if s.Scale != nil {
			w.scaling.BootTime = max(w.scaling.BootTime, s.Scale.Boot.Std())
		}
	}
	w.api.OnScale = w.scaling.Order
}

// duties returns the duties of the instances.
func (w *Deployment) duties() []string {
	var list []string
	if w.scaling != nil {
		list = append(list, "autoscaling")
	}
	if w.scenario.UsageWindow > 0 {
		list = append(list, "usage_reporting")
	}
	return list
}

// CallerAddresses returns the caller-facing addresses of the ready instances.
func (w *Deployment) CallerAddresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]string, len(w.nodes))
	for i, n := range w.nodes {
		list[i] = n.callerAddress
	}
	return list
}

// WorkspaceKey returns the API key of a workspace.
func WorkspaceKey(workspace string) string { return workspace + "-key" }

// desiredState returns the desired state that an operator of the platform would
// write for the scenario.
func (w *Deployment) desiredState() userplatform.Desired {
	d := userplatform.Desired{Version: 1}
	for _, s := range w.scenario.Services {
		service := userplatform.Service{Name: s.Name, HealthPath: "/health", Connections: connectionsPerSlot * s.Slots}
		if s.Engine != nil {
			service.Engine = s.Engine.engineLimit(s.Slots)
		}
		if s.Scale != nil {
			service.Scale = &userplatform.Scale{Minimum: s.Scale.Minimum, Maximum: s.Scale.Maximum, BootS: s.Scale.Boot.Std().Seconds()}
		}
		d.Services = append(d.Services, service)
	}
	for _, k := range w.scenario.Kinds {
		objective := k.Objective.Std().Milliseconds()
		d.Routes = append(d.Routes, userplatform.Route{
			Name: k.Name, Host: Host, Prefix: k.pathPrefix(), Kind: k.Type, Service: k.Service, Attempts: attempts,
			TimeoutMS: k.Deadline.Std().Milliseconds(), TargetMS: objective, GapMS: objective, Resumable: k.Type == Streaming,
		})
	}
	for _, workspace := range w.scenario.Workspaces {
		d.Tenants = append(d.Tenants, userplatform.Tenant{
			Name: workspace.Name, Keys: []string{WorkspaceKey(workspace.Name)}, PlainTokens: plainTokens, Rate: workspace.Rate, Burst: workspace.Burst, Priority: &workspace.Priority,
		})
	}
	return d
}

func (e *Engine) engineLimit(slots int) *userplatform.EngineLimit {
	load := e.LoadTime.Std().Seconds()
	limit := &userplatform.EngineLimit{
		Slots: slots, KVTokens: e.KVTokens, AdapterSlots: e.AdapterSlots, LoadsPerSecond: e.LoadsPerSecond,
		WeightsMB: weightsMB*float64(e.Places) + adapterMB*float64(e.AdapterSlots),
	}
	if limit.KVTokens == 0 {
		limit.KVTokens = unboundedTokens
	}
	for i := range e.Models {
		limit.Models = append(limit.Models, userplatform.Model{
			Name: fmt.Sprintf("m%d", i), WeightsMB: weightsMB, LoadS: load, WarmS: load, DiskS: load,
			Adapters: e.Adapters, AdapterMB: adapterMB,
		})
	}
	return limit
}

func (k *Kind) pathPrefix() string { return "/" + k.Name + "/" }

// newUpstream returns an upstream of a service without models.
func newUpstream(s *Service, id string) *userplatform.Upstream {
	u := &userplatform.Upstream{ID: id, Service: s.Name, Zone: dataCentre, Slots: s.Slots, EventDuration: s.Work.Std()}
	if e := s.Engine; e != nil {
		u.Events = e.Events
		u.Engine = &userplatform.Engine{
			ModelCapacity: e.Places, AdapterSlots: e.AdapterSlots, LoadTime: e.LoadTime.Std(), Models: map[string][]string{},
			Batch: userplatform.Batch{PrefillTokensPerMS: e.ReadPerMS, Slowdown: e.Slowdown, KVTokens: e.KVTokens, CacheTokens: e.CacheTokens},
		}
	}
	return u
}

// startUpstream starts the k-th upstream of a service. The models that are
// loaded at the start are distributed round robin over the upstreams.
func (w *Deployment) startUpstream(s *Service, k int) error {
	u := newUpstream(s, upstreamName(s.Name, k))
	if e := s.Engine; e != nil {
		for place := range e.Places {
			if m := place*s.Upstreams + k; m < e.Models {
				u.Engine.Models[fmt.Sprintf("m%d", m)] = nil
			}
		}
	}
	w.upstreams[u.ID] = u
	if s.Scale != nil {
		w.scaling.Add(u)
	}
	return oops.In("emulator").Wrapf(u.Start(w.store), "start %s", u.ID)
}

// addInstance starts an instance and adds it to the request targets when it is
// ready.
func (w *Deployment) addInstance(ctx context.Context) error {
	w.mu.Lock()
	w.instancesStarted++
	name := fmt.Sprintf("entry-%d", w.instancesStarted)
	w.mu.Unlock()
	settings, err := sample.Settings(name, w.address)
	if err != nil {
		return err
	}
	if w.apiServer != nil {
		settings.Duties = node.Duties{Address: w.apiServer.Listener.Addr().String(), List: w.duties(), CallsPerS: callsPerS}
		window := w.scenario.UsageWindow.Std().Seconds()
		settings.Bounds.UsageWindowS, settings.Bounds.UsageLateS = window, 2*window
	}
	i := &instance{name: name, node: node.New(settings, w.log), callerAddress: settings.CallerListen, readyAddress: settings.ReadyListen}
	if err := i.node.Start(); err != nil {
		return oops.In("emulator").Wrapf(err, "start %s", name)
	}
	for deadline := time.Now().Add(readyTimeout); !i.isReady(ctx); {
		if time.Now().After(deadline) || !duration.Sleep(ctx, readyPoll) {
			i.node.Stop()
			return oops.In("emulator").Errorf("%s is not ready", name)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = append(w.nodes, i)
	return nil
}

func (i *instance) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.readyAddress+userplatform.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close() //nolint:errcheck // only the status is used.
	return response.StatusCode == http.StatusOK
}

// replaceInstance starts a new instance, then shuts down the oldest one.
func (w *Deployment) replaceInstance(ctx context.Context) error {
	if err := w.addInstance(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	old := w.nodes[0]
	w.nodes = slices.Clone(w.nodes[1:])
	w.mu.Unlock()
	old.node.Shutdown()
	return nil
}

// engineWork returns the sum of the work counters of all engines.
func (w *Deployment) engineWork() (sum userplatform.EngineCounters) {
	for _, u := range w.allUpstreams() {
		if u.Engine == nil {
			continue
		}
		work := u.Engine.Counters()
		sum.Loads += work.Loads
		sum.Orders += work.Orders
		sum.Refused += work.Refused
		sum.PrefilledTokens += work.PrefilledTokens
		sum.CachedTokens += work.CachedTokens
	}
	return sum
}

// allUpstreams returns the upstreams of the start and those that were ordered.
func (w *Deployment) allUpstreams() []*userplatform.Upstream {
	list := slices.Collect(maps.Values(w.upstreams))
	if w.scaling == nil {
		return list
	}
	for u := range w.scaling.All() {
		if w.upstreams[u.ID] != u {
			list = append(list, u)
		}
	}
	return list
}

// scalingReport returns what was ordered and billed, nil if no upstreams may be ordered.
func (w *Deployment) scalingReport() *ScalingReport {
	if w.scaling == nil {
		return nil
	}
	r := &ScalingReport{Violations: w.api.Violations()}
	for _, call := range w.api.Calls() {
		if call.Path == "/scale" {
			r.Calls++
		}
	}
	for _, billed := range w.scaling.All() {
		r.UpstreamSeconds += billed.Seconds()
	}
	return r
}

// usageReport compares the accepted usage reports with what the upstreams have run, nil if
// no usage is reported.
func (w *Deployment) usageReport() *UsageReport {
	if w.scenario.UsageWindow <= 0 {
		return nil
	}
	r := &UsageReport{Violations: w.api.Violations()}
	for _, report := range w.api.Usage() {
		r.Windows++
		for _, n := range report.Counts {
			r.Reported += n
		}
	}
	for _, n := range userplatform.CountRuns(w.allUpstreams()...) {
		r.Ran += n
	}
	return r
}
