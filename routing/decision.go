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

// Fields returns the decision for a log line: the choice, its reason and the figures behind it.
func (d Decision) Fields() log.Fields {
	candidates := make([]log.Fields, len(d.Candidates))
	for i, c := range d.Candidates {
		candidates[i] = log.Fields{
			"upstream": c.Upstream.ID, "predicted-ms": c.Predicted, "waiting-tokens": c.Waiting,
			"lower-waiting-tokens": c.LowerWaiting, "cached-tokens": c.Cached, "running-requests": c.Running,
			"long-prefills": c.LongPrefills, "reserved-tokens": c.Reserved,
		}
	}
	return log.Fields{
		"upstream": d.Upstream.ID, "reason": d.Reason, "predicted-ms": d.Predicted, "candidates": candidates,
	}
}
