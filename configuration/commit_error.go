package configuration

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// again returns nil if the commit should be tried again, which is safe since each attempt writes the same version.
func (c *commit) again(message string, cause error) error {
	if c.uncertain || c.tries < commitAttempts {
		return nil
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, Message: message,
		Remedy: "repeat the commit when the platform is available again", RetryAfter: 2 * clock.Second, Cause: cause,
	}
}

// undecided returns the error of a commit whose result could not be found out.
func (c *commit) undecided(cause error) error {
	if !c.uncertain {
		c.tries = commitAttempts
		return c.again("the commit took too long", cause)
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeUnknown,
		Message: "the table did not confirm the commit, which may still take effect",
		Remedy:  "repeat the commit with the same commit id to learn its result", RetryAfter: 2 * clock.Second, Cause: cause,
	}
}

func invalid(message, remedy string, cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun,
		Message: message, Remedy: remedy, Cause: cause,
	}
}

// conflict returns the error of a commit that can't take effect any more. It may have: a put without an answer may have
// been written before a restore of the table removed it.
func (c *commit) conflict(message, remedy string) *poplarwinch.Error {
	e := &poplarwinch.Error{
		Kind: poplarwinch.KindConflict, Outcome: poplarwinch.OutcomeNotRun, Message: message, Remedy: remedy,
	}
	if c.uncertain {
		e.Outcome = poplarwinch.OutcomeUnknown
	}
	return e
}
