package entry

import (
	"context"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// isolationPollInterval is the time between two attempts of a suspect to find an engine on which no other suspect
	// runs.
	isolationPollInterval = 100 * clock.Millis(1)
	// maxAttempts bounds the attempts of one prompt or service call, in addition to the retry budget.
	maxAttempts = 5
)

// errCallerWrite is wrapped by the errors of failed writes to the caller.
var errCallerWrite = errors.New("write to caller failed")

// runWithRetries runs the prompt on one engine after another until one has answered completely.
func (p *promptRun) runWithRetries(ctx context.Context) error {
	for {
		err := p.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if finalError := p.finalError(ctx, err); finalError != nil {
			return finalError
		}
		p.sink.reset()
	}
}

// finalError returns the error that ends the request, or nil if another engine may be tried.
func (p *promptRun) finalError(ctx context.Context, err error) error {
	var classified *poplarwinch.Error
	switch {
	case errors.Is(err, errCallerWrite), ctx.Err() != nil:
		return p.interruptedError(ctx, err)
	case errors.As(err, &classified):
		if p.mayHaveRun && classified.Outcome == poplarwinch.OutcomeNotRun {
			classified.Outcome = poplarwinch.OutcomeFailed
		}
		return classified
	case p.sink.committed(), p.attempts >= maxAttempts, !refusedBeforeRunning(err) && !p.engineCrashed && !p.server.retryBudget.Take():
		return p.upstreamFailedError(err)
	}
	p.log.WithField("upstream", string(p.upstreamID)).WithField("attempt", p.attempts).WithError(err).Warn("attempt failed; trying another engine")
	return nil
}

// runAttempt runs the prompt on one engine, or on a group of engines if one can't hold it.
func (p *promptRun) runAttempt(ctx context.Context) error {
	selected, err := p.selectEngine(ctx)
	if err != nil {
		return err
	}
	u := selected.upstream
	p.attempts++
	p.upstreamID = u.ID
	streamID := engine.StreamID(fmt.Sprintf("%s-%s-%d", p.id, randomHex(6), p.attempts))
	a := &attempt{
		promptRun: p, upstream: u, streamID: streamID, group: selected.group, candidate: &selected.candidate, startedAfter: p.sinceStart(),
		ticket: u.Begin(selected.candidate.Work(&p.prompt)),
	}
	defer selected.release()
	defer a.ticket.End()
	crashesBefore := p.server.quarantine.Deaths(p.fingerprint)
	err = a.run(ctx)
	if err == nil {
		p.server.quarantine.RecordCompletion(u.ID, p.fingerprint)
		p.server.quarantine.RecordAnswer(p.suspects, p.server.clock.Now())
		a.freeGroup()
		p.releasePermit(selected.permit, quarantine.RunCompleted)
		return nil
	}
	p.prompt.Avoid = append(p.prompt.Avoid, u.ID)
	if outOfMemory(err) {
		p.rejectedForMemory = true
	}
	if !a.engineMayHaveRun {
		// The engine never received the prompt, so the prompt is no suspect if the engine crashed.
		p.server.quarantine.RecordCompletion(u.ID, p.fingerprint)
	}
	if engineMayHaveStopped(err) {
		// The probe shows whether the engine crashed, which decides how the prompt may run again.
		p.server.probe(ctx, u)
	}
	p.engineCrashed = p.server.quarantine.Deaths(p.fingerprint) > crashesBefore || engineMayHaveStopped(err) && u.State() == upstream.StateDown
	result := quarantine.RunEnded
	if p.engineCrashed && a.engineMayHaveRun {
		result = quarantine.RunCrashed
	}
	p.releasePermit(selected.permit, result)
	a.cancelStream(err)
	return err
}

// releasePermit records the end of a suspect's run in the background, so that the answer does not wait for the table.
// Until it is recorded no other copy of the suspect runs.
func (p *promptRun) releasePermit(permit *quarantine.Permit, result quarantine.RunResult) {
	if permit != nil {
		p.server.background.Go(func() { p.recordRelease(permit, result) })
	}
}

func (p *promptRun) recordRelease(permit *quarantine.Permit, result quarantine.RunResult) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := permit.Release(ctx, result); err != nil {
		p.log.WithError(err).Warn("permit of a suspect not released; the run counts as a crash when the permit expires")
	}
}

// selection is the engine chosen for an attempt and the memory reserved for it.
type selection struct {
	upstream *upstream.Upstream
	group    *reservation.Group
	// candidate holds the router's figures for the engine.
	candidate routing.Candidate
	// permit allows a suspect to run; it is nil for other prompts.
	permit *quarantine.Permit
	// release removes the prompt from the running prompts of the engine, and releases the permit for the engine, if any.
	release func()
}

// selectEngine selects an engine and registers the prompt as running there. A suspect needs a permit first.
func (p *promptRun) selectEngine(ctx context.Context) (*selection, error) {
	if err := p.awaitSuspectReports(ctx); err != nil {
		return nil, err
	}
	if err := p.rejected(); err != nil {
		return nil, err
	}
	var permit *quarantine.Permit
	if p.server.quarantine.Check(p.fingerprint) == quarantine.VerdictIsolate {
		var err error
		if permit, err = p.server.quarantineGuard.Isolate(ctx, p.server.quarantine, p.fingerprint, clock.FromTime(p.deadline)); err != nil {
			return nil, err
		}
	}
	selected, err := p.acquireEngine(ctx, permit != nil)
	if err != nil {
		p.releasePermit(permit, quarantine.RunEnded)
		return nil, err
	}
	selected.permit = permit
	return selected, nil
}

// awaitSuspectReports waits for a short time after the crash of an engine, so that the peers' reports of suspects
// arrive first. A prompt that is already a suspect does not wait.
func (p *promptRun) awaitSuspectReports(ctx context.Context) error {
	q := p.server.quarantine
	if remaining := q.StartDelay(); remaining > 0 && q.Check(p.fingerprint) == quarantine.VerdictAllow {
		return p.server.clock.Sleep(ctx, remaining)
	}
	return nil
}

// acquireEngine selects an engine on which the prompt may start now. A suspect starts only where no other suspect runs.
func (p *promptRun) acquireEngine(ctx context.Context, suspect bool) (*selection, error) {
	s := p.server
	avoidedBefore := len(p.prompt.Avoid)
	for {
		decision, group, err := p.decide(ctx)
		if err == nil {
			selected := &selection{upstream: decision.Upstream, group: group, candidate: decision.Candidates[0]}
			ok, err := p.start(ctx, selected, suspect)
			if ok {
				s.router.Sent(decision.Upstream, &p.prompt)
				p.logDecision(&decision)
				return selected, nil
			}
			if group != nil {
				s.groupBuilder.Free(group)
			}
			if err != nil {
				return nil, err
			}
			p.prompt.Avoid = append(p.prompt.Avoid, decision.Upstream.ID)
			continue
		}
		if len(p.prompt.Avoid) == avoidedBefore {
			return nil, err
		}
		// The engines that were added to Avoid run other suspects and become available when those end.
		p.prompt.Avoid = p.prompt.Avoid[:avoidedBefore]
		if err := s.clock.Sleep(ctx, isolationPollInterval); err != nil {
			return nil, err
		}
	}
}

// start registers the prompt as running on the engine, or reports false if it may not run there now. It acquires the
// permit first: a prompt that is already registered while it waits for the table would become a suspect if the engine
// crashed meanwhile.
func (p *promptRun) start(ctx context.Context, selected *selection, suspect bool) (bool, error) {
	var permit *quarantine.Permit
	if suspect {
		var err error
		permit, err = p.server.quarantineGuard.AcquireEngine(ctx, selected.upstream.ID, clock.FromTime(p.deadline))
		if permit == nil {
			return false, err
		}
	}
	q := p.server.quarantine
	release, ok := q.Start(selected.upstream.ID, p.fingerprint, p.suspects.Parts...)
	if !ok {
		p.releasePermit(permit, quarantine.RunEnded)
		if q.Check(p.fingerprint) == quarantine.VerdictReject {
			return false, quarantine.Rejected()
		}
		return false, nil
	}
	selected.release = func() {
		release()
		p.releasePermit(permit, quarantine.RunEnded)
	}
	return true, nil
}

// decide selects an engine, or reserves a group of engines.
func (p *promptRun) decide(ctx context.Context) (routing.Decision, *reservation.Group, error) {
	if p.needsGroup() {
		return p.decideGroup(ctx)
	}
	decision, err := p.server.router.Engine(p.server.upstreams.Snapshot(), &p.prompt)
	return decision, nil, err
}

// interruptedError returns the error for a request whose deadline passed or whose caller disconnected.
func (p *promptRun) interruptedError(ctx context.Context, cause error) error {
	outcome := p.outcome()
	if p.request.Context().Err() != nil || errors.Is(cause, errCallerWrite) {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindCallerGone, Outcome: outcome, Cause: cause,
			Message: "the caller disconnected or stopped reading", Remedy: "resume the stream with its Resume-Token",
		}
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindDeadlineExceeded, Outcome: outcome, Cause: errors.Join(ctx.Err(), cause),
		Message: fmt.Sprintf("no complete answer within the time limit of %d ms", p.deadline.Sub(p.started).Milliseconds()),
		Remedy:  "retry with a longer " + timeoutHeader,
	}
}

// outcome returns the outcome of a prompt that has no complete answer.
func (p *promptRun) outcome() poplarwinch.Outcome {
	if p.mayHaveRun {
		return poplarwinch.OutcomeFailed
	}
	return poplarwinch.OutcomeNotRun
}

func (p *promptRun) upstreamFailedError(cause error) error {
	outcome := p.outcome()
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUpstreamFailed, Outcome: outcome, Cause: cause, RetryAfter: clock.Second,
		Message: fmt.Sprintf("no engine completed the prompt in %d attempts", p.attempts), Remedy: "retry; the prompt is safe to repeat",
	}
}

// refusedBeforeRunning reports whether the engine rejected the prompt before running it. Such an attempt costs the
// engine almost nothing, so the next one does not draw on the retry budget.
func refusedBeforeRunning(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused)
}
