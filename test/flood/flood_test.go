// Package flood runs the daemon as a process under callers that make it keep as much as
// they can: large bodies that stop short of their end, heads that do not end, answers that
// are not read. It checks that the process lives, that its memory and descriptors stay
// within bounds, and that it answers other callers.
package flood

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/node/sample"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// The crowd and the bounds. They were fixed before the product had any bound on the
// memory of bodies, and are not adapted to it.
const (
	crowd       = 160     // clients at once
	connections = 400     // of the form that only opens connections
	memoryMB    = 64      // of the machine; the bound on resident memory
	bodyBytes   = 1 << 20 // the largest body that the limits of the desired state allow
	answerBytes = 250 << 10
	// descriptorLimit is the limit of the process. A part of it has to stay free for the
	// store, other instances and upstreams.
	descriptorLimit = 256
	maxDescriptors  = 224
	// clientTimeout bounds one write or read of a client, so that an instance which neither
	// reads nor closes a connection does not stop the test.
	clientTimeout = 10 * time.Second
)

func TestMain(m *testing.M) { processtest.Main(m) }

// limits are the bounds of the machine of a process under test.
type limits struct {
	memoryMB        int // bound on resident memory
	descriptorLimit int // of the process
	maxDescriptors  int // bound on open descriptors
}

// smallMachine is the machine that few connections fill.
var smallMachine = limits{memoryMB: memoryMB, descriptorLimit: descriptorLimit, maxDescriptors: maxDescriptors}

// instance is the process under test with the stand-ins around it.
type instance struct {
	limits
	t         *testing.T
	keepsIdle bool // the crowd is answered, and its connections may stay idle for long
	process   *processtest.Process
	callers   string
	ordinary  func(id string) (*http.Request, error) // builds a request of another workspace
	served    func(status int, length int64) bool    // judges the answer to it
	crowd     []net.Conn
	mu        sync.Mutex
	sent      atomic.Int64 // bytes that clients have sent
	initial   int          // open descriptors before the load
	maxOpened int          // most open descriptors seen
}

// client is one caller of the crowd. It returns when it has sent all that it sends, or
// when the instance has closed its connection.
type client func(i *instance, n int, conn net.Conn)

// Guards against callers that end a process, or lock other callers out, by what they make
// it keep. Each form runs alone against a process of its own.
func TestProcessOutlivesACrowd(t *testing.T) {
	for _, form := range []struct {
		name    string
		clients int
		client  client
	}{
		{"bodies with a length", crowd, sendBody},
		{"bodies in chunks", crowd, sendChunks},
		{"bodies piece by piece", crowd, dripBody},
		{"whole bodies for a model that is not loaded", crowd, sendToModel},
		{"bodies without a valid key", crowd, sendWithoutKey},
		{"heads that do not end", crowd, sendHead},
		{"answers that are not read", crowd, ignoreAnswers},
		{"connections", connections, sendLittle},
	} {
		t.Run(form.name, func(t *testing.T) {
			newInstance(t, smallMachine).outlive(form.clients, form.client)
		})
	}
}

// outlive runs a crowd against the instance, whose bounds are checked, and requests of
// another workspace during that and afterwards.
func (i *instance) outlive(clients int, c client) {
	i.t.Helper()
	defer i.check()
	i.answer("before")
	i.run(clients, c)
	i.answer("during")
	if !i.keepsIdle {
		i.awaitRelease()
	}
	i.leave()
	i.answer("afterwards")
}

func newInstance(t *testing.T, machine limits) *instance {
	t.Helper()
	i := &instance{t: t, limits: machine}
	i.served = func(status int, length int64) bool { return status == http.StatusOK && length == answerBytes }
	i.ordinary = func(id string) (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/signup/1", strings.NewReader("an ordinary body"))
		if err != nil {
			return nil, err
		}
		r.Host = "rota.example"
		r.Header.Set("Authorization", "Token archive-key")
		r.Header.Set(userplatform.HeaderID, id)
		return r, nil
	}
	store := userplatform.NewStore()
	server := httptest.NewServer(store.Gate())
	t.Cleanup(server.Close)
	desired := userplatform.Sample()
	for n := range desired.Tenants {
		desired.Tenants[n].Rate, desired.Tenants[n].Burst = 1e9, 1e9 // the limit of workspaces is no subject here
	}
	if err := desired.Write(store); err != nil {
		t.Fatal(err)
	}
	for _, u := range []*userplatform.Upstream{
		{ID: "rota-1", Service: "rota", Zone: "north", Slots: 2 * crowd, AnswerBytes: answerBytes},
		// The model that the crowd asks for is never loaded.
		{ID: "engine-1", Service: "engine", Zone: "north", Slots: 16, Engine: &userplatform.Engine{
			ModelCapacity: 2, AdapterSlots: 2, LoadTime: time.Hour, Models: map[string][]string{"notices": nil},
		}},
	} {
		if err := u.Start(store); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Close)
	}
	ready := i.start(server.Listener.Addr().String())
	processtest.Eventually(t, "the instance is ready", func() bool {
		if i.process.Ended() { // another process has taken one of its addresses
			ready = i.start(server.Listener.Addr().String())
		}
		response, err := http.Get("http://" + ready + "/readiness")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	i.initial = i.process.Descriptors()
	return i
}

// start starts the process at new addresses and returns that of its readiness endpoint.
func (i *instance) start(store string) string {
	i.t.Helper()
	settings, err := sample.Settings("entry-1", store)
	if err != nil {
		i.t.Fatal(err)
	}
	settings.MemoryMB = float64(i.memoryMB)
	data, err := json.Marshal(settings)
	if err != nil {
		i.t.Fatal(err)
	}
	path := filepath.Join(i.t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		i.t.Fatal(err)
	}
	i.callers = settings.CallerListen
	i.process = processtest.StartLimited(i.t, i.descriptorLimit, "entry-1", "hibiscusyard-front", "serve", "--settings", path)
	return settings.ReadyListen
}

// keptDescriptors is the number of descriptors that the process may open for itself after
// it is ready, for idle connections to upstreams and to the store.
const keptDescriptors = 24

// awaitRelease waits until the process has closed the connections of the crowd, whose
// clients neither send nor read nor close anything any more.
func (i *instance) awaitRelease() {
	i.t.Helper()
	took := processtest.Within(i.t, processtest.WaitCap, "the process closes the connections of the crowd", func() bool {
		i.sample()
		return i.process.Descriptors() <= i.initial+keptDescriptors
	})
	i.t.Logf("connections of the crowd closed after %.0f s", took.Seconds())
}

// run starts the crowd and waits until all clients have sent what they send. Their
// connections stay open until leave.
func (i *instance) run(clients int, c client) {
	i.t.Cleanup(i.leave)
	var group sync.WaitGroup
	done := make(chan struct{})
	for n := range clients {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", i.callers, clientTimeout)
			if err != nil {
				return // the instance accepts no more connections
			}
			i.mu.Lock()
			i.crowd = append(i.crowd, conn)
			i.mu.Unlock()
			c(i, n, conn)
		})
	}
	go func() { group.Wait(); close(done) }()
	processtest.Eventually(i.t, "the crowd has sent its requests", func() bool {
		i.sample()
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	i.t.Logf("the crowd has sent %d MiB", i.sent.Load()>>20)
}

// leave closes the connections of the crowd.
func (i *instance) leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, conn := range i.crowd {
		conn.Close()
	}
	i.crowd = nil
}

// sample records the use of descriptors.
func (i *instance) sample() {
	if i.process.Ended() {
		i.t.Fatalf("the process has ended with code %d", i.process.ExitCode())
	}
	i.maxOpened = max(i.maxOpened, i.process.Descriptors())
}

// check compares what the process has used with the bounds.
func (i *instance) check() {
	i.sample()
	peak := i.process.PeakMemory()
	i.t.Logf("peak of resident memory %d MiB, of descriptors %d", peak>>20, i.maxOpened)
	if !raceDetector && peak > int64(i.memoryMB)<<20 {
		i.t.Errorf("the process used %d MiB of memory at its peak, bound %d", peak>>20, i.memoryMB)
	}
	if i.maxOpened > i.maxDescriptors {
		i.t.Errorf("the process had %d open descriptors, bound %d", i.maxOpened, i.maxDescriptors)
	}
}

// answer waits until an ordinary request with the key of another workspace is served.
func (i *instance) answer(when string) {
	i.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
	attempts, last := 0, ""
	started := time.Now()
	for time.Since(started) < processtest.WaitCap {
		attempts++
		i.sample()
		r, err := i.ordinary(fmt.Sprintf("%s-%d", when, attempts))
		if err != nil {
			i.t.Fatal(err)
		}
		response, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		length, err := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err == nil && i.served(response.StatusCode, length) {
			i.t.Logf("%s: served at attempt %d", when, attempts)
			return
		}
		last = fmt.Sprintf("%s, %d bytes, %v", response.Status, length, err)
	}
	i.t.Fatalf("%s: no request of another workspace was served in %d attempts within %s, the last: %s", when, attempts, processtest.WaitCap, last)
}

// send writes to the instance and reports whether it has accepted everything.
func (i *instance) send(conn net.Conn, data string) bool {
	conn.SetWriteDeadline(time.Now().Add(clientTimeout)) //nolint:errcheck // the write fails then.
	n, err := io.WriteString(conn, data)
	i.sent.Add(int64(n))
	return err == nil
}

// head returns the begin of the head of a request with a valid key.
func head(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: rota.example\r\nAuthorization: Token committee-key\r\n%s: %s\r\n",
		method, path, userplatform.HeaderID, id)
}

// largeBody is a body of the largest legal size.
var largeBody = strings.Repeat("b", bodyBytes)

const withLength = "Content-Length: 1048576\r\n\r\n"

func sendBody(i *instance, n int, conn net.Conn) {
	i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+withLength+largeBody[:bodyBytes-1])
}

func sendChunks(i *instance, n int, conn net.Conn) {
	const chunk = 32 << 10
	if !i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+"Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	for range bodyBytes / chunk {
		if !i.send(conn, fmt.Sprintf("%x\r\n%s\r\n", chunk, largeBody[:chunk])) {
			return
		}
	}
}

// dripInterval and dripPiece give a body of the largest size in about 2 s, less than any
// limit of time on these routes.
const (
	dripInterval = 30 * time.Millisecond
	dripPiece    = 16 << 10
)

func dripBody(i *instance, n int, conn net.Conn) {
	ticker := time.NewTicker(dripInterval)
	defer ticker.Stop()
	if !i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+withLength) {
		return
	}
	for sent := 0; sent+dripPiece < bodyBytes; sent += dripPiece {
		<-ticker.C
		if !i.send(conn, largeBody[:dripPiece]) {
			return
		}
	}
}

// modelRounds is the number of requests that each client sends for the model that is not
// loaded.
const modelRounds = 3

// sendToModel sends whole bodies and reads the answers.
func sendToModel(i *instance, n int, conn net.Conn) {
	for round := range modelRounds {
		if round > 0 {
			var err error
			if conn, err = net.DialTimeout("tcp", i.callers, clientTimeout); err != nil {
				return
			}
			defer conn.Close()
		}
		i.send(conn, head("POST", "/drafts/1", fmt.Sprint("c", n, "-", round))+userplatform.HeaderModel+": letters\r\n"+
			userplatform.HeaderTokens+": 100,20\r\n"+withLength+largeBody)
		conn.SetReadDeadline(time.Now().Add(clientTimeout)) //nolint:errcheck // the read fails then.
		var answer [512]byte
		conn.Read(answer[:]) //nolint:errcheck // the answer does not matter.
	}
}

func sendWithoutKey(i *instance, n int, conn net.Conn) {
	request := strings.Replace(head("POST", "/signup/1", fmt.Sprint("c", n)), "committee-key", "no-key", 1)
	// Less than net/http reads to use a connection again.
	i.send(conn, request+"Content-Length: 200000\r\n\r\n"+largeBody[:199999])
}

func sendHead(i *instance, n int, conn net.Conn) {
	i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+"X-Noise: "+largeBody[:12<<10])
}

// unreadRequests is the number of requests that a client sends without reading an answer.
// The answers exceed what the operating system keeps for a connection.
const unreadRequests = 40

func ignoreAnswers(i *instance, n int, conn net.Conn) {
	conn.(*net.TCPConn).SetReadBuffer(4 << 10) //nolint:errcheck // the system keeps more of the answers then.
	var requests strings.Builder
	for round := range unreadRequests {
		requests.WriteString(head("GET", "/lookup/1", fmt.Sprint("c", n, "-", round)) + "\r\n")
	}
	i.send(conn, requests.String())
}

// sendLittle begins a body and sends little of it, to keep a connection.
func sendLittle(i *instance, n int, conn net.Conn) {
	i.send(conn, head("POST", "/signup/1", fmt.Sprint("c", n))+withLength+largeBody[:64])
}
