package quota

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// askTimeout is when an unanswered ask no longer counts on its way; 150 ms cover
	// a round trip between regions and leave time to ask another holder.
	askTimeout = 150 * time.Millisecond
	// drainedPause is how long a holder that gave less than it was asked for is not asked
	// again. Its slots fill meanwhile, so the next grant is worth its message.
	drainedPause = 250 * time.Millisecond
	// minBackOff and maxBackOff bound how long a holder that gave nothing is not asked again.
	minBackOff = 20 * time.Millisecond
	maxBackOff = time.Second
	// settleDelay is how long settlements wait for a message to the same lender.
	settleDelay = 4 * time.Second
	// settlePart is the part of a slot's capacity whose return does not wait. With a
	// small burst, tokens on their way back are missed at once.
	settlePart = 1.0 / 16
	// probeAfter is the age at which a holder's level counts as unknown, because
	// other instances may have returned tokens to it.
	probeAfter = 250 * time.Millisecond
	// settleRetry bounds how long settlements to an unreachable lender are kept.
	settleRetry = time.Minute
	// maxSettles bounds the settlements kept for one lender.
	maxSettles = 4096
)

// holder is what an asker knows about an instance that holds slots of a workspace.
type holder struct {
	instance  string
	slots     int
	near      bool
	order     uint64 // differs between askers, which spreads them over holders
	known     bool
	level     float64 // at the time at
	at        time.Duration
	notBefore time.Duration
	backOff   time.Duration
	returning float64 // reported as unused since the last urgent message
	asked     float64 // by the ask on its way
	askID     uint64
	askUntil  time.Duration
}

// estimate returns the holder's level if nobody else spends from it, or its
// capacity if the level is not known well enough to leave it out.
func (h *holder) estimate(w *workspace, now time.Duration) float64 {
	if !h.known || now-h.at > max(probeAfter, h.backOff) {
		return math.Floor(float64(h.slots) * w.slotCapacity())
	}
	return math.Floor(h.projected(w, now))
}

// projected returns the last known level plus what has flowed in since.
func (h *holder) projected(w *workspace, now time.Duration) float64 {
	level := h.level + float64(h.slots)*w.slotRate()*(now-h.at).Seconds()
	return min(float64(h.slots)*w.slotCapacity(), level)
}

func (h *holder) asking(now time.Duration) bool { return h.askID != 0 && now < h.askUntil }

func (h *holder) backOffFrom(now time.Duration) {
	h.backOff = min(max(2*h.backOff, minBackOff), maxBackOff)
	h.notBefore = now + h.backOff
}

// ask is a grant request on its way.
type ask struct {
	id        uint64
	workspace *workspace
	holder    *holder
	need      uint64
	sent      time.Duration
}

// borrowed is a grant at its asker.
type borrowed struct {
	id        uint64
	workspace *workspace
	lender    string
	tokens    float64
	left      float64
	unused    float64 // once dead: never spent or refunded
	open      int     // reservations that it funds
	expires   time.Duration
	dead      bool
}

// peer holds what waits to be sent to another instance.
type peer struct {
	requests    []GrantRequest
	settles     map[uint64]GrantSettle
	since       time.Duration
	urgent      bool
	failedSince time.Duration // 0 while reachable
}

// Outgoing is a message to send. Its outcome is reported with Answer or Fail.
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

// Messages returns what is due to be sent, one message per instance.
// Settlements travel with requests or after a delay; flush sends them at once.
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

// Answer credits the grants of an answer. A grant is credited once, and only
// while its request is still awaited.
func (l *Ledger) Answer(from string, answer *GrantAnswer, now time.Duration) {
	l.expire(now)
	if p := l.peers[from]; p != nil {
		p.failedSince = 0
	}
	for _, g := range answer.Grants {
		a := l.asks[g.ID]
		if a == nil || a.holder.instance != from {
			continue
		}
		l.endAsk(a)
		l.learn(a, g, now)
		if g.Tokens > 0 {
			b := &borrowed{id: g.ID, workspace: a.workspace, lender: from, tokens: float64(g.Tokens), left: float64(g.Tokens), expires: a.sent + GrantLife}
			l.borrowed[b.id] = b
			a.workspace.grants = append(a.workspace.grants, b)
			slices.SortStableFunc(a.workspace.grants, func(x, y *borrowed) int { return int(x.expires - y.expires) })
		}
		l.proceed(a.workspace, now)
	}
}

// learn updates what is known about the holder from its answer.
func (l *Ledger) learn(a *ask, g Grant, now time.Duration) {
	h := a.holder
	h.known, h.level, h.at = true, float64(g.Level), now
	if g.Moved {
		h.slots, l.moved = 0, true
	}
	switch {
	case g.Tokens == 0:
		h.backOffFrom(now)
	case g.Tokens < a.need || h.level < 1:
		h.backOff, h.notBefore = 0, now+drainedPause
	default:
		h.backOff, h.notBefore = 0, 0
	}
}

// Fail reports that a message got no answer. Its requests are cancelled, and
// its settlements are tried again.
func (l *Ledger) Fail(to string, batch *GrantBatch, now time.Duration) {
	p := l.peer(to)
	if p.failedSince == 0 {
		p.failedSince = max(now, 1)
	}
	if now-p.failedSince < settleRetry {
		for _, s := range batch.Settles {
			l.queueSettle(to, s, now)
		}
	}
	for _, r := range batch.Requests {
		if a := l.asks[r.ID]; a != nil {
			l.cancelAsk(a, now)
			l.proceed(a.workspace, now)
		}
	}
}

// cancelAsk gives an unanswered ask up. The lender may have lent, so it is told
// to take the whole grant back; the grant can no longer be credited.
func (l *Ledger) cancelAsk(a *ask, now time.Duration) {
	l.endAsk(a)
	a.holder.backOff = maxBackOff
	a.holder.backOffFrom(now)
	l.queueSettle(a.holder.instance, GrantSettle{ID: a.id, Unused: wholeGrant}, now)
}

func (l *Ledger) endAsk(a *ask) {
	delete(l.asks, a.id)
	if a.holder.askID == a.id {
		a.holder.askID = 0
	}
}

func (l *Ledger) expireGrants(w *workspace, now time.Duration) {
	for len(w.grants) > 0 && w.grants[0].expires <= now {
		l.endGrant(w.grants[0], now)
		w.grants = w.grants[1:]
	}
}

// endGrant stops spending from a grant and reports what was not spent.
func (l *Ledger) endGrant(b *borrowed, now time.Duration) {
	b.dead = true
	back := b.left
	b.left = 0
	l.reportGrant(b, back, now)
	if b.tokens >= b.workspace.slotCapacity()*settlePart {
		l.peer(b.lender).urgent = true // the lender's slots fill again once it knows
	}
}

// reportGrant queues a settlement that returns further tokens to the lender.
func (l *Ledger) reportGrant(b *borrowed, back float64, now time.Duration) {
	b.unused += back
	h := b.workspace.holder(b.lender)
	if h != nil {
		h.level += back
		h.returning += back
	}
	if h != nil && h.returning >= b.workspace.slotCapacity()*settlePart {
		l.peer(b.lender).urgent = true
		h.returning = 0
	}
	l.queueSettle(b.lender, GrantSettle{ID: b.id, Unused: uint64(b.unused), Open: b.open > 0}, now)
	if b.open == 0 {
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

// ReturnGrants stops spending borrowed tokens and reports them as unused.
func (l *Ledger) ReturnGrants(now time.Duration) {
	for _, w := range l.workspaces {
		for _, b := range w.grants {
			l.endGrant(b, now)
		}
		w.grants = nil
	}
}
