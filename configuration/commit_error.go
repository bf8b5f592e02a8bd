package configuration

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// retryOrFail returns nil if the commit should be retried, and an error with outcome not run once maxCommitAttempts are
// used up. After an uncertain put it always retries, which is safe since every attempt writes the same version.
func (c *commit) retryOrFail(message string, cause error) error {
	if c.uncertain || c.attempts < maxCommitAttempts {
		return nil
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, Message: message,
		Remedy: "repeat the commit when the platform is available again", RetryAfter: 2 * clock.Second, Cause: cause,
	}
}

// timeoutError returns the error of a commit whose result is not known when its context ends.
func (c *commit) timeoutError(cause error) error {
	if !c.uncertain {
		c.attempts = maxCommitAttempts
		return c.retryOrFail("the commit timed out before the manifest row was written", cause)
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeUnknown,
		Message: "the table did not confirm the commit in time; it may still take effect",
		Remedy:  "repeat the commit with the same commit id to learn its result", RetryAfter: 2 * clock.Second, Cause: cause,
	}
}

// invalidError returns the error of a commit that is rejected before it reaches the table.
func invalidError(message, remedy string, cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun,
		Message: message, Remedy: remedy, Cause: cause,
	}
}

// conflictError returns the error of a commit that can't take effect any more. After an uncertain put its outcome is
// unknown: the put may have been applied before a restore of the table removed it.
func (c *commit) conflictError(message, remedy string) *poplarwinch.Error {
	conflict := &poplarwinch.Error{
		Kind: poplarwinch.KindConflict, Outcome: poplarwinch.OutcomeNotRun, Message: message, Remedy: remedy,
	}
	if c.uncertain {
		conflict.Outcome = poplarwinch.OutcomeUnknown
	}
	return conflict
}
