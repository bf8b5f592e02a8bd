package roster

import "fmt"

// UnavailableError means that the instance list could not be read.
type UnavailableError struct{ Cause error }

// Error returns the message with the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("instance list could not be read; keep the last one: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
