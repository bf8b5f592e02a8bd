package quarantine

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// unavailable returns the error for a suspect that may not run because the table is unavailable.
func unavailable(cause error) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second, Cause: cause,
		Message: "the prompt ran on an engine that died and may run again only when no copy of it is running",
		Remedy:  "retry later",
	}
}

// Rejected returns the error for a request that has crashed two engines.
func Rejected() *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindQuarantined, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: quarantinePeriod,
		Message: "this request has crashed two engines", Remedy: "change the request, or ask the operators to look at the engines' logs",
	}
}

// BlockedPart returns the error for a prompt with a part that crashes engines, at a position from 1.
func BlockedPart(position int) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindQuarantined, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: quarantinePeriod,
		Message: fmt.Sprintf("engines crash on prompts with message %d of this one", position),
		Remedy:  "change this message, or ask the operators to look at the engines' logs",
	}
}
