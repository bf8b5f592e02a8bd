package admission

// waiterHeap implements heap.Interface for the waiters of a queue.
type waiterHeap queue

// Len returns the number of waiters.
func (h *waiterHeap) Len() int { return len(h.waiters) }

// Less reports whether waiter i is ordered before waiter j.
func (h *waiterHeap) Less(i, j int) bool { return h.waiters[i].before(h.waiters[j]) }

// Swap exchanges two waiters.
func (h *waiterHeap) Swap(i, j int) {
	h.waiters[i], h.waiters[j] = h.waiters[j], h.waiters[i]
	h.waiters[i].index, h.waiters[j].index = i, j
}

// Push appends a *waiter.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(h.waiters)
	h.waiters = append(h.waiters, w)
}

// Pop removes the last waiter.
func (h *waiterHeap) Pop() any {
	last := len(h.waiters) - 1
	w := h.waiters[last]
	h.waiters[last] = nil
	h.waiters = h.waiters[:last]
	return w
}
