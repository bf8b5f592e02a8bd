package table

import (
	"errors"
	"fmt"
)

// ErrConditionFailed means that the write had no effect, because its condition did not hold.
var ErrConditionFailed = errors.New("the condition of the table write does not hold; read the row and decide again")

// UncertainError means that a write may have taken effect or may still take effect.
type UncertainError struct {
	Key   string
	Cause error
}

// Error returns the message with the cause. It omits the key, which can contain a caller's idempotency key.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("table write may have taken effect; read the row before a retry: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// UnavailableError means that a read failed, or that a write failed and had no effect.
type UnavailableError struct {
	Key   string
	Cause error
}

// Error returns the message with the cause. It omits the key, which can contain a caller's idempotency key.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("table call failed and had no effect; retry it later: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
