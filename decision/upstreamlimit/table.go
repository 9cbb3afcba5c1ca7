// Package upstreamlimit keeps what upstreams say in their answers about the requests that
// they take: the requests a second from all instances together, and none any more because
// they leave or have ended. It does no I/O and reads no clock: callers pass the time and the events they
// observe.
package upstreamlimit

import (
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// minRate is the rate in requests a second that is used for lower limits, so that
// the end of a limit of 0 is noticed.
const minRate = 0.05

// ID identifies one run of an upstream.
type ID struct {
	Upstream string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// Statement is what a run of an upstream last said about its limit.
type Statement struct {
	Limited bool
	Rate    float64 // requests a second, if Limited
	// Since and Until enclose the time of the statement: the request was sent at
	// Since and the answer arrived at Until.
	Since, Until bootclock.Time
}

// AllowedRate returns the rate at which requests may be sent.
func (s Statement) AllowedRate() float64 { return max(s.Rate, minRate) }

// supersedes reports whether a statement replaces an earlier known one. The end of a
// limit counts only if its request was sent after the limit was received, because
// answers on different connections can overtake each other.
func (s Statement) supersedes(known Statement) bool {
	if known.Limited && !s.Limited {
		return s.Since.After(known.Until)
	}
	return s.Until.After(known.Until)
}

// Table holds the newest statement of each upstream that has named a limit, and the runs
// that depart. It is not safe for concurrent use.
type Table struct {
	entries    map[string]entry
	departures map[string]departure
}

type entry struct {
	started int64
	Statement
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]entry{}, departures: map[string]departure{}}
}

// Record applies a statement and reports whether it changed the limit.
func (t *Table) Record(id ID, s Statement) (changed bool) {
	if s.Limited && (s.Rate < 0 || math.IsNaN(s.Rate) || math.IsInf(s.Rate, 0)) {
		return false
	}
	e, ok := t.entries[id.Upstream]
	switch {
	case ok && id.Started < e.started:
		return false
	case !ok || id.Started > e.started:
		if !ok && !s.Limited {
			return false
		}
		t.entries[id.Upstream] = entry{id.Started, s}
		return ok && e.Limited || s.Limited
	case !s.supersedes(e.Statement):
		return false
	}
	t.entries[id.Upstream] = entry{id.Started, s}
	return s.Limited != e.Limited || s.Rate != e.Rate
}

// Get returns the newest statement of a run of an upstream. ok is false if the run
// has never named a limit.
func (t *Table) Get(id ID) (s Statement, ok bool) {
	e, ok := t.entries[id.Upstream]
	if !ok || e.started != id.Started {
		return Statement{}, false
	}
	return e.Statement, true
}

// All calls f for the newest statement of each upstream.
func (t *Table) All(f func(ID, Statement)) {
	for upstream, e := range t.entries {
		f(ID{upstream, e.started}, e.Statement)
	}
}

// Prune deletes the limits of upstreams that keep does not report as registered.
func (t *Table) Prune(keep func(upstream string) bool) {
	for upstream := range t.entries {
		if !keep(upstream) {
			delete(t.entries, upstream)
		}
	}
}

// Report is a statement in a message between instances, whose clocks differ.
type Report struct {
	ID      ID      `cbor:"1,keyasint"`
	Limited bool    `cbor:"2,keyasint,omitempty"`
	Rate    float64 `cbor:"3,keyasint,omitempty"`
	// SinceAge and UntilAge are the ages of Since and Until when the message is sent.
	SinceAge time.Duration `cbor:"4,keyasint"`
	UntilAge time.Duration `cbor:"5,keyasint"`
	// Leaving or Ended is set if the report is only about a departure of the run, last seen
	// DepartureAge ago.
	Leaving      bool          `cbor:"6,keyasint,omitempty"`
	DepartureAge time.Duration `cbor:"7,keyasint,omitempty"`
	Ended        bool          `cbor:"8,keyasint,omitempty"`
}

// NewReport returns the report of a statement in a message that is sent now.
func NewReport(now bootclock.Time, id ID, s Statement) Report {
	return Report{ID: id, Limited: s.Limited, Rate: s.Rate, SinceAge: now.Sub(s.Since), UntilAge: now.Sub(s.Until)}
}

// Statement returns the statement of a report that arrives now.
func (r Report) Statement(now bootclock.Time) Statement {
	return Statement{Limited: r.Limited, Rate: r.Rate, Since: now.Add(-r.SinceAge), Until: now.Add(-r.UntilAge)}
}
