package peer

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// Path is where the peer listener accepts links.
const Path = "/peer/v1"

const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// dialDeferral is how long the instance with the higher address waits for
	// the other one to dial before it dials itself.
	dialDeferral = 300 * time.Millisecond
	// stableAfter is how long a link has to be up for its end to count as new and not as
	// one more failure of the address.
	stableAfter = 200 * time.Millisecond
)

// Handler processes one message and returns the reply. On an accepted link the
// context is cancelled when the link ends, on a dialled one when its address is
// no longer a target.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Hub manages the links of one instance to its peers.
type Hub struct {
	self   Identity
	secret []byte
	client *http.Client
	log    log.Interface
	// dialFirst skips dialDeferral regardless of the address, for links that the
	// other side never dials.
	dialFirst bool

	mu       sync.RWMutex
	handlers map[Kind]Handler
	links    map[string]*link
	lost     chan struct{}                 // closed and replaced when a link goes down
	targets  map[string]context.CancelFunc // dialled addresses
	onChange []func(Identity, bool)

	sent, received           atomic.Uint64
	sentBytes, receivedBytes atomic.Uint64
}

// NewHub returns a hub without links.
func NewHub(self Identity, secret string, logger log.Interface) *Hub {
	return &Hub{
		self: self, secret: []byte(secret), log: logger, client: &http.Client{},
		handlers: map[Kind]Handler{}, links: map[string]*link{}, lost: make(chan struct{}), targets: map[string]context.CancelFunc{},
	}
}

// SetAddress sets the address that the handshake announces. It must be called
// before the first link.
func (h *Hub) SetAddress(address string) { h.self.Address = address }

// DialImmediately makes the hub dial its targets immediately instead of waiting for
// them to dial first. It must be called before SetTargets.
func (h *Hub) DialImmediately() { h.dialFirst = true }

// Drop closes the link to an instance. If its address is a target, it is
// dialled again.
func (h *Hub) Drop(instance string) {
	h.mu.RLock()
	l := h.links[instance]
	h.mu.RUnlock()
	if l != nil {
		l.close()
	}
}

// Handle registers the handler of a kind. It must be called before the first link.
func (h *Hub) Handle(kind Kind, handler Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[kind] = handler
}

// OnChange registers a callback that is called when a link comes up (true) or
// goes down (false).
func (h *Hub) OnChange(callback func(Identity, bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, callback)
}

func (h *Hub) handler(kind Kind) Handler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.handlers[kind]
}

func (h *Hub) countSent(n int) {
	h.sent.Add(1)
	h.sentBytes.Add(uint64(n))
}

func (h *Hub) countReceived(n int) {
	h.received.Add(1)
	h.receivedBytes.Add(uint64(n))
}

// Traffic returns the messages and bytes sent and received since start.
func (h *Hub) Traffic() (sent, received, sentBytes, receivedBytes uint64) {
	return h.sent.Load(), h.received.Load(), h.sentBytes.Load(), h.receivedBytes.Load()
}

// Connected returns the instances with an established link, sorted by name.
func (h *Hub) Connected() []Identity {
	h.mu.RLock()
	defer h.mu.RUnlock()
	ids := make([]Identity, 0, len(h.links))
	for _, l := range h.links {
		ids = append(ids, l.remote)
	}
	slices.SortFunc(ids, func(a, b Identity) int { return strings.Compare(a.Instance, b.Instance) })
	return ids
}

// Linked reports whether a link to the instance is up.
func (h *Hub) Linked(instance string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.links[instance] != nil
}

// Call sends a request to an instance and decodes its reply into result,
// which may be nil.
func (h *Hub) Call(ctx context.Context, instance string, kind Kind, request, result any) error {
	h.mu.RLock()
	l := h.links[instance]
	h.mu.RUnlock()
	if l == nil {
		return fmt.Errorf("%s: %w", instance, ErrNotConnected)
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	reply, err := l.call(ctx, kind, body)
	if err != nil || result == nil {
		return err
	}
	return cbor.Unmarshal(reply, result)
}

// Notify sends a message that expects no reply. A message for
// many instances can be encoded once and passed as a cbor.RawMessage.
func (h *Hub) Notify(ctx context.Context, instance string, kind Kind, message any) error {
	h.mu.RLock()
	l := h.links[instance]
	h.mu.RUnlock()
	if l == nil {
		return fmt.Errorf("%s: %w", instance, ErrNotConnected)
	}
	body, ok := message.(cbor.RawMessage)
	if !ok {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			return err
		}
		body = encoded
	}
	return l.write(ctx, envelope{Kind: kind, Body: body})
}

// SetTargets dials the given addresses and closes the dialled links to those no
// longer listed. Of two instances the one with the lower address dials first,
// so that a pair usually has one link; the other one also dials if no link
// comes up within dialDeferral, because the first one may see it on the
// instance list later. Links opened by other instances stay up.
func (h *Hub) SetTargets(ctx context.Context, addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, cancel := range h.targets {
		if !slices.Contains(addresses, address) {
			cancel()
			delete(h.targets, address)
		}
	}
	for _, address := range addresses {
		if _, ok := h.targets[address]; ok || address == h.self.Address {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		h.targets[address] = cancel
		go h.maintainLink(dialCtx, address)
	}
}

func (h *Hub) maintainLink(ctx context.Context, address string) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRedialDelay, maxRedialDelay
	if !h.dialFirst && address < h.self.Address && !duration.Sleep(ctx, dialDeferral) {
		return
	}
	for ctx.Err() == nil {
		if linked, lost := h.linkedToAddress(address); linked {
			select {
			case <-ctx.Done():
			case <-lost:
				// The other side may dial, too.
				duration.Sleep(ctx, rand.N(minRedialDelay))
			}
			continue
		}
		if up, _ := h.dial(ctx, address); up > stableAfter {
			delay.Reset()
		}
		if !duration.Sleep(ctx, delay.NextBackOff()) {
			return
		}
	}
}

// linkedToAddress reports whether a link to the instance at an address is up, and returns a
// channel that is closed when a link goes down.
func (h *Hub) linkedToAddress(address string) (bool, <-chan struct{}) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, l := range h.links {
		if l.remote.Address == address {
			return true, h.lost
		}
	}
	return false, h.lost
}

// dial opens a link, serves it until it ends and returns how long it was up.
func (h *Hub) dial(ctx context.Context, address string) (up time.Duration, err error) {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(handshakeCtx, "http://"+address+Path, &websocket.DialOptions{HTTPClient: h.client})
	if err != nil {
		return 0, err
	}
	remote, err := h.handshake(handshakeCtx, conn, roleDialer, roleListener)
	if err != nil {
		conn.CloseNow() //nolint:errcheck // the connection is discarded.
		return 0, err
	}
	began := time.Now()
	err = h.serveLink(ctx, conn, remote)
	return time.Since(began), err
}

// ServeHTTP accepts a link on the peer listener.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	handshakeCtx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	remote, err := h.handshake(handshakeCtx, conn, roleListener, roleDialer)
	if err != nil {
		h.log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peer link refused")
		conn.CloseNow() //nolint:errcheck // the connection is discarded.
		return
	}
	h.serveLink(r.Context(), conn, remote) //nolint:errcheck // the dialling side reconnects.
}

// Close stops dialling and closes all links. Shutting down the HTTP server is
// not enough, because hijacked connections outlive it.
func (h *Hub) Close() {
	h.SetTargets(context.Background(), nil)
	h.mu.Lock()
	links := slices.Collect(maps.Values(h.links))
	h.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (h *Hub) handshake(ctx context.Context, conn *websocket.Conn, localRole, remoteRole string) (Identity, error) {
	conn.SetReadLimit(maxMessageBytes)
	nonce := newNonce()
	if err := writeCBOR(ctx, conn, challenge{Nonce: nonce}); err != nil {
		return Identity{}, err
	}
	var remoteChallenge challenge
	if err := readCBOR(ctx, conn, &remoteChallenge); err != nil {
		return Identity{}, err
	}
	identity, err := cbor.Marshal(h.self)
	if err != nil {
		return Identity{}, err
	}
	if err := writeCBOR(ctx, conn, hello{Identity: identity, MAC: sign(h.secret, localRole, remoteChallenge.Nonce, identity)}); err != nil {
		return Identity{}, err
	}
	var remoteHello hello
	if err := readCBOR(ctx, conn, &remoteHello); err != nil {
		return Identity{}, err
	}
	return verify(h.secret, remoteRole, nonce, remoteHello)
}

func writeCBOR(ctx context.Context, conn *websocket.Conn, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func readCBOR(ctx context.Context, conn *websocket.Conn, v any) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, v)
}

func (h *Hub) serveLink(ctx context.Context, conn *websocket.Conn, remote Identity) error {
	l := newLink(conn, remote, h)
	if remote.Instance == h.self.Instance {
		l.close()
		return errAuthentication
	}
	h.register(l)
	err := l.run(ctx)
	h.unregister(l)
	return err
}

// register makes l the current link of its instance. Both sides may dial at the
// same time; the newest link is used for sending, and an older one still serves
// incoming messages.
func (h *Hub) register(l *link) {
	h.mu.Lock()
	h.links[l.remote.Instance] = l
	callbacks := h.onChange
	h.mu.Unlock()
	h.log.WithFields(log.Fields{"peer": l.remote.Instance, "incarnation": l.remote.Incarnation}).Info("peer link up")
	for _, callback := range callbacks {
		callback(l.remote, true)
	}
}

func (h *Hub) unregister(l *link) {
	h.mu.Lock()
	current := h.links[l.remote.Instance] == l
	if current {
		delete(h.links, l.remote.Instance)
		close(h.lost)
		h.lost = make(chan struct{})
	}
	callbacks := h.onChange
	h.mu.Unlock()
	if !current {
		return
	}
	h.log.WithField("peer", l.remote.Instance).Info("peer link down")
	for _, callback := range callbacks {
		callback(l.remote, false)
	}
}
