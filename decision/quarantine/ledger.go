// Package quarantine finds what crashes upstreams, so that requests with it are kept from
// them while other requests are served. It does no I/O and reads no clock: callers pass
// the time and the events they observe.
//
// There are two kinds of causes: parts of prompts, which different requests share, and
// whole requests, which callers repeat. A crash is evidence against all causes of all
// requests that it broke off. A request that ran shows that none of its causes crashes
// upstreams. A cause that only crashes explain is quarantined for a time that grows with
// each failed trial.
package quarantine

import (
	"maps"
	"math"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// evidenceLife is how long a crash and a success count as evidence.
	evidenceLife = time.Minute
	// firstTerm is the length of the first quarantine. Each failed trial makes it
	// termFactor times longer, up to maxTerm.
	firstTerm  = 10 * time.Second
	termFactor = 4
	maxTerm    = time.Hour
	// successInterval is the shortest time between two reports of successes of a cause.
	successInterval = time.Second
	// maxCrashes and maxVerdicts bound the memory of a ledger.
	maxCrashes  = 256
	maxVerdicts = 256
)

// Run identifies one run of an upstream.
type Run struct {
	Upstream string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// crash is the end of one run of an upstream.
type crash struct {
	at bootclock.Time
	// causes are those of the requests that broke off, with their specificity.
	causes map[Cause]int
	// observed is set if this instance has seen the crash itself, at recorded.
	observed bool
	recorded bootclock.Time
}

// verdict is the quarantine of one cause.
type verdict struct {
	strikes int            // quarantines of the cause so far
	at      bootclock.Time // last crash that counts against it
	until   bootclock.Time // first time at which a trial is allowed
	// trial is set while the result of a trial is awaited.
	trial bool
}

// Ledger holds the evidence and the verdicts that one instance knows. It is not safe
// for concurrent use.
type Ledger struct {
	crashes map[Run]*crash
	// kept holds the crashes that a leader has observed itself, for the next one. They are
	// not judged here, where successes at other instances are not known.
	kept      map[Run]*crash
	successes successTimes
	verdicts  map[Cause]verdict
	// suspects are the causes for whose successes the leader asks, since when.
	suspects map[Cause]bootclock.Time
	// released holds the causes whose quarantine a success has ended.
	released map[Cause]bootclock.Time
	// changed is set if there is evidence that has not been judged.
	changed  bool
	judgedAt bootclock.Time
	// changedAt is when evidence that had not been judged was judged first.
	changedAt bootclock.Time
	// suspectedAt is when the last cause became a suspect.
	suspectedAt bootclock.Time
}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger {
	return &Ledger{
		crashes: map[Run]*crash{}, kept: map[Run]*crash{}, verdicts: map[Cause]verdict{},
		suspects: map[Cause]bootclock.Time{}, released: map[Cause]bootclock.Time{},
	}
}

// RecordCrash records that a run of an upstream has ended while it had a request with
// the causes. It is for the instance that sent the request. It reports whether that is
// new evidence.
func (l *Ledger) RecordCrash(now bootclock.Time, run Run, causes []Cause) bool {
	specificities := make(map[Cause]int, len(causes))
	for position, cause := range causes {
		specificities[cause] = cause.specificity(position)
	}
	added := l.addCrash(now, run, specificities)
	c := l.crashes[run]
	c.observed, c.recorded = true, now
	return added
}

// addCrash adds the causes of requests that broke off in a crash, with their specificity.
func (l *Ledger) addCrash(at bootclock.Time, run Run, causes map[Cause]int) (added bool) {
	c := l.crashes[run]
	if c == nil {
		makeRoom(l.crashes)
		c = &crash{at: at, causes: map[Cause]int{}}
		l.crashes[run] = c
	}
	c.at = min(c.at, at)
	for cause, specificity := range causes {
		if before, known := c.causes[cause]; known {
			c.causes[cause] = max(before, specificity)
			continue
		}
		c.causes[cause] = specificity
		added = true
		l.countAgainst(cause, c.at)
	}
	l.changed = l.changed || added
	return added
}

// countAgainst records a crash with a quarantined cause. Only the result of a trial makes
// the quarantine longer: other requests were on their way when it began.
func (l *Ledger) countAgainst(cause Cause, at bootclock.Time) {
	v, ok := l.verdicts[cause]
	if !ok {
		return
	}
	if v.trial {
		v.trial = false
		v.strikes++
	}
	v.at = max(v.at, at)
	v.until = max(v.until, at.Add(term(v.strikes)))
	l.verdicts[cause] = v
}

// makeRoom drops the oldest crash if there are maxCrashes.
func makeRoom(crashes map[Run]*crash) {
	if len(crashes) < maxCrashes {
		return
	}
	var oldest Run
	for run, c := range crashes {
		if crashes[oldest] == nil || c.at.Before(crashes[oldest].at) {
			oldest = run
		}
	}
	delete(crashes, oldest)
}

// RecordSuccess records that an upstream began an answer to a request with the causes at
// the given time and went on with it. It reports whether the leader needs to know.
func (l *Ledger) RecordSuccess(causes []Cause, began bootclock.Time) (wanted bool) {
	for _, cause := range causes {
		before := l.successes.get(cause)
		l.successes.put(cause, began)
		if _, suspect := l.suspects[cause]; suspect && began.Sub(before) > successInterval {
			wanted = true
		}
		wanted = l.release(cause, began) || wanted
	}
	return wanted
}

// Forget drops the verdict on a cause that the leader does not know.
func (l *Ledger) Forget(cause Cause) { delete(l.verdicts, cause) }

// release ends the quarantine of a cause that was successful after the last crash that
// counts against it.
func (l *Ledger) release(cause Cause, at bootclock.Time) bool {
	v, ok := l.verdicts[cause]
	if !ok || !at.After(v.at) {
		return false
	}
	delete(l.verdicts, cause)
	l.released[cause] = at
	l.changed = true
	return true
}

// term returns the length of a quarantine.
func term(strikes int) time.Duration {
	return time.Duration(min(float64(firstTerm)*math.Pow(termFactor, float64(strikes-1)), float64(maxTerm)))
}

// NoEvidence reports whether there is nothing to judge and no verdict.
func (l *Ledger) NoEvidence() bool { return len(l.crashes) == 0 && len(l.verdicts) == 0 }

// prune drops old evidence.
func (l *Ledger) prune(now bootclock.Time) {
	old := now.Add(-evidenceLife)
	maps.DeleteFunc(l.crashes, func(_ Run, c *crash) bool { return c.at.Before(old) })
	for _, times := range []map[Cause]bootclock.Time{l.suspects, l.released} {
		maps.DeleteFunc(times, func(_ Cause, at bootclock.Time) bool { return at.Before(old) })
	}
	maps.DeleteFunc(l.verdicts, func(_ Cause, v verdict) bool { return now.Sub(v.until) > 2*maxTerm })
}

// Blocked returns the quarantined cause of a request that has to wait longest, and the
// time until it may be tried again, 0 if a trial is due. blocked is false if there is none.
func (l *Ledger) Blocked(now bootclock.Time, causes []Cause) (cause Cause, wait time.Duration, blocked bool) {
	for _, c := range causes {
		if v, ok := l.verdicts[c]; ok {
			if left := max(v.until.Sub(now), 0); !blocked || left > wait {
				cause, wait, blocked = c, left, true
			}
		}
	}
	return cause, wait, blocked
}

// MayRepeat reports whether a request may be sent again after the upstream that had it
// crashed: the parts of its prompt are known to be sound, and it has not crashed another
// upstream before.
func (l *Ledger) MayRepeat(now bootclock.Time, causes []Cause) bool {
	for _, cause := range causes {
		if !l.succeeded(now, cause) && (cause.Kind == PromptPart || l.suspected(cause)) {
			return false
		}
	}
	return true
}

// succeeded reports whether a request with the cause ran lately.
func (l *Ledger) succeeded(now bootclock.Time, cause Cause) bool {
	at := l.successes.get(cause)
	return at != 0 && now.Sub(at) <= evidenceLife
}

// suspected reports whether a cause was present at more than one crash.
func (l *Ledger) suspected(cause Cause) bool {
	if _, ok := l.suspects[cause]; ok {
		return true
	}
	crashes := 0
	for _, c := range l.crashes {
		if _, ok := c.causes[cause]; ok {
			crashes++
		}
	}
	return crashes >= suspectCrashes
}

// Trial is the answer to the question for a trial of a quarantined cause.
type Trial struct {
	// Released is set if the cause is not quarantined any longer.
	Released bool `cbor:"1,keyasint,omitempty"`
	Granted  bool `cbor:"2,keyasint,omitempty"`
	// Wait is the time until the next trial is allowed.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

// TakeTrial grants one request with a quarantined cause to be sent if a trial is due. Only
// the leader grants trials, so that one request at a time is at risk. A trial without a
// result is not followed by another one before the term has passed again.
func (l *Ledger) TakeTrial(now bootclock.Time, cause Cause) Trial {
	v, ok := l.verdicts[cause]
	if !ok {
		return Trial{Released: true}
	}
	if now.Before(v.until) {
		return Trial{Wait: v.until.Sub(now)}
	}
	v.trial, v.until = true, now.Add(term(v.strikes))
	l.verdicts[cause] = v
	return Trial{Granted: true, Wait: term(v.strikes)}
}
