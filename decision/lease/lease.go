// Package lease decides who may act as the single holder of a named duty. A
// lease is a pair of table rows and is counted on monotonic clocks only.
//
// The row "lease/<name>" changes with every renewal; observers watch its
// revision. The row "fence/<name>" changes only when the holder changes, so
// that a transaction tied to it survives the holder's own renewals and fails
// as soon as another holder has taken over.
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
	// Holder and Incarnation identify the contender; Address is informative.
	Holder, Incarnation, Address string
	// Duration is how long a renewal lasts, counted from before it was sent. Default 4s.
	Duration time.Duration
	// Renew is the time between renewals and between an observer's reads. Default 1s.
	Renew time.Duration
	// Drift is what an observer waits on top of Duration, because monotonic
	// clocks of two machines do not run equally fast. Default Duration/20.
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
	// Read asks for both rows; otherwise Writes is a transaction.
	Read   bool
	Token  string // transaction token
	Writes []ports.Write
}

// Lease is the state machine of one contender. It does no I/O and reads no
// clock: callers pass times that carry a monotonic reading.
type Lease struct {
	cfg      Config
	held     bool      // the rows name this contender, as far as known
	token    uint64    // fencing token while held
	until    time.Time // end of the validity while held
	leaseRow ports.Row
	record   Record
	fenceRow ports.Row
	fence    Fence
	known    bool      // the rows have been read
	seenAt   time.Time // when leaseRow's revision was first seen
	due      time.Time // when the next step is due
	open     *attempt  // write without a definite answer
	attempts uint64
	release  bool
}

// attempt is a write whose effect is not known yet.
type attempt struct {
	txn    string
	sent   time.Time
	record Record
	fence  *Fence // set if the write takes the lease over
}

// New returns a contender that holds nothing.
func New(cfg Config) *Lease {
	cfg.applyDefaults()
	return &Lease{cfg: cfg}
}

// Held reports whether the lease is certainly held at now.
func (l *Lease) Held(now time.Time) bool { return l.held && !l.release && now.Before(l.until) }

// Until returns the end of the validity that is certain so far.
func (l *Lease) Until() time.Time { return l.until }

// Token returns the fencing token of the holder, 0 if the lease is not held.
func (l *Lease) Token() uint64 {
	if !l.held {
		return 0
	}
	return l.token
}

// Check returns the write that ties a transaction to this holder's term.
// The transaction fails once another holder has taken over.
func (l *Lease) Check() ports.Write {
	_, key := Keys(l.cfg.Name)
	return ports.Write{Key: key, Check: true, Revision: l.fenceRow.Revision}
}

// Record returns the lease row as last read, for status output.
func (l *Lease) Record() Record { return l.record }

// Due returns when the next step is due.
func (l *Lease) Due() time.Time { return l.due }

// Release makes the next step give the lease up. Held is false from now on.
func (l *Lease) Release(now time.Time) {
	l.release = true
	l.due = now
}

// Next returns the operation to run now. It must be followed by ReadDone or
// WriteDone.
func (l *Lease) Next(now time.Time) Step {
	if !l.known || l.open != nil {
		return Step{Read: true}
	}
	switch {
	case l.held && l.release:
		return l.write(now, func(r *Record) { r.Released = true }, false)
	case l.held:
		return l.write(now, func(r *Record) { r.Renewals++ }, false)
	case !l.release && l.vacant(now):
		return l.write(now, func(r *Record) {
			*r = Record{Holder: l.cfg.Holder, Incarnation: l.cfg.Incarnation, Address: l.cfg.Address,
				Token: max(l.record.Token, l.fence.Token) + 1}
		}, true)
	}
	return Step{Read: true}
}

// vacant reports whether the rows as last read may be taken over: they are
// absent or released, or this contender itself has seen the same revision for
// the whole lease time plus the drift margin.
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
	l.open = &attempt{txn: txn, sent: now, record: record}
	if takeOver {
		l.open.fence = &Fence{Holder: record.Holder, Incarnation: record.Incarnation, Token: record.Token}
		fence.Check = false
		fence.Value = encode(l.open.fence)
	}
	return Step{Token: txn, Writes: []ports.Write{
		{Key: leaseKey, Revision: l.leaseRow.Revision, Value: encode(record)}, fence,
	}}
}

// WriteDone reports the result of a transaction at now. An unknown effect is
// settled by the read that Next asks for.
func (l *Lease) WriteDone(now time.Time, err error) {
	switch {
	case err == nil:
		l.applied(now)
	case errors.Is(err, ports.ErrConflict):
		l.due = now // Read back at once.
	case errors.Is(err, ports.ErrNotApplied):
		l.open = nil
		l.due = now.Add(l.cfg.Renew / 2)
	default:
		l.due = now.Add(l.cfg.Renew / 4)
	}
}

// applied records that the open write is in effect.
func (l *Lease) applied(now time.Time) {
	done := l.open
	l.open = nil
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

// ReadDone reports the rows as read; a missing row has revision 0.
func (l *Lease) ReadDone(now time.Time, leaseRow, fenceRow ports.Row, err error) {
	if err != nil {
		l.due = now.Add(l.cfg.Renew / 2)
		return
	}
	var record Record
	var fence Fence
	if !decode(leaseRow, &record) || !decode(fenceRow, &fence) || record.Token != fence.Token {
		// The rows were read around a change of holder, or are damaged.
		l.due = now.Add(l.cfg.Renew / 4)
		return
	}
	if !l.known || leaseRow.Revision != l.leaseRow.Revision {
		l.seenAt = now
	}
	l.known = true
	l.leaseRow, l.record, l.fenceRow, l.fence = leaseRow, record, fenceRow, fence
	mine := leaseRow.Revision > 0 && record.Incarnation == l.cfg.Incarnation && record.Holder == l.cfg.Holder
	l.held = mine && !record.Released
	if l.held {
		l.token = record.Token
		if l.open != nil && leaseRow.Token == l.open.txn {
			l.until = l.open.sent.Add(l.cfg.Duration)
		}
	}
	l.open = nil
	l.due = now.Add(l.cfg.Renew)
	expiry := l.seenAt.Add(l.cfg.Duration + l.cfg.Drift)
	switch {
	case l.held && !l.Held(now), !l.held && l.vacant(now):
		l.due = now
	case !l.held && expiry.After(now) && expiry.Before(l.due):
		l.due = expiry
	}
}

// Fenced returns the fence row that belongs to a lease row just read, if it is
// known without reading it: the fence changes only together with the fencing
// token that the lease row shows.
func (l *Lease) Fenced(leaseRow ports.Row) (ports.Row, bool) {
	var record Record
	if !l.known || l.open != nil || leaseRow.Revision == 0 || l.fenceRow.Revision == 0 || !decode(leaseRow, &record) {
		return ports.Row{}, false
	}
	return l.fenceRow, record.Token == l.fence.Token
}

// Done reports whether a release has been settled.
func (l *Lease) Done() bool { return l.release && l.known && !l.held && l.open == nil }

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
