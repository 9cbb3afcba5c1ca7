package coordinator

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// Guards a rolling restart against a lead that goes from each instance to the
// one that is stopped next: the youngest instance gets it, never one that is
// shutting down, and a weak one only if there is no other (incident inc-34ba of
// cantaro-pozos: five changes of leader in 16 s).
func TestSuccessorIsTheYoungest(t *testing.T) {
	peers := []peer.Identity{{Instance: "old"}, {Instance: "young"}, {Instance: "leaving"}, {Instance: "weak"}, {Instance: "new"}, {Instance: "silent"}}
	c := &Coordinator{beats: map[string]beat{
		"old": {Uptime: time.Hour}, "young": {Uptime: time.Minute}, "leaving": {Uptime: 2 * time.Second, Resigned: true},
		"weak": {Uptime: 2 * time.Second, Weak: true}, "new": {Uptime: settleTime / 2},
	}}
	if got := c.successor(peers); got != "young" {
		t.Errorf("the lease is offered to %q, want the youngest that is ready", got)
	}
	c.beats = nil
	if got := c.successor(peers[:1]); got != "old" {
		t.Errorf("without a word of any instance the lease is offered to %q", got)
	}
}

// Guards against giving the lead away while the store is only slow or loses
// answers: a leader that reads the store will also renew its lease.
func TestLeadIsOfferedOnlyWithoutTheStore(t *testing.T) {
	start := bootclock.Time(time.Hour)
	s := &rowStore{}
	c := &Coordinator{leading: true, lease: NewLease("a", "a1", "1.1.1.1:1", gap)}
	take(t, c.lease, s, start)
	late := start.Add(handOverAfter)
	if c.offers(start.Add(renewEvery)) {
		t.Error("offered although the lease is fresh")
	}
	read(t, c.lease, s, late)
	if c.offers(late) {
		t.Error("offered although the store was read a moment ago")
	}
	if later := late.Add(renewTimeout + renewRetry); !c.offers(later) || c.offers(later) {
		t.Error("not offered once without the store, or offered again at once")
	}
}

// Guards the end of a released lease: everyone else may take it at once, and
// the instance that gave it up does not believe in it any more.
func TestReleasedLeaseIsFree(t *testing.T) {
	s, start := &rowStore{}, bootclock.Time(time.Hour)
	a, b := NewLease("a", "a1", "1.1.1.1:1", gap), NewLease("b", "b1", "2.2.2.2:1", gap)
	take(t, a, s, start)
	change, ok := a.Release(start, nil)
	if !ok {
		t.Fatal("nothing to release")
	}
	page, err := s.commit(start, change)
	a.Written(start, start, page, err)
	if a.Held(start) || a.Mine() {
		t.Error("the holder believes in the lease that it released")
	}
	read(t, b, s, start)
	if free := b.FreeIn(start); free != 0 {
		t.Errorf("the released lease lasts for %s more", free)
	}
	if !take(t, b, s, start) {
		t.Error("the released lease was not taken")
	}
}

// Guards against a second call of every instance for each change that is too
// large to be relayed: once an instance has read it, it relies on the leader again.
func TestRelayCountsAgainOnceTheChangeIsRead(t *testing.T) {
	now := bootclock.Now()
	l := newClient(&Coordinator{config: Config{Instance: "follower", ShortestBound: 2 * time.Second}})
	l.leader = "leader"
	l.ages["t"] = relayAge{at: now, to: 7}
	if l.Relays(now, "t", 6) {
		t.Error("relies on the leader although a change that was not relayed is missing")
	}
	if !l.Relays(now, "t", 7) {
		t.Error("follows the table itself after it has read the change")
	}
}

// Guards a hand-over to a weak instance: it takes an offered lease at once, and
// only a free one is left to stronger instances for a while.
func TestOfferedLeaseIsNotLeftToOthers(t *testing.T) {
	s, start := &rowStore{}, bootclock.Time(time.Hour)
	a, b := NewLease("a", "a1", "1.1.1.1:1", gap), NewLease("b", "b1", "2.2.2.2:1", gap)
	take(t, a, s, start)
	read(t, b, s, start)
	if b.Offered() {
		t.Error("offered before the holder said so")
	}
	b.Handed("a", a.Token())
	if !b.Offered() {
		t.Error("an offer is not seen")
	}
}
