package hibiscusyard

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/settings"
	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/standin/objects"
	"github.com/hibiscusyard/hibiscusyard/standin/table"
)

const (
	adminToken       = "operator-token"
	callerKey        = "caller-key"
	propagationLimit = 8 * time.Second // stated limit for an edit or a withdrawal to take effect on all instances
	// knownCheckpoint is a checkpoint that the weight store has.
	knownCheckpoint = "known"
	waitLimit       = 30 * time.Second
)

// fleet runs instances in this process against stand-ins of the platform services.
type fleet struct {
	t                *testing.T
	table            *table.Table
	tableConnections []*tableConnection // one for each instance
	list             *instances.Instances
	weights          *objects.Objects
	urls             [3]string // base URLs of the object store, the instance list and the weight store
	instances        []*Instance
}

// tableConnection forwards one instance's requests to the table and can be cut.
type tableConnection struct {
	next http.Handler
	down atomic.Bool
}

func (s *tableConnection) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	s.next.ServeHTTP(w, r)
}

func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, table: table.New(table.Config{}), list: instances.New(instances.Config{}), weights: objects.New()}
	store := httptest.NewServer(objects.New())
	t.Cleanup(store.Close)
	list := httptest.NewServer(f.list)
	t.Cleanup(list.Close)
	weights := httptest.NewServer(f.weights)
	t.Cleanup(weights.Close)
	f.weights.SetSize("weights", knownCheckpoint, 1)
	f.urls = [3]string{store.URL, list.URL, weights.URL}
	for k := range n {
		f.start(k)
	}
	return f
}

func (f *fleet) start(k int) {
	f.t.Helper()
	connection := &tableConnection{next: f.table}
	server := httptest.NewServer(connection)
	f.t.Cleanup(server.Close)
	s := settings.Default()
	s.Instance, s.DataCentre = fmt.Sprintf("i-%d", k), fmt.Sprintf("dc-%d", k%3)
	s.CallerListen, s.AdminListen, s.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.AdminTokenHash, s.PeerSecret = catalog.HashKey(adminToken), "sixteen-characters"
	s.StaleAfter, s.PollInterval = duration.Duration(2*time.Second), duration.Duration(200*time.Millisecond)
	s.DrainDelay = duration.Duration(10 * time.Millisecond)
	s.Platform.AccessKey, s.Platform.SecretKey = "a", "b"
	s.Platform.Table, s.Platform.Objects, s.Platform.Instances = server.URL, f.urls[0], f.urls[1]
	s.Platform.Weights = f.urls[2]
	if err := s.Validate(); err != nil {
		f.t.Fatal(err)
	}
	i, err := New(s, &log.Logger{Handler: discard.New(), Level: log.InfoLevel})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := i.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		i.Shutdown(ctx) //nolint:errcheck // tests of shutdown check it themselves.
	})
	f.instances = append(f.instances, i)
	f.tableConnections = append(f.tableConnections, connection)
	f.register(i)
}

func (f *fleet) register(i *Instance) {
	f.t.Helper()
	var port int
	if _, err := fmt.Sscanf(i.PeerAddress(), "127.0.0.1:%d", &port); err != nil {
		f.t.Fatal(err)
	}
	f.list.Register(instances.Registration{ID: i.settings.Instance, IP: "127.0.0.1", Port: port, DataCentre: i.settings.DataCentre})
}

// eventually waits for a condition and returns how long it took.
func eventually(t *testing.T, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("%s: condition not met within %s", description, limit)
		}
		<-ticker.C
	}
	return time.Since(start)
}

func (f *fleet) awaitLinks() {
	f.t.Helper()
	eventually(f.t, waitLimit, "all links up", func() bool {
		for _, i := range f.instances {
			if len(i.hub.Connected()) != len(f.instances)-1 || i.members.Count() != len(f.instances) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) admin(k int) *admin.Client {
	return &admin.Client{Base: "http://" + f.instances[k].AdminAddress(), Token: adminToken}
}

// put replaces a table through instance k, based on its current version, and
// returns the new version.
func (f *fleet) put(k int, tableName string, document any) uint64 {
	f.t.Helper()
	data, err := json.Marshal(document)
	if err != nil {
		f.t.Fatal(err)
	}
	_, base, err := f.admin(k).Get(context.Background(), tableName)
	if err != nil {
		f.t.Fatal(err)
	}
	result, err := f.admin(k).Put(context.Background(), tableName, data, base)
	if err != nil {
		f.t.Fatal(err)
	}
	return result.Version
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	eventually(f.t, waitLimit, "all instances ready", func() bool {
		for _, i := range f.instances {
			if len(i.notReady()) > 0 {
				return false
			}
		}
		return true
	})
}

// awaitShareSlots waits until all slots of the one workspace are held and each
// instance serves a call. A slot without a holder at the start of an outage
// can't be taken before the outage ends.
func (f *fleet) awaitShareSlots() {
	f.t.Helper()
	eventually(f.t, waitLimit, "all share slots held", func() bool {
		rows, err := f.instances[0].table.List(context.Background(), "share")
		return err == nil && len(rows) == quota.Slots
	})
	for k := range f.instances {
		eventually(f.t, waitLimit, "each instance serves", func() bool { return f.call(k, "/signup/x", callerKey).status == http.StatusOK })
	}
}

// serviceTables returns routes and pools tables with one plain service and one
// workspace that has the keys.
func serviceTables(address string, keys ...string) (admin.RoutesDocument, admin.PoolsDocument) {
	workspace := catalog.Workspace{Name: "w-1", Rate: 100_000, Burst: 1_000_000}
	for _, key := range keys {
		workspace.Keys = append(workspace.Keys, catalog.HashKey(key))
	}
	pools := admin.PoolsDocument{Pools: []catalog.Pool{{
		Name: "signup", Kind: catalog.Service,
		Upstreams: []catalog.Upstream{{Name: "s-1", Address: address, DataCentre: "dc-0"}},
	}}}
	routes := admin.RoutesDocument{Routes: []catalog.Route{{
		Name: "signup", Pool: "signup", Prefix: "/signup/", Workspaces: []catalog.Workspace{workspace},
	}}}
	return routes, pools
}

type response struct {
	status  int
	code    string
	verdict string
	body    string
}

func (f *fleet) call(k int, path, key string) response {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.instances[k].CallerAddress()+path, bytes.NewReader([]byte(`{}`)))
	if err != nil {
		f.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	var refusal struct {
		Error struct{ Code, Verdict string }
	}
	json.Unmarshal(data, &refusal) //nolint:errcheck // not every answer is a refusal.
	return response{resp.StatusCode, refusal.Error.Code, refusal.Error.Verdict, string(data)}
}

// setTableOutage makes all connections to the table fail, or ends the outage.
func (f *fleet) setTableOutage(on bool) {
	faults := standin.Faults{}
	if on {
		faults.Outage = standin.OutageClose
	}
	f.table.SetFaults(faults)
}
