package table

import (
	"errors"
	"fmt"
)

// ErrConditionFailed means that the write certainly had no effect, because its condition did not hold.
var ErrConditionFailed = errors.New("the row is not in the required state; read it and decide again")

// UncertainError means that the write may have taken effect, or may still take effect.
type UncertainError struct {
	Key   string
	Cause error
}

// Error returns the cause. It omits the key, which can contain a caller's idempotency key.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("table write has an unknown effect; read the row before a repeat: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// UnavailableError means that a read failed, or that a write certainly had no effect.
type UnavailableError struct {
	Key   string
	Cause error
}

// Error returns the cause. It omits the key, which can contain a caller's idempotency key.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("table call failed without effect; repeat it later: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
