package quota

import (
	"math"
	"time"
)

// loanKey identifies a grant at its lender.
type loanKey struct {
	asker string
	epoch uint32
	id    uint64
}

// loan is a grant at its lender. While it is open, its tokens count against
// the capacity of the slots they came from.
type loan struct {
	workspace *workspace
	parts     []loanPart
	tokens    float64
	unused    float64
	expires   time.Duration
	closed    bool
}

type loanPart struct {
	slot   *slot
	amount float64 // lent, and after the close: charged
	mark   Mark
}

// close charges what was spent. The charge is booked when the lender learns of
// it, which is never earlier than the true spending; until then the tokens
// were set aside, so the bound holds for the true times as well.
func (ln *loan) close(unused float64, now time.Duration) {
	if ln.closed {
		return
	}
	ln.closed, ln.unused = true, unused
	ln.workspace.lending--
	part := unused / max(ln.tokens, 1)
	for i := range ln.parts {
		p := &ln.parts[i]
		back := part * p.amount
		if !p.slot.gone {
			p.mark = p.slot.bucket.CloseLoan(p.amount, back, now)
		}
		p.amount -= back
	}
}

// refund returns tokens of a closed loan.
func (ln *loan) refund(tokens float64, now time.Duration) {
	part := tokens / max(ln.tokens-ln.unused, 1)
	ln.unused += tokens
	for i := range ln.parts {
		p := &ln.parts[i]
		back := part * p.amount
		p.amount -= back
		if back > 0 && !p.slot.gone {
			p.slot.bucket.Refund(p.mark, back, now)
		}
	}
}

// Handle serves a batch of another instance. A repeated request gets the same
// grant again and nothing is debited twice.
func (l *Ledger) Handle(asker string, batch *GrantBatch, now time.Duration) *GrantAnswer {
	l.expire(now)
	for _, s := range batch.Settles {
		l.settleLoan(loanKey{asker, batch.Epoch, s.ID}, s, now)
	}
	answer := &GrantAnswer{}
	for _, r := range batch.Requests {
		answer.Grants = append(answer.Grants, l.lend(loanKey{asker, batch.Epoch, r.ID}, r, now))
	}
	return answer
}

func (l *Ledger) settleLoan(key loanKey, s GrantSettle, now time.Duration) {
	ln := l.loans[key]
	if ln == nil {
		return
	}
	unused := min(float64(s.Unused), ln.tokens)
	if !ln.closed {
		ln.close(unused, now)
	} else if unused > ln.unused {
		ln.refund(unused-ln.unused, now)
	}
	if !s.Open {
		delete(l.loans, key)
	}
	l.proceed(ln.workspace, now)
}

// lend debits the slots and records the loan. Beyond the need it lends at most
// an even part of the level, counting each open loan and the own demand as one
// user, so that one asker cannot drain a slot that others use.
func (l *Ledger) lend(key loanKey, r GrantRequest, now time.Duration) Grant {
	w := l.workspaces[r.Workspace]
	if w == nil || w.held() == 0 {
		return Grant{ID: r.ID, Moved: true}
	}
	if ln := l.loans[key]; ln != nil {
		return Grant{ID: r.ID, Tokens: uint64(ln.tokens), Level: uint64(w.own(now))}
	}
	if !l.active {
		return Grant{ID: r.ID}
	}
	level := w.own(now)
	users := 1 + float64(w.lending)
	if w.demandNow(now)*GrantLife.Seconds() >= 1 {
		users++
	}
	tokens := min(float64(r.Need), level)
	tokens = math.Floor(tokens + min(float64(r.Extra), (level-tokens)/users))
	if tokens < 1 {
		return Grant{ID: r.ID, Level: uint64(level)}
	}
	ln := &loan{workspace: w, tokens: tokens, expires: now + loanLife}
	for rest := tokens; rest > 0; {
		s := w.fullest(now)
		amount := min(rest, s.bucket.Level(now))
		if amount <= 0 || !s.bucket.Lend(amount, now) {
			ln.tokens = math.Floor(tokens - rest) // rounding of the levels' sum
			break
		}
		ln.parts = append(ln.parts, loanPart{slot: s, amount: amount})
		rest -= amount
	}
	w.lending++
	l.loans[key] = ln
	l.openLoans = append(l.openLoans, ln)
	return Grant{ID: r.ID, Tokens: uint64(ln.tokens), Level: uint64(w.own(now))}
}
