// Package admission decides which requests engines take next. It answers the
// load of more requests for a few models than their engines can run: without it, every
// instance sends what it has, the engines queue it, and most answers come after their
// callers have left. It does no I/O and reads no clock.
package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// prefillTokensPerMS is the assumed speed of reading prompts, and prefillShare the share
	// of an engine's time that reading them may take: events of the running streams wait
	// meanwhile.
	prefillTokensPerMS = 20.0
	prefillShare       = 0.8
	// prefillAhead is how far ahead of the engine prompts are sent to it, so that it does
	// not wait for the next one.
	prefillAhead = 40 * time.Millisecond
	// memoryShare is the share of an engine's KV cache that running requests may take.
	memoryShare = 0.9
	// maxRunning bounds the requests that run at an engine with more slots: with more, the
	// events of the running streams are further apart than their callers accept.
	maxRunning = 26
	// occupiedMS is the cost of a fully occupied engine in the choice between engines, and
	// preferenceMS the cost of each place further down in the preferences of the instance,
	// which knows where the prompt is cached.
	occupiedMS   = 200.0
	preferenceMS = 15.0
	// grantLife is how long a grant counts that no report of its instance covers.
	grantLife = 700 * time.Millisecond
	// grantDelay is the time from a grant until the instance reports the request as running.
	grantDelay = 60 * time.Millisecond
	// agedEvery is the number of grants of an upstream of which one goes to the claim that
	// has waited longest, so that no kind of request is starved.
	agedEvery = 10
	// maxOvertaken is how often a claim that can't meet its objective any longer is passed by
	// later ones until it is refused: its caller may return, while it would go on waiting here.
	maxOvertaken = 2
	// gapWeight is the weight of the last gap between two grants in their mean.
	gapWeight = 0.2
	// minReturn and maxReturn bound the time after which a refused caller is told to return.
	minReturn = 200 * time.Millisecond
	maxReturn = 4 * time.Second
	// paceAge is the age up to which the pace of an upstream is used. It changes many times
	// a second.
	paceAge = 500 * time.Millisecond
	// usualPace is the pace of an upstream that nothing slows down.
	usualPace = 100.0
)

// Capacity is what an engine runs at once.
type Capacity struct {
	Slots    int
	KVTokens int
}

// Claim asks for a place for one request at one of several upstreams.
type Claim struct {
	Instance  string
	Upstreams []string // the preferred one first
	Priority  int      // 0 is the most urgent
	Prompt    int64    // tokens to read
	Tokens    int64    // prompt and longest output
	// OnTime is the latest start with which the request meets its latency objective.
	OnTime bootclock.Time
	// Latest is the latest start that is of use to the caller.
	Latest bootclock.Time
}

// Decision answers a claim.
type Decision struct {
	// Upstream is where the request may be sent, empty if it is refused.
	Upstream string
	// RetryAfter is the time until a refused caller may be served.
	RetryAfter time.Duration
}

// ID identifies a waiting claim.
type ID uint64

// Decided is a decision about a claim that has waited.
type Decided struct {
	ID ID
	Decision
}

type grant struct {
	instance string
	at       bootclock.Time
}

// upstream is the state of one engine.
type upstream struct {
	capacity  Capacity
	running   int     // according to the instances' reports
	grants    []grant // that no report covers
	pace      float64
	paceAt    bootclock.Time
	readUntil bootclock.Time // when it has read the prompts granted so far
	lastGrant bootclock.Time
	gap       time.Duration // mean time between two grants while claims wait
	granted   int           // since a claim was granted for its age
	// returns is when the last refused caller was told to return.
	returns bootclock.Time
}

type waiting struct {
	Claim
	id        ID
	arrived   bootclock.Time
	overtaken int // grants to later claims since it can't meet its objective
}

// Ledger holds the occupancy of the upstreams and the waiting claims. It is not safe for
// concurrent use.
type Ledger struct {
	upstreams map[string]*upstream
	reports   map[string]map[string]int // running requests by instance and upstream
	queue     []*waiting
	lastID    ID
}

// NewLedger returns a ledger without upstreams.
func NewLedger() *Ledger {
	return &Ledger{upstreams: map[string]*upstream{}, reports: map[string]map[string]int{}}
}

// Observe sets the upstreams that the ledger admits requests to. The state of those that
// stay is kept.
func (l *Ledger) Observe(capacities map[string]Capacity) {
	for id := range l.upstreams {
		if _, ok := capacities[id]; !ok {
			delete(l.upstreams, id)
		}
	}
	for id, c := range capacities {
		u := l.upstreams[id]
		if u == nil {
			u = &upstream{}
			l.upstreams[id] = u
			for _, running := range l.reports {
				u.running += running[id]
			}
		}
		u.capacity = c
	}
}

// Empty reports whether the ledger has no upstreams.
func (l *Ledger) Empty() bool { return len(l.upstreams) == 0 }

// RecordReport replaces what an instance runs at each upstream.
func (l *Ledger) RecordReport(now bootclock.Time, instance string, running map[string]int) {
	for id, n := range l.reports[instance] {
		if u := l.upstreams[id]; u != nil {
			u.running -= n
		}
	}
	if len(running) == 0 {
		delete(l.reports, instance)
	} else {
		l.reports[instance] = maps.Clone(running)
	}
	for id, n := range running {
		if u := l.upstreams[id]; u != nil {
			u.running += n
		}
	}
	for _, u := range l.upstreams {
		u.grants = slices.DeleteFunc(u.grants, func(g grant) bool { return g.instance == instance && now.Sub(g.at) > grantDelay })
	}
}

// RecordPace records how long work takes at an upstream, 100 being usual.
func (l *Ledger) RecordPace(now bootclock.Time, id string, pace float64) {
	if u := l.upstreams[id]; u != nil && pace > 0 {
		u.pace, u.paceAt = pace, now
	}
}

// Forget drops what an instance has reported and its waiting claims, which it returns.
func (l *Ledger) Forget(now bootclock.Time, instance string) (dropped []ID) {
	l.RecordReport(now, instance, nil)
	l.queue = slices.DeleteFunc(l.queue, func(w *waiting) bool {
		if w.Instance == instance {
			dropped = append(dropped, w.id)
		}
		return w.Instance == instance
	})
	return dropped
}

// occupied returns the number of requests that run at the upstream or are on their way.
func (u *upstream) occupied(now bootclock.Time) int {
	u.grants = slices.DeleteFunc(u.grants, func(g grant) bool { return now.Sub(g.at) > grantLife })
	return u.running + len(u.grants)
}

// readTime is the time between two grants in which the engine reads a prompt.
func (u *upstream) readTime(now bootclock.Time, prompt int64) time.Duration {
	slow := 1.0
	if u.paceAt != 0 && now.Sub(u.paceAt) < paceAge {
		slow = max(u.pace/usualPace, 1)
	}
	return time.Duration(float64(prompt) / prefillTokensPerMS / prefillShare * slow * float64(time.Millisecond))
}

// free returns how many requests like a claim the upstream can run beside those it has, 0 or
// less if none.
func (u *upstream) free(now bootclock.Time, c *Claim) int {
	limit := min(u.capacity.Slots, maxRunning)
	if c.Tokens > 0 && u.capacity.KVTokens > 0 {
		limit = min(limit, max(int(memoryShare*float64(u.capacity.KVTokens)/float64(c.Tokens)), 1))
	}
	return limit - u.occupied(now)
}

// room reports whether the upstream takes one more request now.
func (u *upstream) room(now bootclock.Time, c *Claim) bool {
	return u.free(now, c) > 0 && u.readUntil.Sub(now) <= prefillAhead
}

// grant records a request that is sent to the upstream.
func (u *upstream) grant(now bootclock.Time, c *Claim) {
	u.grants = append(u.grants, grant{c.Instance, now})
	u.readUntil = max(u.readUntil, now).Add(u.readTime(now, c.Prompt))
	u.lastGrant = now
}

// recordGap records the time between two grants, while a claim waited since a time.
func (u *upstream) recordGap(now, since bootclock.Time, read time.Duration) {
	gap := now.Sub(max(u.lastGrant, since))
	if u.gap == 0 {
		u.gap = read
	}
	u.gap = time.Duration(gapWeight*float64(gap) + (1-gapWeight)*float64(u.gap))
}

// Ask decides about a claim: it is granted if an upstream has room, refused if its turn
// would come too late, and waits otherwise.
func (l *Ledger) Ask(now bootclock.Time, c Claim) (id ID, d Decision, decided bool) {
	c.Upstreams = slices.DeleteFunc(slices.Clone(c.Upstreams), func(id string) bool { return l.upstreams[id] == nil })
	if len(c.Upstreams) == 0 {
		return 0, Decision{}, true
	}
	l.lastID++
	w := &waiting{Claim: c, id: l.lastID, arrived: now}
	ahead := l.ahead(now, w)
	if ahead == 0 {
		if id := l.choose(now, &w.Claim); id != "" {
			l.upstreams[id].grant(now, &w.Claim)
			l.recordOvertaking(now, w, id)
			return 0, Decision{Upstream: id}, true
		}
	}
	if wait := l.expectedWait(now, w, ahead); now.Add(wait).After(w.Latest) {
		return 0, l.refuse(now, w, wait), true
	}
	l.queue = append(l.queue, w)
	return w.id, Decision{}, false
}

// choose returns the best upstream with room: the preferred one unless others have less to
// read and run.
func (l *Ledger) choose(now bootclock.Time, c *Claim) string {
	best, least := "", 0.0
	for i, id := range c.Upstreams {
		u := l.upstreams[id]
		if u == nil || !u.room(now, c) {
			continue
		}
		cost := preferenceMS * float64(i)
		cost += max(float64(u.readUntil.Sub(now))/float64(time.Millisecond), 0)
		cost += occupiedMS * float64(u.occupied(now)) / float64(max(u.capacity.Slots, 1))
		if best == "" || cost < least {
			best, least = id, cost
		}
	}
	return best
}

// ahead counts the waiting claims that go before one at its upstreams.
func (l *Ledger) ahead(now bootclock.Time, w *waiting) int {
	n := 0
	for _, other := range l.queue {
		if other != w && before(now, other, w) && slices.ContainsFunc(other.Upstreams, func(id string) bool { return slices.Contains(w.Upstreams, id) }) {
			n++
		}
	}
	return n
}

// expectedWait estimates when a claim with the given number before it has its turn. Where
// slots are free for all of them, only the prompts take time: the mean gap may be that of a
// stall long ago.
func (l *Ledger) expectedWait(now bootclock.Time, w *waiting, ahead int) time.Duration {
	perSecond := 0.0
	for _, id := range w.Upstreams {
		if u := l.upstreams[id]; u != nil {
			gap := max(u.readTime(now, w.Prompt), time.Millisecond)
			if u.free(now, &w.Claim) <= ahead {
				gap = max(gap, u.gap)
			}
			perSecond += float64(time.Second) / float64(gap)
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// refuse returns a refusal. Refused callers are told to return one after the other, at the
// rate at which the upstreams take requests.
func (l *Ledger) refuse(now bootclock.Time, w *waiting, wait time.Duration) Decision {
	after := wait
	for _, id := range w.Upstreams {
		if u := l.upstreams[id]; u != nil {
			at := max(u.returns, now.Add(wait)).Add(max(u.gap, u.readTime(now, w.Prompt)))
			if at.Sub(now) <= maxReturn {
				u.returns = at
			}
			after = max(after, min(at.Sub(now), maxReturn))
			break
		}
	}
	return Decision{RetryAfter: min(max(after, minReturn), maxReturn)}
}

// before reports whether a waiting claim goes before another one: by priority; then those
// that can still meet their objective before those that can't, since a late answer is worth
// less to its caller; then by objective and by arrival.
func before(now bootclock.Time, a, b *waiting) bool {
	lateA, lateB := now.After(a.OnTime), now.After(b.OnTime)
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case lateA != lateB:
		return lateB
	case !lateA && a.OnTime != b.OnTime:
		return a.OnTime < b.OnTime
	}
	return a.id < b.id
}

// Step grants and refuses waiting claims.
func (l *Ledger) Step(now bootclock.Time) []Decided {
	var decided []Decided
	if len(l.queue) == 0 {
		return nil
	}
	slices.SortFunc(l.queue, func(a, b *waiting) int {
		if before(now, a, b) {
			return -1
		}
		return 1
	})
	for {
		w := l.next(now)
		if w == nil {
			break
		}
		id := l.choose(now, &w.Claim)
		u := l.upstreams[id]
		u.recordGap(now, w.arrived, u.readTime(now, w.Prompt))
		u.grant(now, &w.Claim)
		if u.granted++; u.granted >= agedEvery {
			u.granted = 0
		}
		l.remove(w.id)
		l.recordOvertaking(now, w, id)
		decided = append(decided, Decided{w.id, Decision{Upstream: id}})
	}
	for _, w := range slices.Clone(l.queue) {
		switch {
		case !slices.ContainsFunc(w.Upstreams, func(id string) bool { return l.upstreams[id] != nil }):
			decided = append(decided, Decided{ID: w.id})
			l.remove(w.id)
		case !now.Before(w.Latest), w.overtaken >= maxOvertaken:
			decided = append(decided, Decided{w.id, l.refuse(now, w, l.expectedWait(now, w, l.ahead(now, w)))})
			l.remove(w.id)
		}
	}
	return decided
}

// recordOvertaking records a grant of an upstream for the late claims that have waited longer
// for it.
func (l *Ledger) recordOvertaking(now bootclock.Time, granted *waiting, id string) {
	for _, w := range l.queue {
		if w.id < granted.id && now.After(w.OnTime) && slices.Contains(w.Upstreams, id) {
			w.overtaken++
		}
	}
}

// next returns the claim to grant next, nil if no upstream has room for one: the first of
// the queue, or at each agedEvery-th grant of an upstream the one that has waited longest.
func (l *Ledger) next(now bootclock.Time) *waiting {
	var first, oldest *waiting
	for _, w := range l.queue {
		id := l.choose(now, &w.Claim)
		if id == "" || !now.Before(w.Latest) {
			continue
		}
		if first == nil {
			first = w
		}
		if l.upstreams[id].granted == agedEvery-1 && (oldest == nil || w.id < oldest.id) {
			oldest = w
		}
	}
	if oldest != nil {
		return oldest
	}
	return first
}

// Cancel removes a waiting claim.
func (l *Ledger) Cancel(id ID) { l.remove(id) }

func (l *Ledger) remove(id ID) {
	l.queue = slices.DeleteFunc(l.queue, func(w *waiting) bool { return w.id == id })
}

// Waiting returns the number of waiting claims.
func (l *Ledger) Waiting() int { return len(l.queue) }
