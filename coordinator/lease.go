// Package coordinator keeps the one instance at a time that gives orders to
// engines and grants tokens of the workspaces' limits, and the other
// instances' way to it. What must outlive the instance is one row in the
// platform's store.
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

// Rows of the coordinator in the store.
const (
	Table     = "hibiscusyard"
	leaseKey  = "lease"
	secretKey = "secret"
)

const (
	// leaseTerm is how long a renewal lasts: the time without a leader after one has
	// lost its power, and that with one during an outage of the store. Of 2.4, 1.8,
	// 1.5 and 1.2 s, 1.5 s served most over deploy/days/leader-loss.toml and
	// store-trouble.toml; with 1.2 s slow answers of the store cost terms.
	leaseTerm = 1500 * time.Millisecond
	// renewEvery leaves time for a second try after a renewal that failed.
	renewEvery = 400 * time.Millisecond
	// clockMargin is kept for the different speeds of two machines' clocks.
	clockMargin = 100 * time.Millisecond
	// takeoverSlack is added to the time in which two holders must not both
	// give orders.
	takeoverSlack = 300 * time.Millisecond
)

// inheritedShare is the part of what it inherits that a new holder leaves to the
// next one until its first renewal.
const inheritedShare = 0.5

// Record is the value of the lease row.
type Record struct {
	Holder  string `json:"holder"`
	Boot    string `json:"boot"` // one run of the holder's process
	Address string `json:"address"`
	Token   uint64 `json:"fencing_token"`
	// Expires is on the store's clock, so that any instance can tell at once
	// whether the lease has ended.
	Expires time.Duration `json:"expires_ns"`
	Nonce   uint64        `json:"nonce"`
	// Reserves are the tokens of each workspace that the holder leaves to the next
	// one if it is lost.
	Reserves map[string]float64 `json:"reserves,omitempty"`
}

// Lease is one contender's state machine. It does no I/O and reads no clock.
type Lease struct {
	holder, boot, address string
	// quiet is how long a new holder gives no orders after another machine held
	// the lease, since engines that check no fencing tokens can't tell them apart.
	quiet time.Duration

	version   int64
	record    Record
	known     bool
	clock     time.Duration // of the store, at an unknown moment between sent and received
	sent      bootclock.Time
	received  bootclock.Time
	open      *Record // write without a definite answer
	until     bootclock.Time
	ordersAt  bootclock.Time
	firstEver bool
	nonce     uint64
	handed    uint64 // token of a term whose holder has offered the lease
	// inherited are the reserves of the holder before this one.
	inherited map[string]float64
}

// NewLease returns a contender that holds nothing.
func NewLease(holder, boot, address string, leaseGap time.Duration) *Lease {
	return &Lease{holder: holder, boot: boot, address: address, quiet: leaseGap + takeoverSlack}
}

// Record returns the row as last seen.
func (l *Lease) Record() (Record, bool) { return l.record, l.known && l.version > 0 }

// Held reports whether the lease is certainly held.
func (l *Lease) Held(now bootclock.Time) bool { return now.Before(l.until) }

// MayOrder reports whether orders may be given.
func (l *Lease) MayOrder(now bootclock.Time) bool { return l.Held(now) && !now.Before(l.ordersAt) }

// Token returns the fencing token of the present term.
func (l *Lease) Token() uint64 { return l.record.Token }

// FirstEver reports whether nobody held the lease before this holder.
func (l *Lease) FirstEver() bool { return l.firstEver }

// Inherited returns the tokens that the holder before has left at least.
func (l *Lease) Inherited() map[string]float64 { return l.inherited }

// Mine reports whether the row names this run.
func (l *Lease) Mine() bool { return l.known && l.record.Holder == l.holder && l.record.Boot == l.boot }

// Unsettled reports whether the effect of a write is unknown, so that the row
// has to be read before anything else.
func (l *Lease) Unsettled() bool { return !l.known || l.open != nil }

// Seen takes over the row as read by a call that was sent and answered then.
func (l *Lease) Seen(sent, received bootclock.Time, page ports.Page) error {
	l.note(sent, received, page.Clock)
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
	if l.open != nil && record.Nonce == l.open.Nonce && record.Boot == l.boot {
		l.taken(row.Version, *l.open)
		return nil
	}
	l.open = nil
	l.version, l.record, l.known = row.Version, record, true
	if !l.Mine() {
		l.until = 0
	}
	return nil
}

// Settle takes over the row if it shows that the open write has been done, and
// reports whether it does. Otherwise the write may still be on its way.
func (l *Lease) Settle(sent, received bootclock.Time, page ports.Page) bool {
	if l.open == nil {
		return false
	}
	for _, row := range page.Rows {
		var record Record
		if row.Table == Table && row.Key == leaseKey && json.Unmarshal(row.Value, &record) == nil &&
			record.Nonce == l.open.Nonce && record.Boot == l.boot {
			l.note(sent, received, page.Clock)
			l.taken(row.Version, *l.open)
			return true
		}
	}
	return false
}

func (l *Lease) note(sent, received bootclock.Time, clock time.Duration) {
	if clock > 0 {
		l.clock, l.sent, l.received = clock, sent, received
	}
}

// free reports whether the lease may be taken at the store's present time. The
// process that held it on this machine before has ended.
func (l *Lease) free(now bootclock.Time) bool {
	if l.version == 0 || l.record.Boot == "" {
		return true
	}
	if l.record.Holder == l.holder && l.record.Address == l.address && l.record.Boot != l.boot {
		return true
	}
	if l.Offered() {
		return true
	}
	// The store's clock has advanced at least by the time since the answer.
	return l.clock+now.Sub(l.received) > l.record.Expires
}

// Handed records that the holder of a term has stopped acting and offers the lease.
func (l *Lease) Handed(holder string, token uint64) {
	if l.record.Holder == holder || l.record.Token < token {
		l.handed = token
	}
}

// Offered reports whether the holder of the present term has offered the lease.
func (l *Lease) Offered() bool { return l.handed != 0 && l.handed == l.record.Token }

// Abandon ends the present term without a write, because the store can't be
// reached. It returns the token, 0 if the lease was not held.
func (l *Lease) Abandon(now bootclock.Time) uint64 {
	if !l.Held(now) {
		return 0
	}
	l.until = 0
	return l.record.Token
}

// FreeIn returns how long the lease that another instance holds may still last.
func (l *Lease) FreeIn(now bootclock.Time) time.Duration {
	if !l.known || l.Mine() || l.free(now) {
		return 0
	}
	return l.record.Expires - l.clock - now.Sub(l.received)
}

// Propose returns the write that takes or renews the lease, and whether there
// is one to send now. A renewal carries the holder's reserves; a new holder
// begins with those of the one before and leaves a part of them.
func (l *Lease) Propose(now bootclock.Time, reserves map[string]float64) (ports.Change, bool) {
	if l.Unsettled() || l.clock == 0 || (!l.Mine() && !l.free(now)) {
		return ports.Change{}, false
	}
	next := l.record
	if !l.Mine() {
		next = Record{Holder: l.holder, Boot: l.boot, Address: l.address, Token: l.record.Token + 1}
		reserves = make(map[string]float64, len(l.record.Reserves))
		for name, level := range l.record.Reserves {
			reserves[name] = math.Floor(level * inheritedShare)
		}
	}
	next.Reserves = reserves
	l.nonce++
	next.Nonce = l.nonce
	next.Expires = l.clock + now.Sub(l.received) + leaseTerm
	return l.write(next), true
}

// Withdraw takes back a write that was proposed and not sent.
func (l *Lease) Withdraw() { l.open = nil }

// Release returns the write that gives the lease up, with what the holder
// leaves to the next one.
func (l *Lease) Release(now bootclock.Time, levels map[string]float64) (ports.Change, bool) {
	if !l.Mine() || l.Unsettled() {
		return ports.Change{}, false
	}
	l.until = 0
	next := l.record
	l.nonce++
	next.Nonce, next.Expires, next.Reserves = l.nonce, 0, levels
	return l.write(next), true
}

func (l *Lease) write(next Record) ports.Change {
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // the record consists of plain fields
	}
	l.open = &next
	return ports.Change{Table: Table, Key: leaseKey, Value: value, Expect: l.version}
}

// Written takes over the answer to the write that Propose or Release returned.
func (l *Lease) Written(sent, received bootclock.Time, page ports.Page, err error) {
	switch {
	case err == nil:
		l.note(sent, received, page.Clock)
		l.taken(page.Version, *l.open)
	case errors.Is(err, ports.ErrConflict):
		if failed := l.Seen(sent, received, page); failed != nil {
			l.known = false
		}
	case errors.Is(err, ports.ErrNotApplied):
		l.open = nil
	}
}

// taken records that a write of this run is in effect.
func (l *Lease) taken(version int64, record Record) {
	if !l.Mine() {
		other := l.version > 0 && l.record.Holder != l.holder
		l.firstEver = l.version == 0
		l.ordersAt, l.inherited = 0, l.record.Reserves
		if other {
			l.ordersAt = l.received.Add(l.quiet)
		}
	}
	l.open = nil
	l.version, l.record, l.known = version, record, true
	// The store's clock may have been read as early as when the call was sent.
	l.until = l.sent.Add(record.Expires - l.clock - clockMargin)
	if record.Expires == 0 { // released
		l.until = 0
		l.record.Boot = ""
	}
}
