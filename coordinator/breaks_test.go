package coordinator

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// linkedInstance is an instance with a link to a leader.
type linkedInstance struct {
	*Coordinator
	leader  *Coordinator
	address string
}

// newLinkedLeader returns a leader at which v2 has been admitted after v1, and its listener.
func newLinkedLeader(t *testing.T) (*Coordinator, string) {
	t.Helper()
	c := newOriginLeader(t, &versionStore{}, "leader")
	now := bootclock.Now()
	c.client.origins.Restore(now, []origin.Seen{{Service: "engine", Version: "v1", Serving: true}})
	c.startTerm(now)
	c.leadingSince = now.Add(-originsSettle)
	server := httptest.NewServer(c.hub)
	t.Cleanup(server.Close)
	t.Cleanup(c.hub.Close)
	return c, strings.TrimPrefix(server.URL, "http://")
}

// admitSecond admits v2 beside v1 at the leader.
func (c *Coordinator) admitSecond(t *testing.T) {
	t.Helper()
	now := bootclock.Now()
	c.observe(now, "v1", "v2")
	saveUntil(t, "v2 is admitted", &now, func() bool { return c.notYet() == 0 }, c)
}

// link starts an instance and waits for its link.
func link(t *testing.T, leader *Coordinator, address, incarnation string) *linkedInstance {
	t.Helper()
	i := &linkedInstance{newOriginLeader(t, &versionStore{}, "b"), leader, address}
	i.leading, i.config.Boot = false, incarnation
	now := bootclock.Now()
	i.client.origins.Restore(now, []origin.Seen{{Service: "engine", Version: "v1", Serving: true}, {Service: "engine", Version: "v2", Serving: true}})
	i.observe(now, "v1", "v2")
	i.hub = i.newHub("secret")
	t.Cleanup(i.hub.Close)
	i.connect(t)
	return i
}

func (i *linkedInstance) connect(t *testing.T) {
	t.Helper()
	i.hub.SetTargets(t.Context(), []string{i.address})
	processtest.Eventually(t, "the link is up", func() bool { return i.leader.linkedTo(i.config.Boot) && i.hub.Linked("leader") })
}

// linkedTo reports whether the leader has a link to the incarnation and has recorded it.
func (c *Coordinator) linkedTo(incarnation string) bool {
	for _, id := range c.hub.Connected() {
		if id.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// breakLink ends the link and waits until the leader has recorded that.
func (i *linkedInstance) breakLink(t *testing.T) {
	t.Helper()
	last := i.leader.lastLoss()
	i.hub.SetTargets(t.Context(), nil)
	i.hub.Drop("leader")
	processtest.Eventually(t, "the break is recorded", func() bool { return i.leader.lastLoss() > last && !i.leader.hub.Linked("b") })
}

func (c *Coordinator) lastLoss() bootclock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origins.losses.Last()
}

// source returns how the leader knows the origin of a stream, and the version.
func (c *Coordinator) source(t *testing.T, stream string) (origin.Source, string, bool) {
	t.Helper()
	a, err := c.findOrigin(t.Context(), findOriginRequest{Stream: origin.ID(stream), Services: []string{"engine"}, Service: "engine"})
	if err != nil {
		t.Fatal(err)
	}
	return a.Source, a.Origin.Version, a.Settling
}

// Guards against streams that are refused because a link broke whose instance has not
// ended: two instances dial each other after a restart of all, and one link is dropped.
func TestLinkThatIsBackIsNoEndOfAnInstance(t *testing.T) {
	c, address := newLinkedLeader(t)
	i := link(t, c, address, "b1")
	c.admitSecond(t)
	if source, version, _ := c.source(t, "earlier"); source != origin.Earlier || version != "v1" {
		t.Fatalf("before the break: got %q by %v", version, source)
	}
	i.breakLink(t)
	if source, version, settling := c.source(t, "earlier"); source != origin.Unknown || settling {
		t.Errorf("while the instance may have ended: got %q by %v, settling %v", version, source, settling)
	}
	i.connect(t)
	processtest.Eventually(t, "the break does not count", func() bool {
		c.requestOrigins(bootclock.Now())
		source, version, _ := c.source(t, "earlier")
		return source == origin.Earlier && version == "v1"
	})
}

// Guards against a stream that goes on at another version: a link that is up again shows
// neither that the last reports before the break have arrived nor, before an answer, that
// the instance still runs.
func TestBreakCountsUntilTheInstanceHasAnswered(t *testing.T) {
	c, address := newLinkedLeader(t)
	i := link(t, c, address, "b1")
	c.admitSecond(t)
	i.breakLink(t)
	// A report on its way is lost with the link.
	i.client.origins.Record(bootclock.Now(), origin.ID("lost"), origin.Origin{Service: "engine", Version: "v2"})
	i.connect(t)
	if source, version, settling := c.source(t, "lost"); source != origin.Unknown || !settling {
		t.Errorf("before the answer: got %q by %v, settling %v; want an unknown origin that is soon known", version, source, settling)
	}
	processtest.Eventually(t, "the stream is known", func() bool {
		c.requestOrigins(bootclock.Now())
		source, version, _ := c.source(t, "lost")
		if source != origin.Unknown && version != "v2" {
			t.Fatalf("got %q by %v, want v2", version, source)
		}
		return source == origin.Recorded
	})
}

// Guards against a stream that goes on at another version after the instance that knew of
// it has ended, whether or not its link was seen to break before the next one came up.
func TestOtherIncarnationIsTheEndOfAnInstance(t *testing.T) {
	for name, seen := range map[string]bool{"the break is seen": true, "the link is replaced": false} {
		t.Run(name, func(t *testing.T) {
			c, address := newLinkedLeader(t)
			i := link(t, c, address, "b1")
			c.admitSecond(t)
			if seen {
				i.breakLink(t)
			}
			i = link(t, c, address, "b2")
			i.breakLink(t)
			i.connect(t)
			processtest.Eventually(t, "the second incarnation has answered", func() bool {
				c.requestOrigins(bootclock.Now())
				c.mu.Lock()
				defer c.mu.Unlock()
				return !c.origins.losses.AnyBreak()
			})
			if source, version, settling := c.source(t, "earlier"); source != origin.Unknown || settling {
				t.Errorf("got %q by %v, settling %v: want an unknown origin", version, source, settling)
			}
		})
	}
}

// Guards against a leader that takes breaks and answers of its earlier term for those of
// the current one.
func TestBreaksEndWithTheTerm(t *testing.T) {
	c, address := newLinkedLeader(t)
	i := link(t, c, address, "b1")
	c.admitSecond(t)
	i.breakLink(t)
	i.connect(t)
	c.mu.Lock()
	earlier := c.origins.losses
	number, _ := earlier.Unanswered("b", "b1")
	c.mu.Unlock()
	c.startTerm(bootclock.Now())
	i.breakLink(t)
	last := c.lastLoss()
	i.connect(t)
	c.requestOriginsOf(peer.Identity{Instance: "b", Incarnation: "b1"}, number, earlier)
	if c.lastLoss() < last {
		t.Error("an answer to the earlier term ended a break of this one")
	}
}
