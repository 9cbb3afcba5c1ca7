package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxWait is how long after its end a window waits for instances that can't be
	// reached: they may be frozen, partitioned off or dead. A new leader waits as long for
	// those that do not report to it yet; it may make no calls meanwhile, either.
	maxWait = 3 * time.Second
	// lostLife is how long an instance that can't be reached is waited for.
	lostLife = 30 * time.Second
	// maxPending bounds the decided reports that the platform has not accepted, and with them
	// what the store keeps: 1.4 hours with windows of 5 s, about 300 KB with 16 workspaces.
	// Then the oldest are given up.
	maxPending = 1000
)

// Decided is a window that has been decided and whose report the platform has not
// accepted. The report never changes.
type Decided struct {
	Window int64 `cbor:"1,keyasint"`
	// Body is the report in the bytes in which it is sent.
	Body       []byte `cbor:"2,keyasint"`
	Total      int64  `cbor:"3,keyasint"`
	Workspaces int    `cbor:"4,keyasint"`
	// Heard are the runs of instances that contributed, and Missing those that did not
	// report the window as complete.
	Heard   int `cbor:"5,keyasint"`
	Missing int `cbor:"6,keyasint"`
}

// Decision is the decision about one window, or about several that are skipped because
// nothing is known of them.
type Decision struct {
	First, Last int64
	Skipped     bool
	Report      Decided // unless skipped
}

// run is what the leader knows of one run of an instance.
type run struct {
	instance string // empty if only the saved counts of the run are known
	from     int64  // first window counted from its start, 0 if not known
	open     int64  // windows before it are complete
	full     bool   // all its counts have been reported in this term, on this link
	partial  bool   // a report has come that needs a full one before it
	linked   bool
	ended    bool          // another run of the instance has replaced it
	lostAt   time.Duration // when it was last found not to be linked
	counts   map[int64]map[string]int64
}

// Ledger is the leader's knowledge of the windows. It outlasts terms: what it holds of
// decided windows was in the store. It is not safe for concurrent use.
type Ledger struct {
	length  time.Duration
	encode  func(window int64, counts map[string]int64) []byte
	decided int64 // windows before it have been decided; 0 if not known
	pending []Decided
	sent    int64 // reports of windows before it have been accepted
	runs    map[Run]*run
	changed bool
}

// NewLedger returns an empty ledger of windows with the given length. Encode returns the
// body of a window's report.
func NewLedger(length time.Duration, encode func(window int64, counts map[string]int64) []byte) *Ledger {
	return &Ledger{length: length, encode: encode, runs: map[Run]*run{}}
}

func (l *Ledger) runFor(id Run) *run {
	r := l.runs[id]
	if r == nil {
		r = &run{counts: map[int64]map[string]int64{}}
		l.runs[id] = r
	}
	return r
}

// Record takes over the report of a run. Counts of decided windows are dropped; their
// sender learns that they came too late.
func (l *Ledger) Record(id Run, instance string, report *Report) {
	r := l.runFor(id)
	r.instance = instance
	if report.From != 0 {
		r.from, r.full = report.From, true
	}
	if r.full {
		// An earlier report with counts may have been lost otherwise.
		r.open = max(r.open, report.Open)
	}
	r.partial = !r.full
	for _, w := range report.Counts {
		l.merge(r, w.Window, w.Counts)
	}
}

// merge raises the counts of a run to the given ones.
func (l *Ledger) merge(r *run, window int64, counts map[string]int64) {
	if window < l.decided {
		return
	}
	known := r.counts[window]
	if known == nil {
		known = map[string]int64{}
		r.counts[window] = known
	}
	for workspace, n := range counts {
		if n > known[workspace] {
			known[workspace] = n
			l.changed = true
		}
	}
}

// NeedsFull reports whether a run has to send a full report, and counts it as asked for one
// until its next report.
func (l *Ledger) NeedsFull(id Run) bool {
	r := l.runs[id]
	if r == nil || !r.partial {
		return false
	}
	r.partial = false
	return true
}

// StartTerm begins a term of this instance as the leader: reports to it may have been lost
// since its last one.
func (l *Ledger) StartTerm() {
	for _, r := range l.runs {
		r.full = false
	}
}

// RecordLinkChange records that a link to an instance came up or went down, with which
// reports may have been lost.
func (l *Ledger) RecordLinkChange(instance string) {
	for _, r := range l.runs {
		if r.instance == instance {
			r.full = false
		}
	}
}

// SetLinked records which runs are connected at a true time, by instance.
func (l *Ledger) SetLinked(now time.Duration, linked map[string]Run) {
	for instance, id := range linked {
		l.runFor(id).instance = instance
	}
	for id, r := range l.runs {
		current, ok := linked[r.instance]
		was := r.linked
		r.linked = ok && current == id
		r.ended = r.ended || ok && current != id
		if was && !r.linked || !r.linked && r.lostAt == 0 {
			r.lostAt = now
		}
		if r.linked {
			r.lostAt = 0
		}
	}
}

// Decide returns the decisions that can be made at a true time, in a term that began at the
// given one. They are not in force until Confirm is called, after they have been saved.
func (l *Ledger) Decide(now, began time.Duration) []Decision {
	var list []Decision
	if l.decided == 0 {
		return nil
	}
	for k := l.decided; ; k++ {
		end := time.Duration(k+1) * l.length
		if now < end {
			break
		}
		heard, missing, waiting := l.hearing(k, now)
		if waiting && now < max(end, began)+maxWait {
			break
		}
		counts, counted := l.sum(k)
		last := len(list) - 1
		switch {
		case counted:
			report := Decided{Window: k, Body: l.encode(k, counts), Workspaces: len(counts), Heard: heard, Missing: missing}
			for _, n := range counts {
				report.Total += n
			}
			list = append(list, Decision{First: k, Last: k, Report: report})
		case last >= 0 && list[last].Skipped:
			list[last].Last = k
		default:
			list = append(list, Decision{First: k, Last: k, Skipped: true})
		}
	}
	return list
}

// hearing returns how many runs have reported a window as complete, how many that may have
// served in it have not, and whether some of these may still do so.
func (l *Ledger) hearing(window int64, now time.Duration) (heard, missing int, waiting bool) {
	for _, r := range l.runs {
		switch {
		case r.open > window:
			if r.linked || len(r.counts[window]) > 0 {
				heard++
			}
		case r.linked, !r.ended && now-r.lostAt < lostLife:
			missing++
			waiting = true
		case len(r.counts[window]) > 0:
			missing++
		}
	}
	return heard, missing, waiting
}

// sum returns the counts of a window of all runs, and whether anything is known of it: a
// count, or that a run that served in all of it had none.
func (l *Ledger) sum(window int64) (counts map[string]int64, known bool) {
	counts = map[string]int64{}
	for _, r := range l.runs {
		for workspace, n := range r.counts[window] {
			counts[workspace] += n
		}
		known = known || r.from != 0 && r.from <= window && r.open > window
	}
	return counts, known || len(counts) > 0
}

// Confirm puts decisions into force that have been saved. It returns the reports that are
// given up because too many wait for the platform.
func (l *Ledger) Confirm(now time.Duration, decisions []Decision) (givenUp []Decided) {
	if len(decisions) > 0 {
		l.decided = decisions[len(decisions)-1].Last + 1
	}
	l.pending, givenUp = l.withDecisions(decisions)
	l.prune(now)
	return givenUp
}

// withDecisions returns the reports that wait for the platform once decisions are in force,
// and those that are given up.
func (l *Ledger) withDecisions(decisions []Decision) (pending, givenUp []Decided) {
	pending = slices.Clone(l.pending)
	for _, d := range decisions {
		if !d.Skipped {
			pending = append(pending, d.Report)
		}
	}
	excess := max(len(pending)-maxPending, 0)
	return pending[excess:], pending[:excess]
}

// prune drops the counts of decided windows, and runs of which nothing is needed.
func (l *Ledger) prune(now time.Duration) {
	for id, r := range l.runs {
		maps.DeleteFunc(r.counts, func(window int64, _ map[string]int64) bool { return window < l.decided })
		if !r.linked && len(r.counts) == 0 && (r.ended || r.lostAt != 0 && now-r.lostAt >= lostLife) {
			delete(l.runs, id)
		}
	}
}

// Next returns the report to send next, if there is one: the oldest that has not been
// accepted.
func (l *Ledger) Next() (Decided, bool) {
	if len(l.pending) == 0 {
		return Decided{}, false
	}
	return l.pending[0], true
}

// Accept records that the platform has accepted the report of a window.
func (l *Ledger) Accept(window int64) {
	l.sent = max(l.sent, window+1)
	l.pending = slices.DeleteFunc(l.pending, func(d Decided) bool { return d.Window < l.sent })
	l.changed = true
}

// DecidedUpTo returns the first window that has not been decided, 0 if it is not known.
func (l *Ledger) DecidedUpTo() int64 { return l.decided }

// Changed reports whether something is to be saved.
func (l *Ledger) Changed() bool { return l.changed }
