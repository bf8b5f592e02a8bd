package entry

import (
	"context"
	"errors"
	"syscall"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// maxResumes bounds consecutive resumes of a stream that bring no new frame.
	maxResumes = 4
	// resumeBackoff is the pause before the first repeated resume; it doubles each time.
	resumeBackoff = 50 * clock.Millis(1)
)

// attempt is one run of a prompt on one engine.
type attempt struct {
	*promptRun
	upstream *upstream.Upstream
	id       engine.StreamID
	ticket   *upstream.Ticket
	// group is the memory on several engines that the prompt uses, if one engine can't hold it.
	group *reservation.Group
	// candidate has the figures of the decision, and began is the time from the request's start to this attempt; a resumed
	// stream has neither.
	candidate *routing.Candidate
	began     clock.Millis
	last      int
	// sentPrompt says that the engine may have run a part of the prompt in this attempt.
	sentPrompt bool
}

// run opens the stream and passes its frames on until the answer is complete.
func (a *attempt) run(ctx context.Context) error {
	call := engine.Call{
		ID: a.id, Path: a.completion.Format.Path(), Body: a.completion.Body, Priority: a.prompt.Class.Priority(),
	}
	if a.group != nil {
		call.Reservation, call.Group = a.group.Shares[0].ID, a.group.Members()
	}
	stream, err := a.server.engines.Open(ctx, a.upstream.Address, call)
	if a.sent(err) {
		a.mayHaveRun, a.sentPrompt = true, true
	}
	if lookup(err) {
		stream, err = a.resume(ctx, err)
	}
	if err != nil {
		return err
	}
	return a.follow(ctx, stream)
}

// follow relays the stream and resumes it when its connection breaks, until the answer is complete.
func (a *attempt) follow(ctx context.Context, stream *engine.Stream) error {
	for fruitless := 0; ; {
		before := a.last
		err := a.relay(ctx, stream)
		stream.Close()
		if err == nil || !resumable(err) || ctx.Err() != nil {
			return err
		}
		if fruitless++; a.last > before {
			fruitless = 0
		}
		if fruitless > maxResumes {
			return err
		}
		a.log.WithField("stream", string(a.id)).WithField("after", a.last).WithError(err).Warn("stream broke; resuming it on a new connection")
		if stream, err = a.resume(ctx, err); err != nil {
			return err
		}
	}
}

// relay passes frames on until the stream ends.
func (a *attempt) relay(ctx context.Context, stream *engine.Stream) error {
	for {
		f, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		if f.Waiting {
			continue
		}
		if a.last == 0 {
			a.noteFirstToken()
		}
		if err := a.sink.frame(a, f); err != nil {
			return err
		}
		a.last = f.Sequence
		if f.Done {
			return a.sink.finish()
		}
	}
}

// noteFirstToken records that the prefill has ended, and teaches the router how good its prediction was.
func (a *attempt) noteFirstToken() {
	a.ticket.FirstToken()
	now := a.sinceStart()
	if a.firstToken == 0 {
		a.firstToken = max(1, now)
	}
	if a.candidate != nil {
		a.server.router.Observe(a.candidate, &a.prompt, now-a.began)
	}
}

// resume continues the stream on a new connection. The engine is given up when it does not know the stream or can't be
// reached several times in a row.
func (a *attempt) resume(ctx context.Context, cause error) (*engine.Stream, error) {
	pause := resumeBackoff
	for range maxResumes {
		stream, err := a.server.engines.Resume(ctx, a.upstream.Address, a.id, a.last)
		if err == nil {
			return stream, nil
		}
		cause = err
		// A refused connection means that the engine's process has ended, and its streams with it.
		if reason(err) != engine.ReasonUnreachable || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		if err := a.server.clock.Sleep(ctx, pause); err != nil {
			return nil, err
		}
		pause *= 2
	}
	return nil, cause
}

// abandon cancels the engine's stream after a failed attempt and then frees its group. A disconnected caller of a
// stream gets time to resume it.
func (a *attempt) abandon(err error) {
	if !a.mayHaveRun || reason(err) == engine.ReasonUnknownStream {
		a.freeGroup()
		return
	}
	delay := clock.Millis(0)
	gone := errors.Is(err, errCaller) || a.request.Context().Err() != nil
	if gone && a.sink.committed() && a.events != nil {
		delay = a.server.limits.ResumeGrace
	}
	a.server.abandoned.cancel(a.upstream.Address, a.id, delay, a.freeGroup)
}

// sent reports whether the engine may have run a part of the prompt after Open returned err.
func (a *attempt) sent(err error) bool {
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

// reason returns the reason of a stream error, or an empty one.
func reason(err error) engine.Reason {
	var failed *engine.StreamError
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return ""
}

// lookup reports whether a failed Open leaves open if the engine has the stream.
func lookup(err error) bool {
	var failed *engine.StreamError
	return errors.As(err, &failed) && failed.Reason == engine.ReasonUnreachable && failed.Sent
}

// resumable reports whether the engine may still have the stream whose reading failed.
func resumable(err error) bool {
	switch reason(err) {
	case engine.ReasonTruncated, engine.ReasonStalled, engine.ReasonGap, engine.ReasonForeign, engine.ReasonMalformed:
		return true
	}
	return false
}

// lost reports whether the engine may have ended or restarted.
func lost(err error) bool {
	switch reason(err) {
	case engine.ReasonUnreachable, engine.ReasonUnknownStream, engine.ReasonTruncated, engine.ReasonStalled:
		return true
	}
	return false
}
