package coordinator

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// Guards against a rolling restart in which each leader hands over to the instance
// that is stopped next (incident inc-34ba of cantaro-pozos: five leader changes in
// 16 s). The lease goes to the youngest instance, never to one that is shutting down,
// and to a weak one only if there is no other.
func TestSuccessorIsTheYoungest(t *testing.T) {
	peers := []peer.Identity{{Instance: "old"}, {Instance: "young"}, {Instance: "leaving"}, {Instance: "weak"}, {Instance: "new"}, {Instance: "silent"}}
	c := &Coordinator{reports: map[string]instanceReport{
		"old": {Uptime: time.Hour}, "young": {Uptime: time.Minute}, "leaving": {Uptime: 2 * time.Second, Resigned: true},
		"weak": {Uptime: 2 * time.Second, Weak: true}, "new": {Uptime: minSuccessorUptime / 2},
	}}
	if got := c.successor(peers); got != "young" {
		t.Errorf("lease offered to %q, want \"young\", the youngest ready instance", got)
	}
	c.reports = nil
	if got := c.successor(peers[:1]); got != "old" {
		t.Errorf("without reports the lease is offered to %q, want \"old\"", got)
	}
}

// Guards against offering the lease while the store is only slow or loses responses: a
// leader that can read the store is expected to renew its lease.
func TestLeadIsOfferedOnlyWithoutTheStore(t *testing.T) {
	start := bootclock.Time(time.Hour)
	s := &rowStore{}
	c := &Coordinator{leading: true, lease: NewLease("a", "a1", "1.1.1.1:1", testLeaseGap)}
	take(t, c.lease, s, start)
	late := start.Add(handOverAfter)
	if c.shouldOffer(start.Add(renewInterval)) {
		t.Error("lease offered although it has just been renewed")
	}
	read(t, c.lease, s, late)
	if c.shouldOffer(late) {
		t.Error("lease offered although the store has just been read")
	}
	if later := late.Add(renewTimeout + renewRetry); !c.shouldOffer(later) || c.shouldOffer(later) {
		t.Error("lease not offered without the store, or offered again within offerRetry")
	}
}

// Guards against a released lease that blocks others or is still held by the instance
// that released it: any other instance may take it at once.
func TestReleasedLeaseIsFree(t *testing.T) {
	s, start := &rowStore{}, bootclock.Time(time.Hour)
	a, b := NewLease("a", "a1", "1.1.1.1:1", testLeaseGap), NewLease("b", "b1", "2.2.2.2:1", testLeaseGap)
	take(t, a, s, start)
	change, ok := a.Release(start, nil)
	if !ok {
		t.Fatal("Release returned no write")
	}
	page, err := s.commit(start, change)
	a.RecordWrite(start, start, page, err)
	if a.Held(start) || a.OwnsRow() {
		t.Error("the former holder still holds the lease that it released")
	}
	read(t, b, s, start)
	if free := b.Remaining(start); free != 0 {
		t.Errorf("released lease remains for %s, want 0", free)
	}
	if !take(t, b, s, start) {
		t.Error("the released lease could not be taken")
	}
}

// Guards against repeated store reads by every instance after a change too large to be
// relayed: once an instance has read the change, it relies on the leader again.
func TestRelayIsTrustedOnceSkippedChangeIsRead(t *testing.T) {
	now := bootclock.Now()
	l := newClient(&Coordinator{config: Config{Instance: "follower", ShortestBound: 2 * time.Second}})
	l.leader = "leader"
	l.relayStatuses["t"] = relayStatus{at: now, version: 7}
	if l.Relays(now, "t", 6) {
		t.Error("relies on the leader although a change that was not relayed has not been read")
	}
	if !l.Relays(now, "t", 7) {
		t.Error("does not rely on the leader after reading the change")
	}
}

// Guards against a delayed handover to a weak instance: it has to recognise an offered
// lease, which it takes at once, while it leaves a free one to others for weakDelay.
func TestOfferIsRecorded(t *testing.T) {
	s, start := &rowStore{}, bootclock.Time(time.Hour)
	a, b := NewLease("a", "a1", "1.1.1.1:1", testLeaseGap), NewLease("b", "b1", "2.2.2.2:1", testLeaseGap)
	take(t, a, s, start)
	read(t, b, s, start)
	if b.Offered() {
		t.Error("lease counts as offered before the holder has offered it")
	}
	b.RecordOffer("a", a.Token())
	if !b.Offered() {
		t.Error("the recorded offer has no effect")
	}
}
