package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Entry is what an instance knows of a cause, in a message between instances, whose
// clocks differ.
type Entry struct {
	Cause
	// Strikes is the number of quarantines of the cause so far, 0 for a suspect: a cause
	// for whose successes the instances are asked.
	Strikes int `cbor:"2,keyasint,omitempty"`
	// Remaining is the time until a trial is allowed.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Age is the time since the last crash that counts against the cause or, if Released
	// is set, since the success that ended its quarantine.
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
	Released bool          `cbor:"5,keyasint,omitempty"`
}

// CrashReport is a crash that an instance has observed.
type CrashReport struct {
	Run   Run           `cbor:"1,keyasint"`
	Age   time.Duration `cbor:"2,keyasint"`
	Parts []string      `cbor:"3,keyasint"` // in the order of their position in the prompt
	// Requests are the fingerprints of the requests that broke off.
	Requests []string `cbor:"4,keyasint,omitempty"`
	// Positions are the positions of the parts in their prompts, which differ from those in
	// Parts if several requests broke off. Earlier versions do not send them.
	Positions []int `cbor:"5,keyasint,omitempty"`
}

// causes returns the causes of all requests that the crash broke off, with their
// specificity.
func (r CrashReport) causes() map[Cause]int {
	causes := make(map[Cause]int, len(r.Parts)+len(r.Requests))
	for i, part := range r.Parts {
		position := i
		if i < len(r.Positions) {
			position = r.Positions[i]
		}
		causes[Cause{ID: part}] = position
	}
	for _, fingerprint := range r.Requests {
		causes[Cause{ID: fingerprint, Kind: WholeRequest}] = wholeRequest
	}
	return causes
}

// Success is the time since a request with a cause ran.
type Success struct {
	Cause
	Age time.Duration `cbor:"2,keyasint"`
}

// Evidence is what an instance reports to the leader.
type Evidence struct {
	Crashes   []CrashReport `cbor:"1,keyasint,omitempty"`
	Successes []Success     `cbor:"2,keyasint,omitempty"`
	// Entries are the verdicts that the instance knows, for a new leader.
	Entries []Entry `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there is nothing to report.
func (e *Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Successes) == 0 && len(e.Entries) == 0
}

// Evidence returns the crashes that this instance has recorded itself since a time, and
// the successes of suspects and of causes that were quarantined lately. All evidence, from
// time 0 on, includes the crashes that are kept for a new leader.
func (l *Ledger) Evidence(now, since bootclock.Time) Evidence {
	e := Evidence{Crashes: l.Observed(now, since)}
	if since == 0 {
		for run, c := range l.kept {
			e.Crashes = append(e.Crashes, c.report(now, run))
		}
	}
	asked := maps.Clone(l.suspects)
	maps.Copy(asked, l.released)
	for cause := range asked {
		if at := l.successes.get(cause); at != 0 {
			e.Successes = append(e.Successes, Success{Cause: cause, Age: now.Sub(at)})
		}
	}
	return e
}

// Observed returns the crashes that this instance has recorded itself since a time. The
// leader has them kept by the others: its own reports would be lost with it.
func (l *Ledger) Observed(now, since bootclock.Time) []CrashReport {
	var list []CrashReport
	for run, c := range l.crashes {
		if c.observed && !c.recorded.Before(since) {
			list = append(list, c.report(now, run))
		}
	}
	return list
}

// Keep keeps the crashes that the leader has observed itself.
func (l *Ledger) Keep(now bootclock.Time, reports []CrashReport) {
	old := now.Add(-evidenceLife)
	maps.DeleteFunc(l.kept, func(_ Run, c *crash) bool { return c.at.Before(old) })
	for _, r := range reports {
		if l.kept[r.Run] == nil {
			makeRoom(l.kept)
		}
		l.kept[r.Run] = &crash{at: now.Add(-r.Age), causes: r.causes()}
	}
}

func (c *crash) report(now bootclock.Time, run Run) CrashReport {
	r := CrashReport{Run: run, Age: now.Sub(c.at)}
	inOrder := func(a, b Cause) int { return cmp.Or(cmp.Compare(c.causes[a], c.causes[b]), a.compare(b)) }
	for _, cause := range slices.SortedFunc(maps.Keys(c.causes), inOrder) {
		if cause.Kind == WholeRequest {
			r.Requests = append(r.Requests, cause.ID)
		} else {
			r.Parts = append(r.Parts, cause.ID)
			r.Positions = append(r.Positions, c.causes[cause])
		}
	}
	return r
}

// Apply adds the evidence of another instance and reports whether there is something new
// to judge.
func (l *Ledger) Apply(now bootclock.Time, e Evidence) (changed bool) {
	for _, c := range e.Crashes {
		changed = l.addCrash(now.Add(-c.Age), c.Run, c.causes()) || changed
	}
	for _, s := range e.Successes {
		at := now.Add(-s.Age)
		l.successes.put(s.Cause, at)
		changed = l.release(s.Cause, at) || changed
	}
	return l.Merge(now, e.Entries) || changed
}

// Entries returns the verdicts, the suspects and the causes released lately.
func (l *Ledger) Entries(now bootclock.Time) []Entry {
	var list []Entry
	for cause, v := range l.verdicts {
		list = append(list, Entry{Cause: cause, Strikes: v.strikes, Remaining: max(v.until.Sub(now), 0), Age: now.Sub(v.at)})
	}
	for cause := range l.suspects {
		if _, quarantined := l.verdicts[cause]; !quarantined {
			list = append(list, Entry{Cause: cause})
		}
	}
	for cause, at := range l.released {
		list = append(list, Entry{Cause: cause, Released: true, Age: now.Sub(at)})
	}
	slices.SortFunc(list, func(a, b Entry) int { return a.compare(b.Cause) })
	return list
}

// Verdicts returns the entries of quarantined causes.
func (l *Ledger) Verdicts(now bootclock.Time) []Entry {
	return slices.DeleteFunc(l.Entries(now), func(e Entry) bool { return e.Strikes == 0 })
}

// Signature identifies the causes in the entries and the quarantines of each. It does not
// change as time passes.
func Signature(entries []Entry) string {
	var b strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&b, "%s %d %t,", e.Cause, e.Strikes, e.Released)
	}
	return b.String()
}

// Adopt takes over the entries of the leader. It reports whether that changed a verdict,
// and whether the leader asks for a success that this instance knows.
func (l *Ledger) Adopt(now bootclock.Time, entries []Entry) (changed, asked bool) {
	suspects := map[Cause]bootclock.Time{}
	for _, e := range entries {
		if e.Strikes > 0 || e.Released {
			continue
		}
		since, known := l.suspects[e.Cause]
		if !known {
			since, l.suspectedAt = now, now
			asked = asked || l.successes.get(e.Cause) != 0
		}
		suspects[e.Cause] = since
	}
	l.suspects = suspects
	return l.Merge(now, entries), asked
}

// AwaitReports gives the instances settleTime to tell a new leader the successes of the
// suspects that it has adopted from the leader before.
func (l *Ledger) AwaitReports(now bootclock.Time) {
	for cause := range l.suspects {
		l.suspects[cause], l.suspectedAt = now, now
	}
}

// Merge takes over the verdicts that another instance knows, and reports whether that
// changed one. The longer quarantine holds, unless a later success has ended it.
func (l *Ledger) Merge(now bootclock.Time, entries []Entry) (changed bool) {
	for _, e := range entries {
		at := now.Add(-e.Age)
		switch {
		case e.Released:
			changed = l.release(e.Cause, at) || changed
		case e.Strikes == 0:
		case l.successes.get(e.Cause).After(at) || l.released[e.Cause].After(at):
		default:
			v, known := l.verdicts[e.Cause]
			until := now.Add(min(e.Remaining, term(e.Strikes)))
			if known && (e.Strikes < v.strikes || e.Strikes == v.strikes && until <= v.until) || !known && len(l.verdicts) >= maxVerdicts {
				continue
			}
			// Only a later quarantine shows that the result of the trial is known.
			trial := v.trial && e.Strikes == v.strikes
			l.verdicts[e.Cause] = verdict{strikes: e.Strikes, at: max(at, v.at), until: until, trial: trial}
			changed = changed || !known || e.Strikes > v.strikes
		}
	}
	return changed
}
