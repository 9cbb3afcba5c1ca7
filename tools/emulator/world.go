package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
	// readyLimit bounds the start of an instance; loopback takes some 100 ms.
	readyLimit = 30 * time.Second
	readyPoll  = 50 * time.Millisecond
	// probeTimeout bounds one question for readiness.
	probeTimeout = time.Second
	// weightsMB is the size of each model and adapterMB that of each adapter;
	// only their number in an upstream matters here.
	weightsMB = 100.0
	adapterMB = 1.0
	// plainTokens is what a plain request costs of its workspace's limit, and
	// attempts how often a route may send a request that can be repeated.
	plainTokens = 1
	attempts    = 2
	// connectionsPerSlot is how many connections an upstream takes for each slot.
	connectionsPerSlot = 4
	// unboundedTokens is the memory that instances assume of an engine without a bound.
	unboundedTokens = 1 << 20
	// dataCentre is where everything stands.
	dataCentre = "north"
	// Host is the name that callers ask for.
	Host = "emulator.example"
)

// World is a running deployment of a scenario.
type World struct {
	scenario  *Scenario
	log       log.Interface
	store     *userplatform.Store
	server    *http.Server
	address   string
	upstreams map[string]*userplatform.Upstream

	mu    sync.Mutex
	nodes []*instance // those that take requests
	begun int         // instances that were ever started
}

// instance is one instance and its addresses.
type instance struct {
	node    *node.Node
	name    string
	callers string
	ready   string
}

// Start runs the deployment and returns when its instances are ready.
func Start(ctx context.Context, s *Scenario, logger log.Interface) (*World, error) {
	w := &World{scenario: s, log: logger, store: userplatform.NewStore(), upstreams: map[string]*userplatform.Upstream{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, oops.In("emulator").Wrap(err)
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w.store.Gate(), ReadHeaderTimeout: readyLimit}
	go w.server.Serve(l) //nolint:errcheck // it ends with Stop.
	if err := w.desired().Write(w.store); err != nil {
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

// Stop ends the deployment.
func (w *World) Stop() {
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
	if w.server != nil {
		w.server.Close()
	}
}

// Callers returns the addresses for callers of the instances that are ready.
func (w *World) Callers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]string, len(w.nodes))
	for i, n := range w.nodes {
		list[i] = n.callers
	}
	return list
}

// Key returns the credential of a workspace.
func Key(workspace string) string { return workspace + "-key" }

// desired is the scenario as the platform's operator would write it.
func (w *World) desired() userplatform.Desired {
	d := userplatform.Desired{Version: 1}
	for _, s := range w.scenario.Services {
		service := userplatform.Service{Name: s.Name, HealthPath: "/health", Connections: connectionsPerSlot * s.Slots}
		if s.Engine != nil {
			service.Engine = s.Engine.desired(s.Slots)
		}
		d.Services = append(d.Services, service)
	}
	for _, k := range w.scenario.Kinds {
		objective := k.Objective.Std().Milliseconds()
		d.Routes = append(d.Routes, userplatform.Route{
			Name: k.Name, Host: Host, Prefix: k.path(), Kind: k.Type, Service: k.Service, Attempts: attempts,
			TimeoutMS: k.Deadline.Std().Milliseconds(), TargetMS: objective, GapMS: objective, Resumable: k.Type == Streaming,
		})
	}
	for _, t := range w.scenario.Workspaces {
		d.Tenants = append(d.Tenants, userplatform.Tenant{
			Name: t.Name, Keys: []string{Key(t.Name)}, PlainTokens: plainTokens, Rate: t.Rate, Burst: t.Burst, Priority: &t.Priority,
		})
	}
	return d
}

func (e *Engine) desired(slots int) *userplatform.EngineLimit {
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

func (k *Kind) path() string { return "/" + k.Name + "/" }

// startUpstream starts the k-th upstream of a service; the models that are
// loaded at the start go round.
func (w *World) startUpstream(s *Service, k int) error {
	u := &userplatform.Upstream{
		ID: upstreamName(s.Name, k), Service: s.Name, Zone: dataCentre, Slots: s.Slots, Work: s.Work.Std(),
	}
	if e := s.Engine; e != nil {
		u.Events = e.Events
		u.Engine = &userplatform.Engine{
			Places: e.Places, AdapterSlots: e.AdapterSlots, LoadTime: e.LoadTime.Std(), Models: map[string][]string{},
			Batch: userplatform.Batch{ReadPerMS: e.ReadPerMS, Slowdown: e.Slowdown, KVTokens: e.KVTokens, CacheTokens: e.CacheTokens},
		}
		for place := range e.Places {
			if m := place*s.Upstreams + k; m < e.Models {
				u.Engine.Models[fmt.Sprintf("m%d", m)] = nil
			}
		}
	}
	w.upstreams[u.ID] = u
	return oops.In("emulator").Wrapf(u.Start(w.store), "start %s", u.ID)
}

// addInstance starts an instance and lets it take requests once it is ready.
func (w *World) addInstance(ctx context.Context) error {
	w.mu.Lock()
	w.begun++
	name := fmt.Sprintf("entry-%d", w.begun)
	w.mu.Unlock()
	settings, err := sample.Settings(name, w.address)
	if err != nil {
		return err
	}
	i := &instance{name: name, node: node.New(settings, w.log), callers: settings.CallerListen, ready: settings.ReadyListen}
	if err := i.node.Start(); err != nil {
		return oops.In("emulator").Wrapf(err, "start %s", name)
	}
	for end := time.Now().Add(readyLimit); !i.isReady(ctx); {
		if time.Now().After(end) || !duration.Sleep(ctx, readyPoll) {
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
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+userplatform.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close() //nolint:errcheck // only the status counts.
	return response.StatusCode == http.StatusOK
}

// replaceInstance starts a new instance and shuts the oldest one down.
func (w *World) replaceInstance(ctx context.Context) error {
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

// work sums up what the engines have done.
func (w *World) work() (sum userplatform.Work) {
	for _, u := range w.upstreams {
		if u.Engine == nil {
			continue
		}
		one := u.Engine.Work()
		sum.Loads += one.Loads
		sum.Orders += one.Orders
		sum.Refused += one.Refused
		sum.PromptsRead += one.PromptsRead
		sum.PromptsKept += one.PromptsKept
	}
	return sum
}
