package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// readBufferBytes is the size of the read buffer of a streamed response.
	readBufferBytes = 16 << 10
	// attemptTimeout is the time after which a repeatable request without a complete response is retried on another server.
	attemptTimeout clock.Millis = 700
	// firstEventFactor is the multiple of the predicted time to the first event after which a stream is retried.
	firstEventFactor = 3
	// firstEventMargin is added to the predicted time multiplied by firstEventFactor.
	firstEventMargin clock.Millis = 1500
	// minCallerTimeout is the least time for which callers are assumed to wait for the next event of a stream.
	minCallerTimeout clock.Millis = 2000
	// callerTimeoutPerTarget is the multiple of the route's target for which callers wait.
	callerTimeoutPerTarget = 4
	// callerTimeoutPerPause is the multiple of the route's longest pause between events for which callers wait.
	callerTimeoutPerPause = 8
	// extendedCallerTimeoutFraction is the fraction of the caller's timeout up to which an attempt waits for its first event while its
	// engines have other prompts in prefill. The rest is enough for another attempt.
	extendedCallerTimeoutFraction = 0.5
	// extensionInterval is the time between two looks at the engines of such an attempt.
	extensionInterval clock.Millis = 250
	// callerTimeoutFraction is the fraction of the caller's timeout after which a silent stream is resumed on another server.
	callerTimeoutFraction = 0.6
)

// errSilentServer is the cancellation cause of a call whose server sent nothing within the limit.
var errSilentServer = errors.New("the server sent nothing within the time limit")

// attempt selects a server and sends the request to it.
func (x *run) attempt(ctx context.Context) error {
	selected, err := x.pickAvailable(ctx)
	if err != nil {
		return err
	}
	defer selected.release(x.d)
	x.sends++
	x.last = selected.first
	selected.sentAt, selected.resumed = x.d.clock.Now(), x.resumeFrom() != ""
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := x.watch(selected, cancel)
	defer w.reset(0)
	defer x.watchUsage(ctx, selected, cancel)()
	answer, err := x.d.send(ctx, &Call{
		Request: x.Request, Server: selected.first, Helpers: selected.helpers, ResumeAfter: x.resumeFrom(),
		TimeLeft: (x.Deadline - x.d.clock.Now()).Duration(),
	})
	x.observeNotice(answer, err, selected)
	if err == nil {
		err = x.relay(answer, selected, w)
	}
	x.successor = w.stop()
	return x.finishAttempt(ctx, selected, err)
}

// watch starts the watchdog of an attempt.
func (x *run) watch(selected *selection, cancel context.CancelCauseFunc) *watchdog {
	s := &silence{x: x, selected: selected, extension: x.firstEventExtension(selected)}
	w := &watchdog{decide: s.decide, discard: func(s *selection) { s.release(x.d) }, cancel: cancel}
	w.reset(x.firstEventTimeout(selected))
	return w
}

// resumeFrom returns the id of the last event that the caller has received.
func (x *run) resumeFrom() string {
	if x.splitter.last != "" {
		return x.splitter.last
	}
	return x.LastEventID
}

// firstEventTimeout returns the limit for the time to the first event of a stream, or to the end of another response. It is
// zero if only the deadline applies.
func (x *run) firstEventTimeout(selected *selection) clock.Millis {
	switch {
	case !x.Route.MayRepeat() || x.possibleRuns+1 >= x.Route.MaxAttempts:
		return 0
	case x.Route.Kind == route.KindStreaming:
		return firstEventFactor*selected.plan.FirstEvent + firstEventMargin
	}
	return attemptTimeout
}

// firstEventExtension returns a function that extends the limit for the first event while other prompts are in prefill on the
// attempt's engines, up to a fraction of the caller's timeout: engines prefill the newest first, so that the prompt may be delayed by
// those that came after it.
func (x *run) firstEventExtension(selected *selection) func() clock.Millis {
	last := x.d.clock.Now() + clock.Millis(extendedCallerTimeoutFraction*float64(x.callerTimeout()))
	engines := selected.engines()
	return func() clock.Millis {
		left := last - x.d.clock.Now()
		if left <= 0 || selected.ticket.Prefilled() || !x.d.fleet.HasSeveralPrefills(engines) {
			return 0
		}
		return min(left, extensionInterval)
	}
}

// finishAttempt records the result of the attempt for its server and returns err.
func (x *run) finishAttempt(ctx context.Context, selected *selection, err error) error {
	var failed *CallError
	switch {
	case err == nil:
		x.d.fleet.Succeeded(selected.first)
		x.learnEngine(selected)
		x.recordAnswer(selected)
		x.d.metrics.attemptEnded(x.Service, "completed")
		return nil
	case !errors.As(err, &failed):
		return err
	}
	x.d.metrics.attemptEnded(x.Service, string(failed.Failure))
	silent := endedForSilence(ctx)
	if failed.MayHaveRun() {
		x.possibleRuns++
	}
	if ctx.Err() != nil && !silent {
		return err
	}
	x.recordFailure(selected, failed)
	return err
}

// endedForSilence reports whether the call was canceled because its server did not begin or continue the response in time.
func endedForSilence(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errSilentServer) || errors.Is(cause, errReservationUnused)
}

// recordFailure excludes the server at fault from further attempts of the request and reports the failure to the fleet. A
// failed helper and a server that broke off are probed as well.
func (x *run) recordFailure(selected *selection, failed *CallError) {
	for _, h := range selected.helpers {
		if h.Address == failed.AtFault {
			x.excluded[startOf(&h.Server)] = true
			x.d.fleet.Failed(h.Server)
			x.d.startProbe(h.Server, func(bool) {})
			return
		}
	}
	x.excluded[startOf(&selected.first)] = true
	switch failed.Failure {
	case FailureNotSent:
		x.d.markUnreachable(selected.first)
	case FailureReplaced:
		x.d.fleet.Failed(selected.first)
	case FailureBroken:
		x.d.fleet.Failed(selected.first)
		x.recordCrash(selected)
	default:
		x.d.fleet.Failed(selected.first)
	}
}

// relay forwards the response to the caller.
func (x *run) relay(a *Answer, selected *selection, w *watchdog) error {
	defer func() { _ = a.Body.Close() }()
	selected.answer = a
	if x.Route.Kind == route.KindStreaming && a.Status < http.StatusMultipleChoices {
		return x.relayStream(a, selected, w)
	}
	body, err := x.d.collect(a.Body)
	if err != nil {
		return &CallError{Failure: FailureBroken, Cause: err}
	}
	defer x.d.discard(body)
	x.learnPlain(selected, a.Status)
	if a.Status >= http.StatusInternalServerError {
		if x.retriesServerError() {
			return &CallError{Failure: FailureBroken, Cause: fmt.Errorf("the server responded with status %d", a.Status)}
		}
		x.d.fleet.Failed(selected.first)
	}
	if x.begun {
		return &CallError{Failure: FailureBroken, Cause: fmt.Errorf("the server responded with status %d instead of resuming the stream", a.Status)}
	}
	x.begin(a)
	for _, part := range body.parts {
		if err := x.write(part); err != nil {
			return err
		}
	}
	return nil
}

// retriesServerError reports whether a 5xx response is retried instead of forwarded.
func (x *run) retriesServerError() bool {
	return x.Route.MayRepeat() && x.possibleRuns+1 < x.Route.MaxAttempts
}

// relayStream forwards complete events as they arrive.
func (x *run) relayStream(a *Answer, selected *selection, w *watchdog) error {
	if x.begun && (a.Status != http.StatusOK || x.eventStream && !a.isEventStream()) {
		return &CallError{Failure: FailureBroken, Cause: fmt.Errorf(
			"the server responded with status %d and type %.64q instead of resuming the stream", a.Status, a.Header.Get("Content-Type"),
		)}
	}
	buffer := make([]byte, readBufferBytes)
	x.splitter.flush()
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			events, splitError := x.splitter.add(buffer[:n])
			if err := x.relayEvents(a, events, selected, w); err != nil {
				return err
			}
			if splitError != nil {
				return &CallError{Failure: FailureBroken, Cause: splitError}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if n := x.splitter.bytesOfEvent(); a.isEventStream() && n > 0 {
				return &CallError{Failure: FailureBroken, Cause: fmt.Errorf("the stream ended after %d bytes of an event", n)}
			}
			x.begin(a)
			return x.write(x.splitter.flush())
		case err != nil:
			return &CallError{Failure: FailureBroken, Cause: err}
		}
	}
}

// relayEvents forwards complete events. Only events with content show that the server makes progress.
func (x *run) relayEvents(a *Answer, events []byte, selected *selection, w *watchdog) error {
	if len(events) == 0 {
		return nil
	}
	progress := hasContent(events)
	if progress {
		if x.firstEvent == 0 {
			x.firstEvent = max(x.d.clock.Now()-x.Started, 1)
		}
		x.recordEvent(selected)
		selected.events += bytes.Count(events, separator)
		selected.ticket.FirstEvent()
	}
	if progress || x.splitter.last == "" {
		w.reset(0) // the caller's time to read doesn't count, and without an id nothing can continue the stream
	}
	if !x.begun && x.splitter.last == "" && w.hasEnded() {
		return &CallError{Failure: FailureBroken, Cause: errSilentServer}
	}
	x.begin(a)
	if err := x.write(events); err != nil {
		return err
	}
	if progress {
		w.reset(x.eventTimeout())
	}
	return nil
}

// recordEvent records an event of the attempt, and for how long its server has gone on answering.
func (x *run) recordEvent(selected *selection) {
	now := x.d.clock.Now()
	if selected.firstEventAt == 0 {
		selected.firstEventAt, selected.progressDue = now, quarantine.NextProgress(0)
	}
	selected.lastEventAt = now
	answered := selected.answeredFor(now)
	if answered < selected.progressDue {
		return
	}
	x.d.suspects.RecordProgress(x.suspects, answered)
	selected.progressDue = quarantine.NextProgress(answered)
}

// eventTimeout returns the longest time between events before the stream is resumed on another server, or zero if it is not
// resumed.
func (x *run) eventTimeout() clock.Millis {
	if !x.Route.Resumable || x.splitter.last == "" || x.possibleRuns+1 >= x.Route.MaxAttempts || x.Route.MaxPause == 0 {
		return 0
	}
	return clock.Millis(callerTimeoutFraction * float64(x.callerTimeout()))
}

// callerTimeout returns the time without an event after which the caller is expected to disconnect.
func (x *run) callerTimeout() clock.Millis {
	return max(minCallerTimeout, callerTimeoutPerTarget*x.Route.Target, callerTimeoutPerPause*x.Route.MaxPause)
}

// begin sends the status and headers of the response unless they were sent before.
func (x *run) begin(a *Answer) {
	if !x.begun {
		x.begun, x.eventStream = true, a.isEventStream()
		x.reply.Begin(a)
	}
}

func (x *run) write(data []byte) error {
	if err := x.reply.Write(data); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}
