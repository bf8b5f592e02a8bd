package admission

// waiter is a queued request.
type waiter struct {
	request *Request
	// startTag is the start tag of the request in virtual time.
	startTag float64
	// sequence breaks ties between equal start tags.
	sequence uint64
	// index is the position in the heap.
	index int
	// wake receives a value when the waiter must check the queue again.
	wake chan struct{}
	// done is set under the controller's lock when the request leaves the queue.
	done bool
	// err is the result of the request, set together with done.
	err error
}

// signal wakes the waiter without blocking.
func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// before reports whether w is ordered before other.
func (w *waiter) before(other *waiter) bool {
	return w.startTag < other.startTag || w.startTag == other.startTag && w.sequence < other.sequence
}
