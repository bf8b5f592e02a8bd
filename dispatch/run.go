package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

const (
	// retryAfterShutdown is the Retry-After hint of an instance that exits. It is short because a new connection reaches another one.
	retryAfterShutdown clock.Millis = 50
	// retryAfterSuspect is the Retry-After hint for a request rejected because it, or a part of its prompt, crashes servers.
	retryAfterSuspect = 10 * clock.Second
	// eventDelay is the time for which an event may be on its way, and by which reports of crashes from other instances may differ.
	eventDelay clock.Millis = 50
	// maxSends bounds the attempts of a request, including those that servers rejected.
	maxSends = 6
)

// errShutdown is the cancellation cause of requests that are ended because the process exits.
var errShutdown = errors.New("this instance is shutting down")

// errCallerWrite marks the error of a failed write to the caller.
var errCallerWrite = errors.New("the response could not be written to the caller")

// denial is the reason for which a request is not sent to another server.
type denial string

const (
	denialNotRepeatable denial = "not-repeatable"
	denialMaxAttempts   denial = "max-attempts"
	denialNotResumable  denial = "not-resumable"
	denialBudget        denial = "retry-budget"
	denialSuspect       denial = "suspect"
	denialNoServer      denial = "no-server"
)

// run is the state of one running request.
type run struct {
	*Request
	d     *Dispatcher
	reply Reply
	log   log.Interface
	// suspects are the fingerprints that are blamed if a server crashes.
	suspects quarantine.PromptSuspects
	// trial says that the request may run once in spite of a block of its suspects, also if it waits for a server before.
	trial bool
	// excluded are the servers on which an attempt of this request failed.
	excluded map[serverStart]bool
	// possibleRuns is the number of attempts in which a server may have run the request.
	possibleRuns int
	// unconfirmedCrashes is the number of attempts that broke off and of which it isn't known yet whether their servers crashed; nil if none
	// broke off.
	unconfirmedCrashes *atomic.Int64
	// sends is the number of attempts.
	sends int
	// begun is set when the status and headers were sent to the caller.
	begun bool
	// eventStream is set if these were those of an event stream.
	eventStream bool
	splitter    splitter
	// firstEvent is the time from arrival to the first event; zero if there was none.
	firstEvent clock.Millis
	// last is the server of the latest attempt.
	last fleet.Server
	// successor has the servers that were prepared to take over from the latest attempt, or is nil.
	successor *selection
	// firstEventFactor is the correction of the predicted time to the first event; zero means none.
	firstEventFactor float64
	// predicted and actual are the predicted and the actual time of the latest complete attempt: to the answer of a plain service, or to
	// the first event. They are zero if unknown.
	predicted, actual clock.Millis
	// waited is the total time spent selecting servers, including waits for capacity.
	waited clock.Millis
}

func newRun(d *Dispatcher, r *Request, reply Reply) *run {
	x := &run{
		Request: r, d: d, reply: reply, excluded: map[serverStart]bool{},
		suspects: quarantine.NewPromptSuspects(r.Fingerprint, r.SharedParts),
		log:      d.log.WithFields(log.Fields{"request-id": r.ID, "route": r.Route.Name, "customer": r.Customer}),
	}
	if n := r.UnidentifiedParts; n > 0 {
		d.metrics.partsUnidentified(x.Service, n)
		x.log.WithField("parts", len(r.SharedParts)+n).WithField("unidentified", n).Warn("prompt has too many parts; a crash can't be attributed to the last ones")
	}
	return x
}

// run makes attempts until one succeeds or no further one is allowed.
func (x *run) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, (x.Deadline - x.d.clock.Now()).Duration())
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(x.d.ending, func() { end(errShutdown) })()
	defer x.discardSuccessor()
	for {
		err := x.attempt(ctx)
		if err == nil {
			return nil
		}
		if !x.shouldRetry(ctx, err) {
			return x.finalError(ctx, err)
		}
	}
}

// blocked returns the error for a request that is rejected because it, or a part of its prompt, crashes servers, and nil for others.
func (x *run) blocked() error {
	if x.trial && x.possibleRuns == 0 {
		return nil
	}
	ruling := x.d.suspects.Rule(x.suspects)
	if x.trial = ruling.Trial; !ruling.Blocked {
		return nil
	}
	message, remedy := "servers crashed while running this request", "change the request"
	if ruling.Part > 0 {
		message = fmt.Sprintf("servers crash on prompts with part %s", x.SharedParts[ruling.Part-1])
		remedy = "change this part of the prompt"
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: retryAfterSuspect, Message: message, Remedy: remedy,
	}
}

// shouldRetry reports whether the request is sent to another server after err. A retry takes from the retry budget unless
// the request could not be sent.
func (x *run) shouldRetry(ctx context.Context, err error) bool {
	var failed *CallError
	if ctx.Err() != nil || errors.Is(err, errCallerWrite) || !errors.As(err, &failed) || x.sends >= maxSends {
		return false
	}
	denied := x.denyRetry(failed)
	x.log.WithFields(log.Fields{
		"upstream": x.last.ID, "attempt": x.sends, "ran": x.possibleRuns, "again": denied == "", "denied": denied,
		"silent": errors.Is(failed, errSilentServer), "last-event": x.splitter.last, "servers": x.usableServers(),
	}).WithError(err).Warn("attempt failed")
	return denied == ""
}

// denyRetry returns the reason against another attempt, or an empty one. It takes a retry from the budget if it finds none, unless that
// was done with the choice of a successor.
func (x *run) denyRetry(failed *CallError) denial {
	switch {
	case failed.Failure == FailureNotSent:
		return ""
	case failed.MayHaveRun() && !x.Route.MayRepeat():
		return denialNotRepeatable
	case failed.MayHaveRun() && x.possibleRuns >= max(x.Route.MaxAttempts, 1):
		return denialMaxAttempts
	case failed.MayHaveRun() && !x.resumable():
		return denialNotResumable
	case x.successor != nil:
		return ""
	case failed.MayHaveRun() && (x.d.suspects.IsSuspect(x.suspects) || x.mayBeBlocked(0)):
		return denialSuspect
	case !x.d.budget(x.Service).Take():
		return denialBudget
	}
	return ""
}

// mayBeBlocked reports whether the request is blocked once the crashes of its attempts so far are confirmed, and as many further ones.
func (x *run) mayBeBlocked(further int) bool {
	if x.unconfirmedCrashes != nil {
		further += int(x.unconfirmedCrashes.Load())
	}
	return x.d.suspects.IsBlockedAfter(x.Fingerprint, further)
}

// usableServers returns the number of servers that are not to be avoided.
func (x *run) usableServers() int {
	count := 0
	for _, c := range x.candidates() {
		if !c.Avoid {
			count++
		}
	}
	return count
}

// resumable reports whether another server can continue the response: nothing was sent to the caller yet, or the stream can
// be resumed after the last event.
func (x *run) resumable() bool {
	return !x.begun || x.Route.Resumable && x.splitter.last != ""
}

// recordCrash records a crash during the request once it is known that the server of a broken attempt has crashed.
func (x *run) recordCrash(selected *selection) {
	brokeAt := x.d.clock.Now()
	if x.unconfirmedCrashes == nil {
		x.unconfirmedCrashes = &atomic.Int64{}
	}
	x.unconfirmedCrashes.Add(1)
	x.d.outages.add(selected.first, &brokenAttempt{
		log: x.log, service: x.Service, suspects: x.suspects, parts: x.SharedParts, unconfirmed: x.unconfirmedCrashes,
		sentAt: selected.sentAt, aliveAt: selected.aliveAt(), brokeAt: brokeAt, answered: selected.answeredFor(brokeAt),
	})
}

// record logs the end of the request and updates the metrics.
func (x *run) record(err error) {
	total := x.d.clock.Now() - x.Started
	fields := log.Fields{
		"upstream": x.last.ID, "attempts": x.sends, "ran": x.possibleRuns, "first-event-ms": x.firstEvent, "total-ms": total,
		"waited-ms": x.waited, "tokens": x.PromptTokens, "predicted-ms": x.predicted, "actual-ms": x.actual,
	}
	result := "completed"
	if err != nil {
		problem := poplarwinch.AsError(err, poplarwinch.OutcomeUnknown)
		result = string(problem.Kind)
		fields["kind"], fields["outcome"], fields["error"] = problem.Kind, problem.Outcome, problem.Error()
		fields["retry-after-ms"] = problem.RetryAfter
	}
	fields["result"] = result
	x.log.WithFields(fields).Info("request ended")
	x.d.metrics.requestEnded(x.Service, result, x.firstEvent, total)
	x.d.metrics.predictionEnded(x.Service, x.predicted, x.actual)
}
