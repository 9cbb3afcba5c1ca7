package userplatform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// ReadyPath is what the platform asks an instance for to see whether it is ready.
const ReadyPath = "/readiness"

// Headers of the platform as the stand-in speaks them.
const (
	HeaderID       = "X-Hibiscusyard-Request-Id"
	HeaderDeadline = "X-Hibiscusyard-Request-Deadline"
	HeaderModel    = "X-Hibiscusyard-Model"
	HeaderTokens   = "X-Hibiscusyard-Token-Count"
	HeaderPrefix   = "X-Hibiscusyard-Prompt-Prefix"
	HeaderTenant   = "X-Hibiscusyard-Tenant"
	HeaderUpstream = "X-Hibiscusyard-Expected-Instance"
	HeaderNotRun   = "X-Hibiscusyard-Not-Executed"
	HeaderSigned   = "X-Hibiscusyard-Server-Signature"
	HeaderLoad     = "X-Hibiscusyard-Server-Load"
	HeaderInstance = "X-Hibiscusyard-Instance-Id"
	HeaderResume   = "Last-Event-Id"
)

// Fault is a way in which an upstream fails one request.
type Fault int

// Faults of upstreams.
const (
	None         Fault = iota
	ResetBefore        // the connection is reset before the request is read
	ResetAfter         // it runs, and its answer is lost
	CutStream          // the stream ends in the middle of an event
	ForeignFirst       // an answer to another request comes first
	Unsigned           // a success that nobody vouches for
	TurnedAway         // it is full and says that it did not run the request
	ErrorAnswer        // an error of its own
	EmptyStream        // a whole stream without an event
	ClosedStream       // a stream without framing or an event that ends with its connection
	EndlessHead        // the head of its answer goes on until the caller closes
	EndlessBody        // the answer itself does
	Dribble            // a stream that stalls: a byte now and then and no event
)

// dribbleEvery is the time between two bytes of a stalled stream.
const dribbleEvery = 20 * time.Millisecond

// Arrival is one request that reached an upstream.
type Arrival struct {
	ID, Tenant, Resume, Key string
	Ran                     bool
	At                      time.Time
}

// Upstream is a process that serves requests: a plain service, and an engine
// if it has an Engine.
type Upstream struct {
	ID, Service, Zone string
	Slots             int
	// Work is how long a plain request or one event of a stream takes.
	Work time.Duration
	// ColdFor is how long the upstream is slow after a start, by coldFactor.
	ColdFor time.Duration
	// Events is the number of events of a stream.
	Events int
	Engine *Engine

	store    *Store
	listener net.Listener
	server   *http.Server
	born     int64

	mu       sync.Mutex
	running  int
	beats    int64
	state    string
	faults   []Fault // of the next requests
	arrivals []Arrival
	opened   int // connections
	warmAt   time.Time
}

// Start binds the upstream to a loopback port and registers it.
func (u *Upstream) Start(store *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.store, u.listener, u.state, u.born = store, listener, "ready", time.Now().UnixMilli()
	u.warmAt = time.Now().Add(u.ColdFor)
	if u.Engine != nil {
		u.Engine.upstream = u
	}
	return u.serve(listener)
}

// serve answers requests on a listener and registers the upstream.
func (u *Upstream) serve(listener net.Listener) error {
	u.server = &http.Server{Handler: u, ConnState: u.count}
	go u.server.Serve(listener) //nolint:errcheck // ends with Close.
	return u.Register()
}

func (u *Upstream) count(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		u.mu.Lock()
		u.opened++
		u.mu.Unlock()
	}
}

// Opened returns the number of connections that were opened to the upstream.
func (u *Upstream) Opened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.opened
}

// Running returns the requests that run now.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// Close ends the upstream like a crash: its entry stays.
func (u *Upstream) Close() { u.server.Close() }

// Outage makes the upstream crash and, after a time, start again at the same
// address with what it had loaded.
func (u *Upstream) Outage(ctx context.Context, length time.Duration) error {
	address := u.Address()
	u.server.Close()
	duration.Sleep(ctx, length)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.born, u.beats = time.Now().UnixMilli(), 0
	u.warmAt = time.Now().Add(u.ColdFor)
	u.listener = listener
	u.mu.Unlock()
	return u.serve(listener)
}

// Address returns where the upstream listens.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Register writes the upstream's entry.
func (u *Upstream) Register() error {
	u.mu.Lock()
	u.beats++
	entry := map[string]any{
		"service": u.Service, "address": u.Address(), "zone": u.Zone, "version": "v1", "slots": u.Slots,
		"state": u.state, "coldRemainingMs": max(time.Until(u.warmAt).Milliseconds(), 0), "sequence": u.beats, "born": u.born,
	}
	u.mu.Unlock()
	if u.Engine != nil {
		u.Engine.describe(entry)
	}
	return u.store.Put("servers", u.ID, entry)
}

// Leave reports that the upstream is draining.
func (u *Upstream) Leave() error {
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

// SetPace changes the number of events of a stream and the time that each takes.
func (u *Upstream) SetPace(events int, work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Events, u.Work = events, work
}

// coldFactor is how much longer the work of a cold upstream takes.
const coldFactor = 4

// Pace returns what SetPace sets.
func (u *Upstream) Pace() (events int, work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Events, u.Work
}

// pace returns what a request meets now.
func (u *Upstream) pace() (events int, work time.Duration) {
	events, work = u.Pace()
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.warmAt) {
		work *= coldFactor
	}
	return events, work
}

// Arrivals returns the requests that reached the upstream.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival(nil), u.arrivals...)
}

func (u *Upstream) fault() Fault {
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
	if expected := r.Header.Get(HeaderUpstream); expected != "" && expected != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.Engine != nil && (r.URL.Path == "/order" || r.URL.Path == "/report") {
		u.Engine.control(w, r)
		return
	}
	u.request(w, r)
}

func (u *Upstream) request(w http.ResponseWriter, r *http.Request) {
	fault := u.fault()
	if fault == ResetBefore {
		hijack(w, "")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	refusal := 0
	u.mu.Lock()
	switch {
	case fault == TurnedAway || u.running >= u.Slots:
		refusal = http.StatusServiceUnavailable
	case u.Engine != nil:
		refusal = u.Engine.refuses(r.Header.Get(HeaderModel))
	}
	u.arrivals = append(u.arrivals, Arrival{
		ID: r.Header.Get(HeaderID), Tenant: r.Header.Get(HeaderTenant), Resume: r.Header.Get(HeaderResume),
		Key: r.Header.Get("Authorization"), Ran: refusal == 0, At: time.Now(),
	})
	if refusal == 0 {
		u.running++
	}
	w.Header().Set(HeaderLoad, fmt.Sprintf("%d,0,%d", u.running, u.Slots))
	u.mu.Unlock()
	if refusal != 0 {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(refusal)
		return
	}
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	u.run(w, r, fault)
}

// run answers a request that runs.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, fault Fault) {
	if _, work := u.pace(); !duration.Sleep(r.Context(), work) {
		return
	}
	switch fault {
	case ResetAfter:
		hijack(w, "")
		return
	case ForeignFirst:
		const body = "not yours"
		hijack(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n%s: x\r\nContent-Length: %d\r\n\r\n%s"+
			"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: 5\r\n\r\nyours",
			HeaderID, HeaderSigned, len(body), body, HeaderID, r.Header.Get(HeaderID), HeaderSigned))
		return
	case ClosedStream:
		hijack(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Type: text/event-stream\r\n\r\n",
			HeaderID, r.Header.Get(HeaderID), HeaderSigned))
		return
	case EndlessHead:
		pour(w, "HTTP/1.1 200 OK\r\n", "X-Noise: on and on\r\n", 0)
		return
	case EndlessBody:
		pour(w, u.head(r, "text/plain"), "bytes without end ", 0)
		return
	case Dribble:
		pour(w, u.head(r, "text/event-stream"), ":", dribbleEvery)
		return
	case ErrorAnswer:
		w.Header().Set(HeaderSigned, "x")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if fault != Unsigned {
		w.Header().Set(HeaderSigned, "signature-of-"+u.ID)
	}
	if u.Engine != nil {
		u.Engine.stream(w, r, fault)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", u.ID, r.Header.Get(HeaderID))
}

// head returns the head of a success whose body ends with the connection.
func (u *Upstream) head(r *http.Request, mediaType string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Type: %s\r\n\r\n", HeaderID, r.Header.Get(HeaderID), HeaderSigned, mediaType)
}

// pour sends a start and then a piece over and over until the caller closes.
func pour(w http.ResponseWriter, start, piece string, pause time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if pause == 0 {
		piece = strings.Repeat(piece, pourBytes/len(piece))
	}
	_, err = io.WriteString(conn, start)
	for err == nil {
		_, err = io.WriteString(conn, piece)
		time.Sleep(pause)
	}
}

// pourBytes is about how much is written at once of an answer without end.
const pourBytes = 32 << 10

// hijack sends raw bytes and closes the connection.
func hijack(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if raw == "" {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // closes with a reset where it can.
		}
		return
	}
	io.WriteString(conn, raw) //nolint:errcheck // the other side may be gone.
}
