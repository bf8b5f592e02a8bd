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

// sink receives the frames of an answer and passes them to the caller.
type sink interface {
	// frame takes the next frame of the attempt.
	frame(a *attempt, f engine.Frame) error
	// finish is called after the last frame.
	finish() error
	// committed reports whether the caller has received a part of the answer, so that no other engine may continue it.
	committed() bool
	// reset forgets the frames of a failed attempt.
	reset()
}

func newSink(p *promptRun) sink {
	if p.completion.Stream {
		p.events = newEventWriter(p.writer, p.server.limits.WriteStall, p.deadline)
		return &streamSink{run: p}
	}
	return &wholeSink{run: p, assembler: p.newAssembler()}
}

func (p *promptRun) newAssembler() *completion.Assembler {
	return completion.NewAssembler(p.completion.Format, int(p.server.limits.MaxAnswer))
}

// streamSink passes each frame to the caller as an event.
type streamSink struct {
	run *promptRun
	// skipped counts frames that the caller did not ask for, so that event ids have no gaps.
	skipped int
}

func (s *streamSink) frame(a *attempt, f engine.Frame) error {
	if usage, ok := completion.UsageOf(f.Data); ok {
		s.run.observe(usage)
		if !s.run.completion.IncludeUsage {
			s.skipped++
			return nil
		}
	}
	if !s.run.events.begun {
		s.run.begun = true
		s.run.writer.Header().Set("Resume-Token", s.run.server.signer.Sign(token.Resume{
			Customer: s.run.customer.ID, Request: s.run.id, Upstream: a.upstream.ID, Address: a.upstream.Address,
			Stream: string(a.id), IncludeUsage: s.run.completion.IncludeUsage, Expires: clock.FromTime(s.run.deadline),
		}))
	}
	if err := s.run.events.event(f.Sequence-s.skipped, f.Data); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

func (s *streamSink) finish() error   { return nil }
func (s *streamSink) committed() bool { return s.run.events.begun }
func (s *streamSink) reset()          { s.skipped = 0 }

// wholeSink assembles the answer and sends it once it is complete.
type wholeSink struct {
	run       *promptRun
	assembler *completion.Assembler
}

func (s *wholeSink) frame(_ *attempt, f engine.Frame) error {
	if f.Done {
		return nil
	}
	if usage, ok := completion.UsageOf(f.Data); ok {
		s.run.observe(usage)
	}
	if err := s.assembler.Add(f.Data); err != nil {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindUpstreamFailed, Outcome: poplarwinch.OutcomeFailed, Cause: err,
			Message: "the answer can't be assembled", Remedy: "ask for a stream, or for fewer tokens",
		}
	}
	return nil
}

func (s *wholeSink) finish() error {
	body, err := s.assembler.Whole()
	if err != nil {
		return fmt.Errorf("assemble the answer: %w", err)
	}
	return s.run.writeWhole(http.StatusOK, "application/json", body)
}

func (s *wholeSink) committed() bool { return s.run.begun }
func (s *wholeSink) reset()          { s.assembler = s.run.newAssembler() }

// writeWhole sends a complete answer with its length.
func (x *exchange) writeWhole(status int, contentType string, body []byte) error {
	x.begun = true
	h := x.writer.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	control := http.NewResponseController(x.writer)
	limit := x.deadline.Add(errorGrace)
	if err := setWriteDeadline(control, x.server.limits.WriteStall, limit); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	x.writer.WriteHeader(status)
	if _, err := x.writer.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// writeEmpty sends an answer that has no body by definition.
func (x *exchange) writeEmpty(status int) error {
	x.begun = true
	if err := setWriteDeadline(http.NewResponseController(x.writer), x.server.limits.WriteStall, x.deadline.Add(errorGrace)); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	x.writer.WriteHeader(status)
	return nil
}
