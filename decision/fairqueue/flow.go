package fairqueue

import "container/heap"

// flow is the list of waiting entries of one workspace. Only its head has a start
// tag: tags of later entries are computed from the costs before them, so that a
// cancelled or shed entry is never charged.
type flow[T any] struct {
	name       string
	weight     float64
	start      float64 // start tag of the head; the finish tag of the last served entry when empty
	head, tail *Item[T]
	length     int
	cost       int64
	index      int // in the heap, -1 if the flow is empty
}

// flowHeap orders the non-empty flows by start tag, then by arrival of the head.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].head.seq < h[j].head.seq
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// minFlowsToPrune is the number of flows below which empty flows are not pruned,
// which avoids the scan in small queues.
const minFlowsToPrune = 64

func (q *Queue[T]) flow(workspace string) *flow[T] {
	if f, ok := q.flows[workspace]; ok {
		return f
	}
	if len(q.flows) >= minFlowsToPrune && len(q.flows) > 2*len(q.active) {
		q.prune()
	}
	f := &flow[T]{name: workspace, weight: 1, index: -1}
	q.flows[workspace] = f
	return f
}

// prune deletes empty flows whose start tag is not ahead of the virtual time. Such
// flows have no excess service to account for.
func (q *Queue[T]) prune() {
	for name, f := range q.flows {
		if f.length == 0 && f.start <= q.virtual {
			delete(q.flows, name)
		}
	}
}

func (q *Queue[T]) insert(f *flow[T], item *Item[T]) {
	item.flow, item.prev = f, f.tail
	if f.tail == nil {
		f.head = item
	} else {
		f.tail.next = item
	}
	f.tail = item
	f.length++
	f.cost += item.Cost
	q.length++
	q.cost += item.Cost
	if f.index < 0 {
		f.start = max(f.start, q.virtual)
		heap.Push(&q.active, f)
	}
}

// remove unlinks an item without charging its workspace.
func (q *Queue[T]) remove(item *Item[T]) {
	f := item.flow
	if item.prev == nil {
		f.head = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		f.tail = item.prev
	} else {
		item.next.prev = item.prev
	}
	item.flow, item.prev, item.next = nil, nil, nil
	f.length--
	f.cost -= item.Cost
	q.length--
	q.cost -= item.Cost
	q.classes[item.Class].waiting--
	if f.length == 0 {
		heap.Remove(&q.active, f.index)
	} else {
		heap.Fix(&q.active, f.index)
	}
	q.resetIfEmpty()
}

// resetIfEmpty ends a busy period: once the queue is empty, past service no longer
// affects the order of workspaces.
func (q *Queue[T]) resetIfEmpty() {
	if q.length == 0 {
		q.virtual = 0
		clear(q.flows)
	}
}
