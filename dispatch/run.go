package dispatch

import (
	"context"
	"errors"
	"fmt"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

const (
	// maxDeaths is the number of servers that one request may crash before its repeats are refused.
	maxDeaths = 3
	// retryAfterSuspect is the hint for a request that crashes servers.
	retryAfterSuspect = 10 * clock.Second
	// maxSends bounds the servers that one request is sent to, refusals included.
	maxSends = 6
)

// errCaller marks a failed write to the caller.
var errCaller = errors.New("the caller stopped reading")

// run is the execution of one request.
type run struct {
	*Request
	d     *Dispatcher
	reply Reply
	log   log.Interface
	// avoid are servers that failed this request.
	avoid map[poplarwinch.UpstreamID]bool
	// ran counts the servers that may have run the request.
	ran int
	// sends counts the servers that the request was sent to.
	sends int
	// begun says that the status and headers were sent to the caller.
	begun bool
	// events is the state of an event stream.
	events events
	// firstEvent is the time from the arrival to the first event, and zero before.
	firstEvent clock.Millis
	last       fleet.Server
	// waited is the time spent waiting for an engine.
	waited clock.Millis
}

func newRun(d *Dispatcher, r *Request, reply Reply) *run {
	return &run{
		Request: r, d: d, reply: reply, avoid: map[poplarwinch.UpstreamID]bool{},
		log: d.log.WithFields(log.Fields{"request-id": r.ID, "route": r.Route.Name, "customer": r.Customer}),
	}
}

// run tries servers until one has answered.
func (x *run) run(ctx context.Context) error {
	if n := x.d.suspects.Deaths(x.Fingerprint); n >= maxDeaths {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: retryAfterSuspect,
			Message: fmt.Sprintf("%d servers died while they ran this request", n), Remedy: "change the request",
		}
	}
	ctx, cancel := context.WithTimeout(ctx, (x.Deadline - x.d.clock.Now()).Duration())
	defer cancel()
	for {
		err := x.attempt(ctx)
		if err == nil {
			return nil
		}
		if !x.again(ctx, err) {
			return x.failure(ctx, err)
		}
	}
}

// again reports whether the request may be sent to another server after err.
func (x *run) again(ctx context.Context, err error) bool {
	var failed *CallError
	if ctx.Err() != nil || errors.Is(err, errCaller) || !errors.As(err, &failed) || x.sends >= maxSends {
		return false
	}
	allowed := false
	switch {
	case failed.Failure == FailureNotSent:
		allowed = true
	case !failed.MayHaveRun():
		allowed = x.d.budget(x.Service).Take()
	default:
		allowed = x.Route.MayRepeat() && x.ran < max(x.Route.MaxAttempts, 1) && x.resumable() && x.d.budget(x.Service).Take()
	}
	x.log.WithFields(log.Fields{
		"upstream": x.last.ID, "attempt": x.sends, "ran": x.ran, "again": allowed, "last-event": x.events.last,
	}).WithError(err).Warn("attempt failed")
	return allowed
}

// resumable reports whether another server can continue what the caller has received.
func (x *run) resumable() bool { return !x.begun || x.Route.Resumable && x.events.last != "" }

// suspect counts the death of a server, if it died, against the request that it ran.
func (x *run) suspect(s fleet.Server) {
	x.d.doubt(s, func(alive bool) {
		if alive {
			return
		}
		death := quarantine.Death{Upstream: s.ID, At: x.d.clock.Now()}
		x.d.suspects.Merge([]quarantine.Suspect{{Fingerprint: x.Fingerprint, Deaths: []quarantine.Death{death}}})
		x.log.WithFields(log.Fields{
			"upstream": s.ID, "deaths": x.d.suspects.Deaths(x.Fingerprint),
		}).Warn("a server died while it ran the request")
	})
}

// record logs and counts the end of the request.
func (x *run) record(err error) {
	total := x.d.clock.Now() - x.Started
	fields := log.Fields{
		"upstream": x.last.ID, "attempts": x.sends, "ran": x.ran, "first-event-ms": x.firstEvent, "total-ms": total,
		"waited-ms": x.waited, "tokens": x.Prompt,
	}
	result := "completed"
	if err != nil {
		problem := poplarwinch.AsError(err, poplarwinch.OutcomeUnknown)
		result = string(problem.Kind)
		fields["kind"], fields["outcome"], fields["error"] = problem.Kind, problem.Outcome, problem.Error()
		fields["retry-after-ms"] = problem.RetryAfter
	}
	fields["result"] = result
	x.log.WithFields(fields).Info("request ended")
	x.d.metrics.ended(x.Service, result, x.firstEvent, total)
}
