package entry

import (
	"context"
	"errors"
	"syscall"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// maxResumes bounds the consecutive resumes of a stream that bring no new frame, and the connection attempts of one
	// resume.
	maxResumes = 4
	// resumeBackoff is the pause after the first failed connection attempt of a resume; it doubles each time.
	resumeBackoff = 50 * clock.Millis(1)
)

// attempt is one run of a prompt on one engine.
type attempt struct {
	*promptRun
	upstream *upstream.Upstream
	streamID engine.StreamID
	ticket   *upstream.Ticket
	// group is the memory reserved on several engines, or nil if the prompt fits on one.
	group *reservation.Group
	// candidate holds the router's figures for the engine; it is nil for a resumed stream.
	candidate *routing.Candidate
	// startedAfter is the time from the arrival of the request to the start of the attempt; it is not set for a resumed
	// stream.
	startedAfter clock.Millis
	// firstFrameAt is the time of the first frame; zero before it.
	firstFrameAt clock.Millis
	// progressDue is the time after the first frame at which the progress of the answer is recorded next.
	progressDue clock.Millis
	// lastSequence is the sequence number of the last frame that was passed on.
	lastSequence int
	// engineMayHaveRun is set once the engine may have run a part of the prompt in this attempt.
	engineMayHaveRun bool
}

// run opens the stream and relays it until the answer is complete.
func (a *attempt) run(ctx context.Context) error {
	call := engine.Call{
		ID: a.streamID, Path: a.completion.Format.Path(), Body: a.completion.Body, Priority: a.prompt.Class.Priority(),
	}
	if a.group != nil {
		call.Reservation, call.Group = a.group.Shares[0].ID, a.group.Members()
	}
	stream, err := a.server.engines.Open(ctx, a.upstream.Address, call)
	if a.openMayHaveRun(err) {
		a.mayHaveRun, a.engineMayHaveRun = true, true
	}
	if streamMayExist(err) {
		stream, err = a.resume(ctx, err)
	}
	if err != nil {
		return err
	}
	return a.relayResuming(ctx, stream)
}

// relayResuming relays the stream until the answer is complete, and resumes it when its connection breaks.
func (a *attempt) relayResuming(ctx context.Context, stream *engine.Stream) error {
	for resumesWithoutFrame := 0; ; {
		sequenceBefore := a.lastSequence
		err := a.relay(ctx, stream)
		stream.Close()
		if err == nil || !resumable(err) || ctx.Err() != nil {
			return err
		}
		if resumesWithoutFrame++; a.lastSequence > sequenceBefore {
			resumesWithoutFrame = 0
		}
		if resumesWithoutFrame > maxResumes {
			return err
		}
		a.log.WithField("stream", string(a.streamID)).WithField("after", a.lastSequence).WithError(err).Warn("stream interrupted; resuming it on a new connection")
		if stream, err = a.resume(ctx, err); err != nil {
			return err
		}
	}
}

// relay passes frames on to the sink until the stream ends.
func (a *attempt) relay(ctx context.Context, stream *engine.Stream) error {
	for {
		f, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		if f.Waiting {
			continue
		}
		if a.lastSequence == 0 {
			a.recordFirstToken()
		}
		a.recordFrame()
		if err := a.sink.frame(a, f); err != nil {
			return err
		}
		a.lastSequence = f.Sequence
		if f.Done {
			return a.sink.finish()
		}
	}
}

// recordFrame records a frame, and for how long the engine has gone on answering.
func (a *attempt) recordFrame() {
	now := a.server.clock.Now()
	if a.firstFrameAt == 0 {
		a.firstFrameAt, a.progressDue = now, quarantine.NextProgress(0)
	}
	answered := now - a.firstFrameAt
	if answered < a.progressDue {
		return
	}
	a.server.quarantine.RecordRunProgress(a.upstream.ID, a.suspects, answered)
	a.progressDue = quarantine.NextProgress(answered)
}

// recordFirstToken records the end of the prefill and reports the time to first token to the router, which corrects its
// predictions.
func (a *attempt) recordFirstToken() {
	a.ticket.FirstToken()
	now := a.sinceStart()
	if a.firstToken == 0 {
		a.firstToken = max(1, now)
	}
	if a.candidate != nil {
		a.server.router.Observe(a.candidate, &a.prompt, now-a.startedAfter)
	}
}

// resume continues the stream on a new connection. It fails if the engine does not know the stream, refuses the
// connection, or is unreachable maxResumes times in a row.
func (a *attempt) resume(ctx context.Context, cause error) (*engine.Stream, error) {
	backoff := resumeBackoff
	for range maxResumes {
		stream, err := a.server.engines.Resume(ctx, a.upstream.Address, a.streamID, a.lastSequence)
		if err == nil {
			return stream, nil
		}
		cause = err
		// A refused connection means that the process of the engine has ended, and its streams with it.
		if streamErrorReason(err) != engine.ReasonUnreachable || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		if err := a.server.clock.Sleep(ctx, backoff); err != nil {
			return nil, err
		}
		backoff *= 2
	}
	return nil, cause
}

// cancelStream cancels the engine's stream after a failed attempt and then frees its group. A caller that disconnected
// from a stream gets time to resume it.
func (a *attempt) cancelStream(err error) {
	if !a.mayHaveRun || streamErrorReason(err) == engine.ReasonUnknownStream {
		a.freeGroup()
		return
	}
	delay := clock.Millis(0)
	callerGone := errors.Is(err, errCallerWrite) || a.request.Context().Err() != nil
	if callerGone && a.sink.committed() && a.events != nil {
		delay = a.server.limits.ResumeGrace
	}
	a.server.streamCanceller.cancel(a.upstream.Address, a.streamID, delay, a.freeGroup)
}

// openMayHaveRun reports whether the engine may have run a part of the prompt, given the error that Open returned.
func (a *attempt) openMayHaveRun(err error) bool {
	var refused *engine.RefusedError
	var failed *engine.StreamError
	switch {
	case err == nil:
		return true
	case errors.As(err, &refused):
		return false
	case errors.As(err, &failed):
		return failed.Sent
	}
	return true
}

// streamErrorReason returns the reason of a stream error, or an empty string for other errors.
func streamErrorReason(err error) engine.Reason {
	var failed *engine.StreamError
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return ""
}

// streamMayExist reports whether the engine may have the stream although Open failed with err.
func streamMayExist(err error) bool {
	var failed *engine.StreamError
	return errors.As(err, &failed) && failed.Reason == engine.ReasonUnreachable && failed.Sent
}

// resumable reports whether the engine may still have a stream that could not be read further.
func resumable(err error) bool {
	switch streamErrorReason(err) {
	case engine.ReasonTruncated, engine.ReasonStalled, engine.ReasonGap, engine.ReasonForeign, engine.ReasonMalformed:
		return true
	}
	return false
}

// engineMayHaveStopped reports whether the engine's process may have ended or restarted.
func engineMayHaveStopped(err error) bool {
	switch streamErrorReason(err) {
	case engine.ReasonUnreachable, engine.ReasonUnknownStream, engine.ReasonTruncated, engine.ReasonStalled:
		return true
	}
	return false
}
