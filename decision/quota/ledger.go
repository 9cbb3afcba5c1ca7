package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// GrantLife is the lifetime of a grant on the borrower's clock, from the time of the request.
	GrantLife = 2 * time.Second
	// DriftMargin is added to GrantLife on the lender's clock. 200 ms allow for clocks that differ by 10%.
	DriftMargin = 200 * time.Millisecond
	loanLife    = GrantLife + DriftMargin
	// loanRetention is how long after its expiry a lender keeps a loan to accept refunds
	// if the borrower has disappeared.
	loanRetention = 10 * time.Minute
	// demandWindow is the time constant of the demand estimate. With 2 s, one request
	// made its instance borrow tokens for a second one that did not follow.
	demandWindow = 10 * time.Second
)

// Limits are a workspace's limits over all instances together.
type Limits struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

// SlotStart is the initial state of a newly gained slot.
type SlotStart struct {
	// Level is the level at release, or the slot's capacity if it was never held.
	Level float64
	// Lent counts the tokens in grants that were open at release.
	Lent float64
	// Empty marks a slot taken over without a release. It starts to fill only when
	// every grant of the former holder is certain to have expired.
	Empty bool
}

// Holder is another instance that holds slots of a workspace.
type Holder struct {
	Instance string
	Slots    int
	// Near marks a holder in the same data centre, which is preferred for grant requests.
	Near bool
}

// Ledger is the quota state of one instance. It is not safe for concurrent use.
type Ledger struct {
	epoch        uint32
	active       bool
	workspaces   map[string]*workspace
	nextID       uint64
	pending      map[uint64]*pendingRequest
	pendingOrder []*pendingRequest // ordered by time sent; answered ones included
	borrowed     map[uint64]*borrowed
	loans        map[loanKey]*loan
	openLoans    []*loan // ordered by expiry
	peers        map[string]*peer
	resolved     []*Ticket
	prunedAt     time.Duration
	moved        bool
}

type workspace struct {
	name      string
	limits    Limits
	slots     [Slots]*slot
	holders   []*holder
	grants    []*borrowed // ordered by expiry
	waiting   []*Ticket
	demand    float64 // tokens per second
	demandAt  time.Duration
	openLoans int // number of loans not yet closed
}

type slot struct {
	bucket   *Bucket
	released bool
}

// NewLedger returns a ledger without slots. Epoch must differ between
// incarnations of the instance. The ledger spends nothing before SetActive(true).
func NewLedger(epoch uint32) *Ledger {
	return &Ledger{
		epoch: epoch, workspaces: map[string]*workspace{}, pending: map[uint64]*pendingRequest{},
		borrowed: map[uint64]*borrowed{}, loans: map[loanKey]*loan{}, peers: map[string]*peer{},
	}
}

// SetActive allows or stops spending and lending. While inactive, requests are
// refused and grant requests get no tokens; settlements are still accepted.
func (l *Ledger) SetActive(active bool, now time.Duration) {
	if l.active == active {
		return
	}
	l.active = active
	for _, w := range l.workspaces {
		l.decideWaiting(w, now)
	}
}

// SetLimits replaces the limits of all workspaces. Slots of a workspace that is
// no longer listed lose their level.
func (l *Ledger) SetLimits(limits map[string]Limits, now time.Duration) {
	l.expire(now)
	for name, limit := range limits {
		if l.workspaces[name] == nil {
			l.workspaces[name] = &workspace{name: name, demandAt: now}
		}
		l.setLimits(l.workspaces[name], limit, now)
	}
	for name, w := range l.workspaces {
		if _, ok := limits[name]; !ok {
			l.setLimits(w, Limits{}, now)
		}
	}
}

func (l *Ledger) setLimits(w *workspace, limits Limits, now time.Duration) {
	if w.limits == limits {
		return
	}
	w.limits = limits
	for _, s := range w.slots {
		if s != nil {
			s.bucket.SetLimits(w.slotRate(), w.slotCapacity(), now)
		}
	}
	l.decideWaiting(w, now)
}

func (w *workspace) slotRate() float64     { return w.limits.Rate / Slots }
func (w *workspace) slotCapacity() float64 { return w.limits.Burst / Slots }

// Limits returns the limits of a workspace.
func (l *Ledger) Limits(name string) (Limits, bool) {
	w := l.workspaces[name]
	if w == nil || w.limits == (Limits{}) {
		return Limits{}, false
	}
	return w.limits, true
}

// FullStart returns the SlotStart of a slot that was never held.
func (l *Ledger) FullStart(name string) SlotStart {
	limits, _ := l.Limits(name)
	return SlotStart{Level: limits.Burst / Slots}
}

// AddSlot adds a slot. The caller must be its only holder. It reports false if
// the workspace has no limits or the slot is held already.
func (l *Ledger) AddSlot(name string, index int, start SlotStart, now time.Duration) bool {
	l.expire(now)
	w := l.workspaces[name]
	if w == nil || w.limits == (Limits{}) || w.slots[index] != nil {
		return false
	}
	if start.Empty {
		// Grants of the former holder may still be spent. The bucket stays empty
		// until they have expired; otherwise they would add to a refilled bucket.
		w.slots[index] = &slot{bucket: NewBucket(w.slotRate(), w.slotCapacity(), 0, now+loanLife)}
		return true
	}
	s := &slot{bucket: NewBucket(w.slotRate(), w.slotCapacity(), start.Level, now)}
	w.slots[index] = s
	if start.Lent > 0 {
		s.bucket.AddLoan(start.Lent, now)
		inherited := &loan{workspace: w, parts: []loanPart{{slot: s, amount: start.Lent}}, expires: now + loanLife}
		w.openLoans++
		l.openLoans = append(l.openLoans, inherited)
	}
	l.decideWaiting(w, now)
	return true
}

// RemoveSlot removes a slot and returns the SlotStart for its next holder. Later refunds
// to the slot are lost.
func (l *Ledger) RemoveSlot(name string, index int, now time.Duration) (SlotStart, bool) {
	l.expire(now)
	w := l.workspaces[name]
	if w == nil || w.slots[index] == nil {
		return SlotStart{}, false
	}
	s := w.slots[index]
	w.slots[index], s.released = nil, true
	return SlotStart{Level: s.bucket.Level(now), Lent: s.bucket.Lent(), Empty: s.bucket.at > now}, true
}

// Holds reports whether the ledger holds the slot.
func (l *Ledger) Holds(name string, index int) bool {
	w := l.workspaces[name]
	return w != nil && w.slots[index] != nil
}

// SetHolders replaces the list of other instances that hold slots of the workspace.
// The recorded state of instances that were already listed is kept.
func (l *Ledger) SetHolders(name string, holders []Holder) {
	w := l.workspaces[name]
	if w == nil {
		return
	}
	var next []*holder
	for _, h := range holders {
		state := w.holder(h.Instance)
		if state == nil {
			state = &holder{instance: h.Instance, tieBreak: xxhash.Sum64String(h.Instance) ^ uint64(l.epoch)*0x9e3779b97f4a7c15}
		}
		state.slots, state.near = h.Slots, h.Near
		next = append(next, state)
	}
	w.holders = next
}

func (w *workspace) holder(instance string) *holder {
	for _, h := range w.holders {
		if h.instance == instance {
			return h
		}
	}
	return nil
}

// Located reports whether a slot of the workspace is held here or, as far as
// known, at a reachable instance. If reachable is nil, all instances are.
func (l *Ledger) Located(name string, reachable func(instance string) bool) bool {
	w := l.workspaces[name]
	return w != nil && w.located(func(h *holder) bool { return reachable == nil || reachable(h.instance) })
}

func (w *workspace) located(reachable func(*holder) bool) bool {
	return w.heldSlots() > 0 || slices.ContainsFunc(w.holders, func(h *holder) bool { return h.slots > 0 && reachable(h) })
}

// reachable reports whether no message to the holder has failed since its last answer.
func (l *Ledger) reachable(h *holder) bool {
	p := l.peers[h.instance]
	return p == nil || p.failedSince == 0
}

// TakeMoved reports whether an answer since the last call showed that a slot
// has moved, in which case the caller should read the holders again.
func (l *Ledger) TakeMoved() bool {
	moved := l.moved
	l.moved = false
	return moved
}

// ownLevel returns the total level of the slots held here.
func (w *workspace) ownLevel(now time.Duration) float64 {
	sum := 0.0
	for _, s := range w.slots {
		if s != nil {
			sum += s.bucket.Level(now)
		}
	}
	return sum
}

// fullest returns the held slot with the highest level, or nil.
func (w *workspace) fullest(now time.Duration) *slot {
	var best *slot
	for _, s := range w.slots {
		if s != nil && (best == nil || s.bucket.Level(now) > best.bucket.Level(now)) {
			best = s
		}
	}
	return best
}

func (w *workspace) heldSlots() int {
	n := 0
	for _, s := range w.slots {
		if s != nil {
			n++
		}
	}
	return n
}

// addDemand adds tokens to the demand estimate, an exponentially weighted rate.
func (w *workspace) addDemand(tokens float64, now time.Duration) {
	w.demand = w.demandNow(now) + tokens/demandWindow.Seconds()
	w.demandAt = now
}

func (w *workspace) demandNow(now time.Duration) float64 {
	if now <= w.demandAt {
		return w.demand
	}
	return w.demand * math.Exp(-float64(now-w.demandAt)/float64(demandWindow))
}

// Tick expires grants, loans, grant requests and waiting tickets. The caller runs it
// a few times a second; between ticks, every operation checks the expiry times that
// affect it.
func (l *Ledger) Tick(now time.Duration) {
	l.expire(now)
	for _, w := range l.workspaces {
		l.expireGrants(w, now)
		l.expireWaiting(w, now)
		l.decideWaiting(w, now)
	}
	if now-l.prunedAt > loanRetention/10 {
		l.prunedAt = now
		for key, ln := range l.loans {
			if now-ln.expires > loanRetention {
				delete(l.loans, key)
			}
		}
		for name, p := range l.peers {
			if len(p.settles)+len(p.requests) == 0 && now-p.failedSince > settleRetention {
				delete(l.peers, name)
			}
		}
	}
}

// expire closes expired loans and cancels expired grant requests.
func (l *Ledger) expire(now time.Duration) {
	for len(l.openLoans) > 0 && l.openLoans[0].expires <= now {
		l.openLoans[0].close(0, now)
		l.openLoans = l.openLoans[1:]
	}
	for len(l.pendingOrder) > 0 && now >= l.pendingOrder[0].sent+GrantLife {
		if a := l.pendingOrder[0]; l.pending[a.id] == a {
			l.cancelRequest(a, now)
		}
		l.pendingOrder = l.pendingOrder[1:]
	}
}
