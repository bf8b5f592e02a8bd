package service

import "fmt"

// NotSentError says that no byte of the call was sent.
type NotSentError struct {
	Address string
	Cause   error
}

// Error describes the failure.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Cause }
