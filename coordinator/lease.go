// Package coordinator elects a leader among the instances and connects the others to
// it. Only the leader gives orders to engines and grants tokens of the workspaces'
// rate limits. The state that must outlive the leader is one row in the platform's
// store, the lease row.
package coordinator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Table and keys of the coordinator's rows in the store.
const (
	Table     = "hibiscusyard"
	leaseKey  = "lease"
	secretKey = "secret"
)

const (
	// leaseTerm is how long a renewal lasts. It sets how long there is no leader after
	// a leader's machine has failed, and how long a leader keeps leading during a store
	// outage. It is not shorter because with 1.2 s, terms were lost to slow
	// responses of the store.
	leaseTerm = 1500 * time.Millisecond
	// renewInterval leaves time for a second attempt after a failed renewal.
	renewInterval = 400 * time.Millisecond
	// clockMargin allows for clocks of different machines running at different rates.
	clockMargin = 100 * time.Millisecond
	// takeoverSlack is added to the time within which two holders must not both give
	// orders.
	takeoverSlack = 300 * time.Millisecond
)

const (
	// firstEra is the era of a store that has never come back from a copy.
	firstEra = 1
	// tokenEraShift is the number of bits of a fencing token below the era, if the tokens
	// given out before may be lost. They hold the store's clock in milliseconds.
	tokenEraShift = 40
)

// inheritedShare is the share of its inherited reserves that a new holder reserves
// for the next holder until its first renewal.
const inheritedShare = 0.5

// Record is the value of the lease row.
type Record struct {
	Holder  string `json:"holder"`
	Boot    string `json:"boot"` // identifies one run of the holder's process
	Address string `json:"address"`
	Token   uint64 `json:"fencing_token"`
	// Expires is a time on the store's clock, so that any instance can decide at once
	// whether the lease has expired.
	Expires time.Duration `json:"expires_ns"`
	Nonce   uint64        `json:"nonce"`
	// OrdersFrom is the time on the store's clock from which the holder may give orders. A
	// restart of its process does not bring it forward.
	OrdersFrom time.Duration `json:"orders_from_ns,omitempty"`
	// Era is the era of the store in which the row was written. A row of an earlier era
	// comes from a copy: it may be older than the last lease.
	Era int64 `json:"era"`
	// Reserves are the tokens of each workspace that the next holder may start with if
	// this holder fails.
	Reserves map[string]float64 `json:"reserves,omitempty"`
}

// Lease is the lease state machine of one contender. It does no I/O, reads no clock
// and is not safe for concurrent use.
type Lease struct {
	holder, boot, address string
	// orderDelay is how long a new holder gives no orders after another instance held
	// the lease, since engines that do not check fencing tokens can't tell the two apart.
	orderDelay time.Duration

	version      int64
	record       Record
	known        bool
	storeClock   time.Duration // store's clock, read at an unknown time between sent and received
	sent         bootclock.Time
	received     bootclock.Time
	era          int64          // newest known era of the store
	eraSince     bootclock.Time // when it became known
	lost         bool           // version may be one that the store has lost
	pending      *Record        // write whose outcome is unknown
	until        bootclock.Time
	ordersAt     bootclock.Time
	taken        uint64 // fencing token with which this run took the row from another one
	firstEver    bool
	nonce        uint64
	offeredToken uint64 // token of the term whose holder has offered the lease
	abandoned    uint64 // token of the own term that Abandon has ended
	// inherited are the reserves left by the previous holder, and freeSince is the end of
	// its lease. It is later than the takeover if a run that has ended held it.
	inherited map[string]float64
	freeSince bootclock.Time
}

// NewLease returns a contender that does not hold the lease.
func NewLease(holder, boot, address string, leaseGap time.Duration) *Lease {
	return &Lease{holder: holder, boot: boot, address: address, orderDelay: leaseGap + takeoverSlack}
}

// Record returns the row as last read or written, and whether there is one.
func (l *Lease) Record() (Record, bool) { return l.record, l.known && l.version > 0 }

// StoreClock estimates the store's clock, 0 if it is not known.
func (l *Lease) StoreClock(now bootclock.Time) time.Duration {
	if l.storeClock == 0 {
		return 0
	}
	return l.storeClock + now.Sub(l.received)
}

// Held reports whether the lease is certain to be held at now.
func (l *Lease) Held(now bootclock.Time) bool { return now.Before(l.until) }

// MayOrder reports whether this contender may give orders at now.
func (l *Lease) MayOrder(now bootclock.Time) bool { return l.Held(now) && !now.Before(l.ordersAt) }

// OrderTime returns how long an order of the term with the given token may still be on its
// way: the gap before the orders of the next holder begins with the end of the term.
func (l *Lease) OrderTime(now bootclock.Time, token uint64) time.Duration {
	if !l.MayOrder(now) || l.Token() != token {
		return 0
	}
	return l.until.Sub(now)
}

// Token returns the fencing token of the current term.
func (l *Lease) Token() uint64 { return l.record.Token }

// Taken returns the fencing token with which this run last took the row from another
// one. From then on, no other instance has held the lease while OwnsRow holds.
func (l *Lease) Taken() uint64 { return l.taken }

// FirstEver reports whether this holder is the first ever to hold the lease.
func (l *Lease) FirstEver() bool { return l.firstEver }

// Inherited returns the tokens of each workspace that the previous holder has left
// at least.
func (l *Lease) Inherited() map[string]float64 { return l.inherited }

// FreeSince returns the end of the previous holder's lease, up to which its grants may be
// used.
func (l *Lease) FreeSince() bootclock.Time { return l.freeSince }

// OwnsRow reports whether the row names this run of the process as the holder.
func (l *Lease) OwnsRow() bool {
	return l.known && l.owns(l.record)
}

// owns reports whether a row names this run of the process as the holder.
func (l *Lease) owns(r Record) bool { return r.Holder == l.holder && r.Boot == l.boot }

// Unsettled reports whether the row has not been read yet or the outcome of a write
// is unknown, so that the row has to be read before anything else.
func (l *Lease) Unsettled() bool { return !l.known || l.pending != nil || l.lost }

// inForce reports whether the row is known to show the write of this run with the given
// nonce.
func (l *Lease) inForce(nonce uint64) bool {
	return !l.Unsettled() && l.OwnsRow() && l.record.Nonce == nonce
}

// Era returns the newest known era of the store.
func (l *Lease) Era() int64 { return l.era }

// restored reports whether the store has come back from a copy since the row was
// written, or has lost it.
func (l *Lease) restored() bool {
	return l.record.Era < l.era && (l.version > 0 || l.era > firstEra)
}

// followsOther reports whether another instance may have held the lease last.
func (l *Lease) followsOther() bool {
	return l.version > 0 && l.record.Holder != l.holder || l.restored()
}

// recordEra records the era of an answer.
func (l *Lease) recordEra(received bootclock.Time, era int64) {
	if era > l.era {
		l.lost = l.era != 0
		l.era, l.eraSince = era, received
	}
}

// RecordRead records the row as returned by a read that was sent and answered at the
// given times.
func (l *Lease) RecordRead(sent, received bootclock.Time, page ports.Page) error {
	l.recordClock(sent, received, page.Clock)
	l.recordEra(received, page.Era)
	l.lost = false
	var row ports.VersionedRow
	for _, r := range page.Rows {
		if r.Table == Table && r.Key == leaseKey {
			row = r
		}
	}
	var record Record
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return fmt.Errorf("lease row: %w", err)
		}
	}
	if l.pending != nil && record.Nonce == l.pending.Nonce && record.Boot == l.boot && record.Era == l.era {
		l.recordApplied(row.Version, *l.pending)
		return nil
	}
	l.pending = nil
	if l.OwnsRow() && l.Held(received) && record.Era < l.era && l.record.Token >= record.Token {
		// The store has lost this lease. It holds all the same, as nobody takes a row of an
		// earlier era before all leases of that era have ended.
		l.version = row.Version
		return nil
	}
	if record.Era < l.era {
		// Whether this run held a lease since then is not known, so that it waits like others.
		record.Boot = ""
	}
	if l.owns(record) && !l.OwnsRow() {
		// A takeover was applied after a read that did not show it.
		l.recordTakeover(record)
	}
	l.version, l.record, l.known = row.Version, record, true
	if !l.OwnsRow() {
		l.until = 0
	}
	return nil
}

// Settle records the pending write as applied if the row shows it, and reports
// whether it does. Otherwise the write may still be in flight.
func (l *Lease) Settle(sent, received bootclock.Time, page ports.Page) bool {
	if l.pending == nil {
		return false
	}
	for _, row := range page.Rows {
		var record Record
		if row.Table == Table && row.Key == leaseKey && json.Unmarshal(row.Value, &record) == nil &&
			record.Nonce == l.pending.Nonce && record.Boot == l.boot && record.Era == page.Era {
			l.recordClock(sent, received, page.Clock)
			l.recordApplied(row.Version, *l.pending)
			return true
		}
	}
	return false
}

// latency returns how long the store took for the last answer about the row.
func (l *Lease) latency() time.Duration { return l.received.Sub(l.sent) }

func (l *Lease) recordClock(sent, received bootclock.Time, clock time.Duration) {
	if clock > 0 {
		l.storeClock, l.sent, l.received = clock, sent, received
	}
}

// free reports whether the lease may be taken at now. A lease of an earlier run on
// this machine is free, because that process has ended.
func (l *Lease) free(now bootclock.Time) bool {
	if l.restored() {
		// Any lease that the store has lost was granted before this era.
		return now.Sub(l.eraSince) > leaseTerm+clockMargin
	}
	if l.version == 0 || l.record.Boot == "" {
		return true
	}
	if l.record.Holder == l.holder && l.record.Address == l.address && l.record.Boot != l.boot {
		return true
	}
	if l.Offered() {
		return true
	}
	// The store's clock has advanced at least by the time since the response.
	return l.storeClock+now.Sub(l.received) > l.record.Expires
}

// RecordOffer records that the holder of a term has stopped leading and offers the
// lease.
func (l *Lease) RecordOffer(holder string, token uint64) {
	if l.record.Holder == holder || l.record.Token < token {
		l.offeredToken = token
	}
}

// Offered reports whether the holder of the current term has offered the lease.
func (l *Lease) Offered() bool { return l.offeredToken != 0 && l.offeredToken == l.record.Token }

// Abandon ends the current term without a write, for when the store can't be
// reached. It returns the fencing token, or 0 if the lease was not held.
func (l *Lease) Abandon(now bootclock.Time) uint64 {
	if !l.Held(now) {
		return 0
	}
	l.until, l.abandoned = 0, l.record.Token
	return l.record.Token
}

// Remaining returns how long a lease held by another instance may still last, or 0 if
// the lease is free, own or not read yet.
func (l *Lease) Remaining(now bootclock.Time) time.Duration {
	if !l.known || l.OwnsRow() || l.free(now) {
		return 0
	}
	if l.restored() {
		return leaseTerm + clockMargin - now.Sub(l.eraSince)
	}
	return l.record.Expires - l.storeClock - now.Sub(l.received)
}

// Propose returns the write that takes or renews the lease, and whether there is one
// to send now. A renewal writes the given reserves, or those in the row if they are nil.
// A new holder inherits the reserves of the previous one and writes inheritedShare of
// them for the next. A holder that takes its own row again after its lease has ended
// begins a new term.
func (l *Lease) Propose(now bootclock.Time, reserves map[string]float64) (ports.Change, bool) {
	if l.Unsettled() || l.storeClock == 0 || (!l.OwnsRow() && !l.free(now)) {
		return ports.Change{}, false
	}
	next := l.record
	switch {
	case l.OwnsRow():
		if !l.Held(now) {
			next.Token++
		}
		if reserves == nil {
			reserves = l.record.Reserves
		}
	default:
		next = Record{Holder: l.holder, Boot: l.boot, Address: l.address, Token: l.record.Token + 1, OrdersFrom: l.record.OrdersFrom}
		if l.followsOther() {
			next.OrdersFrom = l.storeClock + now.Sub(l.received) + l.orderDelay
		}
		reserves = make(map[string]float64, len(l.record.Reserves))
		if l.restored() {
			// The levels in the row may have been granted since.
			next.Token = max(next.Token, uint64(l.era)<<tokenEraShift|uint64(l.storeClock.Milliseconds()))
		} else {
			for name, level := range l.record.Reserves {
				reserves[name] = math.Floor(level * inheritedShare)
			}
		}
	}
	next.Reserves, next.Era = reserves, l.era
	l.nonce++
	next.Nonce = l.nonce
	next.Expires = l.storeClock + now.Sub(l.received) + leaseTerm
	return l.write(next), true
}

// Withdraw cancels a proposed write that was not sent.
func (l *Lease) Withdraw() { l.pending = nil }

// Release returns the write that gives up the lease, and whether there is one to
// send. levels are the tokens of each workspace that the next holder starts with, nil
// for the reserves in the row.
func (l *Lease) Release(now bootclock.Time, levels map[string]float64) (ports.Change, bool) {
	if !l.OwnsRow() || l.Unsettled() {
		return ports.Change{}, false
	}
	l.until = 0
	next := l.record
	if levels == nil {
		levels = l.record.Reserves
	}
	l.nonce++
	next.Nonce, next.Expires, next.Reserves, next.Era = l.nonce, 0, levels, l.era
	return l.write(next), true
}

func (l *Lease) write(next Record) ports.Change {
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // the record consists of plain fields
	}
	l.pending = &next
	return ports.Change{Table: Table, Key: leaseKey, Value: value, ExpectedVersion: l.version}
}

// RecordWrite records the response to the write that Propose or Release returned.
func (l *Lease) RecordWrite(sent, received bootclock.Time, page ports.Page, err error) {
	l.recordEra(received, page.Era)
	switch {
	case err == nil && l.pending.Era < page.Era:
		// The expected version has been given out again: the row has to be read.
		l.pending, l.lost = nil, true
	case err == nil:
		l.recordClock(sent, received, page.Clock)
		l.recordApplied(page.Version, *l.pending)
	case errors.Is(err, ports.ErrHistoryGone):
		l.pending, l.lost = nil, true
	case errors.Is(err, ports.ErrConflict):
		if failed := l.RecordRead(sent, received, page); failed != nil {
			l.known = false
		}
	case errors.Is(err, ports.ErrNotApplied):
		l.pending = nil
	}
}

// recordTakeover records that a write of this run has replaced the row of another run,
// which is the one known so far.
func (l *Lease) recordTakeover(record Record) {
	other := l.followsOther()
	l.taken = record.Token
	l.firstEver = l.version == 0 && !l.restored()
	l.ordersAt, l.inherited, l.freeSince = 0, l.record.Reserves, l.received
	switch expires := l.record.Expires; {
	case l.restored():
		l.inherited = nil
	case expires > 0: // not released
		l.freeSince = l.received.Add(expires - l.storeClock)
	}
	if wait := record.OrdersFrom - l.storeClock; other || wait > 0 {
		if other || wait > l.orderDelay {
			wait = l.orderDelay
		}
		l.ordersAt = l.received.Add(wait)
	}
}

// recordApplied records that a write of this run has been applied.
func (l *Lease) recordApplied(version int64, record Record) {
	if !l.OwnsRow() {
		l.recordTakeover(record)
	}
	l.pending = nil
	l.version, l.record, l.known = version, record, true
	// The store may have read its clock as early as when the call was sent.
	l.until = l.sent.Add(record.Expires - l.storeClock - clockMargin)
	switch {
	case record.Expires == 0: // released
		l.until = 0
		l.record.Boot = ""
	case record.Token == l.abandoned: // an earlier renewal; the lease may have been taken since
		l.until = 0
	}
}
