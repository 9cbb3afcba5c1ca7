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
	// A cause that has been successful, but was present at crashes that others may explain,
	// needs more of both: requests with the others share it, whether it crashes upstreams or
	// not.
	contestedCrashes = 5
	contestedSpan    = 4 * time.Second
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
	// replaces holds the quarantined causes whose crashes this cause explains better.
	replaces []Cause
	// contested is set if other causes, which have never been successful, were present at
	// all of these crashes, each at more than one.
	contested bool
}

// compare orders evidence, the strongest first. Causes that have never been successful go
// first: many requests share the others, so that they are present at most crashes. Of
// causes with the same crashes the more specific one goes first, since fewer sound
// requests share it. That choice has been wrong where quarantined causes are replaced, so
// that of those without a success the less specific one goes first there: to keep it from
// upstreams covers the other as well.
func (s support) compare(o support) int {
	switch {
	case s.succeeded != o.succeeded && s.succeeded:
		return 1
	case s.succeeded != o.succeeded:
		return -1
	case !s.succeeded && s.crashes == o.crashes && len(s.replaces) > 0 && len(o.replaces) > 0:
		return cmp.Compare(s.specificity, o.specificity)
	}
	return cmp.Or(cmp.Compare(o.crashes, s.crashes), cmp.Compare(o.specificity, s.specificity))
}

// Judge quarantines the causes that explain the crashes, and returns them.
func (l *Ledger) Judge(now bootclock.Time) []Cause {
	interval := judgeInterval
	switch {
	case l.changed:
		interval = minJudgeInterval
	case l.judgedAt.Sub(max(l.suspectedAt, l.changedAt)) < settleTime:
		interval = settleInterval // the evidence has not been judged since it settled
	}
	if now.Sub(l.judgedAt) < interval {
		return nil
	}
	if l.changed {
		l.changed, l.changedAt = false, now
	}
	l.judgedAt = now
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
			l.quarantine(now, s)
			found = append(found, s.cause)
		}
	}
}

// quarantine begins the quarantine of a cause and ends that of the causes which it
// replaces.
func (l *Ledger) quarantine(now bootclock.Time, s support) {
	at := s.last
	if _, known := l.released[s.cause]; known {
		at = now // other instances ignore a verdict that is older than the release
	}
	l.verdicts[s.cause] = verdict{strikes: 1, at: at, until: max(s.last, now).Add(term(1))}
	delete(l.released, s.cause)
	for _, cause := range s.replaces {
		// No sound request shares a whole request, and a failed trial is evidence of its own.
		if cause.Kind == PromptPart && l.verdicts[cause].strikes == 1 {
			delete(l.verdicts, cause)
			l.released[cause] = now
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
	switch span := s.last.Sub(s.first); {
	case !s.succeeded:
		return s.crashes >= minCrashes
	case now.Sub(s.last) < settleTime:
		return false // others that had requests at the crashed upstream have yet to report
	case s.contested || len(s.replaces) > 0:
		return s.crashes >= contestedCrashes && span >= contestedSpan
	default:
		return s.crashes >= provenCrashes && span >= provenSpan
	}
}

// supports returns the evidence against each cause, the strongest first. Crashes before a
// cause's last success are no evidence against it, nor are those that a quarantined cause
// explains, unless this one replaces it.
func (l *Ledger) supports(now bootclock.Time) []support {
	crashes := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return int(a.at.Sub(b.at)) })
	all := map[Cause]*support{}
	for i, c := range crashes {
		for cause, specificity := range c.causes {
			if !c.at.After(l.successes.get(cause)) {
				continue
			}
			s := all[cause]
			if s == nil {
				s = &support{cause: cause, succeeded: l.succeeded(now, cause)}
				all[cause] = s
			}
			s.specificity = max(s.specificity, specificity)
			s.in = append(s.in, i)
		}
	}
	for cause, s := range all {
		if cause.Kind == PromptPart { // nothing is more specific than a whole request
			s.replaces = l.replaced(s, crashes, all)
		}
	}
	var list []support
	for cause, s := range all {
		if _, quarantined := l.verdicts[cause]; quarantined {
			continue
		}
		s.in = slices.DeleteFunc(s.in, func(i int) bool { return l.explained(crashes[i], s.replaces) })
		if len(s.in) > 0 {
			s.count(crashes)
			list = append(list, *s)
		}
	}
	contest(list)
	slices.SortFunc(list, func(a, b support) int { return cmp.Or(a.compare(b), a.cause.compare(b.cause)) })
	return list
}

// contest finds the contested causes among those that have been successful.
func contest(list []support) {
	explained := map[int]bool{}
	for _, s := range list {
		if !s.succeeded && s.crashes >= suspectCrashes {
			for _, i := range s.in {
				explained[i] = true
			}
		}
	}
	for k := range list {
		list[k].contested = !slices.ContainsFunc(list[k].in, func(i int) bool { return !explained[i] })
	}
}

// count counts the crashes of the evidence.
func (s *support) count(crashes []*crash) {
	s.first = crashes[s.in[0]].at
	for _, i := range s.in {
		if at := crashes[i].at; s.crashes == 0 || s.cause.Kind == WholeRequest || at.Sub(s.last) > coincidence {
			s.crashes++
			s.last = at
		}
	}
}

// replaced returns the quarantined causes that a cause replaces: it was present at enough
// of their crashes to be quarantined for them, and at more crashes than they. Requests
// with a part that crashes upstreams can come in groups with another part each; the part
// of a group is quarantined first, being more specific, and would otherwise explain the
// crashes of its group for good. A crash that no quarantined cause explains shows that
// the causes in quarantine are not all there is; for a cause that has been successful, and
// so was shared by sound requests, a second group does.
func (l *Ledger) replaced(s *support, crashes []*crash, all map[Cause]*support) []Cause {
	shared, unexplained := map[Cause]int{}, false
	for _, i := range s.in {
		explained := false
		for cause := range crashes[i].causes {
			if _, ok := l.verdicts[cause]; ok {
				shared[cause]++
				explained = true
			}
		}
		unexplained = unexplained || !explained
	}
	var replaced []Cause
	for cause, n := range shared {
		v := all[cause]
		if v == nil || len(s.in) <= len(v.in) {
			continue
		}
		// An instance that restarts forgets the crashes that it alone has observed.
		if n >= minCrashes || n == len(v.in) && l.verdicts[cause].strikes == 1 {
			replaced = append(replaced, cause)
		}
	}
	if !unexplained && !(s.succeeded && len(replaced) > 1) {
		return nil
	}
	return replaced
}

// explained reports whether a quarantined cause other than the given ones was present at a
// crash.
func (l *Ledger) explained(c *crash, except []Cause) bool {
	for cause := range c.causes {
		if _, ok := l.verdicts[cause]; ok && !slices.Contains(except, cause) {
			return true
		}
	}
	return false
}
