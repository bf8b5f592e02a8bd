package entry

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/completion"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/token"
)

// sink receives the frames of an answer and passes them on to the caller.
type sink interface {
	// frame handles the next frame of the attempt.
	frame(a *attempt, f engine.Frame) error
	// finish is called after the last frame.
	finish() error
	// committed reports whether a part of the answer may have been sent to the caller, so that no other engine may run the
	// prompt.
	committed() bool
	// reset discards the frames of a failed attempt.
	reset()
}

func newSink(p *promptRun) sink {
	if p.completion.Stream {
		p.events = newEventWriter(p.writer, p.server.limits.WriteStall, p.deadline)
		return &streamSink{run: p}
	}
	return &bufferedSink{run: p, assembler: p.newAssembler()}
}

func (p *promptRun) newAssembler() *completion.Assembler {
	return completion.NewAssembler(p.completion.Format, int(p.server.limits.MaxAnswer))
}

// streamSink sends each frame to the caller as a server-sent event.
type streamSink struct {
	run *promptRun
	// skipped counts the usage frames that the caller did not ask for; it keeps the event ids consecutive.
	skipped int
}

func (s *streamSink) frame(a *attempt, f engine.Frame) error {
	if usage, ok := completion.UsageOf(f.Data); ok {
		s.run.recordUsage(usage)
		if !s.run.completion.IncludeUsage {
			s.skipped++
			return nil
		}
	}
	if !s.run.events.headerSent {
		s.run.headerSent = true
		s.run.writer.Header().Set("Resume-Token", s.run.server.signer.Sign(token.Resume{
			Customer: s.run.customer.ID, Request: s.run.id, Upstream: a.upstream.ID, Address: a.upstream.Address,
			Stream: string(a.streamID), IncludeUsage: s.run.completion.IncludeUsage, Expires: clock.FromTime(s.run.deadline),
		}))
	}
	if err := s.run.events.writeEvent(f.Sequence-s.skipped, f.Data); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

func (s *streamSink) finish() error   { return nil }
func (s *streamSink) committed() bool { return s.run.events.headerSent }
func (s *streamSink) reset()          { s.skipped = 0 }

// bufferedSink assembles the answer and sends it once it is complete.
type bufferedSink struct {
	run       *promptRun
	assembler *completion.Assembler
}

func (s *bufferedSink) frame(_ *attempt, f engine.Frame) error {
	if f.Done {
		return nil
	}
	if usage, ok := completion.UsageOf(f.Data); ok {
		s.run.recordUsage(usage)
	}
	if !s.run.takeAnswer(int64(len(f.Data))) {
		return noAnswerMemory()
	}
	if err := s.assembler.Add(f.Data); err != nil {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindUpstreamFailed, Outcome: poplarwinch.OutcomeFailed, Cause: err,
			Message: "the answer could not be assembled", Remedy: "request a stream, or fewer tokens",
		}
	}
	return nil
}

func (s *bufferedSink) finish() error {
	body, err := s.assembler.Response()
	if err != nil {
		return fmt.Errorf("assemble the answer: %w", err)
	}
	return s.run.writeComplete(http.StatusOK, "application/json", body)
}

func (s *bufferedSink) committed() bool { return s.run.headerSent }
func (s *bufferedSink) reset() {
	s.run.releaseAnswer()
	s.assembler = s.run.newAssembler()
}

// writeComplete sends a complete answer with its Content-Length.
func (x *exchange) writeComplete(status int, contentType string, body []byte) error {
	x.headerSent = true
	h := x.writer.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	control := http.NewResponseController(x.writer)
	writeDeadline := x.deadline.Add(errorGrace)
	if err := setWriteDeadline(control, x.server.limits.WriteStall, writeDeadline); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	x.writer.WriteHeader(status)
	if _, err := x.writer.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// writeEmpty sends an answer that by definition has no body.
func (x *exchange) writeEmpty(status int) error {
	x.headerSent = true
	if err := setWriteDeadline(http.NewResponseController(x.writer), x.server.limits.WriteStall, x.deadline.Add(errorGrace)); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	x.writer.WriteHeader(status)
	return nil
}
