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
	// Unlocated is set with Refused if no slot of the workspace was held here or at
	// an instance known to answer: the tokens may be there, but not where they are sought.
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

// part is what one slot or one grant contributes to a reservation.
type part struct {
	amount float64
	slot   *slot
	mark   Mark
	grant  *borrowed
}

// roundingTokens is below what the sum of several levels loses to rounding.
const roundingTokens = 1e-6

// fullStep is the difference in fullness at which another holder is preferred.
const fullStep = 0.25

// extraLives is how many lives of a grant the expected use is asked for. With 1,
// one grant in three was used up early and cost another message.
const extraLives = 2

// maxExtra bounds what is asked beyond the need, as a part of the burst.
const maxExtra = 0.25

// Submit asks for tokens, which must be an upper bound of the actual use. A
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
	l.proceed(w, now)
	return t
}

// Expire decides a ticket whose deadline has come, or whose caller has gone.
func (l *Ledger) Expire(t *Ticket, now time.Duration) {
	w := l.workspaces[t.Workspace]
	if t.State != Waiting || w == nil {
		return
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(x *Ticket) bool { return x == t })
	l.refuse(w, t, now)
	l.proceed(w, now)
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
	t.RetryAfter, t.Unlocated = w.retryAfter(float64(t.Tokens), now), !w.located(l.answers)
	l.decide(t, Refused)
	if len(w.waiting) == 0 {
		l.returnIdle(w, now)
	}
}

// returnIdle gives back what was borrowed for a refused request, unless more
// requests are expected here within the life of a grant. Kept for 2 s, such
// tokens were missing at other instances.
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

// proceed decides waiting tickets in order until one has to wait for grants.
func (l *Ledger) proceed(w *workspace, now time.Duration) {
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
			if now < t.Deadline && l.plan(w, now) {
				return
			}
		}
		w.waiting = w.waiting[1:]
		l.refuse(w, t, now)
	}
}

// endSpentGrants reports grants that are used up, because they count against
// the lender's capacity until it knows.
func (l *Ledger) endSpentGrants(w *workspace, now time.Duration) {
	w.grants = slices.DeleteFunc(w.grants, func(b *borrowed) bool {
		if b.left >= 1 {
			return false
		}
		l.endGrant(b, now)
		return true
	})
}

// available returns what can be spent here at once.
func (w *workspace) available(now time.Duration) float64 {
	sum := w.own(now)
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
			b.open++
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
		mark, ok := s.bucket.Reserve(amount, now)
		if !ok || amount <= 0 {
			break // only rounding of the levels' sum is left
		}
		parts = append(parts, part{amount: amount, slot: s, mark: mark})
		n -= amount
	}
	return parts, true
}

// Settle ends a reservation with the actual use and refunds the rest. Use
// beyond the reservation is charged as far as tokens are at hand.
func (l *Ledger) Settle(r *Reservation, used int64, now time.Duration) {
	if r == nil || r.settled {
		return
	}
	r.settled = true
	l.expire(now)
	l.expireGrants(r.workspace, now)
	// The refund is spread evenly, because a slot that got all of it would
	// overflow while the others bear the use.
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
		case amount > 0 && !p.slot.gone:
			p.slot.bucket.Refund(p.mark, amount, now)
		}
	}
	if used > r.Tokens {
		l.chargeOverrun(r.workspace, used-r.Tokens, now)
	}
	l.proceed(r.workspace, now)
}

// refundGrant returns tokens to a grant that still lives, or to its lender.
func (l *Ledger) refundGrant(b *borrowed, amount float64, now time.Duration) {
	b.open--
	if !b.dead {
		b.left += amount
		return
	}
	if amount > 0 || b.open == 0 {
		l.reportGrant(b, amount, now)
	}
}

// chargeOverrun charges use beyond a reservation at its settlement, as far as
// tokens are at hand. The bound holds for what is charged.
func (l *Ledger) chargeOverrun(w *workspace, tokens int64, now time.Duration) {
	if !l.active {
		return
	}
	parts, _ := w.take(min(float64(tokens), math.Floor(w.available(now))), now)
	for _, p := range parts {
		if p.grant != nil {
			p.grant.open--
		}
	}
}

// plan asks holders for what the waiting tickets lack. It reports false if no
// answer can cover the first of them.
func (l *Ledger) plan(w *workspace, now time.Duration) bool {
	have := w.available(now)
	reach, onWay := have, 0.0
	var free []*holder
	for _, h := range w.holders {
		switch {
		case h.asking(now):
			onWay += h.asked
			reach += h.asked
		case now >= h.notBefore && h.estimate(w, now) >= 1:
			free = append(free, h)
			reach += h.estimate(w, now)
		}
	}
	if reach < float64(w.waiting[0].Tokens) {
		return false
	}
	short := -have - onWay
	for _, t := range w.waiting {
		short += float64(t.Tokens)
	}
	extra := w.extra(now)
	slices.SortFunc(free, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(b.rank(w, short+extra, now), a.rank(w, short+extra, now)), cmp.Compare(a.order, b.order))
	})
	chosen := 0
	for rest := short; chosen < len(free) && rest > 0; chosen++ {
		rest -= free[chosen].estimate(w, now)
	}
	for _, h := range free[:chosen] {
		need := math.Ceil(min(short, h.estimate(w, now)))
		l.ask(w, h, uint64(need), uint64(extra/float64(chosen)), now)
		short -= need
	}
	return slices.ContainsFunc(w.holders, func(h *holder) bool { return h.asking(now) })
}

// rank orders holders: those that can cover all, then by how full their slots
// are, in steps of fullStep. One nearby counts as one step fuller; a strict
// preference drained the slots nearby while others overflowed. Within a step the
// same holder stays first, so that settlements travel with requests.
func (h *holder) rank(w *workspace, tokens float64, now time.Duration) float64 {
	level := h.estimate(w, now)
	if h.known {
		level = h.projected(w, now)
	}
	rank := fullStep * math.Floor(level/(1+float64(h.slots)*w.slotCapacity())/fullStep)
	if level >= tokens {
		rank += 2
	}
	if h.near {
		rank += fullStep
	}
	return rank
}

// extra returns the expected use within the life of a grant that own slots
// will not cover. It is nothing if no further request is expected by then.
func (w *workspace) extra(now time.Duration) float64 {
	life := GrantLife.Seconds()
	if w.demandNow(now)*life < float64(w.waiting[0].Tokens) {
		return 0
	}
	own := float64(w.held()) * w.slotRate() * life
	return math.Floor(max(0, min(extraLives*w.demandNow(now)*life-own, w.limits.Burst*maxExtra)))
}

func (l *Ledger) ask(w *workspace, h *holder, need, extra uint64, now time.Duration) {
	l.nextID++
	a := &ask{id: l.nextID, workspace: w, holder: h, need: need, sent: now}
	l.asks[a.id] = a
	l.askOrder = append(l.askOrder, a)
	h.asked, h.askID, h.askUntil = float64(need), a.id, now+askTimeout
	p := l.peer(h.instance)
	p.requests = append(p.requests, GrantRequest{ID: a.id, Workspace: w.name, Need: need, Extra: extra})
}

// retryAfter returns the time until the buckets can cover n tokens and a holder
// may be asked. Holders whose level is unknown count as empty. It is at least
// the time of one token.
func (w *workspace) retryAfter(n float64, now time.Duration) time.Duration {
	if w.limits.Rate <= 0 {
		return 0
	}
	level := w.available(now)
	ask := time.Duration(0)
	for _, h := range w.holders {
		if h.known {
			level += h.projected(w, now)
		}
		if rest := h.notBefore - now; rest > 0 && (ask == 0 || rest < ask) {
			ask = rest
		}
	}
	return max(ask, time.Duration(max(n-level, 1)/w.limits.Rate*float64(time.Second)))
}
