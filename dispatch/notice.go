package dispatch

import (
	"errors"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// observeNotice reports to the fleet what a server says of itself in its answer or rejection. A rejection ends no statement, since another
// server may have written it. If a helper is at fault, only the time for which it wants no requests is known to be its own statement.
func (x *run) observeNotice(answer *Answer, err error, selected *selection) {
	var failed *CallError
	switch {
	case err == nil:
		x.tellFleet(selected.first, answer.Notice, selected.sentAt)
	case errors.As(err, &failed):
		s, known := selected.atFault(failed)
		switch {
		case known && s.ID == selected.first.ID:
			x.tellFleet(s, failed.Notice, 0)
		case known:
			x.tellFleet(s, fleet.Notice{Rest: failed.Notice.Rest}, 0)
		}
	}
}

// tellFleet records the notice of a server in an answer to a request that was sent at a time.
func (x *run) tellFleet(s fleet.Server, n fleet.Notice, sentAt clock.Millis) {
	if x.d.fleet.Observe(s, n, sentAt) {
		x.log.WithFields(log.Fields{
			"upstream": s.ID, "leaving": n.Leaving, "rest-ms": n.Rest, "requests-per-second": n.Limit, "cold-ms": n.Cold.Left,
		}).Info("server notice changed")
	}
}

// atFault returns the server that caused a failure, the called one or a helper. It reports false if it is neither.
func (s *selection) atFault(failed *CallError) (fleet.Server, bool) {
	if failed.AtFault == "" || failed.AtFault == s.first.Address {
		return s.first, true
	}
	for _, h := range s.helpers {
		if h.Address == failed.AtFault {
			return h.Server, true
		}
	}
	return fleet.Server{}, false
}
