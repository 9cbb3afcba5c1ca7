// Package development runs a small system in one process: the stand-ins of
// the platform, two model engines, a plain service and two instances.
package development

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard"
	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/settings"
	"github.com/hibiscusyard/hibiscusyard/standin/engine"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/standin/objects"
	"github.com/hibiscusyard/hibiscusyard/standin/service"
	"github.com/hibiscusyard/hibiscusyard/standin/table"
)

// Credentials of the sample system.
const (
	AdminToken = "development-admin-token"
	CallerKey  = "development-caller-key"
	peerSecret = "development-peer-secret"
)

const (
	readyLimit = 30 * time.Second
	readyPoll  = 50 * time.Millisecond
	loadTime   = 3 * time.Second
	tokenPace  = 20 * time.Millisecond
	engineMB   = 16_000
	serviceDC  = "dc-1"
)

// System is a running sample system.
type System struct {
	Instances []*hibiscusyard.Instance
	list      *instances.Instances
	platform  settings.Platform
	servers   []*http.Server
	log       log.Interface
}

// Start starts the sample system and returns when its instances are ready. If it
// fails, it returns the partly started system with the error.
func Start(ctx context.Context, logger log.Interface) (*System, error) {
	s := &System{log: logger, list: instances.New(instances.Config{})}
	if err := s.startPlatform(); err != nil {
		return s, err
	}
	for _, entry := range []struct{ name, dataCentre string }{{"entry-1", "dc-1"}, {"entry-2", "dc-2"}} {
		if err := s.startInstance(entry.name, entry.dataCentre); err != nil {
			return s, err
		}
	}
	if err := s.writeTables(ctx); err != nil {
		return s, err
	}
	return s, s.awaitReady(ctx)
}

// serve runs a handler on a free loopback port and returns its address.
func (s *System) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("development").Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyLimit}
	s.servers = append(s.servers, server)
	go server.Serve(l) //nolint:errcheck // it returns when Stop closes the server.
	return l.Addr().String(), nil
}

func (s *System) startPlatform() error {
	defaults := settings.Default()
	s.platform = defaults.Platform
	s.platform.AccessKey, s.platform.SecretKey = "development", "development"
	for _, part := range []struct {
		url     *string
		handler http.Handler
	}{
		{&s.platform.Table, table.New(table.Config{})},
		{&s.platform.Objects, objects.New()},
		{&s.platform.Instances, s.list},
	} {
		address, err := s.serve(part.handler)
		if err != nil {
			return err
		}
		*part.url = "http://" + address
	}
	return nil
}

func (s *System) startInstance(name, dataCentre string) error {
	c := settings.Default()
	c.Instance, c.DataCentre, c.Platform = name, dataCentre, s.platform
	c.CallerListen, c.AdminListen, c.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	c.AdminTokenHash, c.PeerSecret = catalog.HashKey(AdminToken), peerSecret
	c.DrainDelay = duration.Duration(time.Second)
	if err := c.Validate(); err != nil {
		return err
	}
	i, err := hibiscusyard.New(c, s.log)
	if err != nil {
		return err
	}
	if err := i.Start(); err != nil {
		return err
	}
	s.Instances = append(s.Instances, i)
	peer, err := net.ResolveTCPAddr("tcp", i.PeerAddress())
	if err != nil {
		return oops.In("development").Wrap(err)
	}
	s.list.Register(instances.Registration{ID: name, IP: peer.IP.String(), Port: peer.Port, DataCentre: dataCentre})
	return nil
}

// Client returns a client of the first instance's administration API.
func (s *System) Client() *admin.Client {
	return &admin.Client{Base: "http://" + s.Instances[0].AdminAddress(), Token: AdminToken}
}

func (s *System) writeTables(ctx context.Context) error {
	pools := admin.PoolsDocument{Pools: []catalog.Pool{{Name: "drafting", Kind: catalog.Engine}}}
	for k, dataCentre := range []string{"dc-1", "dc-2"} {
		e := engine.New(engine.Config{MemoryMB: engineMB, Fencing: true, LoadRemote: loadTime, LoadAdapter: loadTime / 100, Pace: tokenPace})
		address, err := s.serve(e)
		if err != nil {
			return err
		}
		pools.Pools[0].Upstreams = append(pools.Pools[0].Upstreams, catalog.Upstream{
			Name: fmt.Sprintf("worker-%d", k+1), Address: address, DataCentre: dataCentre, MemoryMB: engineMB, Fencing: true,
		})
	}
	pools.Pools[0].Models = []catalog.Model{
		{Name: "notices", MemoryMB: 8_000, CacheMB: 2_000, LoadTime: duration.Duration(loadTime)},
		{Name: "notices-formal", Base: "notices", MemoryMB: 200, LoadTime: duration.Duration(loadTime / 100)},
	}
	address, err := s.serve(service.New(service.Config{}))
	if err != nil {
		return err
	}
	pools.Pools = append(pools.Pools, catalog.Pool{
		Name: "booking", Kind: catalog.Service,
		Upstreams: []catalog.Upstream{{Name: "booking-1", Address: address, DataCentre: serviceDC}},
	})
	workspace := catalog.Workspace{Name: "sample", Keys: []string{catalog.HashKey(CallerKey)}, Rate: 1_000, Burst: 20_000}
	routes := admin.RoutesDocument{Routes: []catalog.Route{
		{Name: "drafting", Pool: "drafting", Models: []string{"notices", "notices-formal"}, Workspaces: []catalog.Workspace{workspace}},
		{Name: "booking", Pool: "booking", Prefix: "/booking/", Workspaces: []catalog.Workspace{workspace}},
	}}
	if err := s.put(ctx, "pools", pools); err != nil {
		return err
	}
	return s.put(ctx, "routes", routes)
}

// put replaces a table of the catalogue through the first instance.
func (s *System) put(ctx context.Context, name string, document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return oops.In("development").Wrap(err)
	}
	_, base, err := s.Client().Get(ctx, name)
	if err != nil {
		return err
	}
	_, err = s.Client().Put(ctx, name, data, base)
	return err
}

func (s *System) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, i := range s.Instances {
		for !isReady(ctx, "http://"+i.AdminAddress()+"/readyz") {
			select {
			case <-ctx.Done():
				return oops.In("development").Errorf("instance at %s is not ready", i.AdminAddress())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Explain prints example commands for the running system.
func (s *System) Explain(w io.Writer) {
	caller, operator := s.Instances[0].CallerAddress(), s.Instances[0].AdminAddress()
	fmt.Fprintf(w, `hibiscusyard is ready: two instances, two engines, one service.

A first request loads the model (%s), a second one finds it loaded:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"notices","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a notice."}]}'

As an operator, look at the instances and edit the tables:

  export HIBISCUSYARD_ADMIN_TOKEN=%s
  go run ./cmd/hibiscusyard status --admin http://%s
  go run ./cmd/hibiscusyard routes get --admin http://%s

Press Ctrl-C to end.
`, loadTime, caller, CallerKey, AdminToken, operator, operator)
}

// Stop shuts the instances down, closes the servers and returns the first error.
func (s *System) Stop(ctx context.Context) error {
	var first error
	for _, i := range s.Instances {
		if err := i.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	for _, server := range s.servers {
		server.Close()
	}
	return first
}
