package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Expire removes and returns the entries whose deadline has passed or can no
// longer be met at the current service rate.
func (q *Queue[T]) Expire(now time.Time) []Shed[T] {
	var shed []Shed[T]
	ahead := map[string]int64{} // by class
	for _, item := range q.schedule() {
		start := q.startAfter(now, item, ahead[item.Class])
		if !item.missesDeadline(start) {
			ahead[item.Class] += item.Cost
			continue
		}
		shed = append(shed, q.shedLate(now, item, start))
	}
	return shed
}

// schedule lists the waiting entries in the order in which they would be
// served if none were added.
func (q *Queue[T]) schedule() []*Item[T] {
	type tagged struct {
		item *Item[T]
		tag  float64
	}
	list := make([]tagged, 0, q.length)
	for _, f := range q.active {
		tag := f.start
		for item := f.head; item != nil; item = item.next {
			list = append(list, tagged{item, tag})
			if q.config.Policy == Fair {
				tag += float64(item.Cost) / f.weight
			}
		}
	}
	slices.SortFunc(list, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.item.seq, b.item.seq))
	})
	items := make([]*Item[T], len(list))
	for i := range list {
		items[i] = list[i].item
	}
	return items
}

// estimate returns the expected start of service of a waiting item.
func (q *Queue[T]) estimate(now time.Time, item *Item[T]) time.Time {
	tag := item.flow.start
	for other := item.flow.head; other != item; other = other.next {
		tag += float64(other.Cost) / item.flow.weight
	}
	ahead := int64(0)
	for _, f := range q.active {
		before := f.start
		for other := f.head; other != nil && q.precedes(other, before, item, tag); other = other.next {
			if other.Class == item.Class {
				ahead += other.Cost
			}
			before += float64(other.Cost) / f.weight
		}
	}
	return q.startAfter(now, item, ahead)
}

// precedes reports whether a is served before b by their start tags.
func (q *Queue[T]) precedes(a *Item[T], tagA float64, b *Item[T], tagB float64) bool {
	if q.config.Policy == FIFO || tagA == tagB {
		return a.seq < b.seq
	}
	return tagA < tagB
}

func (q *Queue[T]) startAfter(now time.Time, item *Item[T], ahead int64) time.Time {
	start := now.Add(q.classes[item.Class].wait(now, ahead))
	if start.Before(item.NotBefore) {
		return item.NotBefore
	}
	return start
}

func (e *Entry[T]) missesDeadline(start time.Time) bool {
	return !e.Deadline.IsZero() && start.After(e.Deadline)
}

// shedLate removes an item whose deadline lies before its expected start. RetryAfter
// is the time by which the expected wait exceeds the longest wait that the item
// allowed: a retry with the same limit succeeds once the wait has shrunk by that
// time.
func (q *Queue[T]) shedLate(now time.Time, item *Item[T], start time.Time) Shed[T] {
	reason := verdict.DeadlineTooShort
	if now.After(item.Deadline) {
		reason = verdict.DeadlineExceeded
	}
	maxWait := max(item.Deadline.Sub(item.queued), 0)
	q.remove(item)
	return Shed[T]{Item: item, Reason: reason, RetryAfter: max(start.Sub(now)-maxWait, 0)}
}

// overflowVictim returns the entry to shed if an insertion into f has exceeded a
// bound, or nil.
func (q *Queue[T]) overflowVictim(f *flow[T]) *Item[T] {
	if f.length > q.config.MaxPerWorkspace {
		return f.tail
	}
	if q.length <= q.config.MaxEntries {
		return nil
	}
	if q.config.Policy == FIFO {
		return f.tail
	}
	// The bound limits entries, so shares are compared by entries. The newest entry
	// of the workspace is shed because it has waited least.
	return slices.MaxFunc(q.active, func(a, b *flow[T]) int {
		return cmp.Or(
			cmp.Compare(float64(a.length)/a.weight, float64(b.length)/b.weight),
			cmp.Compare(float64(a.cost)/a.weight, float64(b.cost)/b.weight),
			cmp.Compare(a.tail.seq, b.tail.seq))
	}).tail
}
