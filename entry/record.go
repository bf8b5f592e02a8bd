package entry

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/routing"
)

// logDecision writes the log line of a routing decision for a prompt.
func (p *promptRun) logDecision(d *routing.Decision) {
	p.log.WithFields(d.Fields()).WithFields(log.Fields{
		"model": p.prompt.Model, "adapter": p.prompt.Adapter, "class": p.prompt.Class, "tokens": p.prompt.Tokens,
		"attempt": p.attempts + 1,
	}).Info("routing decision")
}

// logDecision writes the log line of a routing decision for a service call.
func (r *serviceRun) logDecision(d *routing.Decision) {
	r.log.WithFields(d.Fields()).WithField("service", r.service.Name).WithField("attempt", r.attempts).Info("routing decision")
}

// record counts the end of a request and writes its log line.
func (x *exchange) record(problem *poplarwinch.Error) {
	outcome, kind, status := poplarwinch.OutcomeCompleted, poplarwinch.Kind(""), 200
	if problem != nil {
		outcome, kind, status = problem.Outcome, problem.Kind, problem.Kind.Status()
	}
	total := x.sinceStart()
	x.server.metrics.ended(x.class, outcome, kind, x.firstToken, total)
	entry := x.log.WithFields(log.Fields{
		"method": x.request.Method, "path": x.request.URL.Path, "outcome": string(outcome), "status": status,
		"total-ms": int64(total), "attempts": x.attempts,
	})
	if x.upstream != "" {
		entry = entry.WithField("upstream", string(x.upstream))
	}
	if x.class != "" {
		entry = entry.WithFields(log.Fields{"class": x.class, "first-token-ms": int64(x.firstToken)})
	}
	if problem == nil {
		entry.Info("request ended")
		return
	}
	entry = entry.WithFields(log.Fields{"kind": string(kind), "problem": problem.Message})
	if problem.Cause != nil {
		entry = entry.WithError(problem.Cause)
	}
	entry.Warn("request ended")
}
