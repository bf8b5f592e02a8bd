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
	tokens  int64
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
	q.tokens += int64(w.request.Prompt.Tokens)
	heap.Push((*waiterHeap)(q), w)
}

// head returns the next waiter, or nil.
func (q *queue) head() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// advance moves the virtual time on because w is admitted.
func (q *queue) advance(w *waiter) { q.virtual = max(q.virtual, w.start) }

func (q *queue) remove(w *waiter) {
	q.tokens -= int64(w.request.Prompt.Tokens)
	heap.Remove((*waiterHeap)(q), w.index)
}

// ahead returns the prompt tokens of the waiters that start before w.
func (q *queue) ahead(w *waiter) int64 {
	var tokens int64
	for _, v := range q.waiters {
		if v != w && v.before(w) {
			tokens += int64(v.request.Prompt.Tokens)
		}
	}
	return tokens
}

// last returns the waiter that starts last, or nil.
func (q *queue) last() *waiter {
	var last *waiter
	for _, w := range q.waiters {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}
