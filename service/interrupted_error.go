package service

import "fmt"

// InterruptedError says that no complete answer arrived although bytes of the call may have been sent, so
// the call may have run.
type InterruptedError struct {
	Address string
	// Status is the HTTP status of the response, 0 when its headers did not arrive.
	Status int
	Cause  error
}

// Error describes the failure.
func (e *InterruptedError) Error() string {
	text := fmt.Sprintf("call to %s interrupted after it may have been sent", e.Address)
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *InterruptedError) Unwrap() error { return e.Cause }
