package engine

import (
	"errors"
	"fmt"
)

// ErrStaleOrder means that the engine rejected an order because it had expired or its fencing token was stale.
var ErrStaleOrder = errors.New("order is stale: read the lease and the observed state again")

// ErrUnknown means that the engine has no stream or export with the id.
var ErrUnknown = errors.New("unknown stream or export")

// ErrBeingRead means that a stream was not cancelled because it has a reader.
var ErrBeingRead = errors.New("the stream is being read")

// CallError is the failure of a call other than a stream.
type CallError struct {
	Operation string
	Address   string
	// Status is the HTTP status of the response, or 0 without one.
	Status int
	// Sent reports whether any byte of the request may have reached the engine.
	Sent  bool
	Cause error
}

// Error returns the operation, the address, the status and the cause.
func (e *CallError) Error() string {
	text := fmt.Sprintf("%s on engine %s", e.Operation, e.Address)
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Cause }
