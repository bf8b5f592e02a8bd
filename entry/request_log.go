package entry

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/routing"
)

// logDecision logs the routing decision for a prompt.
func (p *promptRun) logDecision(d *routing.Decision) {
	p.log.WithFields(d.Fields()).WithFields(log.Fields{
		"model": p.prompt.Model, "adapter": p.prompt.Adapter, "class": p.prompt.Class, "tokens": p.prompt.Tokens,
		"attempt": p.attempts + 1,
	}).Info("routing decision")
}

// logDecision logs the routing decision for a service call.
func (r *serviceRun) logDecision(d *routing.Decision) {
	r.log.WithFields(d.Fields()).WithField("service", r.service.Name).WithField("attempt", r.attempts).Info("routing decision")
}

// recordEnd counts a finished request and logs its end.
func (x *exchange) recordEnd(failure *poplarwinch.Error) {
	outcome, kind, status := poplarwinch.OutcomeCompleted, poplarwinch.Kind(""), 200
	if failure != nil {
		outcome, kind, status = failure.Outcome, failure.Kind, failure.Kind.Status()
	}
	total := x.sinceStart()
	x.server.metrics.requestEnded(x.class, outcome, kind, x.firstToken, total)
	entry := x.log.WithFields(log.Fields{
		"method": x.request.Method, "path": x.request.URL.Path, "outcome": string(outcome), "status": status,
		"total-ms": int64(total), "attempts": x.attempts,
	})
	if x.upstreamID != "" {
		entry = entry.WithField("upstream", string(x.upstreamID))
	}
	if x.class != "" {
		entry = entry.WithFields(log.Fields{"class": x.class, "first-token-ms": int64(x.firstToken)})
	}
	if failure == nil {
		entry.Info("request ended")
		return
	}
	entry = entry.WithFields(log.Fields{"kind": string(kind), "problem": failure.Message})
	if failure.Cause != nil {
		entry = entry.WithError(failure.Cause)
	}
	entry.Warn("request ended")
}
