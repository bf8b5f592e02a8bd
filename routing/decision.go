package routing

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Decision is the selected upstream with the figures behind the selection.
type Decision struct {
	Upstream  *upstream.Upstream
	Predicted clock.Millis
	Reason    Reason
	// Candidates starts with the selected upstream. Up to three others follow in order of predicted time to first token;
	// they are the failover list.
	Candidates []Candidate
}

// Fields returns the decision as log fields.
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
