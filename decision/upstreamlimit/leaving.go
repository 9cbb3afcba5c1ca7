package upstreamlimit

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// leavingLife is how long the word of an upstream that it leaves holds. An upstream that
// leaves ends within seconds, so that one that still runs then has answered oddly.
const leavingLife = 5 * time.Minute

// leaving is the word of a run of an upstream that it leaves.
type leaving struct {
	started int64
	at      bootclock.Time // of the last answer that said so
}

// RecordLeaving records that a run of an upstream said at the given time that it leaves,
// and reports whether that is new. An answer that does not say so takes nothing back: it
// may be older.
func (t *Table) RecordLeaving(id ID, at bootclock.Time) (changed bool) {
	before, known := t.leaving[id.Upstream]
	if known && (id.Started < before.started || id.Started == before.started && at <= before.at) {
		return false
	}
	t.leaving[id.Upstream] = leaving{id.Started, at}
	return !known || id.Started > before.started
}

// AllLeaving calls f for the runs that said that they leave, with the time of the last
// answer that did.
func (t *Table) AllLeaving(f func(ID, bootclock.Time)) {
	for upstream, l := range t.leaving {
		f(ID{upstream, l.started}, l.at)
	}
}

// EndLeaving forgets words that no longer hold, and returns their runs.
func (t *Table) EndLeaving(now bootclock.Time) []ID {
	var ended []ID
	for upstream, l := range t.leaving {
		if now.Sub(l.at) > leavingLife {
			ended = append(ended, ID{upstream, l.started})
			delete(t.leaving, upstream)
		}
	}
	return ended
}

// statementAge is the age of the limit in the report of an upstream that leaves, so that
// it replaces no known limit.
const statementAge = time.Hour

// NewLeavingReport returns the report of a run that said at the given time that it leaves.
func NewLeavingReport(now bootclock.Time, id ID, at bootclock.Time) Report {
	return Report{ID: id, SinceAge: statementAge, UntilAge: statementAge, Leaving: true, LeavingAge: max(now.Sub(at), 0)}
}
