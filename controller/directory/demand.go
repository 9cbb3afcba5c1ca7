package directory

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
)

type demandKey struct {
	modelKey
	workspace string
}

// demand is what one workspace asks of one model at this instance.
type demand struct {
	waiting  map[int]time.Time // deadlines by entry
	running  map[string]int    // requests by upstream
	arrivals int
}

// demandLedger counts demand. Its owner serialises the calls.
type demandLedger struct {
	entries map[demandKey]*demand
	next    int
	wanted  chan struct{}
}

func newDemandLedger() demandLedger {
	return demandLedger{entries: map[demandKey]*demand{}, wanted: make(chan struct{}, 1)}
}

func (l *demandLedger) entry(key demandKey) *demand {
	e, ok := l.entries[key]
	if !ok {
		e = &demand{waiting: map[int]time.Time{}, running: map[string]int{}}
		l.entries[key] = e
	}
	return e
}

func (l *demandLedger) signal() {
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}

func (l *demandLedger) wait(key demandKey, deadline time.Time) (done func()) {
	e := l.entry(key)
	l.next++
	id := l.next
	e.waiting[id] = deadline
	l.signal()
	return func() {
		delete(e.waiting, id)
		l.signal()
	}
}

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

// report lists the demand and forgets entries that have none left.
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
			d.Running = append(d.Running, placement.Use{Upstream: upstream, Count: count})
		}
		e.arrivals = 0
		list = append(list, d)
	}
	return list
}
