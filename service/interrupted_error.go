package service

import "fmt"

// InterruptedError means that no complete response arrived and the call may have been sent, so it may have run.
type InterruptedError struct {
	Address string
	// Status is the HTTP status of the response, or 0 if its headers did not arrive.
	Status int
	Cause  error
}

// Error returns the address, the status, if any, and the cause.
func (e *InterruptedError) Error() string {
	text := fmt.Sprintf("call to %s interrupted after it may have been sent", e.Address)
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }
