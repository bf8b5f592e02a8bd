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

// serveStream continues a stream for a caller that lost its connection, through this or another instance.
func (s *Server) serveStream(ctx context.Context, x *exchange) error {
	t, err := s.signer.Open(chi.URLParam(x.request, "token"))
	if err != nil || t.Customer != x.customer.ID {
		return unknownStream(err)
	}
	after, err := lastEvent(x.request.Header.Get("Last-Event-ID"))
	if err != nil {
		return err
	}
	left := t.Expires - s.clock.Now()
	if left <= 0 {
		return unknownStream(nil)
	}
	ctx, cancel, err := x.limit(ctx, left, left)
	if err != nil {
		return err
	}
	defer cancel()
	x.log = x.log.WithField("resumed-request-id", string(t.Request))
	x.upstream = t.Upstream
	x.attempts = 1
	s.abandoned.keep(engine.StreamID(t.Stream))
	return x.continueStream(ctx, t, after)
}

func (x *exchange) continueStream(ctx context.Context, t token.Resume, after int) error {
	s := x.server
	p := &promptRun{
		exchange: x, completion: &completion.Request{IncludeUsage: t.IncludeUsage, Stream: true},
		mayHaveRun: true, resumed: true,
	}
	p.sink = newSink(p)
	a := &attempt{promptRun: p, upstream: p.holder(t), id: engine.StreamID(t.Stream), last: after}
	a.ticket = a.upstream.Begin(upstream.Work{})
	defer a.ticket.End()
	stream, err := a.resume(ctx, nil)
	if err != nil {
		if ctx.Err() != nil {
			return p.interrupted(ctx, err)
		}
		return unknownStream(err)
	}
	x.log.WithField("upstream", string(t.Upstream)).WithField("stream", t.Stream).WithField("after", after).Info("stream resumed")
	if err = a.follow(ctx, stream); err == nil {
		return nil
	}
	a.abandon(err)
	if ctx.Err() != nil || !s.stopping.Load() && p.sink.committed() && x.request.Context().Err() != nil {
		return p.interrupted(ctx, err)
	}
	return p.upstreamFailed(err)
}

// holder returns the upstream that runs the stream. It may have left the registry while the stream is still running.
func (p *promptRun) holder(t token.Resume) *upstream.Upstream {
	if u, ok := p.server.upstreams.Snapshot().Lookup(t.Upstream); ok && u.Address == t.Address {
		return u
	}
	return upstream.Detached(t.Upstream, t.Address)
}

func lastEvent(text string) (int, error) {
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

func unknownStream(cause error) error {
	if cause != nil {
		cause = fmt.Errorf("resume: %w", cause)
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnknownStream, Outcome: poplarwinch.OutcomeNotRun, Cause: cause, RetryAfter: clock.Millis(0),
		Message: "the stream is over, was cancelled, or belongs to another customer", Remedy: "send the prompt again",
	}
}
