package directory

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
)

type demandKey struct {
	modelKey
	workspace string
}

// demand is the load of one workspace on one model at this instance.
type demand struct {
	waiting  map[int]time.Time // deadlines of waiting requests by ID
	running  map[string]int    // number of running requests by upstream
	arrivals int               // requests started since the last report
}

// demandLedger tracks demand. It is not safe for concurrent use.
type demandLedger struct {
	entries        map[demandKey]*demand
	lastID         int
	waitingChanged chan struct{}
}

func newDemandLedger() demandLedger {
	return demandLedger{entries: map[demandKey]*demand{}, waitingChanged: make(chan struct{}, 1)}
}

func (l *demandLedger) entry(key demandKey) *demand {
	e, ok := l.entries[key]
	if !ok {
		e = &demand{waiting: map[int]time.Time{}, running: map[string]int{}}
		l.entries[key] = e
	}
	return e
}

// signal notifies waitingChanged without blocking.
func (l *demandLedger) signal() {
	select {
	case l.waitingChanged <- struct{}{}:
	default:
	}
}

// wait records a waiting request until done is called.
func (l *demandLedger) wait(key demandKey, deadline time.Time) (done func()) {
	e := l.entry(key)
	l.lastID++
	id := l.lastID
	e.waiting[id] = deadline
	l.signal()
	return func() {
		delete(e.waiting, id)
		l.signal()
	}
}

// run records a request that runs at an upstream until done is called.
func (l *demandLedger) run(key demandKey, upstream string) (done func()) {
	e := l.entry(key)
	e.running[upstream]++
	e.arrivals++
	return func() {
		if e.running[upstream]--; e.running[upstream] == 0 {
			delete(e.running, upstream)
		}
	}
}

// report returns the demand, resets the arrival counts, and removes entries
// without demand.
func (l *demandLedger) report(now time.Time) []placement.Demand {
	list := []placement.Demand{}
	for key, e := range l.entries {
		if len(e.waiting) == 0 && len(e.running) == 0 && e.arrivals == 0 {
			delete(l.entries, key)
			continue
		}
		d := placement.Demand{
			Pool: key.pool, Model: key.model, Workspace: key.workspace,
			Waiting: len(e.waiting), Arrivals: e.arrivals,
		}
		for _, deadline := range e.waiting {
			if left := timeLeft(now, deadline); d.Deadline == 0 || left < d.Deadline {
				d.Deadline = left
			}
		}
		for upstream, count := range e.running {
			d.Running = append(d.Running, placement.UpstreamUsage{Upstream: upstream, Count: count})
		}
		e.arrivals = 0
		list = append(list, d)
	}
	return list
}
