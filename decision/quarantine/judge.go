package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// minCrashes is the number of crashes after which a cause without a known success is
	// quarantined. Two may happen by chance, as requests meet again at the upstream that
	// takes over from a crashed one.
	minCrashes = 3
	// A cause that has been successful needs provenCrashes crashes that are at least
	// provenSpan apart, since many upstreams can crash at once for other reasons.
	provenCrashes = 4
	provenSpan    = 2 * time.Second
	// coincidence is the time within which crashes count as one against a part: a rack or
	// a data centre fails at once, and the first requests with a part come in bursts. One
	// request that has never been successful is at several of its upstreams at once only
	// if it crashes them.
	coincidence = 50 * time.Millisecond
	// suspectCrashes is the number of crashes from which the instances are asked for
	// successes of a cause, and settleTime the time that they get to answer.
	suspectCrashes = 2
	settleTime     = 150 * time.Millisecond
	// maxSuspects bounds the causes that the instances are asked for at once.
	maxSuspects = 128
	// judgeInterval is the time between two judgements without new evidence, which let old
	// evidence end; while a suspect's settleTime passes it is settleInterval. With new
	// evidence it is minJudgeInterval: one crash is reported by many instances.
	judgeInterval    = time.Second
	settleInterval   = 50 * time.Millisecond
	minJudgeInterval = 20 * time.Millisecond
)

// support is the evidence against a cause.
type support struct {
	cause       Cause
	crashes     int // coinciding ones count once against a part
	first       bootclock.Time
	last        bootclock.Time
	specificity int
	// succeeded is set if requests with the cause ran lately, before these crashes.
	succeeded bool
	// in holds the indices of the crashes, in the order of their time.
	in []int
}

// compare orders evidence, the strongest first. Causes that have never been successful go
// first: many requests share the others, so that they are present at most crashes. Of
// causes with the same crashes the more specific one goes first, since fewer sound
// requests share it.
func (s support) compare(o support) int {
	switch {
	case s.succeeded != o.succeeded && s.succeeded:
		return 1
	case s.succeeded != o.succeeded:
		return -1
	}
	return cmp.Or(cmp.Compare(o.crashes, s.crashes), cmp.Compare(o.specificity, s.specificity))
}

// Judge quarantines the causes that explain the crashes, and returns them.
func (l *Ledger) Judge(now bootclock.Time) []Cause {
	interval := judgeInterval
	switch {
	case l.changed:
		interval = minJudgeInterval
	case now.Sub(l.suspectedAt) < settleTime+settleInterval:
		interval = settleInterval
	}
	if now.Sub(l.judgedAt) < interval {
		return nil
	}
	l.changed, l.judgedAt = false, now
	l.prune(now)
	var found []Cause
	for {
		all := l.supports(now)
		l.suspect(now, all)
		guilty := l.strongest(now, all)
		if len(guilty) == 0 {
			return found
		}
		for _, s := range guilty {
			l.verdicts[s.cause] = verdict{strikes: 1, at: s.last, until: max(s.last, now).Add(term(1))}
			delete(l.released, s.cause)
			found = append(found, s.cause)
		}
	}
}

// suspect updates the causes for whose successes the instances are asked.
func (l *Ledger) suspect(now bootclock.Time, all []support) {
	suspects := map[Cause]bootclock.Time{}
	for _, s := range all {
		if s.crashes < suspectCrashes {
			continue
		}
		if len(suspects) >= maxSuspects {
			break
		}
		since, known := l.suspects[s.cause]
		if !known {
			since, l.suspectedAt = now, now
		}
		suspects[s.cause] = since
	}
	l.suspects = suspects
}

// strongest returns the cause with the strongest sufficient evidence. Causes that the
// crashes can't tell apart are left alone until there is one crash more; then all of them
// are returned.
func (l *Ledger) strongest(now bootclock.Time, all []support) []support {
	var guilty []support
	for _, s := range all {
		switch {
		case !l.sufficient(now, s):
		case len(guilty) == 0 || s.compare(guilty[0]) == 0 && slices.Equal(s.in, guilty[0].in):
			guilty = append(guilty, s)
		}
	}
	if len(guilty) > 1 && guilty[0].crashes <= minCrashes {
		return nil
	}
	return guilty[:min(len(guilty), maxVerdicts-len(l.verdicts))]
}

// sufficient reports whether the evidence against a cause is enough to quarantine it.
func (l *Ledger) sufficient(now bootclock.Time, s support) bool {
	since, suspect := l.suspects[s.cause]
	if len(l.verdicts) >= maxVerdicts || !suspect || now.Sub(since) < settleTime {
		return false
	}
	if !s.succeeded {
		return s.crashes >= minCrashes
	}
	return s.crashes >= provenCrashes && s.last.Sub(s.first) >= provenSpan
}

// supports returns the evidence against each cause, the strongest first. Crashes that a
// quarantined cause explains are no evidence against others, nor are those before a
// cause's last success.
func (l *Ledger) supports(now bootclock.Time) []support {
	crashes := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return int(a.at.Sub(b.at)) })
	all := map[Cause]support{}
	for i, c := range crashes {
		if l.explained(c) {
			continue
		}
		for cause, specificity := range c.causes {
			if !c.at.After(l.successes.get(cause)) {
				continue
			}
			s := all[cause]
			if s.crashes == 0 {
				s.cause, s.first, s.succeeded = cause, c.at, l.succeeded(now, cause)
			}
			if s.crashes == 0 || cause.Kind == WholeRequest || c.at.Sub(s.last) > coincidence {
				s.crashes++
				s.last = c.at
			}
			s.specificity = max(s.specificity, specificity)
			s.in = append(s.in, i)
			all[cause] = s
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b support) int { return cmp.Or(a.compare(b), a.cause.compare(b.cause)) })
}

func (l *Ledger) explained(c *crash) bool {
	for cause := range c.causes {
		if _, ok := l.verdicts[cause]; ok {
			return true
		}
	}
	return false
}
