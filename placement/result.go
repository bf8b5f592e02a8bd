package placement

// orderResult is the result of sending an order.
type orderResult string

const (
	resultNotSent  orderResult = "not-sent"
	resultAccepted orderResult = "accepted"
	// resultFailed means that the order was rejected or that its effect is unknown.
	resultFailed orderResult = "failed"
)
