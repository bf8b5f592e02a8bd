package admission

// waiter is a queued request.
type waiter struct {
	request *Request
	// start is the virtual time at which the request's customer is due.
	start float64
	order uint64
	index int
	// wake receives a value when the waiter should look at the queue again.
	wake chan struct{}
	// done and err are set under the queue's lock when the request leaves the queue.
	done bool
	err  error
}

func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// before reports whether w is due before other.
func (w *waiter) before(other *waiter) bool {
	return w.start < other.start || w.start == other.start && w.order < other.order
}
