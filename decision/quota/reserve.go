package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is the state of a Ticket.
type State uint8

// States of a ticket.
const (
	Waiting  State = iota // for grants of slot holders
	Admitted              // Reservation is set
	Refused               // RetryAfter is set where it can be computed
	TooLarge              // exceeds the burst and can never be admitted
)

// Ticket is a request for tokens. It changes only inside operations of its Ledger.
type Ticket struct {
	Workspace   string
	Tokens      int64
	Deadline    time.Duration
	State       State
	Reservation *Reservation
	// RetryAfter is the time until the workspace's buckets can cover the request.
	RetryAfter time.Duration
	// Unlocated is set with Refused if no slot of the workspace was held here or at a
	// reachable instance. Tokens may be available at holders that are unknown here or unreachable.
	Unlocated bool
}

// Reservation is an admitted charge. It must be settled once the actual use is known.
type Reservation struct {
	Workspace string
	Tokens    int64
	workspace *workspace
	parts     []part
	settled   bool
}

// part is the share of a reservation that is charged to one slot or one grant.
type part struct {
	amount float64
	slot   *slot
	charge ChargeID
	grant  *borrowed
}

// roundingTokens is the tolerance for rounding errors in a sum of several levels.
const roundingTokens = 1e-6

// fullnessStep is the difference in fullness at which another holder is preferred.
const fullnessStep = 0.25

// extraLives is the number of grant lifetimes whose expected use is requested. With
// 1, one grant in three was used up early and cost another message.
const extraLives = 2

// maxExtra bounds the tokens requested beyond the need, as a share of the burst.
const maxExtra = 0.25

// Submit requests tokens, whose number must be an upper bound of the actual use. A
// waiting ticket is decided by a later operation, at the latest by the first
// Tick or Expire after its deadline. Tickets of a workspace are decided in order.
func (l *Ledger) Submit(name string, tokens int64, now, deadline time.Duration) *Ticket {
	l.expire(now)
	t := &Ticket{Workspace: name, Tokens: max(tokens, 0), Deadline: deadline}
	w := l.workspaces[name]
	if w == nil || w.limits == (Limits{}) {
		l.decide(t, Refused)
		return t
	}
	if float64(t.Tokens) > w.limits.Burst {
		l.decide(t, TooLarge)
		return t
	}
	l.expireGrants(w, now)
	w.addDemand(float64(t.Tokens), now)
	w.waiting = append(w.waiting, t)
	l.decideWaiting(w, now)
	return t
}

// Expire refuses a ticket that still waits at its deadline or whose caller has gone.
func (l *Ledger) Expire(t *Ticket, now time.Duration) {
	w := l.workspaces[t.Workspace]
	if t.State != Waiting || w == nil {
		return
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(x *Ticket) bool { return x == t })
	l.refuse(w, t, now)
	l.decideWaiting(w, now)
}

func (l *Ledger) expireWaiting(w *workspace, now time.Duration) {
	for _, t := range slices.Clone(w.waiting) {
		if now >= t.Deadline {
			l.Expire(t, now)
		}
	}
}

// Resolved returns the tickets decided since the last call.
func (l *Ledger) Resolved() []*Ticket {
	done := l.resolved
	l.resolved = nil
	return done
}

func (l *Ledger) decide(t *Ticket, state State) {
	t.State = state
	l.resolved = append(l.resolved, t)
}

func (l *Ledger) refuse(w *workspace, t *Ticket, now time.Duration) {
	t.RetryAfter, t.Unlocated = w.retryAfter(float64(t.Tokens), now), !w.located(l.reachable)
	l.decide(t, Refused)
	if len(w.waiting) == 0 {
		l.returnIdle(w, now)
	}
}

// returnIdle returns tokens borrowed for a refused request, unless the demand here is
// expected to use them within the lifetime of a grant. When such tokens were kept
// for 2 s, other instances lacked them.
func (l *Ledger) returnIdle(w *workspace, now time.Duration) {
	left := 0.0
	for _, b := range w.grants {
		left += b.left
	}
	if left == 0 || w.demandNow(now)*GrantLife.Seconds() >= left {
		return
	}
	for _, b := range w.grants {
		l.endGrant(b, now)
		l.peer(b.lender).urgent = true
	}
	w.grants = nil
}

// decideWaiting decides waiting tickets in order until one must wait for grants.
func (l *Ledger) decideWaiting(w *workspace, now time.Duration) {
	for len(w.waiting) > 0 {
		t := w.waiting[0]
		if l.active {
			if parts, ok := w.take(float64(t.Tokens), now); ok {
				w.waiting = w.waiting[1:]
				l.endSpentGrants(w, now)
				t.Reservation = &Reservation{Workspace: t.Workspace, Tokens: t.Tokens, workspace: w, parts: parts}
				l.decide(t, Admitted)
				continue
			}
			if now < t.Deadline && l.requestGrants(w, now) {
				return
			}
		}
		w.waiting = w.waiting[1:]
		l.refuse(w, t, now)
	}
}

// endSpentGrants ends grants that are used up, because they count against the
// lender's capacity until it receives the settlement.
func (l *Ledger) endSpentGrants(w *workspace, now time.Duration) {
	w.grants = slices.DeleteFunc(w.grants, func(b *borrowed) bool {
		if b.left >= 1 {
			return false
		}
		l.endGrant(b, now)
		return true
	})
}

// available returns the tokens that can be spent here without a new grant.
func (w *workspace) available(now time.Duration) float64 {
	sum := w.ownLevel(now)
	for _, b := range w.grants {
		if now < b.expires {
			sum += b.left
		}
	}
	return sum
}

// take charges n tokens to grants, the oldest first, and then to the fullest slots.
func (w *workspace) take(n float64, now time.Duration) ([]part, bool) {
	if w.available(now) < n {
		return nil, false
	}
	var parts []part
	for _, b := range w.grants {
		if n > 0 && b.left > 0 && now < b.expires {
			amount := min(n, b.left)
			b.left -= amount
			b.reservations++
			parts = append(parts, part{amount: amount, grant: b})
			n -= amount
		}
	}
	for n > roundingTokens {
		s := w.fullest(now)
		if s == nil {
			break
		}
		amount := min(n, s.bucket.Level(now))
		charge, ok := s.bucket.Reserve(amount, now)
		if !ok || amount <= 0 {
			break // only the rounding error of the sum is left
		}
		parts = append(parts, part{amount: amount, slot: s, charge: charge})
		n -= amount
	}
	return parts, true
}

// Settle ends a reservation with the actual use and refunds the rest. Use beyond
// the reservation is charged as far as tokens are available here.
func (l *Ledger) Settle(r *Reservation, used int64, now time.Duration) {
	if r == nil || r.settled {
		return
	}
	r.settled = true
	l.expire(now)
	l.expireGrants(r.workspace, now)
	// The refund is spread in proportion to the parts, because a slot that got all of
	// it would overflow while the use stayed charged to the others.
	part := 0.0
	if r.Tokens > 0 {
		part = float64(max(0, r.Tokens-max(used, 0))) / float64(r.Tokens)
	}
	carry := 0.0 // grants are refunded in whole tokens
	for _, p := range r.parts {
		amount := min(p.amount, part*p.amount+carry)
		if p.grant != nil {
			amount = math.Floor(amount + roundingTokens)
		}
		carry = max(0, carry+part*p.amount-amount)
		switch {
		case p.grant != nil:
			l.refundGrant(p.grant, amount, now)
		case amount > 0 && !p.slot.released:
			p.slot.bucket.Refund(p.charge, amount, now)
		}
	}
	if used > r.Tokens {
		l.chargeOverrun(r.workspace, used-r.Tokens, now)
	}
	l.decideWaiting(r.workspace, now)
}

// refundGrant returns tokens to a grant or, if the grant has ended, to its lender.
func (l *Ledger) refundGrant(b *borrowed, amount float64, now time.Duration) {
	b.reservations--
	if !b.ended {
		b.left += amount
		return
	}
	if amount > 0 || b.reservations == 0 {
		l.reportGrant(b, amount, now)
	}
}

// chargeOverrun charges use beyond a reservation at its settlement, as far as
// tokens are available here. The bound holds only for charged tokens.
func (l *Ledger) chargeOverrun(w *workspace, tokens int64, now time.Duration) {
	if !l.active {
		return
	}
	parts, _ := w.take(min(float64(tokens), math.Floor(w.available(now))), now)
	for _, p := range parts {
		if p.grant != nil {
			p.grant.reservations--
		}
	}
}

// requestGrants queues requests to holders for the tokens that the waiting tickets
// lack. It reports false if no grants can cover the first ticket.
func (l *Ledger) requestGrants(w *workspace, now time.Duration) bool {
	have := w.available(now)
	attainable, inFlight := have, 0.0
	var candidates []*holder
	for _, h := range w.holders {
		switch {
		case h.requestPending(now):
			inFlight += h.requested
			attainable += h.requested
		case now >= h.notBefore && h.estimate(w, now) >= 1:
			candidates = append(candidates, h)
			attainable += h.estimate(w, now)
		}
	}
	if attainable < float64(w.waiting[0].Tokens) {
		return false
	}
	short := -have - inFlight
	for _, t := range w.waiting {
		short += float64(t.Tokens)
	}
	extra := w.extra(now)
	slices.SortFunc(candidates, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(b.rank(w, short+extra, now), a.rank(w, short+extra, now)), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	chosen := 0
	for rest := short; chosen < len(candidates) && rest > 0; chosen++ {
		rest -= candidates[chosen].estimate(w, now)
	}
	for _, h := range candidates[:chosen] {
		need := math.Ceil(min(short, h.estimate(w, now)))
		l.queueRequest(w, h, uint64(need), uint64(extra/float64(chosen)), now)
		short -= need
	}
	return slices.ContainsFunc(w.holders, func(h *holder) bool { return h.requestPending(now) })
}

// rank returns the priority of a holder for a request of tokens: holders that can
// cover all of it come first, then those with fuller slots, in steps of fullnessStep.
// A holder in the same data centre counts as one step fuller; a strict preference
// drained the nearby slots while others overflowed. Within a step the same holder
// stays first, so that settlements are sent together with requests.
func (h *holder) rank(w *workspace, tokens float64, now time.Duration) float64 {
	level := h.estimate(w, now)
	if h.levelKnown {
		level = h.projected(w, now)
	}
	rank := fullnessStep * math.Floor(level/(1+float64(h.slots)*w.slotCapacity())/fullnessStep)
	if level >= tokens {
		rank += 2
	}
	if h.near {
		rank += fullnessStep
	}
	return rank
}

// extra returns the expected use during extraLives grant lifetimes that the slots
// held here will not cover, at most maxExtra of the burst. It is 0 if no further
// request is expected within one lifetime.
func (w *workspace) extra(now time.Duration) float64 {
	life := GrantLife.Seconds()
	if w.demandNow(now)*life < float64(w.waiting[0].Tokens) {
		return 0
	}
	own := float64(w.heldSlots()) * w.slotRate() * life
	return math.Floor(max(0, min(extraLives*w.demandNow(now)*life-own, w.limits.Burst*maxExtra)))
}

func (l *Ledger) queueRequest(w *workspace, h *holder, need, extra uint64, now time.Duration) {
	l.nextID++
	a := &pendingRequest{id: l.nextID, workspace: w, holder: h, need: need, sent: now}
	l.pending[a.id] = a
	l.pendingOrder = append(l.pendingOrder, a)
	h.requested, h.requestID, h.requestDeadline = float64(need), a.id, now+requestTimeout
	p := l.peer(h.instance)
	p.requests = append(p.requests, GrantRequest{ID: a.id, Workspace: w.name, Need: need, Extra: extra})
}

// retryAfter returns the time until the buckets can cover n tokens and a holder's
// backoff has ended. Holders whose level is unknown count as empty. The result is at
// least the time in which one token flows in, or 0 if the rate is 0.
func (w *workspace) retryAfter(n float64, now time.Duration) time.Duration {
	if w.limits.Rate <= 0 {
		return 0
	}
	level := w.available(now)
	backOff := time.Duration(0)
	for _, h := range w.holders {
		if h.levelKnown {
			level += h.projected(w, now)
		}
		if rest := h.notBefore - now; rest > 0 && (backOff == 0 || rest < backOff) {
			backOff = rest
		}
	}
	return max(backOff, time.Duration(max(n-level, 1)/w.limits.Rate*float64(time.Second)))
}
