package engine

import "fmt"

// StreamError is the failure to open, resume or read a stream.
type StreamError struct {
	Reason  Reason
	Address string
	Stream  StreamID
	// Sent reports whether any byte of the request may have reached the engine.
	Sent bool
	// Status is the HTTP status of a response that opened no stream, otherwise 0.
	Status int
	// Detail is the engine's message or a description of the failure.
	Detail string
	Cause  error
}

// Error returns the stream, the address, the reason and the details.
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
