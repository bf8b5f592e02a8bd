package dispatch

import (
	"context"
	"math/rand/v2"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// pollInterval is the longest pause between two looks at the fleet while a request waits.
	pollInterval clock.Millis = 50
	// newsMillis is the time in which a decision becomes known to the other instances, and maxSpread bounds the span over which
	// waiting requests spread out for that reason.
	newsMillis clock.Millis = 6
	maxSpread  clock.Millis = 120
	// retryAfterCrest is the shortest hint for prompts that came at a crest; it is spread over half as much again.
	retryAfterCrest = 2 * clock.Second
	// retryAfterReject is the hint for prompts that can't be answered in time.
	retryAfterReject = clock.Second
)

// spot is where an attempt runs.
type spot struct {
	first   fleet.Server
	helpers []Helper
	plan    assignment.Plan
	// free has the memory of the plan's engines while it is not reserved yet.
	free   []reservation.Candidate
	load   fleet.Load
	ticket *fleet.Ticket
	// group is memory that is reserved on several engines.
	group *reservation.Group
	// endRenewals ends the renewal of that memory; renewed is closed when the last renewal is over.
	endRenewals context.CancelFunc
	renewed     chan struct{}
}

// end gives back what the attempt holds.
func (s *spot) end(d *Dispatcher) {
	s.ticket.End()
	if s.group == nil {
		return
	}
	s.endRenewals()
	d.background.Go(func() { s.runRelease(d) })
}

// runRelease frees the memory after the last renewal, which would take it again.
func (s *spot) runRelease(d *Dispatcher) {
	<-s.renewed
	d.memory.Free(s.group)
}

// pick chooses the servers of the next attempt and counts its work on them. It waits while no engine has room.
func (x *run) pick(ctx context.Context) (*spot, error) {
	began := x.d.clock.Now()
	defer func() { x.waited += x.d.clock.Now() - began }()
	defer x.d.fleet.Wait()()
	for {
		notice := x.d.fleet.Notice()
		found, err := x.choose()
		if found != nil && found.plan.Shared {
			found, err = x.reserve(ctx, found)
		}
		if found != nil || err != nil {
			return found, err
		}
		due, stop := x.d.clock.After(pollInterval)
		select {
		case <-notice:
			_ = x.d.clock.Sleep(ctx, x.d.turn())
		case <-due:
		case <-ctx.Done():
			stop()
			return nil, ctx.Err()
		}
		stop()
	}
}

// turn returns the time after which a waiting request may decide on a change. All waiting requests of all instances see the
// same change; spread out, most of them learn who took the engine before their turn.
func (d *Dispatcher) turn() clock.Millis {
	others := d.fleet.Waiting() - 1
	span := min(newsMillis*clock.Millis(others), maxSpread)
	return clock.Millis(rand.Int64N(int64(max(span, 0)) + 1))
}

// choose makes one decision; both results are nil if the request has to wait.
func (x *run) choose() (*spot, error) {
	d := x.d
	d.choosing.Lock()
	defer d.choosing.Unlock()
	candidates := d.fleet.Candidates(x.Service)
	for i := range candidates {
		if x.avoid[candidates[i].ID] {
			candidates[i].Avoid = true
		}
	}
	if len(candidates) == 0 {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second,
			Message: "the service has no server", Remedy: "retry later",
		}
	}
	var plan assignment.Plan
	pool, isPool := x.pool()
	if isPool {
		var verdict assignment.Verdict
		switch plan, verdict = assignment.Choose(&pool, candidates, x.prompt()); verdict {
		case assignment.VerdictWait:
			return nil, nil
		case assignment.VerdictYield:
			return nil, &poplarwinch.Error{
				Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun,
				RetryAfter: retryAfterCrest + clock.Millis(rand.Int64N(int64(retryAfterCrest/2))),
				Message:    "the engines are full", Remedy: "retry later",
			}
		case assignment.VerdictReject:
			return nil, &poplarwinch.Error{
				Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: retryAfterReject,
				Message: "the engines can't answer a prompt of this size in the time that is left", Remedy: "retry with more time",
			}
		}
	} else {
		plan = assignment.Server(candidates, d.domain)
	}
	return x.take(candidates, &plan), nil
}

// pool returns the parameters of the service's engines.
func (x *run) pool() (route.Pool, bool) {
	t := x.d.active()
	if t == nil || x.Prompt == 0 {
		return route.Pool{}, false
	}
	p, ok := t.Pools[x.Service]
	return p, ok
}

// prompt describes the request for a decision.
func (x *run) prompt() *assignment.Prompt {
	now := x.d.clock.Now()
	return &assignment.Prompt{
		Tokens: x.Prompt, Answer: x.Answer, Left: x.Deadline - now, MaxPause: x.Route.MaxPause, Domain: x.d.domain,
		Target: x.Started + x.Route.Target - now, FullTarget: x.Route.Target,
		Patience: min(x.Deadline, x.Started+x.patience()) - now, FullPatience: min(x.Deadline-x.Started, x.patience()),
	}
}

// take counts the plan's work on its servers, unless memory has to be reserved first.
func (x *run) take(candidates []fleet.Candidate, plan *assignment.Plan) *spot {
	byID := map[poplarwinch.UpstreamID]*fleet.Candidate{}
	for i := range candidates {
		byID[candidates[i].ID] = &candidates[i]
	}
	found := &spot{first: byID[plan.First].Server, plan: *plan}
	for _, id := range plan.Helpers {
		found.helpers = append(found.helpers, Helper{Server: byID[id].Server})
	}
	if plan.Shared {
		found.free = freeMemory(candidates, x.d.active().Pools[x.Service], plan)
		return found
	}
	found.load = byID[plan.First].Load
	x.occupy(found, x.Prompt+x.Answer, nil)
	return found
}

// occupy counts the work of an attempt.
func (x *run) occupy(found *spot, memory poplarwinch.Tokens, shares map[poplarwinch.UpstreamID]poplarwinch.Tokens) {
	w := fleet.Work{
		First: found.first.ID, Read: found.plan.Read, MaxPause: x.Route.MaxPause, Memory: memory,
		Due: x.due(found.plan.Reason), Shares: shares,
	}
	for _, h := range found.helpers {
		if h.ID != w.First {
			w.Helpers = append(w.Helpers, h.ID)
		}
	}
	found.ticket = x.d.fleet.Begin(w)
	x.logDecision(found, &w)
}

// logDecision records where the request goes and what was known of the engine.
func (x *run) logDecision(found *spot, w *fleet.Work) {
	entry := x.log
	if len(w.Helpers) > 0 {
		entry = entry.WithField("helper-upstreams", w.Helpers)
	}
	entry.WithFields(log.Fields{
		"upstream": w.First, "helpers": len(w.Helpers), "reserved": len(w.Shares), "reason": found.plan.Reason,
		"predicted-ms": found.plan.FirstEvent, "read-ms": w.Read, "tokens": x.Prompt, "requests": found.load.Requests,
		"queued-read-ms": found.load.Read, "age-ms": x.d.clock.Now() - x.Started, "attempt": x.sends + 1,
		"configuration": x.d.version(), "servers-version": x.d.listVersion(),
	}).Info("routing decision")
}

// due returns the time by which the prompt should be read: the target, or what the caller's patience allows if that is
// missed anyway.
func (x *run) due(reason assignment.Reason) clock.Millis {
	if reason == assignment.ReasonLate {
		return min(x.Deadline, x.Started+x.patience())
	}
	return x.Started + x.Route.Target
}
