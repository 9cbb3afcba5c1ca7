package quota

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// requestTimeout is how long an unanswered grant request counts as in flight. 150 ms
	// cover a round trip between regions and leave time for a request to another holder.
	requestTimeout = 150 * time.Millisecond
	// drainedPause is how long a holder that granted less than requested gets no further
	// request. Its slots refill meanwhile, so the next grant is worth its message.
	drainedPause = 250 * time.Millisecond
	// minBackOff and maxBackOff bound the backoff after a holder granted nothing.
	minBackOff = 20 * time.Millisecond
	maxBackOff = time.Second
	// settleDelay is how long settlements wait for a grant request to the same lender.
	settleDelay = 4 * time.Second
	// urgentSettleShare is the share of a slot's capacity from which a return is sent
	// without delay. With a small burst, the lender lacks tokens in transit at once.
	urgentSettleShare = 1.0 / 16
	// levelStaleAfter is the age beyond which a holder's level counts as unknown,
	// because other instances may have returned tokens to it.
	levelStaleAfter = 250 * time.Millisecond
	// settleRetention is how long settlements for an unreachable lender are retried.
	settleRetention = time.Minute
	// maxSettles bounds the settlements queued for one lender.
	maxSettles = 4096
)

// holder is the borrower's view of an instance that holds slots of a workspace.
type holder struct {
	instance        string
	slots           int
	near            bool
	tieBreak        uint64 // differs between borrowers, which spreads them over holders
	levelKnown      bool
	level           float64 // at levelAt, plus tokens returned since
	levelAt         time.Duration
	notBefore       time.Duration
	backOff         time.Duration
	returning       float64 // reported as unused since the last urgent message
	requested       float64 // by the request in flight
	requestID       uint64
	requestDeadline time.Duration
}

// estimate returns the holder's projected level, assuming that no other instance
// spends from it. If the level is unknown or stale, it returns the capacity, so
// that the holder remains a candidate.
func (h *holder) estimate(w *workspace, now time.Duration) float64 {
	if !h.levelKnown || now-h.levelAt > max(levelStaleAfter, h.backOff) {
		return math.Floor(float64(h.slots) * w.slotCapacity())
	}
	return math.Floor(h.projected(w, now))
}

// projected returns the last known level plus the refill since, up to the capacity.
func (h *holder) projected(w *workspace, now time.Duration) float64 {
	level := h.level + float64(h.slots)*w.slotRate()*(now-h.levelAt).Seconds()
	return min(float64(h.slots)*w.slotCapacity(), level)
}

func (h *holder) requestPending(now time.Duration) bool {
	return h.requestID != 0 && now < h.requestDeadline
}

func (h *holder) increaseBackOff(now time.Duration) {
	h.backOff = min(max(2*h.backOff, minBackOff), maxBackOff)
	h.notBefore = now + h.backOff
}

// pendingRequest is a grant request that has not been answered or cancelled.
type pendingRequest struct {
	id        uint64
	workspace *workspace
	holder    *holder
	need      uint64
	sent      time.Duration
}

// borrowed is a grant as recorded by its borrower.
type borrowed struct {
	id           uint64
	workspace    *workspace
	lender       string
	tokens       float64
	left         float64
	unused       float64 // once ended: never spent, or refunded
	reservations int     // number of unsettled reservations that it funds
	expires      time.Duration
	ended        bool
}

// peer holds the messages queued for another instance.
type peer struct {
	requests    []GrantRequest
	settles     map[uint64]GrantSettle
	since       time.Duration
	urgent      bool
	failedSince time.Duration // 0 while reachable
}

// Outgoing is a message to send. Its outcome is reported with RecordAnswer or RecordFailure.
type Outgoing struct {
	To    string
	Batch *GrantBatch
}

func (l *Ledger) peer(name string) *peer {
	p := l.peers[name]
	if p == nil {
		p = &peer{settles: map[uint64]GrantSettle{}}
		l.peers[name] = p
	}
	return p
}

// Messages removes and returns the messages that are due, one per instance.
// Settlements are sent with grant requests or after settleDelay; flush sends them
// at once.
func (l *Ledger) Messages(now time.Duration, flush bool) []Outgoing {
	var out []Outgoing
	for name, p := range l.peers {
		due := len(p.settles) > 0 && (flush || p.urgent || now-p.since >= settleDelay)
		if len(p.requests) == 0 && !due {
			continue
		}
		batch := &GrantBatch{Epoch: l.epoch, Requests: p.requests}
		for _, s := range p.settles {
			batch.Settles = append(batch.Settles, s)
		}
		slices.SortFunc(batch.Settles, func(a, b GrantSettle) int { return int(a.ID) - int(b.ID) })
		p.requests, p.settles, p.urgent = nil, map[uint64]GrantSettle{}, false
		out = append(out, Outgoing{name, batch})
		if p.failedSince == 0 {
			delete(l.peers, name)
		}
	}
	slices.SortFunc(out, func(a, b Outgoing) int { return strings.Compare(a.To, b.To) })
	return out
}

// RecordAnswer credits the grants of an answer. A grant is credited once, and only
// while its request is pending.
func (l *Ledger) RecordAnswer(from string, answer *GrantAnswer, now time.Duration) {
	l.expire(now)
	if p := l.peers[from]; p != nil {
		p.failedSince = 0
	}
	for _, g := range answer.Grants {
		a := l.pending[g.ID]
		if a == nil || a.holder.instance != from {
			continue
		}
		l.endRequest(a)
		l.updateHolder(a, g, now)
		if g.Tokens > 0 {
			b := &borrowed{id: g.ID, workspace: a.workspace, lender: from, tokens: float64(g.Tokens), left: float64(g.Tokens), expires: a.sent + GrantLife}
			l.borrowed[b.id] = b
			a.workspace.grants = append(a.workspace.grants, b)
			slices.SortStableFunc(a.workspace.grants, func(x, y *borrowed) int { return int(x.expires - y.expires) })
		}
		l.decideWaiting(a.workspace, now)
	}
}

// updateHolder records the holder's level and backoff from its answer.
func (l *Ledger) updateHolder(a *pendingRequest, g Grant, now time.Duration) {
	h := a.holder
	h.levelKnown, h.level, h.levelAt = true, float64(g.Level), now
	if g.Moved {
		h.slots, l.moved = 0, true
	}
	switch {
	case g.Tokens == 0:
		h.increaseBackOff(now)
	case g.Tokens < a.need || h.level < 1:
		h.backOff, h.notBefore = 0, now+drainedPause
	default:
		h.backOff, h.notBefore = 0, 0
	}
}

// RecordFailure records that a message got no answer. It cancels the requests of the
// message and queues its settlements again.
func (l *Ledger) RecordFailure(to string, batch *GrantBatch, now time.Duration) {
	p := l.peer(to)
	if p.failedSince == 0 {
		p.failedSince = max(now, 1)
	}
	if now-p.failedSince < settleRetention {
		for _, s := range batch.Settles {
			l.queueSettle(to, s, now)
		}
	}
	for _, r := range batch.Requests {
		if a := l.pending[r.ID]; a != nil {
			l.cancelRequest(a, now)
			l.decideWaiting(a.workspace, now)
		}
	}
}

// cancelRequest cancels an unanswered request. The lender may have made the loan,
// so a settlement returns the whole grant, which can no longer be credited.
func (l *Ledger) cancelRequest(a *pendingRequest, now time.Duration) {
	l.endRequest(a)
	a.holder.backOff = maxBackOff
	a.holder.increaseBackOff(now)
	l.queueSettle(a.holder.instance, GrantSettle{ID: a.id, Unused: wholeGrant}, now)
}

func (l *Ledger) endRequest(a *pendingRequest) {
	delete(l.pending, a.id)
	if a.holder.requestID == a.id {
		a.holder.requestID = 0
	}
}

func (l *Ledger) expireGrants(w *workspace, now time.Duration) {
	for len(w.grants) > 0 && w.grants[0].expires <= now {
		l.endGrant(w.grants[0], now)
		w.grants = w.grants[1:]
	}
}

// endGrant stops spending from a grant and queues the return of its unspent tokens.
func (l *Ledger) endGrant(b *borrowed, now time.Duration) {
	b.ended = true
	back := b.left
	b.left = 0
	l.reportGrant(b, back, now)
	if b.tokens >= b.workspace.slotCapacity()*urgentSettleShare {
		l.peer(b.lender).urgent = true // the lender's slots refill only after the settlement
	}
}

// reportGrant queues a settlement that returns back more tokens to the lender.
func (l *Ledger) reportGrant(b *borrowed, back float64, now time.Duration) {
	b.unused += back
	h := b.workspace.holder(b.lender)
	if h != nil {
		h.level += back
		h.returning += back
	}
	if h != nil && h.returning >= b.workspace.slotCapacity()*urgentSettleShare {
		l.peer(b.lender).urgent = true
		h.returning = 0
	}
	l.queueSettle(b.lender, GrantSettle{ID: b.id, Unused: uint64(b.unused), Open: b.reservations > 0}, now)
	if b.reservations == 0 {
		delete(l.borrowed, b.id)
	}
}

func (l *Ledger) queueSettle(to string, s GrantSettle, now time.Duration) {
	p := l.peer(to)
	if len(p.settles) == 0 {
		p.since = now
	}
	old, waiting := p.settles[s.ID]
	if waiting {
		s.Unused, s.Open = max(s.Unused, old.Unused), s.Open && old.Open
	} else if len(p.settles) >= maxSettles {
		return
	}
	p.settles[s.ID] = s
}

// ReturnGrants stops spending borrowed tokens and queues their return to the lenders.
func (l *Ledger) ReturnGrants(now time.Duration) {
	for _, w := range l.workspaces {
		for _, b := range w.grants {
			l.endGrant(b, now)
		}
		w.grants = nil
	}
}
