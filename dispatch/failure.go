package dispatch

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// retryAfterFailure is the hint after servers could not be reached or refused the request.
const retryAfterFailure clock.Millis = 500

// failure returns what the caller is told.
func (x *run) failure(ctx context.Context, err error) error {
	result := outcome(x.ran > 0, x.Route.MayRepeat())
	var known *poplarwinch.Error
	if errors.As(err, &known) {
		if x.ran == 0 {
			return known
		}
		// A refusal would claim that the request has not run.
		return upstreamFailed(result, err)
	}
	switch {
	case errors.Is(err, errCaller), errors.Is(ctx.Err(), context.Canceled):
		return &poplarwinch.Error{
			Kind: poplarwinch.KindCallerGone, Outcome: result, Cause: err,
			Message: "the caller disconnected", Remedy: "send the request again",
		}
	case ctx.Err() != nil:
		return x.expired(result, err)
	case x.ran > 0:
		return upstreamFailed(result, err)
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: result, Cause: err, RetryAfter: retryAfterFailure,
		Message: "no server accepted the request", Remedy: "retry later",
	}
}

// upstreamFailed is the failure of a request that may have run.
func upstreamFailed(result poplarwinch.Outcome, cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUpstreamFailed, Outcome: result, Cause: cause,
		Message: "no server completed the request", Remedy: "repeat it if it may run twice",
	}
}

// expired is the failure of a request whose time has run out.
func (x *run) expired(result poplarwinch.Outcome, cause error) error {
	kind := poplarwinch.KindDeadlineExceeded
	if x.sends == 0 {
		kind = poplarwinch.KindOverloaded
	}
	return &poplarwinch.Error{
		Kind: kind, Outcome: result, Cause: cause, RetryAfter: retryAfterFailure,
		Message: "no complete answer in time", Remedy: "retry with more time",
	}
}
