package placement

// result says what became of an order.
type result string

const (
	resultNotSent  result = "not-sent"
	resultAccepted result = "accepted"
	// resultFailed means that the order was rejected, or that nothing is known about its effect.
	resultFailed result = "failed"
)
