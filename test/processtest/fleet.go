package processtest

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/controller/catalogsync"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/settings"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
)

// Secrets of the instances under test.
const (
	AdminToken = "admin-token-of-the-tests"
	PeerSecret = "peer-secret-of-the-tests"
)

// UpstreamService is the service name under which the instance list shows
// upstreams.
const UpstreamService = "upstreams"

// Fleet starts instances that share the stand-ins of one platform.
type Fleet struct {
	Table, Objects, List *Standin
	// Descriptors limits the open descriptors of each instance. 0 means no limit of the test's own.
	Descriptors int
	// LogUnread leaves the log of each instance in a pipe that nobody reads.
	LogUnread bool

	t testing.TB
}

// NewFleet starts the platform's stand-ins.
func NewFleet(t testing.TB) *Fleet {
	t.Helper()
	return &Fleet{
		t:       t,
		Table:   StartStandin(t, "table", "table"),
		Objects: StartStandin(t, "objects", "objects"),
		List:    StartStandin(t, "list", "instances"),
	}
}

// Instance is one running instance.
type Instance struct {
	*Process
	Settings            settings.Settings
	Caller, Admin, Peer string // IP addresses and ports
	Client              *admin.Client
}

// shortDrain is the drain delay in tests. It is short, since no load balancer
// has to notice that readiness is off.
const shortDrain = duration.Duration(100 * time.Millisecond)

// Settings returns the settings of an instance of the fleet.
func (f *Fleet) Settings(name, dataCentre string) settings.Settings {
	s := settings.Default()
	s.Instance, s.DataCentre = name, dataCentre
	s.CallerListen, s.AdminListen, s.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.AdminTokenHash, s.PeerSecret = catalog.HashKey(AdminToken), PeerSecret
	s.DrainDelay = shortDrain
	s.Platform.AccessKey, s.Platform.SecretKey = "access", "secret"
	s.Platform.Table, s.Platform.Objects, s.Platform.Instances = f.Table.URL(), f.Objects.URL(), f.List.URL()
	s.Platform.UpstreamService = UpstreamService
	return s
}

// Start starts an instance, waits until it listens and registers it with the
// instance list.
func (f *Fleet) Start(s settings.Settings) *Instance {
	f.t.Helper()
	i := f.launch(s)
	peer := netip.MustParseAddrPort(i.Peer)
	f.List.Register(instances.Registration{ID: s.Instance, IP: peer.Addr().String(), Port: int(peer.Port()), DataCentre: s.DataCentre})
	return i
}

// StartBehindProxy starts an instance that other instances reach only through
// a proxy, and registers the proxy's address with the instance list.
func (f *Fleet) StartBehindProxy(s settings.Settings, peer *Proxy) *Instance {
	f.t.Helper()
	s.PeerAddress = peer.Address
	i := f.launch(s)
	peer.Redirect(i.Peer)
	address := netip.MustParseAddrPort(peer.Address)
	f.List.Register(instances.Registration{ID: s.Instance, IP: address.Addr().String(), Port: int(address.Port()), DataCentre: s.DataCentre})
	return i
}

// StartInstance starts an instance with the default settings of the fleet.
func (f *Fleet) StartInstance(name, dataCentre string) *Instance {
	f.t.Helper()
	return f.Start(f.Settings(name, dataCentre))
}

func (f *Fleet) launch(s settings.Settings) *Instance {
	f.t.Helper()
	if f.LogUnread {
		s.CallerListen, s.AdminListen, s.PeerListen = freeAddress(f.t), freeAddress(f.t), freeAddress(f.t)
	}
	data, err := json.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.t.TempDir(), s.Instance+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	i := &Instance{Settings: s}
	args := []string{"serve", "--settings", path}
	switch {
	case f.LogUnread:
		i.Process = StartUnread(f.t, s.Instance, "hibiscusyard", args...)
		i.Caller, i.Admin, i.Peer = s.CallerListen, s.AdminListen, s.PeerListen
		Eventually(f.t, s.Instance+" listens", func() bool {
			conn, err := net.Dial("tcp", i.Admin)
			if err == nil {
				conn.Close()
			}
			return err == nil
		})
	case f.Descriptors > 0:
		i.Process = StartLimited(f.t, f.Descriptors, s.Instance, "hibiscusyard", args...)
		i.await("logs its addresses", i.readAddresses)
	default:
		i.Process = Start(f.t, s.Instance, "hibiscusyard", args...)
		i.await("logs its addresses", i.readAddresses)
	}
	i.Client = &admin.Client{Base: "http://" + i.Admin, Token: AdminToken}
	return i
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startLine is the log line that an instance writes once it listens.
type startLine struct {
	Message string `json:"message"`
	Fields  struct{ Caller, Admin, Peer string }
}

func (i *Instance) readAddresses() bool {
	for line := range strings.Lines(i.Log()) {
		var start startLine
		if json.Unmarshal([]byte(line), &start) == nil && start.Message == "instance started" {
			i.Caller, i.Admin, i.Peer = start.Fields.Caller, start.Fields.Admin, start.Fields.Peer
			return true
		}
	}
	return false
}

// Ready reports whether the instance's readiness check answers 200, on which
// the load balancer sends it callers.
func (i *Instance) Ready() bool {
	resp, err := controlClient.Get("http://" + i.Caller + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Status returns the status from the instance's administration API.
func (i *Instance) Status() (admin.Status, error) { return i.Client.Status(context.Background()) }

// AwaitMembers waits until each instance reports n members and the catalogue
// versions in force at n instances.
func AwaitMembers(t testing.TB, n int, list ...*Instance) {
	t.Helper()
	for _, i := range list {
		Eventually(t, i.Name+" lists all members", func() bool {
			status, err := i.Status()
			return err == nil && len(status.Members) == n && len(status.Versions) == n
		})
	}
}

// Put replaces a table through the instance.
func (i *Instance) Put(table string, document any) (catalogsync.Result, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return catalogsync.Result{}, err
	}
	ctx := context.Background()
	_, base, err := i.Client.Get(ctx, table)
	if err != nil {
		return catalogsync.Result{}, err
	}
	return i.Client.Put(ctx, table, data, base)
}

// MustPut replaces a table and fails the test unless the edit was accepted.
func (i *Instance) MustPut(table string, document any) {
	i.t.Helper()
	result, err := i.Put(table, document)
	if err != nil || !result.Accepted {
		i.t.Fatalf("edit of %s through %s: %+v, %v", table, i.Name, result, err)
	}
}
