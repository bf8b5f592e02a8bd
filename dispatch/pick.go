package dispatch

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// pollInterval is the longest pause between two looks at the fleet while a request waits.
	pollInterval clock.Millis = 50
	// relaxShare is the part of the time to the target after which a waiting prompt may slow others down.
	relaxShare = 0.6
)

// spot is where an attempt runs.
type spot struct {
	first   fleet.Server
	helpers []fleet.Server
	plan    assignment.Plan
	ticket  *fleet.Ticket
}

// pick chooses the servers of the next attempt and counts its work on them. It waits while no engine has room.
func (x *run) pick(ctx context.Context) (*spot, error) {
	began := x.d.clock.Now()
	defer func() { x.waited += x.d.clock.Now() - began }()
	for {
		notice := x.d.fleet.Notice()
		found, err := x.choose()
		if found != nil || err != nil {
			return found, err
		}
		due, stop := x.d.clock.After(pollInterval)
		select {
		case <-notice:
		case <-due:
		case <-ctx.Done():
			stop()
			return nil, ctx.Err()
		}
		stop()
	}
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
		var ok bool
		if plan, ok = assignment.Choose(&pool, candidates, x.prompt()); !ok {
			return nil, nil
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
	target := x.Started + x.Route.Target - now
	return &assignment.Prompt{
		Tokens: x.Prompt, Answer: x.Answer, Target: target, Left: x.Deadline - now,
		MaxPause: x.Route.MaxPause, Domain: x.d.domain,
		Relaxed: float64(target) < (1-relaxShare)*float64(x.Route.Target),
	}
}

// take counts the plan's work on its servers.
func (x *run) take(candidates []fleet.Candidate, plan *assignment.Plan) *spot {
	byID := map[poplarwinch.UpstreamID]*fleet.Candidate{}
	for i := range candidates {
		byID[candidates[i].ID] = &candidates[i]
	}
	found := &spot{first: byID[plan.First].Server, plan: *plan}
	for _, id := range plan.Helpers {
		found.helpers = append(found.helpers, byID[id].Server)
	}
	found.ticket = x.d.fleet.Begin(fleet.Work{
		First: plan.First, Helpers: plan.Helpers, Read: plan.Read, MaxPause: x.Route.MaxPause, Memory: x.Prompt + x.Answer,
		Due: x.Started + x.Route.Target,
	})
	load := byID[plan.First].Load
	x.log.WithFields(log.Fields{
		"upstream": plan.First, "helpers": len(plan.Helpers), "reason": plan.Reason, "predicted-ms": plan.FirstEvent,
		"read-ms": plan.Read, "tokens": x.Prompt, "requests": load.Requests, "queued-read-ms": load.Read,
		"age-ms": x.d.clock.Now() - x.Started, "attempt": x.sends + 1,
	}).Info("routing decision")
	return found
}
