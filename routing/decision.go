package routing

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Decision is a selected upstream with the figures that led to it.
type Decision struct {
	Upstream  *upstream.Upstream
	Predicted clock.Millis
	Reason    Reason
	// Candidates starts with the selected upstream; up to three others follow in order of prediction and serve as
	// failover list.
	Candidates []Candidate
}

// Fields returns the fields of the decision's log line.
func (d Decision) Fields(p *Prompt) log.Fields {
	candidates := make([]log.Fields, len(d.Candidates))
	for i, c := range d.Candidates {
		candidates[i] = log.Fields{
			"upstream": c.Upstream.ID, "predicted-ms": c.Predicted, "waiting-tokens": c.Waiting,
			"lower-waiting-tokens": c.LowerWaiting, "cached-tokens": c.Cached, "running": c.Running,
			"long-prefills": c.LongPrefills,
		}
	}
	return log.Fields{
		"request-id": p.RequestID, "customer": p.Customer, "model": p.Model, "class": p.Class, "tokens": p.Tokens,
		"upstream": d.Upstream.ID, "reason": d.Reason, "predicted-ms": d.Predicted, "candidates": candidates,
	}
}
