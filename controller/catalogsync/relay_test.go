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

// relayPeer is a fake peer hub with one relay that answers freshness queries.
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
// accepting a relay's answer whose proof is old, and against an instance without
// a vote because it never read the table itself.
func TestTableReadOnlyWithoutFreshRelay(t *testing.T) {
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
		runRefreshes := func(n int) (reads int) {
			before := table.Reads
			for range n {
				c.refreshOnce(ctx)
				time.Sleep(time.Second) // virtual time
			}
			return table.Reads - before
		}
		relay.answer = freshness.Answer{Version: 1, Proved: true, Age: time.Second, Voter: true}
		if n := runRefreshes(20); n != 0 || !c.Fresh(time.Now()) {
			t.Errorf("relay with fresh proof: got %d table reads and fresh %t, want 0 and true", n, c.Fresh(time.Now()))
		}
		relay.answer.Age = time.Minute
		if n := runRefreshes(20); n < 15 || !c.Fresh(time.Now()) {
			t.Errorf("relay with old proof: got %d table reads and fresh %t, want at least 15 and true", n, c.Fresh(time.Now()))
		}
		relay.down = true
		if n := runRefreshes(20); n < 15 || !c.Fresh(time.Now()) {
			t.Errorf("relay down: got %d table reads and fresh %t, want at least 15 and true", n, c.Fresh(time.Now()))
		}
		if !c.freshnessAnswer().Voter {
			t.Error("the instance is not a voter after reading the table")
		}
	})
}
