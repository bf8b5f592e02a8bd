package entry

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/routing"
)

// candidateFields is a candidate of a routing decision as it is logged.
type candidateFields struct {
	Upstream  poplarwinch.UpstreamID `json:"upstream"`
	Predicted int64                  `json:"predicted-ms"`
	Waiting   int64                  `json:"waiting-tokens"`
	Cached    int64                  `json:"cached-tokens"`
	Running   int64                  `json:"running-requests"`
	Reserved  int64                  `json:"reserved-tokens,omitempty"`
}

// logDecision writes the log line of a routing decision for a prompt.
func (p *promptRun) logDecision(d *routing.Decision) {
	p.exchange.logDecision(d, log.Fields{
		"model": string(p.prompt.Model), "adapter": string(p.prompt.Adapter), "class": string(p.prompt.Class),
		"tokens": int64(p.prompt.Tokens), "attempt": p.attempts + 1,
	})
}

// logDecision writes the log line of a routing decision for a service call.
func (r *serviceRun) logDecision(d *routing.Decision) {
	r.exchange.logDecision(d, log.Fields{"service": string(r.service.Name), "attempt": r.attempts})
}

func (x *exchange) logDecision(d *routing.Decision, fields log.Fields) {
	candidates := make([]candidateFields, len(d.Candidates))
	for i, c := range d.Candidates {
		candidates[i] = candidateFields{
			Upstream: c.Upstream.ID, Predicted: int64(c.Predicted), Waiting: int64(c.Waiting),
			Cached: int64(c.Cached), Running: c.Running, Reserved: int64(c.Reserved),
		}
	}
	fields["upstream"] = string(d.Upstream.ID)
	fields["reason"] = string(d.Reason)
	fields["predicted-ms"] = int64(d.Predicted)
	fields["candidates"] = candidates
	x.log.WithFields(fields).Info("routing decision")
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
