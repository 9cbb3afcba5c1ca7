package quotasync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports/portstest"
)

const team = "team-a"

type fakeSession struct {
	instance, incarnation, address string
	invalid                        atomic.Bool
}

func (s *fakeSession) Valid(time.Time) bool { return !s.invalid.Load() }
func (s *fakeSession) Instance() string     { return s.instance }
func (s *fakeSession) Incarnation() string  { return s.incarnation }
func (s *fakeSession) Address() string      { return s.address }

// cluster is a few instances in one test bubble, on virtual time.
type cluster struct {
	t       *testing.T
	table   *portstest.Table
	mu      sync.Mutex
	nodes   map[string]*testNode
	cut     map[string]bool // unreachable for messages
	members []Member        // the platform's list
}

type testNode struct {
	*Sync
	cutTable
	cluster *cluster
	session *fakeSession
	stop    func()
}

// cutTable is the table as one instance reaches it.
type cutTable struct {
	ports.Table
	cut       *atomic.Bool
	alone     *atomic.Bool  // the instance sees no other member, and its writes are late
	conflicts *atomic.Int64 // writes that another instance's write preceded
}

func (t cutTable) Transact(ctx context.Context, token string, writes ...ports.Write) error {
	if t.alone.Load() {
		pause(ctx, time.Second)
	}
	err := t.Table.Transact(ctx, token, writes...)
	if errors.Is(err, ports.ErrConflict) {
		t.conflicts.Add(1)
	}
	return err
}

func (t cutTable) List(ctx context.Context, kind string) ([]ports.Row, error) {
	if t.cut.Load() {
		return nil, ports.ErrUnknown
	}
	return t.Table.List(ctx, kind)
}

// Send implements Transport with 1 ms delay each way.
func (n *testNode) Send(ctx context.Context, to string, message any) (any, error) {
	pause(ctx, time.Millisecond)
	n.cluster.mu.Lock()
	peer, cut := n.cluster.nodes[to], n.cluster.cut[to] || n.cluster.cut[n.session.instance]
	n.cluster.mu.Unlock()
	if peer == nil || cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := peer.Handle(n.session.instance, message)
	pause(ctx, time.Millisecond)
	return answer, err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func newCluster(t *testing.T, names ...string) *cluster {
	log.SetHandler(discard.Default)
	c := &cluster{t: t, table: portstest.NewTable(), nodes: map[string]*testNode{}, cut: map[string]bool{}}
	for _, name := range names {
		c.list(name, "run-1-"+name)
	}
	for _, name := range names {
		c.start(name, "run-1-"+name)
	}
	return c
}

// list makes the platform's list show a run of an instance, or none.
func (c *cluster) list(name, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = slices.DeleteFunc(slices.Clone(c.members), func(m Member) bool { return m.Instance == name })
	if incarnation != "" {
		c.members = append(c.members, Member{Instance: name, Incarnation: incarnation, Address: "addr-" + name, DataCentre: "dc"})
	}
}

func (c *cluster) start(name, incarnation string) *testNode {
	n := &testNode{cluster: c, cutTable: cutTable{c.table, new(atomic.Bool), new(atomic.Bool), new(atomic.Int64)}, session: &fakeSession{instance: name, incarnation: incarnation, address: "addr-" + name}}
	config := DefaultConfig()
	config.Table, config.Transport, config.Session = n.cutTable, n, n.session
	n.Sync = New(config)
	n.SetLimits(map[string]catalog.Workspace{team: {Name: team, Rate: 80, Burst: 800}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	running.Go(func() {
		for ctx.Err() == nil {
			c.mu.Lock()
			members := c.members
			c.mu.Unlock()
			if n.alone.Load() {
				members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Instance != name })
			}
			n.SetMembers(members)
			pause(ctx, time.Second)
		}
	})
	n.stop = func() { cancel(); n.cancel(); running.Wait(); n.sends.Wait() }
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	return n
}

// crash ends a run without a release.
func (c *cluster) crash(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	n.stop()
}

func (c *cluster) close() {
	for name := range c.nodes {
		c.crash(name)
	}
}

func wait(d time.Duration) { pause(context.Background(), d); synctest.Wait() }

// slots counts the slots that each instance holds by its own ledger.
func (c *cluster) slots() map[string]int {
	counts := map[string]int{}
	for name, n := range c.nodes {
		n.mu.Lock()
		for index := range quota.Slots {
			if n.ledger.Holds(team, index) {
				counts[name]++
			}
		}
		n.mu.Unlock()
	}
	return counts
}

func (c *cluster) want(total int, what string) {
	c.t.Helper()
	sum := 0
	for _, n := range c.slots() {
		sum += n
	}
	if sum != total {
		c.t.Errorf("%s: the instances hold %v, want %d in all", what, c.slots(), total)
	}
}

// spend admits requests of 10 tokens until one is refused, and returns the
// tokens and the refusal.
func (n *testNode) spend(t *testing.T) (int, *verdict.Refusal) {
	for total := 0; ; total += 10 {
		if _, err := n.Admit(context.Background(), team, 10); err != nil {
			var refusal *verdict.Refusal
			if !errors.As(err, &refusal) || refusal.Verdict() != verdict.NotRun {
				t.Fatalf("not a refusal: %v", err)
			}
			return total, refusal
		}
	}
}
