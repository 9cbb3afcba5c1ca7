package fairqueue

import (
	"container/heap"
	"time"
)

// Pop removes and returns the next entry to serve. It skips entries past their
// deadline, which Expire removes.
func (q *Queue[T]) Pop(now time.Time) (*Item[T], bool) {
	return q.PopFunc(now, nil)
}

// PopFunc is Pop restricted to the entries that servable accepts. A workspace without
// such an entry is skipped and gains no credit for later service.
func (q *Queue[T]) PopFunc(now time.Time, servable func(*Item[T]) bool) (*Item[T], bool) {
	var skipped []*flow[T]
	var item *Item[T]
	for item == nil && len(q.active) > 0 {
		f := q.active[0]
		if item = f.firstServable(now, servable); item != nil {
			q.serve(now, f, item)
			break
		}
		heap.Pop(&q.active)
		skipped = append(skipped, f)
	}
	for _, f := range skipped {
		f.start = max(f.start, q.virtual)
		heap.Push(&q.active, f)
	}
	return item, item != nil
}

func (f *flow[T]) firstServable(now time.Time, servable func(*Item[T]) bool) *Item[T] {
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
