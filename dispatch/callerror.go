package dispatch

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// Failure classifies a call without a usable response by whether the request may have run.
type Failure string

// The classes of failures.
const (
	// FailureNotSent means that the connection to the server could not be established.
	FailureNotSent Failure = "not-sent"
	// FailureRefused means that the server rejected the request: it did not run it and will not run it later.
	FailureRefused Failure = "refused"
	// FailureReplaced means that another process now listens on the server's address; the request was not run.
	FailureReplaced Failure = "replaced"
	// FailureBroken means that the request may have run, but its response is missing or incomplete.
	FailureBroken Failure = "broken"
	// FailureForeign means that the response belongs to another request; this one may have run.
	FailureForeign Failure = "foreign-answer"
)

// CallError is the error of a failed call.
type CallError struct {
	Failure Failure
	// AtFault is the address of the server that caused the failure if it is not the called one.
	AtFault string
	// Notice is what the rejection says of the server that caused it.
	Notice fleet.Notice
	Cause  error
}

// Error returns the class and the cause of the failure.
func (e *CallError) Error() string { return fmt.Sprintf("call failed (%s): %v", e.Failure, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the server may have run the request.
func (e *CallError) MayHaveRun() bool {
	return e.Failure == FailureBroken || e.Failure == FailureForeign
}

// outcome returns the outcome that is reported to the caller of a failed request.
func outcome(mayHaveRun, mayRepeat bool) poplarwinch.Outcome {
	switch {
	case !mayHaveRun:
		return poplarwinch.OutcomeNotRun
	case mayRepeat:
		return poplarwinch.OutcomeFailed
	}
	return poplarwinch.OutcomeUnknown
}
