package peer

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
)

const waitCap = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type node struct {
	*Hub
	address string
}

func newNode(t *testing.T, name, secret string) *node {
	t.Helper()
	hub := NewHub(Identity{Instance: name, Incarnation: name + "-1"}, secret, &log.Logger{Handler: discard.New()})
	server := httptest.NewServer(hub)
	n := &node{hub, strings.TrimPrefix(server.URL, "http://")}
	hub.SetAddress(n.address)
	t.Cleanup(func() {
		hub.Close()
		server.CloseClientConnections()
		server.Close()
		hub.client.CloseIdleConnections()
	})
	return n
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitCap)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, waitCap)
		}
		<-ticker.C
	}
}

type question struct {
	Text string `cbor:"1,keyasint"`
}

// Guards against lost or crossed replies, and against a link that is not set
// up whichever side learns of the other first.
func TestCalls(t *testing.T) {
	a, b := newNode(t, "a", "shared-secret-of-test"), newNode(t, "b", "shared-secret-of-test")
	release := make(chan struct{})
	b.Handle(KindFreshness, func(_ context.Context, from Identity, body []byte) (any, error) {
		var q question
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, err
		}
		if q.Text == "slow" {
			<-release
		}
		return question{Text: from.Instance + ":" + q.Text}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, dialler := range []*node{a, b} { // one of them has the lower address
		other := map[*node]*node{a: b, b: a}[dialler]
		dialler.SetTargets(ctx, []string{other.address})
		await(t, "link up", func() bool { return len(a.Connected()) == 1 && len(b.Connected()) == 1 })
		var got question
		if err := a.Call(ctx, "b", KindFreshness, question{Text: "x"}, &got); err != nil || got.Text != "a:x" {
			t.Errorf("call answered %q, %v", got.Text, err)
		}
		dialler.SetTargets(ctx, nil)
		a.Close()
		b.Close()
		await(t, "link down", func() bool { return len(a.Connected()) == 0 && len(b.Connected()) == 0 })
	}
	a.SetTargets(ctx, []string{b.address})
	await(t, "link up", func() bool { return len(a.Connected()) == 1 })
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	if err := a.Call(short, "b", KindFreshness, question{Text: "slow"}, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a call past its deadline gave %v", err)
	}
	close(release) // the late reply must not reach the next call
	var got question
	if err := a.Call(ctx, "b", KindFreshness, question{Text: "next"}, &got); err != nil || got.Text != "a:next" {
		t.Errorf("the call after a late reply gave %q, %v", got.Text, err)
	}
	if err := a.Call(ctx, "absent", KindFreshness, question{}, nil); !errors.Is(err, ErrNotConnected) {
		t.Errorf("a call to an absent instance gave %v", err)
	}
}

// Guards against links with instances that do not hold the secret.
func TestWrongSecretIsRefused(t *testing.T) {
	a, b := newNode(t, "a", "shared-secret-of-test"), newNode(t, "b", "another-secret-of-test")
	ctx, cancel := context.WithTimeout(context.Background(), waitCap)
	defer cancel()
	if err := a.dial(ctx, b.address); err == nil {
		t.Error("a link with another secret was set up")
	}
	if len(a.Connected())+len(b.Connected()) != 0 {
		t.Error("a link with another secret is listed")
	}
}

// Guards against a proof of identity that is accepted for another role, nonce
// or identity, or a panic on malformed ones.
func FuzzVerify(f *testing.F) {
	secret, nonce := []byte("shared-secret-of-test"), []byte("nonce")
	identity, err := cbor.Marshal(Identity{Instance: "a", Incarnation: "1"})
	if err != nil {
		f.Fatal(err)
	}
	mac := sign(secret, roleDialer, nonce, identity)
	f.Add(roleDialer, nonce, identity, mac)
	f.Add(roleListener, nonce, identity, mac)
	f.Add(roleDialer, []byte("other"), identity, mac)
	f.Add(roleDialer, nonce, []byte{0xff}, sign(secret, roleDialer, nonce, []byte{0xff}))
	f.Fuzz(func(t *testing.T, role string, theirNonce, theirs, proof []byte) {
		_, err := verify(secret, role, theirNonce, hello{Identity: theirs, MAC: proof})
		same := role == roleDialer && string(theirNonce) == string(nonce) && string(theirs) == string(identity) && string(proof) == string(mac)
		if (err == nil) != same {
			t.Errorf("proof for role %q accepted: %t", role, err == nil)
		}
		var env envelope
		_ = cbor.Unmarshal(theirs, &env)
	})
}
