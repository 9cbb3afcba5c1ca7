package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxMessageBytes  = 8 << 20 // a catalogue of 1,000 models and 1,200 adapters is smaller
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 2 * time.Second
	pingInterval     = 2 * time.Second
	roleDialer       = "dialer"
	roleListener     = "listener"
)

// ErrNotConnected means that no link to the instance exists and nothing was sent.
var ErrNotConnected = errors.New("peer not connected")

// link is one authenticated connection to another instance.
type link struct {
	conn   *websocket.Conn
	remote Identity
	hub    *Hub

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan envelope
	closed  chan struct{}
	once    sync.Once
}

func newLink(conn *websocket.Conn, remote Identity, hub *Hub) *link {
	return &link{conn: conn, remote: remote, hub: hub, pending: map[uint64]chan envelope{}, closed: make(chan struct{})}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.CloseNow() //nolint:errcheck // the link is discarded.
	})
}

func (l *link) write(ctx context.Context, env envelope) error {
	data, err := cbor.Marshal(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.hub.countSent(len(data))
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

// call sends a request and waits for its reply. Late and duplicate replies
// match no pending call and are dropped.
func (l *link) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	reply := make(chan envelope, 1)
	l.pending[id] = reply
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
	}()
	if err := l.write(ctx, envelope{Kind: kind, ID: id, Body: body}); err != nil {
		return nil, fmt.Errorf("send to %s: %w", l.remote.Instance, err)
	}
	select {
	case env := <-reply:
		if env.Error != "" {
			return nil, fmt.Errorf("%s: %s", l.remote.Instance, env.Error)
		}
		return env.Body, nil
	case <-l.closed:
		return nil, fmt.Errorf("link to %s closed", l.remote.Instance)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run reads and dispatches messages until the link breaks.
func (l *link) run(ctx context.Context) error {
	defer l.close()
	go l.ping(ctx)
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		l.hub.countReceived(len(data))
		var env envelope
		if err := cbor.Unmarshal(data, &env); err != nil {
			return fmt.Errorf("malformed message from %s: %w", l.remote.Instance, err)
		}
		if env.Reply {
			l.deliver(env)
			continue
		}
		go l.serve(ctx, env)
	}
}

func (l *link) deliver(env envelope) {
	l.mu.Lock()
	reply := l.pending[env.ID]
	delete(l.pending, env.ID)
	l.mu.Unlock()
	if reply != nil {
		reply <- env
	}
}

func (l *link) serve(ctx context.Context, env envelope) {
	handler := l.hub.handler(env.Kind)
	out := envelope{Kind: env.Kind, ID: env.ID, Reply: true}
	if handler == nil {
		out.Error = "unknown message kind"
	} else if result, err := handler(ctx, l.remote, env.Body); err != nil {
		out.Error = err.Error()
	} else if result != nil {
		if out.Body, err = cbor.Marshal(result); err != nil {
			out.Error = err.Error()
		}
	}
	if env.ID == 0 {
		return
	}
	if err := l.write(ctx, out); err != nil {
		l.close()
	}
}

// ping closes the link if the remote side stops answering, for example because
// its process is frozen.
func (l *link) ping(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			pingCtx, cancel := context.WithTimeout(ctx, pingInterval)
			err := l.conn.Ping(pingCtx)
			cancel()
			if err != nil {
				l.close()
				return
			}
		}
	}
}
