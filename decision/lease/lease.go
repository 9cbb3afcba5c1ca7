// Package lease implements leases by which a single instance holds a named duty. A
// lease is stored as a pair of table rows, and its duration is measured with monotonic
// clocks only.
//
// The row "lease/<name>" changes with every renewal; observers watch its revision. The
// row "fence/<name>" changes only when the holder changes, so that a transaction tied
// to it is not affected by the holder's own renewals and fails once another holder has
// taken over.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Config describes one contender for a lease.
type Config struct {
	// Name is the name of the duty.
	Name string
	// Holder and Incarnation identify the contender. Address is for information only.
	Holder, Incarnation, Address string
	// Duration is how long a renewal lasts, counted from before it was sent. Default 4s.
	Duration time.Duration
	// Renew is the time between renewals and between an observer's reads. Default 1s.
	Renew time.Duration
	// Drift is how long an observer waits in addition to Duration, because the monotonic
	// clocks of two machines run at different rates. Default Duration/20.
	Drift time.Duration
}

func (c *Config) applyDefaults() {
	if c.Duration == 0 {
		c.Duration = 4 * time.Second
	}
	if c.Renew == 0 {
		c.Renew = c.Duration / 4
	}
	if c.Drift == 0 {
		c.Drift = c.Duration / 20
	}
}

// Record is the value of the row "lease/<name>".
type Record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address,omitempty"`
	Token       uint64 `json:"fencing_token"`
	Renewals    uint64 `json:"renewals"`
	Released    bool   `json:"released,omitempty"`
}

// Fence is the value of the row "fence/<name>".
type Fence struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Token       uint64 `json:"fencing_token"`
}

// Keys returns the keys of the two rows of a lease.
func Keys(name string) (leaseKey, fenceKey string) { return "lease/" + name, "fence/" + name }

// Step is the next table operation of a lease.
type Step struct {
	// Read is set if both rows are to be read; otherwise Writes is a transaction.
	Read   bool
	Token  string // transaction token
	Writes []ports.Write
}

// Lease is the state machine of one contender. It does no I/O and reads no
// clock: callers pass times that carry a monotonic reading.
type Lease struct {
	cfg       Config
	held      bool      // the rows as last known name this contender as the holder
	token     uint64    // fencing token while held
	until     time.Time // end of the validity while held
	leaseRow  ports.Row
	record    Record
	fenceRow  ports.Row
	fence     Fence
	known     bool      // the rows have been read
	seenAt    time.Time // when the current revision of leaseRow was first read or written
	due       time.Time // when the next step is due
	pending   *attempt  // write whose outcome is unknown
	attempts  uint64
	releasing bool
}

// attempt is a write whose outcome is not known yet.
type attempt struct {
	txn    string
	sent   time.Time
	record Record
	fence  *Fence // set if the write takes the lease over
}

// New returns a contender that does not hold the lease.
func New(cfg Config) *Lease {
	cfg.applyDefaults()
	return &Lease{cfg: cfg}
}

// Held reports whether the lease is certain to be held at now. It is false once Release
// has been called.
func (l *Lease) Held(now time.Time) bool { return l.held && !l.releasing && now.Before(l.until) }

// Until returns the time up to which the lease is certain to be valid so far.
func (l *Lease) Until() time.Time { return l.until }

// Token returns the fencing token of this holder's term, or 0 if the lease is not held.
func (l *Lease) Token() uint64 {
	if !l.held {
		return 0
	}
	return l.token
}

// Check returns the write that ties a transaction to this holder's term.
// The transaction fails once another holder has taken over the lease.
func (l *Lease) Check() ports.Write {
	_, key := Keys(l.cfg.Name)
	return ports.Write{Key: key, Check: true, Revision: l.fenceRow.Revision}
}

// Record returns the lease row as last read, for status output.
func (l *Lease) Record() Record { return l.record }

// Due returns when the next step is due.
func (l *Lease) Due() time.Time { return l.due }

// Release makes the next step give up the lease. Held is false from now on.
func (l *Lease) Release(now time.Time) {
	l.releasing = true
	l.due = now
}

// Next returns the operation to run now. It must be followed by ReadDone or
// WriteDone.
func (l *Lease) Next(now time.Time) Step {
	if !l.known || l.pending != nil {
		return Step{Read: true}
	}
	switch {
	case l.held && l.releasing:
		return l.write(now, func(r *Record) { r.Released = true }, false)
	case l.held:
		return l.write(now, func(r *Record) { r.Renewals++ }, false)
	case !l.releasing && l.vacant(now):
		return l.write(now, func(r *Record) {
			*r = Record{Holder: l.cfg.Holder, Incarnation: l.cfg.Incarnation, Address: l.cfg.Address,
				Token: max(l.record.Token, l.fence.Token) + 1}
		}, true)
	}
	return Step{Read: true}
}

// vacant reports whether the lease may be taken over according to the rows as last
// read: they are absent or released, or this contender itself has seen the same
// revision for the whole lease duration plus the drift margin.
func (l *Lease) vacant(now time.Time) bool {
	if l.leaseRow.Revision == 0 || l.record.Released {
		return true
	}
	return now.Sub(l.seenAt) >= l.cfg.Duration+l.cfg.Drift
}

func (l *Lease) write(now time.Time, change func(*Record), takeOver bool) Step {
	leaseKey, fenceKey := Keys(l.cfg.Name)
	record := l.record
	change(&record)
	l.attempts++
	txn := fmt.Sprintf("%s-%s-%d", l.cfg.Name, l.cfg.Incarnation, l.attempts)
	fence := ports.Write{Key: fenceKey, Revision: l.fenceRow.Revision, Check: true}
	l.pending = &attempt{txn: txn, sent: now, record: record}
	if takeOver {
		l.pending.fence = &Fence{Holder: record.Holder, Incarnation: record.Incarnation, Token: record.Token}
		fence.Check = false
		fence.Value = encode(l.pending.fence)
	}
	return Step{Token: txn, Writes: []ports.Write{
		{Key: leaseKey, Revision: l.leaseRow.Revision, Value: encode(record)}, fence,
	}}
}

// WriteDone records the result of a transaction at now. If its outcome is unknown, the
// read that Next returns settles it.
func (l *Lease) WriteDone(now time.Time, err error) {
	switch {
	case err == nil:
		l.applied(now)
	case errors.Is(err, ports.ErrConflict):
		l.due = now // read the rows back at once
	case errors.Is(err, ports.ErrNotApplied):
		l.pending = nil
		l.due = now.Add(l.cfg.Renew / 2)
	default:
		l.due = now.Add(l.cfg.Renew / 4)
	}
}

// applied records that the pending write has been applied.
func (l *Lease) applied(now time.Time) {
	done := l.pending
	l.pending = nil
	l.leaseRow.Revision++
	l.leaseRow.Token = done.txn
	l.record = done.record
	l.seenAt = now
	if done.fence != nil {
		l.fenceRow.Revision++
		l.fence = *done.fence
	}
	l.token = done.record.Token
	l.held = !done.record.Released
	l.until = done.sent.Add(l.cfg.Duration)
	l.due = done.sent.Add(l.cfg.Renew)
}

// ReadDone records the rows as read, or the error of the read. A missing row has
// revision 0.
func (l *Lease) ReadDone(now time.Time, leaseRow, fenceRow ports.Row, err error) {
	if err != nil {
		l.due = now.Add(l.cfg.Renew / 2)
		return
	}
	var record Record
	var fence Fence
	if !decode(leaseRow, &record) || !decode(fenceRow, &fence) || record.Token != fence.Token {
		// The holder changed between the reads of the two rows, or a row is corrupt.
		l.due = now.Add(l.cfg.Renew / 4)
		return
	}
	if !l.known || leaseRow.Revision != l.leaseRow.Revision {
		l.seenAt = now
	}
	l.known = true
	l.leaseRow, l.record, l.fenceRow, l.fence = leaseRow, record, fenceRow, fence
	own := leaseRow.Revision > 0 && record.Incarnation == l.cfg.Incarnation && record.Holder == l.cfg.Holder
	l.held = own && !record.Released
	if l.held {
		l.token = record.Token
		if l.pending != nil && leaseRow.Token == l.pending.txn {
			l.until = l.pending.sent.Add(l.cfg.Duration)
		}
	}
	l.pending = nil
	l.due = now.Add(l.cfg.Renew)
	expiry := l.seenAt.Add(l.cfg.Duration + l.cfg.Drift)
	switch {
	case l.held && !l.Held(now), !l.held && l.vacant(now):
		l.due = now
	case !l.held && expiry.After(now) && expiry.Before(l.due):
		l.due = expiry
	}
}

// KnownFence returns the fence row that belongs to a lease row just read, and whether it
// is known without another read. It is known if the fencing token of the lease row is
// unchanged, as the fence changes only together with that token.
func (l *Lease) KnownFence(leaseRow ports.Row) (ports.Row, bool) {
	var record Record
	if !l.known || l.pending != nil || leaseRow.Revision == 0 || l.fenceRow.Revision == 0 || !decode(leaseRow, &record) {
		return ports.Row{}, false
	}
	return l.fenceRow, record.Token == l.fence.Token
}

// Done reports whether a release has completed.
func (l *Lease) Done() bool { return l.releasing && l.known && !l.held && l.pending == nil }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // both records consist of plain fields
	}
	return data
}

func decode(row ports.Row, into any) bool {
	return row.Revision == 0 || json.Unmarshal(row.Value, into) == nil
}
