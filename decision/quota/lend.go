package quota

import (
	"math"
	"time"
)

// loanKey identifies a loan at its lender.
type loanKey struct {
	borrower string
	epoch    uint32
	id       uint64
}

// loan is a grant as recorded by its lender. While it is open, its tokens count against
// the capacity of the slots that they came from.
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
	amount float64 // tokens lent; once the loan is closed, tokens charged
	charge ChargeID
}

// close charges the tokens that were spent. The charge is recorded when the lender
// receives the settlement or the loan expires, never before the actual use. Until
// then the tokens are set aside, so the bound also holds for the actual times of use.
func (ln *loan) close(unused float64, now time.Duration) {
	if ln.closed {
		return
	}
	ln.closed, ln.unused = true, unused
	ln.workspace.openLoans--
	part := unused / max(ln.tokens, 1)
	for i := range ln.parts {
		p := &ln.parts[i]
		back := part * p.amount
		if !p.slot.released {
			p.charge = p.slot.bucket.CloseLoan(p.amount, back, now)
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
		if back > 0 && !p.slot.released {
			p.slot.bucket.Refund(p.charge, back, now)
		}
	}
}

// Handle processes a batch from another instance. A repeated request gets the same
// grant again without a second debit.
func (l *Ledger) Handle(borrower string, batch *GrantBatch, now time.Duration) *GrantAnswer {
	l.expire(now)
	for _, s := range batch.Settles {
		l.settleLoan(loanKey{borrower, batch.Epoch, s.ID}, s, now)
	}
	answer := &GrantAnswer{}
	for _, r := range batch.Requests {
		answer.Grants = append(answer.Grants, l.lend(loanKey{borrower, batch.Epoch, r.ID}, r, now))
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
	l.decideWaiting(ln.workspace, now)
}

// lend debits the slots and records the loan. Beyond the need it lends at most an
// equal share of the remaining level, counting the borrower, each open loan and
// local demand as one user each, so that one borrower cannot drain a slot that
// others use.
func (l *Ledger) lend(key loanKey, r GrantRequest, now time.Duration) Grant {
	w := l.workspaces[r.Workspace]
	if w == nil || w.heldSlots() == 0 {
		return Grant{ID: r.ID, Moved: true}
	}
	if ln := l.loans[key]; ln != nil {
		return Grant{ID: r.ID, Tokens: uint64(ln.tokens), Level: uint64(w.ownLevel(now))}
	}
	if !l.active {
		return Grant{ID: r.ID}
	}
	level := w.ownLevel(now)
	users := 1 + float64(w.openLoans)
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
			ln.tokens = math.Floor(tokens - rest) // the sum of the levels was rounded
			break
		}
		ln.parts = append(ln.parts, loanPart{slot: s, amount: amount})
		rest -= amount
	}
	w.openLoans++
	l.loans[key] = ln
	l.openLoans = append(l.openLoans, ln)
	return Grant{ID: r.ID, Tokens: uint64(ln.tokens), Level: uint64(w.ownLevel(now))}
}
