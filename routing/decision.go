package routing

import (
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
