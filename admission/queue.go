package admission

import (
	"container/heap"

	"github.com/poplarwinch/poplarwinch"
)

// queue orders waiters by start-time fair queueing: the requests of a customer are spaced by cost divided by weight in
// virtual time, and the request with the earliest start tag is first.
type queue struct {
	// waiters is a heap by start tag.
	waiters []*waiter
	// virtualTime is the largest start tag of the admitted requests.
	virtualTime float64
	// finishTags holds the finish tag of each customer's latest request.
	finishTags map[poplarwinch.CustomerID]float64
	// sequence is the sequence number of the latest waiter.
	sequence uint64
	// tokens is the number of prompt tokens of all waiters.
	tokens int64
}

// add assigns the start tag of w and adds it. Virtual time restarts when the queue was empty.
func (q *queue) add(w *waiter) {
	if len(q.waiters) == 0 {
		q.virtualTime, q.finishTags = 0, map[poplarwinch.CustomerID]float64{}
	}
	customer := w.request.Prompt.Customer
	w.startTag = max(q.virtualTime, q.finishTags[customer])
	q.finishTags[customer] = w.startTag + float64(w.request.cost())/float64(max(1, w.request.Weight))
	q.sequence++
	w.sequence = q.sequence
	q.tokens += int64(w.request.Prompt.Tokens)
	heap.Push((*waiterHeap)(q), w)
}

// head returns the first waiter, or nil.
func (q *queue) head() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// advance moves the virtual time forward to the start tag of w, which is admitted.
func (q *queue) advance(w *waiter) { q.virtualTime = max(q.virtualTime, w.startTag) }

func (q *queue) remove(w *waiter) {
	q.tokens -= int64(w.request.Prompt.Tokens)
	heap.Remove((*waiterHeap)(q), w.index)
}

// tokensAhead returns the number of prompt tokens of the waiters before w.
func (q *queue) tokensAhead(w *waiter) int64 {
	var tokens int64
	for _, v := range q.waiters {
		if v != w && v.before(w) {
			tokens += int64(v.request.Prompt.Tokens)
		}
	}
	return tokens
}

// last returns the last waiter, or nil.
func (q *queue) last() *waiter {
	var last *waiter
	for _, w := range q.waiters {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}
