package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// state is what the store keeps.
type state struct {
	// Era is the era of the store in which the state was written.
	Era     int64     `cbor:"1,keyasint"`
	Decided int64     `cbor:"2,keyasint"`
	Sent    int64     `cbor:"3,keyasint"`
	Pending []Decided `cbor:"4,keyasint,omitempty"`
	// Windows are the counts of windows that have not been decided.
	Windows []savedWindow `cbor:"5,keyasint,omitempty"`
}

// savedWindow has the counts of one window: one for each workspace and run, those of a run
// one after the other.
type savedWindow struct {
	Window     int64    `cbor:"1,keyasint"`
	Workspaces []string `cbor:"2,keyasint"`
	Runs       []Run    `cbor:"3,keyasint"`
	Counts     []int64  `cbor:"4,keyasint"`
}

// Encode returns the state to save in an era of the store, with decisions that come into
// force by being saved. Until the next change, nothing is to be saved.
func (l *Ledger) Encode(era int64, decisions []Decision) []byte {
	s := state{Era: era, Decided: l.decided, Sent: l.sent}
	s.Pending, _ = l.withDecisions(decisions)
	if len(decisions) > 0 {
		s.Decided = decisions[len(decisions)-1].Last + 1
	}
	windows := map[int64]map[string]int{}
	for _, r := range l.runs {
		for window, counts := range r.counts {
			if window < s.Decided || len(counts) == 0 {
				continue
			}
			if windows[window] == nil {
				windows[window] = map[string]int{}
			}
			for workspace := range counts {
				windows[window][workspace] = 0
			}
		}
	}
	for _, window := range slices.Sorted(maps.Keys(windows)) {
		w := savedWindow{Window: window, Workspaces: slices.Sorted(maps.Keys(windows[window]))}
		for _, id := range slices.Sorted(maps.Keys(l.runs)) {
			counts := l.runs[id].counts[window]
			if len(counts) == 0 {
				continue
			}
			w.Runs = append(w.Runs, id)
			for _, workspace := range w.Workspaces {
				w.Counts = append(w.Counts, counts[workspace])
			}
		}
		s.Windows = append(s.Windows, w)
	}
	l.changed = false
	value, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // plain fields
	}
	return value
}

// Found describes the state that a leader reads at the begin of its term.
type Found struct {
	// Value is the saved state, nil if there is none.
	Value []byte
	// Era is the era of the store in which it was read, and EraSince the true time from
	// which that era is known.
	Era      int64
	EraSince time.Duration
	// Began is the true time from which a leader is known to have led, this one or an earlier
	// one.
	Began time.Duration
	// Kept is set if this leader has read or written the state before in this term, so
	// that nothing of it is lost if the store has lost it.
	Kept bool
	// Announced is the window up to which earlier leaders have told this instance that
	// they had decided, 0 if none has.
	Announced int64
}

// Load takes over the saved state at a true time. It returns the windows that are skipped
// because an earlier leader may have reported them and the store has lost it; there are
// none if last is before first.
func (l *Ledger) Load(now time.Duration, f Found) (first, last int64, err error) {
	var s state
	if f.Value != nil {
		if err := cbor.Unmarshal(f.Value, &s); err != nil {
			return 0, -1, err
		}
	}
	first, last = 0, -1
	l.decided, l.sent = max(l.decided, s.Decided, f.Announced), max(l.sent, s.Sent)
	switch {
	case l.decided == 0:
		// The first leader: no report is due for windows that ended before it led.
		l.decided = WindowOf(f.Began, l.length)
	case s.Era < f.Era && !f.Kept:
		if lost := WindowOf(f.EraSince, l.length); lost > l.decided {
			first, last = l.decided, lost-1
			l.decided = lost
		}
	}
	for _, d := range s.Pending {
		if !slices.ContainsFunc(l.pending, func(p Decided) bool { return p.Window == d.Window }) {
			l.pending = append(l.pending, d)
		}
	}
	l.pending = slices.DeleteFunc(l.pending, func(d Decided) bool { return d.Window < l.sent })
	slices.SortFunc(l.pending, func(a, b Decided) int { return int(a.Window - b.Window) })
	for _, w := range s.Windows {
		for i, id := range w.Runs {
			counts := map[string]int64{}
			for j, workspace := range w.Workspaces {
				if at := i*len(w.Workspaces) + j; at < len(w.Counts) && w.Counts[at] > 0 {
					counts[workspace] = w.Counts[at]
				}
			}
			if w.Window >= l.decided {
				l.merge(l.runFor(id), w.Window, counts)
			}
		}
	}
	l.prune(now)
	l.changed = true // what this instance knows beyond the saved state is to be saved, too
	return first, last, nil
}
