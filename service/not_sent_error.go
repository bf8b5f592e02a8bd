package service

import "fmt"

// NotSentError means that no byte of the call was sent.
type NotSentError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
