package engine

import (
	"errors"
	"fmt"
)

// ErrStaleOrder says that the engine rejected an order as expired or its fencing number as stale.
var ErrStaleOrder = errors.New("order is stale: read the lease and the observed state again")

// ErrUnknown says that the engine knows no stream or export of that id.
var ErrUnknown = errors.New("unknown id")

// ErrBeingRead says that a stream was not cancelled because somebody reads it.
var ErrBeingRead = errors.New("the stream is being read")

// CallError is a failure of a call other than a stream.
type CallError struct {
	Operation string
	Address   string
	// Status is the HTTP status of the response, 0 without one.
	Status int
	// Sent says whether a byte of the request may have reached the engine.
	Sent  bool
	Cause error
}

// Error describes the failure.
func (e *CallError) Error() string {
	text := fmt.Sprintf("%s on engine %s", e.Operation, e.Address)
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Cause }
