package fairqueue

import (
	"container/heap"
	"time"
)

// Pop removes and returns the entry that is to be served next. An entry past
// its deadline is left to Expire.
func (q *Queue[T]) Pop(now time.Time) (*Item[T], bool) {
	return q.PopFunc(now, nil)
}

// PopFunc is Pop among the entries that servable accepts. A workspace with no
// such entry is passed over and gains no claim to later service by that.
func (q *Queue[T]) PopFunc(now time.Time, servable func(*Item[T]) bool) (*Item[T], bool) {
	var passed []*flow[T]
	var item *Item[T]
	for item == nil && len(q.active) > 0 {
		f := q.active[0]
		if item = f.first(now, servable); item != nil {
			q.serve(now, f, item)
			break
		}
		heap.Pop(&q.active)
		passed = append(passed, f)
	}
	for _, f := range passed {
		f.start = max(f.start, q.virtual)
		heap.Push(&q.active, f)
	}
	return item, item != nil
}

func (f *flow[T]) first(now time.Time, servable func(*Item[T]) bool) *Item[T] {
	for item := f.head; item != nil; item = item.next {
		if late := !item.Deadline.IsZero() && now.After(item.Deadline); late {
			continue
		}
		if servable == nil || servable(item) {
			return item
		}
	}
	return nil
}

// serve charges the workspace and removes the item.
func (q *Queue[T]) serve(now time.Time, f *flow[T], item *Item[T]) {
	if q.config.Policy == Fair {
		q.virtual = max(q.virtual, f.start)
		f.start += float64(item.Cost) / f.weight
	}
	q.classes[item.Class].served(now, item.queued, item.Cost)
	q.remove(item)
}
