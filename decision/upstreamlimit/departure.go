package upstreamlimit

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Departure is why a run of an upstream gets nothing new although its entry says that it
// is in service.
type Departure uint8

// Departures.
const (
	// Leaving means that the run said in an answer that it leaves.
	Leaving Departure = iota + 1
	// Ended means that a connection was refused: nothing listens at the run's address.
	Ended
)

const (
	// leavingLife is how long the word of an upstream that it leaves holds. An upstream
	// that leaves ends within seconds, so that one that still runs then has answered oddly.
	leavingLife = 5 * time.Minute
	// endedLife is how long a refused connection shows that a run has ended. The entry of
	// a run that has ended goes after three heartbeats, 3.6 s in the users' deployments. A
	// run that listens again is used again after that; one that has ended refuses the next
	// connection too.
	endedLife = 4 * time.Second
)

// life returns how long a departure holds after it was last seen.
func (d Departure) life() time.Duration {
	if d == Ended {
		return endedLife
	}
	return leavingLife
}

// String returns the departure as it appears in logs.
func (d Departure) String() string {
	if d == Ended {
		return "ended"
	}
	return "leaving"
}

// departure is the departure of a run of an upstream.
type departure struct {
	started int64
	kind    Departure
	at      bootclock.Time // when it was last seen
}

func (d departure) until() bootclock.Time { return d.at.Add(d.kind.life()) }

// RecordDeparture records that a departure of a run of an upstream was seen at the given
// time, and reports whether that is new. Of several departures of a run the one that holds
// longest is kept. An answer that says nothing takes none back: it may be older.
func (t *Table) RecordDeparture(id ID, kind Departure, at bootclock.Time) (changed bool) {
	before, known := t.departures[id.Upstream]
	next := departure{id.Started, kind, at}
	if known && (id.Started < before.started || id.Started == before.started && next.until() <= before.until()) {
		return false
	}
	t.departures[id.Upstream] = next
	return !known || id.Started > before.started || kind != before.kind
}

// AllDepartures calls f for the runs that depart, with the time at which that was last
// seen.
func (t *Table) AllDepartures(f func(ID, Departure, bootclock.Time)) {
	for upstream, d := range t.departures {
		f(ID{upstream, d.started}, d.kind, d.at)
	}
}

// EndDepartures forgets departures that no longer hold, and calls f for their runs.
func (t *Table) EndDepartures(now bootclock.Time, f func(ID)) {
	for upstream, d := range t.departures {
		if now > d.until() {
			delete(t.departures, upstream)
			f(ID{upstream, d.started})
		}
	}
}

// statementAge is the age of the limit in the report of a departure, so that it replaces
// no known limit.
const statementAge = time.Hour

// NewDepartureReport returns the report of a departure that was seen at the given time.
func NewDepartureReport(now bootclock.Time, id ID, kind Departure, at bootclock.Time) Report {
	return Report{
		ID: id, SinceAge: statementAge, UntilAge: statementAge,
		Leaving: kind == Leaving, Ended: kind == Ended, DepartureAge: max(now.Sub(at), 0),
	}
}

// Departure returns the departure that the report is about, 0 if it is about a limit.
func (r Report) Departure() Departure {
	switch {
	case r.Leaving:
		return Leaving
	case r.Ended:
		return Ended
	}
	return 0
}
