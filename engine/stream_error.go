package engine

import "fmt"

// StreamError is a failure to open, resume or read a stream.
type StreamError struct {
	Reason  Reason
	Address string
	Stream  StreamID
	// Sent says whether a byte of the request may have reached the engine.
	Sent bool
	// Status is the HTTP status of the response, 0 without one.
	Status int
	// Detail is the engine's message or the offending event id.
	Detail string
	Cause  error
}

// Error describes the failure.
func (e *StreamError) Error() string {
	text := fmt.Sprintf("stream %s on engine %s: %s", e.Stream, e.Address, e.Reason)
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *StreamError) Unwrap() error { return e.Cause }
