package catalogsync

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/freshness"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

type objects map[string][]byte

func (o objects) Put(_ context.Context, key string, data []byte) error { o[key] = data; return nil }

func (o objects) Get(_ context.Context, key string) ([]byte, error) {
	if data, ok := o[key]; ok {
		return data, nil
	}
	return nil, ports.ErrNotFound
}

// relayPeer answers freshness queries like a relay.
type relayPeer struct {
	answer freshness.Answer
	down   bool
	calls  int
}

func (p *relayPeer) Connected() []peer.Identity { return []peer.Identity{{Instance: "relay"}} }

func (p *relayPeer) Call(_ context.Context, _ string, kind peer.Kind, _, answer any) error {
	p.calls++
	if p.down || kind != peer.KindFreshness {
		return errors.New("no answer")
	}
	*answer.(*freshness.Answer) = p.answer
	return nil
}

// Guards against table reads that grow with the number of instances, against
// an instance that trusts a relay whose own proof is old, and against one that
// never reads the table and so has no vote.
func TestFollowersLeaveTheTableToRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, relay := portstest.NewTable(), &relayPeer{}
		c := New(Config{
			Table: table, Objects: objects{}, Peers: relay, Members: func() int { return 5 },
			Self: "follower", Relays: func() []string { return []string{"relay"} },
			StaleAfter: 6 * time.Second, Poll: time.Second, Log: &log.Logger{Handler: discard.New()},
		})
		ctx := context.Background()
		if _, err := c.Edit(ctx, 0, func(*catalog.Catalog) {}); err != nil {
			t.Fatal(err)
		}
		rounds := func(n int) (reads int) {
			before := table.Reads
			for range n {
				c.round(ctx)
				time.Sleep(time.Second) // virtual time
			}
			return table.Reads - before
		}
		relay.answer = freshness.Answer{Version: 1, Proved: true, Age: time.Second, Voter: true}
		if n := rounds(20); n != 0 || !c.Fresh(time.Now()) {
			t.Errorf("%d table reads beside a relay with a fresh proof, fresh %t", n, c.Fresh(time.Now()))
		}
		relay.answer.Age = time.Minute
		if n := rounds(20); n < 15 || !c.Fresh(time.Now()) {
			t.Errorf("%d table reads beside a relay with an old proof, fresh %t", n, c.Fresh(time.Now()))
		}
		relay.down = true
		if n := rounds(20); n < 15 || !c.Fresh(time.Now()) {
			t.Errorf("%d table reads without a relay, fresh %t", n, c.Fresh(time.Now()))
		}
		if !c.answer().Voter {
			t.Error("the follower has no vote after reading the table")
		}
	})
}
