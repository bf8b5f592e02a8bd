package claim

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

func invalid(cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Param: "Idempotency-Key", Cause: cause,
		Message: "the idempotency key is not valid", Remedy: "send an Idempotency-Key of 1 to 255 bytes",
	}
}

func unavailable(cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second, Cause: cause,
		Message: "the store that records non-repeatable calls is unavailable", Remedy: "repeat the call later with the same key",
	}
}

func conflict() error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindConflict, Outcome: poplarwinch.OutcomeNotRun, Param: "Idempotency-Key",
		Message: "the idempotency key was used for another call", Remedy: "use a new key for each call",
	}
}

func inProgress(wait clock.Millis) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInProgress, Outcome: poplarwinch.OutcomeUnknown, RetryAfter: wait,
		Message: "a call with the same key is still running", Remedy: "repeat the call later with the same key to get its answer",
	}
}

func unknownOutcome() error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUpstreamFailed, Outcome: poplarwinch.OutcomeUnknown,
		Message: "an earlier call with the same key may have run, and its answer was not received",
		Remedy:  "find out from the service whether it ran before a new call with another key",
	}
}

// unreadable returns the error for a call that ran or may have run, and whose record is missing or invalid.
func unreadable(cause error) error {
	e := unknownOutcome().(*poplarwinch.Error)
	e.Cause = cause
	return e
}

func deadlineExceeded() error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindDeadlineExceeded, Outcome: poplarwinch.OutcomeNotRun,
		Message: "the time limit passed before the call was sent", Remedy: "repeat the call with a longer time limit",
	}
}

func unverified(cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInternal, Outcome: poplarwinch.OutcomeNotRun, Cause: cause,
		Message: "the claim of the call could not be verified, so it was not sent", Remedy: "report the request id to the operators",
	}
}
