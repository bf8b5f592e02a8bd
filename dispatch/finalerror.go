package dispatch

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// retryAfterFailure is the Retry-After hint of a request that no server accepted or that ran out of time.
const retryAfterFailure clock.Millis = 500

// finalError returns the error that is reported to the caller.
func (x *run) finalError(ctx context.Context, err error) error {
	result := outcome(x.possibleRuns > 0, x.Route.MayRepeat())
	var known *poplarwinch.Error
	if errors.As(err, &known) {
		if x.possibleRuns == 0 {
			return known
		}
		// A rejection would state that the request has not run.
		return upstreamFailed(result, err)
	}
	switch {
	case errors.Is(context.Cause(ctx), errShutdown) && x.possibleRuns > 0:
		return upstreamFailed(result, errShutdown)
	case errors.Is(context.Cause(ctx), errShutdown):
		return shuttingDown()
	case errors.Is(err, errCallerWrite), errors.Is(ctx.Err(), context.Canceled):
		return &poplarwinch.Error{
			Kind: poplarwinch.KindCallerGone, Outcome: result, Cause: err,
			Message: "the caller disconnected", Remedy: "send the request again",
		}
	case ctx.Err() != nil:
		return x.deadlineError(result, err)
	case x.possibleRuns > 0:
		return upstreamFailed(result, err)
	}
	if resting := allResting(x.candidates()); resting != nil {
		resting.Cause = err
		return resting
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: result, Cause: err, RetryAfter: retryAfterFailure,
		Message: "no server accepted the request", Remedy: "retry later",
	}
}

// shuttingDown returns the error of a request that was not sent before the process exits.
func shuttingDown() error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: retryAfterShutdown,
		Message: "this instance is shutting down", Remedy: "retry on a new connection",
	}
}

// upstreamFailed returns the error of a request that may have run.
func upstreamFailed(result poplarwinch.Outcome, cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUpstreamFailed, Outcome: result, Cause: cause,
		Message: "no server completed the request", Remedy: "repeat it if it may run twice",
	}
}

// deadlineError returns the error of a request whose deadline has passed: overload if it was never sent.
func (x *run) deadlineError(result poplarwinch.Outcome, cause error) error {
	kind := poplarwinch.KindDeadlineExceeded
	if x.sends == 0 {
		kind = poplarwinch.KindOverloaded
	}
	return &poplarwinch.Error{
		Kind: kind, Outcome: result, Cause: cause, RetryAfter: retryAfterFailure,
		Message: "no complete answer within the time limit", Remedy: "retry with more time",
	}
}
