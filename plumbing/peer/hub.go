package peer

import (
	"context"
	"fmt"
	"maps"
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
	minRedial = 100 * time.Millisecond
	maxRedial = 2 * time.Second
	// secondDial is how long the instance with the higher address leaves the
	// dialling to the other one.
	secondDial = 300 * time.Millisecond
	// linkCheck is how often a dialler looks whether its link is still up.
	linkCheck = 500 * time.Millisecond
)

// Handler answers one message. The context ends with the link.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Hub keeps the links of one instance.
type Hub struct {
	self   Identity
	secret []byte
	client *http.Client
	log    log.Interface
	// dialFirst lets this instance dial at once whatever its address, for
	// links that the other side never dials.
	dialFirst bool

	mu       sync.RWMutex
	handlers map[Kind]Handler
	links    map[string]*link
	targets  map[string]context.CancelFunc // dialled addresses
	onChange []func(Identity, bool)

	sent, received           atomic.Uint64
	sentBytes, receivedBytes atomic.Uint64
}

// NewHub returns a hub without links.
func NewHub(self Identity, secret string, logger log.Interface) *Hub {
	return &Hub{
		self: self, secret: []byte(secret), log: logger, client: &http.Client{},
		handlers: map[Kind]Handler{}, links: map[string]*link{}, targets: map[string]context.CancelFunc{},
	}
}

// SetAddress sets the address that the handshake announces. It must be called
// before the first link.
func (h *Hub) SetAddress(address string) { h.self.Address = address }

// DialFirst makes the hub dial its targets without leaving them time to dial
// first. It must be called before the first link.
func (h *Hub) DialFirst() { h.dialFirst = true }

// Drop ends the link to an instance. A target is dialled again.
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

// OnChange registers a callback for links that come up (true) or go down (false).
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

// Connected lists the instances with a working link, sorted by name.
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

// Call sends a request to an instance and decodes its reply into answer,
// which may be nil.
func (h *Hub) Call(ctx context.Context, instance string, kind Kind, request, answer any) error {
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
	if err != nil || answer == nil {
		return err
	}
	return cbor.Unmarshal(reply, answer)
}

// Notify sends a message that expects no reply. One that goes to many instances
// is best encoded once, as a cbor.RawMessage.
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

// SetTargets dials the given addresses and gives up those no longer listed.
// Of two instances the one with the lower address dials first, so that a pair
// usually has one link; the other one dials too if no link comes up soon,
// because its partner may see it on the list later. Links that others have
// opened stay.
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
		go h.keepDialled(dialCtx, address)
	}
}

func (h *Hub) keepDialled(ctx context.Context, address string) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRedial, maxRedial
	if !h.dialFirst && address < h.self.Address && !duration.Sleep(ctx, secondDial) {
		return
	}
	for ctx.Err() == nil {
		wait := linkCheck
		if !h.linkedTo(address) {
			if err := h.dial(ctx, address); err == nil {
				delay.Reset()
			}
			wait = delay.NextBackOff()
		}
		if !duration.Sleep(ctx, wait) {
			return
		}
	}
}

// linkedTo reports whether a link to the instance at an address is up.
func (h *Hub) linkedTo(address string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, l := range h.links {
		if l.remote.Address == address {
			return true
		}
	}
	return false
}

func (h *Hub) dial(ctx context.Context, address string) error {
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(handshake, "http://"+address+Path, &websocket.DialOptions{HTTPClient: h.client})
	if err != nil {
		return err
	}
	remote, err := h.handshake(handshake, conn, roleDialer, roleListener)
	if err != nil {
		conn.CloseNow() //nolint:errcheck // the connection is given up.
		return err
	}
	return h.serveLink(ctx, conn, remote)
}

// ServeHTTP accepts a link on the peer listener.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	handshake, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	remote, err := h.handshake(handshake, conn, roleListener, roleDialer)
	if err != nil {
		h.log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peer link refused")
		conn.CloseNow() //nolint:errcheck // the connection is given up.
		return
	}
	h.serveLink(r.Context(), conn, remote) //nolint:errcheck // the dialler connects again.
}

// Close ends all links. Hijacked connections outlive their HTTP server.
func (h *Hub) Close() {
	h.SetTargets(context.Background(), nil)
	h.mu.Lock()
	links := slices.Collect(maps.Values(h.links))
	h.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (h *Hub) handshake(ctx context.Context, conn *websocket.Conn, own, other string) (Identity, error) {
	conn.SetReadLimit(maxMessageBytes)
	nonce := newNonce()
	if err := writeCBOR(ctx, conn, challenge{Nonce: nonce}); err != nil {
		return Identity{}, err
	}
	var theirs challenge
	if err := readCBOR(ctx, conn, &theirs); err != nil {
		return Identity{}, err
	}
	identity, err := cbor.Marshal(h.self)
	if err != nil {
		return Identity{}, err
	}
	if err := writeCBOR(ctx, conn, hello{Identity: identity, MAC: sign(h.secret, own, theirs.Nonce, identity)}); err != nil {
		return Identity{}, err
	}
	var answer hello
	if err := readCBOR(ctx, conn, &answer); err != nil {
		return Identity{}, err
	}
	return verify(h.secret, other, nonce, answer)
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

// register makes l the link of its instance. Both sides may dial at once; the
// newest link is used for sending, an older one still serves what it receives.
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
