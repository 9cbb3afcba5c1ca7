package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/quarantine"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// deadlyPart is the part that crashes upstreams in the shapes below.
var deadlyPart = quarantine.Cause{ID: "deadly"}

// shape is an order in which requests with a deadly part come.
type shape struct {
	name string
	// after returns the shared parts that follow the deadly one in request n.
	after func(n int) []string
	// before is set if the deadly part stands behind those parts.
	before bool
	// perSecond is the rate of the requests, and sound the time until the part turns deadly.
	perSecond float64
	sound     time.Duration
	// repeats is how many times callers send each request, 0 for once.
	repeats int
	// goesOn is the number of requests after which a sound one with the last of these parts
	// follows, 0 for never.
	goesOn int
}

// session returns the ID of a part that length requests share.
func session(n, length int) string { return fmt.Sprintf("session-%d-%d", length, n/length) }

// shapes returns the shapes that are played.
func shapes() []shape {
	var list []shape
	for length := 1; length <= 6; length++ {
		after := func(n int) []string { return []string{session(n, length)} }
		list = append(list,
			shape{name: fmt.Sprintf("sessions of %d", length), perSecond: 1, after: after},
			shape{name: fmt.Sprintf("sessions of %d that go on", length), perSecond: 1, goesOn: length, after: after},
			shape{name: fmt.Sprintf("turns deadly, sessions of %d", length), perSecond: 1, sound: 6 * time.Second, after: after})
	}
	return append(list,
		shape{name: "sessions of 4, fast", perSecond: 6, goesOn: 1, after: func(n int) []string { return []string{session(n, 4)} }},
		shape{name: "sessions of 4, slow", perSecond: 0.3, goesOn: 1, after: func(n int) []string { return []string{session(n, 4)} }},
		shape{name: "sessions in sessions", perSecond: 1, after: func(n int) []string { return []string{session(n, 6), session(n, 3)} }},
		shape{name: "three levels", perSecond: 1, after: func(n int) []string { return []string{session(n, 12), session(n, 6), session(n, 3)} }},
		shape{name: "turns", perSecond: 1, goesOn: 1, after: func(n int) []string { return []string{fmt.Sprint("session-", n%3)} }},
		shape{name: "few sessions", perSecond: 2, after: func(n int) []string { return []string{fmt.Sprint("session-", n*n%7%2)} }},
		shape{name: "behind sessions", perSecond: 1, before: true, after: func(n int) []string { return []string{session(n, 4)} }},
		shape{name: "repeated requests", perSecond: 1, repeats: 3, after: func(n int) []string { return []string{session(n, 6)} }},
		shape{name: "repeated requests of one session", perSecond: 1, repeats: 3, after: func(n int) []string { return []string{"session-1"} }},
		shape{name: "alone", perSecond: 1, after: func(int) []string { return nil }},
	)
}

// causes returns the causes of request n with the deadly part.
func (c *shape) causes(n int) []quarantine.Cause {
	parts := append([]string{"deadly"}, c.after(n)...)
	if c.before {
		parts = append(c.after(n), "deadly")
	}
	return quarantine.Causes(append([]string{"system-0"}, parts...), fmt.Sprintf("deadly-request-%d", n/max(c.repeats, 1)))
}

// Guards against a part that crashes upstreams and is hidden by the parts that come with
// it: in its place the parts of sessions are quarantined, one after the other, and
// upstreams crash on. Sound requests with those parts must be served.
func TestDeadlyPartIsFoundInAllShapesOfSessions(t *testing.T) {
	for _, c := range shapes() {
		for _, lost := range [][]time.Duration{nil, {9 * time.Second, 16 * time.Second}} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s lost %d seed %d", c.name, len(lost), seed), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(t, 8, 9, rand.New(rand.NewPCG(seed, 11)))
					s.playShape(&c, lost)
					s.check()
				})
			}
		}
	}
}

// playShape plays sound requests and, after simQuiet, those of a shape.
func (s *simulation) playShape(c *shape, lost []time.Duration) {
	s.inTouch = true
	n, next := 0, simQuiet
	length := time.Duration(float64(simLength) * max(1, 1/c.perSecond))
	s.play(length, 20, lost, func(elapsed time.Duration) {
		if elapsed < next {
			return
		}
		next += time.Duration(float64(time.Second) / c.perSecond)
		causes := c.causes(n)
		if elapsed < simQuiet+c.sound {
			s.send(causes, nil)
		} else {
			s.send(causes, &deadlyPart)
		}
		if parts := c.after(n); c.goesOn > 0 && (n+1)%c.goesOn == 0 {
			sound := quarantine.Causes([]string{"system-0", "sound", parts[len(parts)-1]}, fmt.Sprintf("sound-request-%d", n))
			s.after(500*time.Millisecond, func() { s.send(sound, nil) })
		}
		n++
	})
}

// simQuiet is the time before the first request that crashes upstreams.
const simQuiet = 4 * time.Second

// newSimulation returns a fleet of instances and upstreams.
func newSimulation(t *testing.T, instances, upstreams int, random *rand.Rand) *simulation {
	s := &simulation{
		t: t, random: random, now: start, upstreams: make([]simUpstream, upstreams),
		events: map[bootclock.Time][]func(){}, crashes: map[quarantine.Cause][]bootclock.Time{}, sends: map[quarantine.Cause][]bootclock.Time{},
		restarts: map[int]bootclock.Time{},
	}
	for range instances {
		s.instances = append(s.instances, quarantine.NewLedger())
	}
	return s
}

// crashSession records n crashes with the deadly part and the part of a session, a second
// apart, and returns the time of the last one.
func crashSession(l *quarantine.Ledger, from time.Duration, firstRun, n int, session string) time.Duration {
	last := crashWith(l, from, firstRun, n, "system", "deadly", session)
	l.RecordSuccess(parts("system"), at(last+100*time.Millisecond))
	for range 5 {
		last += 100 * time.Millisecond
		l.Judge(at(last))
	}
	return last
}

// Guards against sound requests of a session that are refused, at any instance, once the
// part that crashed its upstreams is known.
func TestSessionIsReleasedOnceTheDeadlyPartIsKnown(t *testing.T) {
	l, other := quarantine.NewLedger(), quarantine.NewLedger()
	now := crashSession(l, 0, 0, 3, "session-1")
	other.Adopt(at(now), l.Entries(at(now)))
	if blocked(other, now, "session-1") == "" {
		t.Fatal("after three crashes the part of the session is not quarantined; the test shows nothing")
	}
	now = crashSession(l, now+time.Second, 3, 1, "session-2")
	other.Adopt(at(now), l.Entries(at(now)))
	for name, l := range map[string]*quarantine.Ledger{"leader": l, "other instance": other} {
		if got := blocked(l, now, "system", "deadly", "session-3"); got != "deadly" {
			t.Errorf("%s: part %q is quarantined, want deadly", name, got)
		}
		if got := blocked(l, now, "system", "sound", "session-1"); got != "" {
			t.Errorf("%s: sound request of the first session: %s is quarantined", name, got)
		}
	}
}

// Guards against upstreams that crash on: if the less specific part turns out to be sound,
// the parts whose crashes it explained must be judged again, at all instances.
func TestReleasedSessionIsJudgedAgain(t *testing.T) {
	l, other := quarantine.NewLedger(), quarantine.NewLedger()
	now := crashSession(l, 0, 0, 3, "session-1")
	now = crashSession(l, now+time.Second, 3, 1, "session-2")
	other.Adopt(at(now), l.Entries(at(now)))
	now += 11 * time.Second
	l.RecordSuccess(parts("system", "deadly"), at(now))
	l.Judge(at(now + 100*time.Millisecond))
	now += time.Second
	l.Judge(at(now))
	other.Adopt(at(now+50*time.Millisecond), l.Entries(at(now)))
	for name, l := range map[string]*quarantine.Ledger{"leader": l, "other instance": other} {
		if got := blocked(l, now+50*time.Millisecond, "system", "deadly", "session-1"); got != "session-1" {
			t.Errorf("%s: part %q is quarantined, want session-1", name, got)
		}
		if got := blocked(l, now+50*time.Millisecond, "system", "deadly", "session-2"); got != "" {
			t.Errorf("%s: part %q is quarantined after one crash", name, got)
		}
	}
}

// Guards against a part that is quarantined because it stands beside one that crashes
// upstreams, and against the release of the latter.
func TestBystanderReplacesNothing(t *testing.T) {
	l := quarantine.NewLedger()
	now := crashSession(l, 0, 0, 6, "session-1")
	for i := range 3 { // requests that were on their way
		l.RecordCrash(at(now), run(10+i), parts("system", "deadly", "session-1"))
		l.RecordCrash(at(now), run(10+i), parts("system", "bystander"))
		now += time.Second
	}
	l.RecordCrash(at(now), run(20), parts("system", "bystander"))
	l.RecordSuccess(parts("system"), at(now+100*time.Millisecond))
	for range 4 {
		now += time.Second
		l.Judge(at(now))
	}
	if got := blocked(l, now, "system", "bystander"); got != "" {
		t.Errorf("%s is quarantined", got)
	}
	if got := blocked(l, now, "system", "deadly", "session-1"); got == "" {
		t.Error("the quarantine has ended")
	}
}
