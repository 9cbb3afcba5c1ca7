package origin

import "github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"

// Losses records when streams may have begun at other instances of which the leader has not
// been told, from its links to them. A link that breaks may be the end of its instance.
// Until the same incarnation has answered over a new link which streams it knows, the break
// counts. Losses is not safe for concurrent use.
type Losses struct {
	// at is the time of the last loss that is final: the start of the term, or the end of an
	// instance.
	at bootclock.Time
	// links are the last links of the instances.
	links  map[string]instanceLink
	breaks map[string]linkBreak
	number uint64 // of the last break
}

type instanceLink struct {
	incarnation string
	up          bool
}

// linkBreak is the end of a link to an instance of which it is not known whether it has ended.
type linkBreak struct {
	at     bootclock.Time
	number uint64
}

// NewLosses returns the losses of a term that begins now.
func NewLosses(now bootclock.Time) *Losses {
	return &Losses{at: now, links: map[string]instanceLink{}, breaks: map[string]linkBreak{}}
}

// LinkUp records a new link. An earlier link to the same instance that is not known to have
// broken is replaced by it: messages on it may be lost.
func (l *Losses) LinkUp(now bootclock.Time, instance, incarnation string) {
	before, known := l.links[instance]
	l.links[instance] = instanceLink{incarnation, true}
	if !known {
		return
	}
	b, broken := l.breaks[instance]
	switch {
	case before.incarnation != incarnation && before.up:
		l.at = max(l.at, now)
		delete(l.breaks, instance)
	case before.incarnation != incarnation:
		l.at = max(l.at, b.at)
		delete(l.breaks, instance)
	case !broken:
		l.addBreak(now, instance)
	}
}

// LinkDown records that a link has broken, and whether another one to the instance is up.
func (l *Losses) LinkDown(now bootclock.Time, instance, incarnation string, another bool) {
	if current, known := l.links[instance]; known && current.incarnation != incarnation {
		l.at = max(l.at, now) // a link to an earlier incarnation, which has ended
		return
	}
	l.links[instance] = instanceLink{incarnation, another}
	l.forget(now)
	l.addBreak(now, instance)
}

func (l *Losses) addBreak(now bootclock.Time, instance string) {
	l.number++
	l.breaks[instance] = linkBreak{now, l.number}
}

// forget makes the breaks final whose instances have not been heard of for Keep.
func (l *Losses) forget(now bootclock.Time) {
	for instance, b := range l.breaks {
		if now.Sub(b.at) > Keep {
			l.at = max(l.at, b.at)
			delete(l.breaks, instance)
			delete(l.links, instance)
		}
	}
}

// AnyBreak reports whether a break counts that an answer may settle.
func (l *Losses) AnyBreak() bool { return len(l.breaks) > 0 }

// Unanswered returns the number of the break that counts until the incarnation of an instance
// has answered, and false if there is none.
func (l *Losses) Unanswered(instance, incarnation string) (number uint64, ok bool) {
	b, ok := l.breaks[instance]
	return b.number, ok && l.links[instance].incarnation == incarnation
}

// Answered records that the incarnation of an instance has told all streams that it knows,
// in answer to questions that were asked after the break with the number. A later break
// still counts.
func (l *Losses) Answered(instance, incarnation string, number uint64) {
	if current, ok := l.Unanswered(instance, incarnation); ok && current == number {
		delete(l.breaks, instance)
	}
}

// Last returns the time since which the leader has been told of all streams, but for those
// that are on their way to it.
func (l *Losses) Last() bootclock.Time {
	last := l.at
	for _, b := range l.breaks {
		last = max(last, b.at)
	}
	return last
}
