package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// pollInterval is the longest time between two decisions for a waiting request.
	pollInterval clock.Millis = 50
	// maxListWait is the longest time for which a request waits for the server list of an instance that has just started.
	maxListWait = 2 * clock.Second
	// maxJitter bounds the random delay of waiting requests after a change of the fleet.
	maxJitter clock.Millis = 120
	// retryAfterFull is the shortest Retry-After hint for requests rejected because the servers are full, unless the time until they have
	// room is predicted; up to half of it is added as jitter.
	retryAfterFull = 2 * clock.Second
	// retryAfterReject is the Retry-After hint for prompts that can't be answered before their deadline.
	retryAfterReject = clock.Second
)

// selection holds the servers of an attempt, and its load and reservations on them.
type selection struct {
	first   fleet.Server
	helpers []Helper
	plan    assignment.Plan
	// freeCandidates holds the free memory of the plan's engines, if memory has to be reserved on them.
	freeCandidates []reservation.Candidate
	// load is the load of the first server before the attempt, for the log.
	load   fleet.Load
	ticket *fleet.Ticket
	// cost is the remaining work at a plain server; nil for others.
	cost *cost.Running
	// sentAt is the time at which the request was sent, and firstEventAt that of its first event; zero if there was none.
	sentAt       clock.Millis
	firstEventAt clock.Millis
	// lastEventAt is the time of the latest event with content; zero if there was none.
	lastEventAt clock.Millis
	// events is the number of events with content.
	events int
	// progressDue is the time after the first event at which the progress of the answer is recorded next.
	progressDue clock.Millis
	// resumed says that the server was asked only for the rest of an answer.
	resumed bool
	// answer is the response of the server; nil before it.
	answer *Answer
	// group is the memory that is reserved on several engines, or nil.
	group *reservation.Group
	// stopRenewals stops renewing the reservations of group.
	stopRenewals context.CancelFunc
	// renewalsDone is closed after the last renewal.
	renewalsDone chan struct{}
}

// answeredFor returns the time from the first event to now, or zero if there was no event.
func (s *selection) answeredFor(now clock.Millis) clock.Millis {
	if s.firstEventAt == 0 {
		return 0
	}
	return now - s.firstEventAt
}

// aliveAt returns the latest time at which the server is known to have been alive.
func (s *selection) aliveAt() clock.Millis { return max(s.sentAt, s.lastEventAt-eventDelay) }

// release removes the attempt's load and, in the background, its reservations.
func (s *selection) release(d *Dispatcher) {
	s.ticket.End()
	s.endCost()
	if s.group == nil {
		return
	}
	s.stopRenewals()
	d.background.Go(func() { s.runRelease(d) })
}

// runRelease frees the memory after the last renewal: a later renewal would reserve it again.
func (s *selection) runRelease(d *Dispatcher) {
	<-s.renewalsDone
	for _, share := range s.group.Shares {
		d.fleet.CountOrders([]poplarwinch.UpstreamID{share.Upstream})
	}
	d.reservations.Free(s.group)
}

// pick selects the servers of the next attempt and records its load on them. It waits while no engine has capacity.
func (x *run) pick(ctx context.Context) (*selection, error) {
	if s := x.takeSuccessor(); s != nil {
		s.first = x.d.fleet.Current(s.first)
		return s, nil
	}
	started := x.d.clock.Now()
	defer func() { x.waited += x.d.clock.Now() - started }()
	if x.isOrdered() {
		return x.pickInOrder(ctx)
	}
	defer x.d.fleet.CountWaiting()()
	for {
		if err := x.blocked(); err != nil {
			return nil, err
		}
		changed := x.d.fleet.Changed()
		selected, err := x.choose()
		if selected != nil && selected.plan.Shared {
			selected, err = x.reserveOrReject(ctx, selected)
		}
		if selected != nil || err != nil {
			return selected, err
		}
		due, stop := x.d.clock.After(pollInterval)
		select {
		case <-x.waitingEnds():
			stop()
			return nil, shuttingDown()
		case <-changed:
			_ = x.d.clock.Sleep(ctx, x.d.jitter())
		case <-due:
		case <-ctx.Done():
			stop()
			return nil, ctx.Err()
		}
		stop()
	}
}

// waitingEnds returns the channel that is closed when the request should no longer wait for a server, or nil if it has been sent to one.
func (x *run) waitingEnds() <-chan struct{} {
	if x.begun || x.possibleRuns > 0 {
		return nil
	}
	return x.d.waitingEnds
}

// jitter returns a random delay before a waiting request reacts to a change of the fleet. The waiting requests of all
// instances see the same change; the delays let most of them learn of the others' decisions before they decide.
func (d *Dispatcher) jitter() clock.Millis {
	others := d.fleet.Waiting() - 1
	maxDelay := min(fleet.PropagationDelay*clock.Millis(others), maxJitter)
	return clock.Millis(rand.Int64N(int64(max(maxDelay, 0)) + 1))
}

// choose makes one decision. Both results are nil if the request has to wait.
func (x *run) choose() (*selection, error) {
	d := x.d
	d.decisionMutex.Lock()
	defer d.decisionMutex.Unlock()
	candidates := x.candidates()
	if len(candidates) == 0 {
		return nil, x.noServer()
	}
	plan, verdict := x.plan(candidates)
	if verdict != assignment.VerdictRun {
		x.observeHeldBack(candidates)
		return nil, x.verdictError(verdict, candidates)
	}
	return x.apply(candidates, &plan), nil
}

// candidates returns the allowed servers of the service; those that have failed the request are to be avoided.
func (x *run) candidates() []fleet.Candidate {
	return x.markExcluded(x.allowedCandidates())
}

// markExcluded marks the servers that have failed the request as to be avoided.
func (x *run) markExcluded(candidates []fleet.Candidate) []fleet.Candidate {
	for i := range candidates {
		if x.excluded[startOf(&candidates[i].Server)] {
			candidates[i].Avoid = true
		}
	}
	return candidates
}

// noServer returns the error for a service without servers, or nil while their list may be on the way.
func (x *run) noServer() error {
	if x.listOnTheWay() {
		return nil
	}
	if err := x.noAllowedServer(); err != nil {
		return err
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second,
		Message: "the service has no server", Remedy: "retry later",
	}
}

// plan chooses among the candidates: engines for a prompt, or a server of a plain service.
func (x *run) plan(candidates []fleet.Candidate) (assignment.Plan, assignment.Verdict) {
	if pool, isPool := x.pool(); isPool {
		return assignment.Choose(&pool, candidates, x.prompt())
	}
	left, full := x.plainPatience()
	return x.planServer(candidates, left, full)
}

// planSuccessor is plan for a successor. It runs beside the attempt, so it must not use what changes during one. A successor does not wait,
// so the patience of the caller does not matter.
func (x *run) planSuccessor(candidates []fleet.Candidate) (assignment.Plan, assignment.Verdict) {
	if pool, isPool := x.pool(); isPool {
		return assignment.Choose(&pool, candidates, x.prompt())
	}
	return x.planServer(candidates, x.Deadline-x.d.clock.Now(), x.Deadline-x.Started)
}

// verdictError returns the error for a request that is rejected now, or nil if it waits.
func (x *run) verdictError(v assignment.Verdict, candidates []fleet.Candidate) error {
	switch v {
	case assignment.VerdictYield:
		return x.overloaded("the engines are full", x.untilFree(candidates))
	case assignment.VerdictLimited:
		return x.overloaded(fmt.Sprintf("the limits of all %d servers are used up", len(candidates)), untilAllowed(candidates))
	case assignment.VerdictResting:
		if resting := allResting(candidates); resting != nil {
			return resting
		}
	case assignment.VerdictReject:
		return &poplarwinch.Error{
			Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: retryAfterReject,
			Message: "the engines can't answer a prompt of this size in the time that is left", Remedy: "retry with more time",
		}
	}
	return nil
}

// overloaded returns the error for a request that is rejected because the servers take no more now. untilFree is the predicted time
// until they do, zero if unknown.
func (x *run) overloaded(message string, untilFree clock.Millis) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: x.retryAfter(untilFree), Message: message, Remedy: "retry later",
	}
}

// allResting returns the error for a request while all servers want no requests, with the time until the first of them wants some again.
// It is nil if there are others.
func allResting(candidates []fleet.Candidate) *poplarwinch.Error {
	earliest := clock.Millis(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.Resting {
			return nil
		}
		if earliest == 0 || c.Wait < earliest {
			earliest = c.Wait
		}
	}
	if earliest == 0 {
		return nil
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: earliest,
		Message: fmt.Sprintf("all %d servers want no requests for a time", len(candidates)), Remedy: "retry later",
	}
}

// pool returns the parameters of the service's engine pool. It reports false for plain services and requests without prompt
// tokens.
func (x *run) pool() (route.Pool, bool) {
	t := x.d.active()
	if t == nil || x.PromptTokens == 0 {
		return route.Pool{}, false
	}
	p, ok := t.Pools[x.Service]
	return p, ok
}

// prompt returns the description of the request on which a decision is based.
func (x *run) prompt() *assignment.Prompt {
	now := x.d.clock.Now()
	return &assignment.Prompt{
		Seed: xxhash.Sum64String(string(x.ID)), Tokens: x.PromptTokens, AnswerTokens: x.MaxAnswerTokens, TimeLeft: x.Deadline - now,
		MaxPause: x.Route.MaxPause, Domain: x.d.domain, Path: x.path(),
		Target: x.Started + x.Route.Target - now, FullTarget: x.Route.Target,
		CallerTimeout: min(x.Deadline, x.Started+x.callerTimeout()) - now, FullCallerTimeout: min(x.Deadline-x.Started, x.callerTimeout()),
		FirstEventFactor: x.correctFirstEvent(),
	}
}

// apply returns the selection for a plan. It records the load unless memory has to be reserved first.
func (x *run) apply(candidates []fleet.Candidate, plan *assignment.Plan) *selection {
	byID := map[poplarwinch.UpstreamID]*fleet.Candidate{}
	for i := range candidates {
		byID[candidates[i].ID] = &candidates[i]
	}
	selected := &selection{first: byID[plan.First].Server, plan: *plan}
	for _, id := range plan.Helpers {
		selected.helpers = append(selected.helpers, Helper{Server: byID[id].Server})
	}
	if plan.Shared {
		selected.freeCandidates = freeMemory(candidates, x.d.active().Pools[x.Service], plan)
		x.d.fleet.CountOrders(selected.engines())
		return selected
	}
	selected.load = byID[plan.First].Load
	x.recordLoad(selected, x.PromptTokens+x.MaxAnswerTokens, nil)
	return selected
}

// recordLoad adds the load of an attempt to its servers.
func (x *run) recordLoad(selected *selection, memory poplarwinch.Tokens, shares map[poplarwinch.UpstreamID]poplarwinch.Tokens) {
	w := fleet.Work{
		First: selected.first.ID, Prefill: selected.plan.Prefill, MaxPause: x.Route.MaxPause, Memory: memory,
		Due: x.prefillDue(selected.plan.Reason), Shares: shares,
	}
	for _, h := range selected.helpers {
		if h.ID != w.First {
			w.Helpers = append(w.Helpers, h.ID)
		}
	}
	selected.ticket = x.d.fleet.Begin(w)
	x.beginCost(selected)
	x.logDecision(selected, &w)
}

// logDecision logs the selected servers and the known load of the first one.
func (x *run) logDecision(selected *selection, w *fleet.Work) {
	entry := x.log
	if len(w.Helpers) > 0 {
		entry = entry.WithField("helper-upstreams", w.Helpers)
	}
	entry.WithFields(log.Fields{
		"upstream": w.First, "helpers": len(w.Helpers), "reserved": len(w.Shares), "reason": selected.plan.Reason,
		"predicted-ms": selected.predictedMillis(), "read-ms": w.Prefill, "tokens": x.PromptTokens, "requests": selected.load.Requests,
		"queued-read-ms": selected.load.Prefill, "age-ms": x.d.clock.Now() - x.Started, "attempt": x.sends + 1,
		"configuration": x.d.version(), "servers-version": x.d.listVersion(),
	}).Info("routing decision")
}

// prefillDue returns the time by which prefill of the prompt should be done: the target, or the caller's timeout
// if the target is missed anyway.
func (x *run) prefillDue(reason assignment.Reason) clock.Millis {
	if reason == assignment.ReasonLate {
		return min(x.Deadline, x.Started+x.callerTimeout())
	}
	return x.Started + x.Route.Target
}
