package admission

import (
	"container/heap"

	"github.com/poplarwinch/poplarwinch"
)

// queue orders waiters by start-time fair queueing: each customer's requests are spaced by cost divided by weight in
// virtual time, and the earliest start goes first.
type queue struct {
	waiters []*waiter
	virtual float64
	finish  map[poplarwinch.CustomerID]float64
	order   uint64
	cost    int64
}

func (q *queue) add(w *waiter) {
	if len(q.waiters) == 0 {
		q.virtual, q.finish = 0, map[poplarwinch.CustomerID]float64{}
	}
	customer := w.request.Prompt.Customer
	w.start = max(q.virtual, q.finish[customer])
	q.finish[customer] = w.start + float64(w.request.cost())/float64(max(1, w.request.Weight))
	q.order++
	w.order = q.order
	q.cost += w.request.cost()
	heap.Push((*waiterHeap)(q), w)
}

// head returns the next waiter, or nil.
func (q *queue) head() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// finishHead removes the head because it is admitted and advances the virtual time.
func (q *queue) finishHead() {
	w := q.waiters[0]
	q.virtual = max(q.virtual, w.start)
	q.remove(w)
}

func (q *queue) remove(w *waiter) {
	q.cost -= w.request.cost()
	heap.Remove((*waiterHeap)(q), w.index)
}

// ahead returns the cost of the waiters that start before w.
func (q *queue) ahead(w *waiter) int64 {
	var cost int64
	for _, v := range q.waiters {
		if v != w && (*waiterHeap)(q).before(v, w) {
			cost += v.request.cost()
		}
	}
	return cost
}

// victim returns the waiter to reject in favour of one of the given priority: the latest one of the longest class
// that is longer, or nil.
func (q *queue) victim(priority int) *waiter {
	var found *waiter
	for _, w := range q.waiters {
		p := w.request.Prompt.Class.Priority()
		if p <= priority {
			continue
		}
		if found == nil || p > found.request.Prompt.Class.Priority() ||
			p == found.request.Prompt.Class.Priority() && (*waiterHeap)(q).before(found, w) {
			found = w
		}
	}
	return found
}
