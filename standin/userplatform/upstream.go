package userplatform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// ReadyPath is the path of the platform's readiness probe of an instance.
const ReadyPath = "/readiness"

// Headers of the platform's protocol.
const (
	HeaderID               = "X-Hibiscusyard-Request-Id"
	HeaderDeadline         = "X-Hibiscusyard-Request-Deadline"
	HeaderModel            = "X-Hibiscusyard-Model"
	HeaderTokens           = "X-Hibiscusyard-Token-Count"
	HeaderPrefix           = "X-Hibiscusyard-Prompt-Prefix"
	HeaderTenant           = "X-Hibiscusyard-Tenant"
	HeaderExpectedInstance = "X-Hibiscusyard-Expected-Instance"
	HeaderNotExecuted      = "X-Hibiscusyard-Not-Executed"
	HeaderSignature        = "X-Hibiscusyard-Server-Signature"
	HeaderLoad             = "X-Hibiscusyard-Server-Load"
	HeaderInstance         = "X-Hibiscusyard-Instance-Id"
	HeaderResume           = "Last-Event-Id"
	HeaderResumes          = "Resumes"
)

// Fault is a failure that an upstream injects into one request.
type Fault int

// Faults of one request.
const (
	None                 Fault = iota
	ResetBefore                // the connection is reset before the request is read
	ResetAfter                 // the request runs, and its response is lost
	CutStream                  // the stream is cut off in the middle of an event
	ForeignResponseFirst       // the response is preceded by one to another request
	Unsigned                   // a successful response without a signature
	RefusedAtCapacity          // the upstream is full and reports that it did not run the request
	ErrorResponse              // a signed response with status 500
	ErrorEvents                // such a response that looks like a stream of events
	EmptyStream                // a complete stream without events
	ClosedStream               // a stream without framing or events that ends when its connection closes
	EndlessHeader              // the response header continues until the caller disconnects
	EndlessBody                // the response body continues until the caller disconnects
	StalledStream              // a stalled stream: single bytes at intervals, but no event
	UnframedResponse           // a whole response without length or chunks that ends with its connection
	UnframedReset              // such a response that is reset in the middle, a stream after a whole event
	RefusalFirst               // the response is preceded by an earlier refusal that names no request
	UnframedCut                // such a response whose connection is closed in the middle, a stream inside an event
)

// Arrival is a record of one request that an upstream received.
type Arrival struct {
	ID, Tenant, Resume, Key string
	Path                    string
	Parts                   []string // shared parts of the prompt
	Ran                     bool
	Pause                   time.Duration // that the answer asked for
	At                      time.Time
}

// Upstream is a process that serves requests: a model engine if Engine is set,
// otherwise a plain service.
type Upstream struct {
	ID, Service, Zone string
	// Software is the version of the upstream's software, which its events name. Default v1.
	Software string
	Slots    int
	// EventDuration is the duration of a plain request or of one event of a stream.
	EventDuration time.Duration
	// WarmUpDuration is the duration of the warm-up after a start, during which work
	// takes longer by coldFactor.
	WarmUpDuration time.Duration
	// Events is the number of events in a stream.
	Events int
	// AnswerBytes is the length of the answers of a plain upstream. Default: some bytes.
	AnswerBytes int
	Engine      *Engine
	// RefusalCopies determines whether refusals are written twice.
	RefusalCopies RefusalCopy

	store     *Store
	listener  net.Listener
	link      string // address of the link in front of it, empty without one
	server    *http.Server
	startedMS int64

	mu          sync.Mutex
	running     int
	namesPace   bool
	sequence    int64
	state       string
	faults      []Fault     // of the next requests, one each
	rawAnswers  []RawAnswer // to the next requests that run, one each
	arrivals    []Arrival
	limits      []namedLimit // oldest first
	pauseEnd    time.Time
	pauseValue  string
	leavingAt   time.Time // zero unless all answers say that the upstream leaves
	connections int       // opened since the start
	misdirected int       // requests for another upstream
	warmUpEnd   time.Time
	closed      bool

	crashPart              string // part of a prompt that crashes the upstream, empty for none
	crashTenant, crashPath string // request that crashes it, empty for none
	crashDowntime          time.Duration
	crashes                []Crash
}

// Start starts the upstream on a loopback port and registers it in the store.
func (u *Upstream) Start(store *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.store, u.listener, u.state, u.startedMS = store, listener, "ready", time.Now().UnixMilli()
	u.warmUpEnd = time.Now().Add(u.WarmUpDuration)
	if u.Engine != nil {
		u.Engine.upstream = u
	}
	return u.serve(listener)
}

// serve starts serving requests on a listener and registers the upstream.
func (u *Upstream) serve(listener net.Listener) error {
	server := &http.Server{Handler: u, ConnState: u.countConnection}
	if u.RefusalCopies != NoCopy {
		listener = copyListener{Listener: listener, when: u.RefusalCopies}
	}
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return http.ErrServerClosed
	}
	u.server = server
	u.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // ends with Close.
	return u.Register()
}

func (u *Upstream) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		u.mu.Lock()
		u.connections++
		u.mu.Unlock()
	}
}

// ConnectionsOpened returns the number of connections opened to the upstream so far.
func (u *Upstream) ConnectionsOpened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connections
}

// Misdirected returns the number of requests for another upstream so far.
func (u *Upstream) Misdirected() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.misdirected
}

// Running returns the number of requests in flight.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// NamePace makes answers say how long work takes on the machine now, as a fourth figure of
// the load.
func (u *Upstream) NamePace() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.namesPace = true
}

// Close simulates a crash of the upstream: its entry remains in the store.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	server := u.server
	u.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// Outage simulates a crash of the upstream. After length it restarts at the same
// address with the same models loaded.
func (u *Upstream) Outage(ctx context.Context, length time.Duration) error {
	return u.refuse(ctx, length, u.restart)
}

// Refuse makes the upstream close its connections and refuse new ones for a time, after
// which the same run goes on.
func (u *Upstream) Refuse(ctx context.Context, length time.Duration) error {
	return u.refuse(ctx, length, func(listener net.Listener) error {
		u.mu.Lock()
		u.listener = listener
		u.mu.Unlock()
		return u.serve(listener)
	})
}

// refuse closes the upstream's port, and serves at the same address after length.
func (u *Upstream) refuse(ctx context.Context, length time.Duration, serve func(net.Listener) error) error {
	u.mu.Lock()
	address, server := u.listener.Addr().String(), u.server
	u.server = nil
	u.mu.Unlock()
	if server == nil {
		return nil // it is down already
	}
	server.Close()
	duration.Sleep(ctx, length)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return serve(listener)
}

// restart begins a new run of the upstream.
func (u *Upstream) restart(listener net.Listener) error {
	u.mu.Lock()
	u.startedMS, u.sequence, u.leavingAt = time.Now().UnixMilli(), 0, time.Time{}
	u.warmUpEnd = time.Now().Add(u.WarmUpDuration)
	u.listener = listener
	u.mu.Unlock()
	return u.serve(listener)
}

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address()
}

func (u *Upstream) address() string { return u.listener.Addr().String() }

// Register writes the upstream's entry to the store with the next sequence number.
func (u *Upstream) Register() error {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return http.ErrServerClosed
	}
	u.sequence++
	address := u.link
	if address == "" {
		address = u.address()
	}
	entry := map[string]any{
		"service": u.Service, "address": address, "zone": u.Zone, "version": u.software(), "slots": u.Slots,
		"state": u.state, "coldRemainingMs": max(time.Until(u.warmUpEnd).Milliseconds(), 0), "sequence": u.sequence, "born": u.startedMS,
	}
	u.mu.Unlock()
	if u.Engine != nil {
		u.Engine.addModels(entry)
	}
	return u.store.Put("servers", u.ID, entry)
}

func (u *Upstream) software() string {
	if u.Software == "" {
		return "v1"
	}
	return u.Software
}

// event returns one event of a stream.
func (u *Upstream) event(id int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", id, id, u.software())
}

// MoveBehind registers the address of a link to the upstream in place of its own.
func (u *Upstream) MoveBehind(link string) error {
	u.mu.Lock()
	u.link = link
	u.mu.Unlock()
	return u.Register()
}

// Drain marks the upstream as draining in its entry.
func (u *Upstream) Drain() error {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	return u.Register()
}

// Fail makes the next requests fail, one each.
func (u *Upstream) Fail(faults ...Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = append(u.faults, faults...)
}

// ClearFaults drops the faults of later requests.
func (u *Upstream) ClearFaults() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults, u.rawAnswers = nil, nil
}

// SetPace sets the number of events in a stream and the duration of each.
func (u *Upstream) SetPace(events int, work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Events, u.EventDuration = events, work
}

// coldFactor is the factor by which work takes longer during warm-up.
const coldFactor = 4

// Pace returns the number of events in a stream and the duration of each, apart
// from the warm-up.
func (u *Upstream) Pace() (events int, work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Events, u.EventDuration
}

// currentPace returns the number of events in a stream and the duration of each,
// including the effect of the warm-up.
func (u *Upstream) currentPace() (events int, work time.Duration) {
	events, work = u.Pace()
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.warmUpEnd) {
		work *= coldFactor
	}
	return events, work
}

// Arrivals returns the requests that the upstream received.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival(nil), u.arrivals...)
}

func (u *Upstream) nextFault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.faults) == 0 {
		return None
	}
	f := u.faults[0]
	u.faults = u.faults[1:]
	return f
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderID, r.Header.Get(HeaderID))
	w.Header().Set(HeaderInstance, u.ID)
	u.addLeaving(w.Header())
	if expected := r.Header.Get(HeaderExpectedInstance); expected != "" && expected != u.ID {
		u.mu.Lock()
		u.misdirected++
		u.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.Engine != nil && (r.URL.Path == "/order" || r.URL.Path == "/report") {
		u.Engine.handleControl(w, r)
		return
	}
	u.serveRequest(w, r)
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	fault := u.nextFault()
	if fault == ResetBefore {
		sendRaw(w, "")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	refusal := 0
	u.mu.Lock()
	pauseValue, pause := u.pause()
	if pauseValue != "" {
		w.Header().Set(HeaderPause, pauseValue)
	}
	switch {
	case pauseValue != "" || fault == RefusedAtCapacity || u.running >= u.Slots:
		refusal = http.StatusServiceUnavailable
	case u.Engine != nil:
		refusal = u.Engine.rejectionStatus(r.Header.Get(HeaderModel))
	}
	u.arrivals = append(u.arrivals, Arrival{
		ID: r.Header.Get(HeaderID), Tenant: r.Header.Get(HeaderTenant), Resume: r.Header.Get(HeaderResume),
		Key: r.Header.Get("Authorization"), Path: r.URL.Path, Parts: sharedParts(r.Header), Ran: refusal == 0, Pause: pause, At: time.Now(),
	})
	if refusal == 0 {
		u.running++
	}
	load := fmt.Sprintf("%d,0,%d", u.running, u.Slots)
	if u.namesPace {
		load += ",100"
	}
	w.Header().Set(HeaderLoad, load)
	if l := u.currentLimit(); l != nil {
		w.Header().Set(HeaderLimit, strconv.FormatFloat(l.rate, 'f', -1, 64))
	}
	u.mu.Unlock()
	if refusal != 0 {
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(refusal)
		return
	}
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	u.respond(w, r, fault)
}
