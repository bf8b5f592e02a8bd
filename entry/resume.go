package entry

import (
	"context"
	"fmt"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/completion"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/token"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// serveStream resumes a stream for a caller that lost its connection to this or another instance.
func (s *Server) serveStream(ctx context.Context, x *exchange) error {
	t, err := s.signer.Verify(chi.URLParam(x.request, "token"))
	if err != nil || t.Customer != x.customer.ID {
		return unknownStreamError(err)
	}
	after, err := parseLastEventID(x.request.Header.Get("Last-Event-ID"))
	if err != nil {
		return err
	}
	remaining := t.Expires - s.clock.Now()
	if remaining <= 0 {
		return unknownStreamError(nil)
	}
	timeLimit, err := resumeTimeout(x.request, remaining, x.index.Manifest.Limits.MaxTimeout)
	if err != nil {
		return err
	}
	ctx, cancel := x.withTimeLimit(ctx, timeLimit)
	defer cancel()
	x.log = x.log.WithField("resumed-request-id", string(t.Request))
	x.upstreamID = t.Upstream
	x.attempts = 1
	s.streamCanceller.withdraw(engine.StreamID(t.Stream))
	return x.continueStream(ctx, t, after)
}

func (x *exchange) continueStream(ctx context.Context, t token.Resume, after int) error {
	s := x.server
	p := &promptRun{
		exchange: x, completion: &completion.Request{IncludeUsage: t.IncludeUsage, Stream: true},
		mayHaveRun: true, resumed: true,
	}
	p.sink = newSink(p)
	a := &attempt{promptRun: p, upstream: p.streamUpstream(t), streamID: engine.StreamID(t.Stream), lastSequence: after}
	a.ticket = a.upstream.Begin(upstream.Work{})
	defer a.ticket.End()
	stream, err := a.resume(ctx, nil)
	if err != nil {
		if ctx.Err() != nil {
			return p.interruptedError(ctx, err)
		}
		return unknownStreamError(err)
	}
	x.log.WithField("upstream", string(t.Upstream)).WithField("stream", t.Stream).WithField("after", after).Info("stream resumed")
	if err = a.relayResuming(ctx, stream); err == nil {
		return nil
	}
	a.cancelStream(err)
	if ctx.Err() != nil || !s.stopping.Load() && p.sink.committed() && x.request.Context().Err() != nil {
		return p.interruptedError(ctx, err)
	}
	return p.upstreamFailedError(err)
}

// streamUpstream returns the upstream that runs the stream. If it has left the registry, the stream may still be
// running, and its address is taken from the token.
func (p *promptRun) streamUpstream(t token.Resume) *upstream.Upstream {
	if u, ok := p.server.upstreams.Snapshot().Lookup(t.Upstream); ok && u.Address == t.Address {
		return u
	}
	return upstream.Detached(t.Upstream, t.Address)
}

func parseLastEventID(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	after, err := strconv.Atoi(text)
	if err != nil || after < 0 {
		return 0, &poplarwinch.Error{
			Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Param: "Last-Event-ID",
			Message: "Last-Event-ID is not the id of an event", Remedy: "send the id of the last event that arrived, or none",
		}
	}
	return after, nil
}

func unknownStreamError(cause error) error {
	if cause != nil {
		cause = fmt.Errorf("resume: %w", cause)
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnknownStream, Outcome: poplarwinch.OutcomeNotRun, Cause: cause, RetryAfter: clock.Millis(0),
		Message: "the stream has ended, was cancelled, or belongs to another customer", Remedy: "send the prompt again",
	}
}
