package dispatch

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch"
)

// Failure says what is known about a call without a usable answer.
type Failure string

// The failures.
const (
	// FailureNotSent means that no connection to the server could be opened.
	FailureNotSent Failure = "not-sent"
	// FailureRefused means that the server did not run the request and never will.
	FailureRefused Failure = "refused"
	// FailureReplaced means that another process has the server's address; the request was not run.
	FailureReplaced Failure = "replaced"
	// FailureBroken means that the request may have run and its answer is lost or not whole.
	FailureBroken Failure = "broken"
	// FailureForeign means that the answer belongs to another request; this one may have run.
	FailureForeign Failure = "foreign-answer"
)

// CallError is the failure of a call.
type CallError struct {
	Failure Failure
	// AtFault is the address of the server that caused the failure when it is another one than the one called.
	AtFault string
	Cause   error
}

// Error describes the failure.
func (e *CallError) Error() string { return fmt.Sprintf("call failed (%s): %v", e.Failure, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the server may have run the request.
func (e *CallError) MayHaveRun() bool {
	return e.Failure == FailureBroken || e.Failure == FailureForeign
}

// outcome returns what callers are told of a request that failed.
func outcome(mayHaveRun, mayRepeat bool) poplarwinch.Outcome {
	switch {
	case !mayHaveRun:
		return poplarwinch.OutcomeNotRun
	case mayRepeat:
		return poplarwinch.OutcomeFailed
	}
	return poplarwinch.OutcomeUnknown
}
