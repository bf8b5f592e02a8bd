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
	// isolationWait is the pause before a suspect looks again for an engine without other suspects.
	isolationWait = 100 * clock.Millis(1)
	// maxAttempts bounds the engines that one prompt may try, on top of the retry budget.
	maxAttempts = 5
)

// errCaller marks a failed write to the caller.
var errCaller = errors.New("the caller stopped reading")

// run tries engines until one has answered completely.
func (p *promptRun) run(ctx context.Context) error {
	for {
		err := p.attempt(ctx)
		if err == nil {
			return nil
		}
		if final := p.final(ctx, err); final != nil {
			return final
		}
		p.sink.reset()
	}
}

// final returns the error with which the request ends, or nil if another engine may be tried.
func (p *promptRun) final(ctx context.Context, err error) error {
	var known *poplarwinch.Error
	switch {
	case errors.Is(err, errCaller), ctx.Err() != nil:
		return p.interrupted(ctx, err)
	case errors.As(err, &known):
		if p.mayHaveRun && known.Outcome == poplarwinch.OutcomeNotRun {
			known.Outcome = poplarwinch.OutcomeFailed
		}
		return known
	case p.sink.committed(), p.attempts >= maxAttempts, !refusedBeforeRunning(err) && !p.engineDied && !p.server.retries.Take():
		return p.upstreamFailed(err)
	}
	p.log.WithField("upstream", string(p.upstream)).WithField("attempt", p.attempts).WithError(err).Warn("attempt failed; trying another engine")
	return nil
}

// attempt runs the prompt on one engine, or on a group of engines if one can't hold it.
func (p *promptRun) attempt(ctx context.Context) error {
	spot, err := p.choose(ctx)
	if err != nil {
		return err
	}
	u := spot.upstream
	p.attempts++
	p.upstream = u.ID
	id := engine.StreamID(fmt.Sprintf("%s-%s-%d", p.id, randomHex(6), p.attempts))
	a := &attempt{
		promptRun: p, upstream: u, id: id, group: spot.group, candidate: &spot.candidate, began: p.sinceStart(),
		ticket: u.Begin(spot.candidate.Work(&p.prompt)),
	}
	defer spot.end()
	defer a.ticket.End()
	before := p.server.quarantine.Deaths(p.fingerprint)
	err = a.run(ctx)
	if err == nil {
		p.server.quarantine.Completed(u.ID, p.fingerprint)
		a.freeGroup()
		p.releasePermit(spot.permit, false)
		return nil
	}
	p.prompt.Avoid = append(p.prompt.Avoid, u.ID)
	if outOfMemory(err) {
		p.grouped = true
	}
	if !a.sentPrompt {
		// The death of an engine that the prompt never reached is not its doing.
		p.server.quarantine.Completed(u.ID, p.fingerprint)
	}
	if lost(err) {
		// Whether the engine died decides how the prompt may run again.
		p.server.check(ctx, u)
	}
	p.engineDied = p.server.quarantine.Deaths(p.fingerprint) > before || lost(err) && u.State() == upstream.StateDown
	p.releasePermit(spot.permit, p.engineDied && a.sentPrompt)
	a.abandon(err)
	return err
}

// releasePermit records the end of a suspect's run in the background, since the answer must not wait for the table. Until
// it is recorded no other copy runs.
func (p *promptRun) releasePermit(permit *quarantine.Permit, died bool) {
	if permit != nil {
		p.server.background.Go(func() { p.runRelease(permit, died) })
	}
}

func (p *promptRun) runRelease(permit *quarantine.Permit, died bool) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := permit.Release(ctx, died); err != nil {
		p.log.WithError(err).Warn("end of a suspect's run not recorded; it counts as a crash after its time limit")
	}
}

// spot is the engine that runs an attempt, with the memory that is reserved for it.
type spot struct {
	upstream *upstream.Upstream
	group    *reservation.Group
	// candidate has the figures of the decision.
	candidate routing.Candidate
	// permit allows a suspect to run.
	permit *quarantine.Permit
	end    func()
}

// choose selects an engine and registers the prompt as running there. A suspect needs a permit first.
func (p *promptRun) choose(ctx context.Context) (*spot, error) {
	if err := p.settle(ctx); err != nil {
		return nil, err
	}
	var permit *quarantine.Permit
	switch p.server.quarantine.Check(p.fingerprint) {
	case quarantine.VerdictReject:
		return nil, quarantine.Rejected()
	case quarantine.VerdictIsolate:
		var err error
		if permit, err = p.server.guard.Isolate(ctx, p.server.quarantine, p.fingerprint, clock.FromTime(p.deadline)); err != nil {
			return nil, err
		}
	}
	found, err := p.claimEngine(ctx, permit != nil)
	if err != nil {
		p.releasePermit(permit, false)
		return nil, err
	}
	found.permit = permit
	return found, nil
}

// settle waits shortly after the death of an engine, until the peers' news of suspects has arrived.
func (p *promptRun) settle(ctx context.Context) error {
	q := p.server.quarantine
	if left := q.Settling(); left > 0 && q.Check(p.fingerprint) == quarantine.VerdictAllow {
		return p.server.clock.Sleep(ctx, left)
	}
	return nil
}

// claimEngine selects an engine on which the prompt may start now. A suspect starts only where no other suspect runs.
func (p *promptRun) claimEngine(ctx context.Context, suspect bool) (*spot, error) {
	s := p.server
	avoid := len(p.prompt.Avoid)
	for {
		decision, group, err := p.decide(ctx)
		if err == nil {
			found := &spot{upstream: decision.Upstream, group: group, candidate: decision.Candidates[0]}
			ok, err := p.start(ctx, found, suspect)
			if ok {
				s.router.Sent(decision.Upstream, &p.prompt)
				p.logDecision(&decision)
				return found, nil
			}
			if group != nil {
				s.groups.Free(group)
			}
			if err != nil {
				return nil, err
			}
			p.prompt.Avoid = append(p.prompt.Avoid, decision.Upstream.ID)
			continue
		}
		if len(p.prompt.Avoid) == avoid {
			return nil, err
		}
		// Every engine runs a suspect; the avoided ones become available again when those end.
		p.prompt.Avoid = p.prompt.Avoid[:avoid]
		if err := s.clock.Sleep(ctx, isolationWait); err != nil {
			return nil, err
		}
	}
}

// start registers the prompt as running on the engine; it reports false if it may not run there now. The permit comes
// first: a prompt that waits for the table while it is registered would be blamed for a death of the engine meanwhile.
func (p *promptRun) start(ctx context.Context, found *spot, suspect bool) (bool, error) {
	var permit *quarantine.Permit
	if suspect {
		var err error
		permit, err = p.server.guard.Engine(ctx, found.upstream.ID, clock.FromTime(p.deadline))
		if permit == nil {
			return false, err
		}
	}
	q := p.server.quarantine
	end, ok := q.Start(found.upstream.ID, p.fingerprint)
	if !ok {
		p.releasePermit(permit, false)
		if q.Check(p.fingerprint) == quarantine.VerdictReject {
			return false, quarantine.Rejected()
		}
		return false, nil
	}
	found.end = func() {
		end()
		p.releasePermit(permit, false)
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

// interrupted returns the error of a request whose time limit ended or whose caller went away.
func (p *promptRun) interrupted(ctx context.Context, cause error) error {
	outcome := p.outcome()
	if p.request.Context().Err() != nil || errors.Is(cause, errCaller) {
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

// outcome returns what is known about a prompt without a complete answer.
func (p *promptRun) outcome() poplarwinch.Outcome {
	if p.mayHaveRun {
		return poplarwinch.OutcomeFailed
	}
	return poplarwinch.OutcomeNotRun
}

func (p *promptRun) upstreamFailed(cause error) error {
	outcome := p.outcome()
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUpstreamFailed, Outcome: outcome, Cause: cause, RetryAfter: clock.Second,
		Message: fmt.Sprintf("no engine completed the prompt in %d attempts", p.attempts), Remedy: "retry; the prompt is safe to repeat",
	}
}

// refusedBeforeRunning reports whether the engine rejected the prompt. Such an attempt cost the engine next to nothing,
// so another one does not draw on the retry budget.
func refusedBeforeRunning(err error) bool {
	var refused *engine.RefusedError
	return errors.As(err, &refused)
}
