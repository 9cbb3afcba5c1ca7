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

// cluster runs several instances in one synctest bubble, on virtual time.
type cluster struct {
	t           *testing.T
	table       *portstest.Table
	mu          sync.Mutex
	nodes       map[string]*testNode
	unreachable map[string]bool // instances that receive and send no messages
	members     []Member        // the platform's list
}

type testNode struct {
	*Sync
	faultyTable
	cluster *cluster
	session *fakeSession
	stop    func()
}

// faultyTable is one instance's connection to the table, with injected faults.
type faultyTable struct {
	ports.Table
	unreachable *atomic.Bool
	isolated    *atomic.Bool  // the instance sees no other member, and its writes are delayed by 1 s
	conflicts   *atomic.Int64 // writes that failed because another instance wrote the row first
}

func (t faultyTable) Transact(ctx context.Context, token string, writes ...ports.Write) error {
	if t.isolated.Load() {
		sleep(ctx, time.Second)
	}
	err := t.Table.Transact(ctx, token, writes...)
	if errors.Is(err, ports.ErrConflict) {
		t.conflicts.Add(1)
	}
	return err
}

func (t faultyTable) List(ctx context.Context, kind string) ([]ports.Row, error) {
	if t.unreachable.Load() {
		return nil, ports.ErrUnknown
	}
	return t.Table.List(ctx, kind)
}

// Send implements Transport with a delay of 1 ms in each direction.
func (n *testNode) Send(ctx context.Context, to string, message any) (any, error) {
	sleep(ctx, time.Millisecond)
	n.cluster.mu.Lock()
	peer, unreachable := n.cluster.nodes[to], n.cluster.unreachable[to] || n.cluster.unreachable[n.session.instance]
	n.cluster.mu.Unlock()
	if peer == nil || unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := peer.Handle(n.session.instance, message)
	sleep(ctx, time.Millisecond)
	return answer, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func newCluster(t *testing.T, names ...string) *cluster {
	log.SetHandler(discard.Default)
	c := &cluster{t: t, table: portstest.NewTable(), nodes: map[string]*testNode{}, unreachable: map[string]bool{}}
	for _, name := range names {
		c.setListed(name, "run-1-"+name)
	}
	for _, name := range names {
		c.start(name, "run-1-"+name)
	}
	return c
}

// setListed makes the platform's list show this incarnation of the instance; an
// empty incarnation removes the instance from the list.
func (c *cluster) setListed(name, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = slices.DeleteFunc(slices.Clone(c.members), func(m Member) bool { return m.Instance == name })
	if incarnation != "" {
		c.members = append(c.members, Member{Instance: name, Incarnation: incarnation, Address: "addr-" + name, DataCentre: "dc"})
	}
}

func (c *cluster) start(name, incarnation string) *testNode {
	n := &testNode{cluster: c, faultyTable: faultyTable{c.table, new(atomic.Bool), new(atomic.Bool), new(atomic.Int64)}, session: &fakeSession{instance: name, incarnation: incarnation, address: "addr-" + name}}
	config := DefaultConfig()
	config.Table, config.Transport, config.Session = n.faultyTable, n, n.session
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
			if n.isolated.Load() {
				members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Instance != name })
			}
			n.SetMembers(members)
			sleep(ctx, time.Second)
		}
	})
	n.stop = func() { cancel(); n.cancel(); running.Wait(); n.sends.Wait() }
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	return n
}

// crash stops an instance without releasing its slots.
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

func wait(d time.Duration) { sleep(context.Background(), d); synctest.Wait() }

// slotCounts returns the number of slots that each instance holds according to its
// own ledger.
func (c *cluster) slotCounts() map[string]int {
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

func (c *cluster) expectSlots(total int, stage string) {
	c.t.Helper()
	sum := 0
	for _, n := range c.slotCounts() {
		sum += n
	}
	if sum != total {
		c.t.Errorf("%s: got slots %v, want %d in total", stage, c.slotCounts(), total)
	}
}

// admitUntilRefused admits requests of 10 tokens until one is refused, and
// returns the tokens admitted and the refusal.
func (n *testNode) admitUntilRefused(t *testing.T) (int, *verdict.Refusal) {
	for total := 0; ; total += 10 {
		if _, err := n.Admit(context.Background(), team, 10); err != nil {
			var refusal *verdict.Refusal
			if !errors.As(err, &refusal) || refusal.Verdict() != verdict.NotRun {
				t.Fatalf("got error %v, want a refusal with verdict not_run", err)
			}
			return total, refusal
		}
	}
}
