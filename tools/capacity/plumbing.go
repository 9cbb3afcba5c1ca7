package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/controller/quotasync"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/plumbing/awsapi"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/standin/table"
)

// replayTransport is an HTTP transport that passes the requests of a platform
// client to a stand-in's handler without a network. A repeated request gets the
// recorded response, so that the processor time is that of the client alone. It
// counts calls and the bytes of bodies.
type replayTransport struct {
	handler   http.Handler
	responses map[string]*recordedResponse
	bodyBytes int
	calls     int
}

type recordedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recordedResponse) Header() http.Header         { return r.header }
func (r *recordedResponse) Write(p []byte) (int, error) { return r.body.Write(p) }
func (r *recordedResponse) WriteHeader(status int)      { r.status = status }

// RoundTrip implements http.RoundTripper.
func (r *replayTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	key := req.Header.Get("X-Amz-Target") + string(data)
	response := r.responses[key]
	if response == nil {
		response = &recordedResponse{header: http.Header{}, status: http.StatusOK}
		req.Body = io.NopCloser(bytes.NewReader(data))
		r.handler.ServeHTTP(response, req)
		r.responses[key] = response
	}
	r.calls++
	r.bodyBytes += len(data) + response.body.Len()
	return &http.Response{
		StatusCode: response.status, Status: http.StatusText(response.status), ProtoMajor: 1, ProtoMinor: 1, Header: response.header.Clone(),
		ContentLength: int64(response.body.Len()), Body: io.NopCloser(bytes.NewReader(response.body.Bytes())), Request: req,
	}, nil
}

func newReplayEndpoint(h http.Handler) (*replayTransport, awsapi.Endpoint) {
	r := &replayTransport{handler: h, responses: map[string]*recordedResponse{}}
	return r, awsapi.Endpoint{HTTP: &http.Client{Transport: r}, URL: "http://127.0.0.1:1", AccessKey: "access", SecretKey: "secret"}
}

// panicOnError panics on an error. None is expected, as the stand-ins respond
// from memory.
func panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}

// newListClient returns a client of an instance list with n entries.
func newListClient(n int) (*replayTransport, ports.InstanceList) {
	list := instances.New(instances.Config{})
	for i := range n {
		list.Register(instances.Registration{ID: instanceName(i), IP: "10.0.0.1", Port: 1024 + i, DataCentre: dataCentreName(i)})
	}
	r, endpoint := newReplayEndpoint(list)
	client, err := awsapi.NewCloudMapInstances(endpoint, "hibiscusyard", "entry")
	panicOnError(err)
	return r, client
}

// writeSlotRows writes the slot rows of n workspaces to a table.
func writeSlotRows(t ports.Table, n int) {
	for w := range n {
		var writes []ports.Write
		for slot := range quota.Slots {
			holder := (w*quota.Slots + slot) % Instances
			value, err := quotasync.SlotRow{Holder: instanceName(holder), Incarnation: incarnation(holder), Address: address(holder), Level: 125_000.5, Generation: 3}.Encode()
			panicOnError(err)
			writes = append(writes, ports.Write{Key: fmt.Sprintf("share/%s/%d", workspaceName(w), slot), Value: value})
		}
		panicOnError(t.Transact(context.Background(), workspaceName(w), writes...))
	}
}

func newSlotRowClient(n int) (*replayTransport, ports.Table) {
	// A page of the service holds 1 MB, which is 3000 rows of about 350 bytes.
	r, endpoint := newReplayEndpoint(table.New(table.Config{PageSize: 3000}))
	client, err := awsapi.NewDynamoTable(endpoint, "hibiscusyard")
	panicOnError(err)
	writeSlotRows(client, n)
	r.calls, r.bodyBytes = 0, 0
	return r, client
}

// newSlotSync returns the quota controller of one instance of the target, with
// all its instances as members, and the list of these.
func newSlotSync(workspaces int) (*quotasync.Sync, []quotasync.Member) {
	t := portstest.NewTable()
	writeSlotRows(t, workspaces)
	config := quotasync.DefaultConfig()
	config.Table, config.Session = t, fixedSession{}
	s := quotasync.New(config)
	limits := map[string]catalog.Workspace{}
	for w := range workspaces {
		limits[workspaceName(w)] = catalog.Workspace{Name: workspaceName(w), Rate: 1e6, Burst: 1e6}
	}
	s.SetLimits(limits)
	var list []quotasync.Member
	for i := range Instances {
		list = append(list, quotasync.Member{Instance: instanceName(i), Incarnation: incarnation(i), Address: address(i), DataCentre: dataCentreName(i)})
	}
	s.SetMembers(list)
	panicOnError(s.Refresh(context.Background()))
	return s, list
}

type fixedSession struct{}

func (fixedSession) Valid(time.Time) bool { return true }
func (fixedSession) Instance() string     { return instanceName(0) }
func (fixedSession) Incarnation() string  { return incarnation(0) }
func (fixedSession) Address() string      { return address(0) }

// Plumbing returns the measurements of the controllers, the platform clients and
// the peer links.
func Plumbing() []Series {
	log.SetHandler(discard.Default)
	return []Series{
		{Name: "instance list, one reading, client only", Per: "instance", Sizes: instanceSizes, Target: Instances, NoMemory: true,
			Build: func(n int) (any, func()) {
				r, list := newListClient(n)
				return r, func() { _, err := list.List(context.Background()); panicOnError(err) }
			}},
		{Name: "instance list, bodies of one reading", Per: "instance", Sizes: instanceSizes, Target: Instances,
			EncodedLength: func(n int) int {
				r, list := newListClient(n)
				_, err := list.List(context.Background())
				panicOnError(err)
				return r.bodyBytes
			}},
		{Name: "slot rows, one reading, client only", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces, NoMemory: true,
			Build: func(n int) (any, func()) {
				r, t := newSlotRowClient(n)
				return r, func() { _, err := t.List(context.Background(), "share"); panicOnError(err) }
			}},
		{Name: "slot rows, bodies of one reading", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			EncodedLength: func(n int) int {
				r, t := newSlotRowClient(n)
				_, err := t.List(context.Background(), "share")
				panicOnError(err)
				return r.bodyBytes
			}},
		{Name: "quota controller, reading of the members (every 2 s), 860 instances", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			Build: func(n int) (any, func()) {
				s, list := newSlotSync(n)
				return s, func() { s.SetMembers(list) }
			}},
		{Name: "quota controller, refresh of the slots, 860 instances", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			Build: func(n int) (any, func()) {
				s, _ := newSlotSync(n)
				return s, func() { panicOnError(s.Refresh(context.Background())) }
			}},
		{Name: "peer link, both ends, a second of idling", Per: "link", Sizes: []int{8, 32, 128}, Target: Instances - 1, IdleTime: 6 * time.Second,
			Build: func(n int) (any, func()) { return newStar(n), nil }},
		{Name: "peer call and its answer, both ends", Per: "byte of the message", Sizes: []int{50, 500, 5000, 50000}, Target: 100, NoMemory: true,
			Build: func(n int) (any, func()) {
				s, message := newStar(1), make([]byte, n)
				return s, func() {
					panicOnError(s.centre.Call(context.Background(), instanceName(0), peer.KindGrant, message, new(int)))
				}
			}},
	}
}

// star is a star network: one hub with links from n other hubs in this process.
type star struct {
	centre *peer.Hub
	cancel context.CancelFunc
	server *http.Server
}

func newStar(n int) *star {
	silent := &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	panicOnError(err)
	centre := peer.NewHub(peer.Identity{Instance: "centre", Incarnation: "1"}, "secret", silent)
	centre.SetAddress(l.Addr().String())
	connections := make(chan struct{}, n)
	centre.OnChange(func(_ peer.Identity, connected bool) {
		if connected {
			connections <- struct{}{}
		}
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, centre)
	ctx, cancel := context.WithCancel(context.Background())
	s := &star{centre: centre, cancel: cancel, server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}}
	go s.server.Serve(l) //nolint:errcheck // returns after Close.
	for i := range n {
		hub := peer.NewHub(peer.Identity{Instance: instanceName(i), Incarnation: incarnation(i)}, "secret", silent)
		hub.Handle(peer.KindGrant, func(context.Context, peer.Identity, []byte) (any, error) { return 1, nil })
		hub.SetAddress(address(i)) // sorts before the centre's address, so that this side dials
		hub.SetTargets(ctx, []string{l.Addr().String()})
	}
	for range n {
		<-connections
	}
	return s
}

// Close closes the links and the server.
func (s *star) Close() error {
	s.cancel()
	return s.server.Close()
}
