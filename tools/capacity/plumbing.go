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

// replay answers requests of a platform client from a stand-in's handler
// without a network. A repeated read gets the recorded answer, so that the
// processor time is the client's own. It counts the bytes of bodies.
type replay struct {
	handler  http.Handler
	recorded map[string]*recording
	bodies   int
	calls    int
}

type recording struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recording) Header() http.Header         { return r.header }
func (r *recording) Write(p []byte) (int, error) { return r.body.Write(p) }
func (r *recording) WriteHeader(status int)      { r.status = status }

// RoundTrip implements http.RoundTripper.
func (r *replay) RoundTrip(req *http.Request) (*http.Response, error) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	key := req.Header.Get("X-Amz-Target") + string(data)
	answer := r.recorded[key]
	if answer == nil {
		answer = &recording{header: http.Header{}, status: http.StatusOK}
		req.Body = io.NopCloser(bytes.NewReader(data))
		r.handler.ServeHTTP(answer, req)
		r.recorded[key] = answer
	}
	r.calls++
	r.bodies += len(data) + answer.body.Len()
	return &http.Response{
		StatusCode: answer.status, Status: http.StatusText(answer.status), ProtoMajor: 1, ProtoMinor: 1, Header: answer.header.Clone(),
		ContentLength: int64(answer.body.Len()), Body: io.NopCloser(bytes.NewReader(answer.body.Bytes())), Request: req,
	}, nil
}

func newReplay(h http.Handler) (*replay, awsapi.Endpoint) {
	r := &replay{handler: h, recorded: map[string]*recording{}}
	return r, awsapi.Endpoint{HTTP: &http.Client{Transport: r}, URL: "http://127.0.0.1:1", AccessKey: "access", SecretKey: "secret"}
}

// must ends the program: the stand-ins answer from memory.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// listReader returns a client of an instance list with n entries.
func listReader(n int) (*replay, ports.Instances) {
	list := instances.New(instances.Config{})
	for i := range n {
		list.Register(instances.Registration{ID: instanceName(i), IP: "10.0.0.1", Port: 1024 + i, DataCentre: dataCentreName(i)})
	}
	r, endpoint := newReplay(list)
	client, err := awsapi.NewCloudMapInstances(endpoint, "hibiscusyard", "entry")
	must(err)
	return r, client
}

// shareRows fills a table with the slot rows of n workspaces.
func shareRows(t ports.Table, n int) {
	for w := range n {
		var writes []ports.Write
		for slot := range quota.Slots {
			holder := (w*quota.Slots + slot) % Instances
			value, err := quotasync.SlotRow{Holder: instanceName(holder), Incarnation: incarnation(holder), Address: address(holder), Level: 125_000.5, Generation: 3}.Encode()
			must(err)
			writes = append(writes, ports.Write{Key: fmt.Sprintf("share/%s/%d", workspaceName(w), slot), Value: value})
		}
		must(t.Transact(context.Background(), workspaceName(w), writes...))
	}
}

func shareReader(n int) (*replay, ports.Table) {
	// 1 MB of rows of about 350 bytes fill a page of the service.
	r, endpoint := newReplay(table.New(table.Config{PageSize: 3000}))
	client, err := awsapi.NewDynamoTable(endpoint, "hibiscusyard")
	must(err)
	shareRows(client, n)
	r.calls, r.bodies = 0, 0
	return r, client
}

// slotSync is the quota controller of one among all instances of the target.
func slotSync(workspaces int) (*quotasync.Sync, []quotasync.Member) {
	t := portstest.NewTable()
	shareRows(t, workspaces)
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
	must(s.Refresh(context.Background()))
	return s, list
}

type fixedSession struct{}

func (fixedSession) Valid(time.Time) bool { return true }
func (fixedSession) Instance() string     { return instanceName(0) }
func (fixedSession) Incarnation() string  { return incarnation(0) }
func (fixedSession) Address() string      { return address(0) }

// Plumbing lists the costs of the controllers and of the platform's clients.
func Plumbing() []Series {
	log.SetHandler(discard.Default)
	return []Series{
		{Name: "instance list, one reading, client only", Per: "instance", Sizes: instanceSizes, Target: Instances, NoMemory: true,
			Build: func(n int) (any, func()) {
				r, list := listReader(n)
				return r, func() { _, err := list.List(context.Background()); must(err) }
			}},
		{Name: "instance list, bodies of one reading", Per: "instance", Sizes: instanceSizes, Target: Instances,
			Encoded: func(n int) int {
				r, list := listReader(n)
				_, err := list.List(context.Background())
				must(err)
				return r.bodies
			}},
		{Name: "slot rows, one reading, client only", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces, NoMemory: true,
			Build: func(n int) (any, func()) {
				r, t := shareReader(n)
				return r, func() { _, err := t.List(context.Background(), "share"); must(err) }
			}},
		{Name: "slot rows, bodies of one reading", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			Encoded: func(n int) int {
				r, t := shareReader(n)
				_, err := t.List(context.Background(), "share")
				must(err)
				return r.bodies
			}},
		{Name: "quota controller, reading of the members (every 2 s), 860 instances", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			Build: func(n int) (any, func()) {
				s, list := slotSync(n)
				return s, func() { s.SetMembers(list) }
			}},
		{Name: "quota controller, refresh of the slots, 860 instances", Per: "workspace", Sizes: workspaceSizes, Target: Workspaces,
			Build: func(n int) (any, func()) {
				s, _ := slotSync(n)
				return s, func() { must(s.Refresh(context.Background())) }
			}},
		{Name: "peer link, both ends, a second of idling", Per: "link", Sizes: []int{8, 32, 128}, Target: Instances - 1, Idle: 6 * time.Second,
			Build: func(n int) (any, func()) { return newStar(n), nil }},
		{Name: "peer call and its answer, both ends", Per: "byte of the message", Sizes: []int{50, 500, 5000, 50000}, Target: 100, NoMemory: true,
			Build: func(n int) (any, func()) {
				s, message := newStar(1), make([]byte, n)
				return s, func() {
					must(s.centre.Call(context.Background(), instanceName(0), peer.KindGrant, message, new(int)))
				}
			}},
	}
}

// star is a hub with links from n other hubs in this process.
type star struct {
	centre *peer.Hub
	cancel context.CancelFunc
	server *http.Server
}

func newStar(n int) *star {
	quiet := &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	centre := peer.NewHub(peer.Identity{Instance: "centre", Incarnation: "1"}, "secret", quiet)
	centre.SetAddress(l.Addr().String())
	up := make(chan struct{}, n)
	centre.OnChange(func(_ peer.Identity, connected bool) {
		if connected {
			up <- struct{}{}
		}
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, centre)
	ctx, cancel := context.WithCancel(context.Background())
	s := &star{centre: centre, cancel: cancel, server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}}
	go s.server.Serve(l) //nolint:errcheck // it ends with Close.
	for i := range n {
		hub := peer.NewHub(peer.Identity{Instance: instanceName(i), Incarnation: incarnation(i)}, "secret", quiet)
		hub.Handle(peer.KindGrant, func(context.Context, peer.Identity, []byte) (any, error) { return 1, nil })
		hub.SetAddress(address(i)) // lower than the centre's, so that this side dials
		hub.SetTargets(ctx, []string{l.Addr().String()})
	}
	for range n {
		<-up
	}
	return s
}

// Close ends the links.
func (s *star) Close() error {
	s.cancel()
	return s.server.Close()
}
