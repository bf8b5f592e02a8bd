package admission

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// overQuota returns the error of a request that exceeds a limit of its customer.
func overQuota(r *Request) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindOverQuota, Outcome: poplarwinch.OutcomeNotRun,
		Message: fmt.Sprintf("customer %s has reached its limit of %d requests or %d tokens in flight", r.Prompt.Customer, r.MaxRequests, r.MaxTokens),
		Remedy:  "wait for running requests to end, or ask the operators for a higher limit", RetryAfter: minRetryAfter,
	}
}

// overloaded returns the error of a request that is rejected because of its predicted time to first token or a full queue.
func overloaded(predicted, retryAfter clock.Millis) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun,
		Message:    fmt.Sprintf("the predicted time to first token of %d ms exceeds the time limit or the queue is full", predicted),
		Remedy:     "repeat the request after the time in Retry-After, or with a longer Request-Timeout-Ms",
		RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter),
	}
}

// contextError returns the error of a request whose context ended before admission.
func contextError(cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindDeadlineExceeded, Outcome: poplarwinch.OutcomeNotRun, Cause: cause,
		Message: "the request ended before it was admitted",
		Remedy:  "repeat the request with a longer Request-Timeout-Ms",
	}
}
