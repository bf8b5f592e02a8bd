package dispatch

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// successorInterval is the time between two searches for servers that can take over from a silent one.
	successorInterval clock.Millis = 250
	// silentProbeInterval is the time between two probes of a silent server that accepted the last one.
	silentProbeInterval = clock.Second
	// deadProbes is the number of failed probes in a row after which a silent server is taken for dead.
	deadProbes = 2
)

// silence decides what happens to an attempt whose server sent nothing within the limit. A sound server may be silent for a moment, so
// the attempt is given up only if other servers are ready to take over, or its own accepts no connections.
type silence struct {
	x        *run
	selected *selection
	// extension returns the time by which the limit for the first event is extended.
	extension func() clock.Millis
	// probedAt is the time of the latest probe; zero if there was none.
	probedAt     clock.Millis
	failedProbes int
	// denied is the reason that was logged last.
	denied denial
}

// decide returns the ruling on the attempt.
func (s *silence) decide(ctx context.Context) (r ruling) {
	defer func() {
		if cause := recover(); cause != nil {
			s.x.log.WithFields(log.Fields{"cause": fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("decision on a silent server panicked")
			r = ruling{wait: successorInterval}
		}
	}()
	if more := s.extension(); more > 0 {
		return ruling{wait: more}
	}
	successor, denied := s.x.prepareSuccessor(ctx, s.selected)
	if successor != nil {
		return ruling{successor: successor}
	}
	dead := s.isDead(ctx)
	s.log(denied, dead)
	if dead {
		return ruling{}
	}
	return ruling{wait: successorInterval}
}

// isDead reports whether the server accepted no connection in several probes, or was started again: then another process accepts them. It is
// not probed while its failure domain is evacuated.
func (s *silence) isDead(ctx context.Context) bool {
	if s.x.d.fleet.Listing(s.selected.first) == fleet.ListingReplaced {
		return true
	}
	if !s.x.d.mayProbe(s.selected.first) {
		return false
	}
	now := s.x.d.clock.Now()
	if s.failedProbes == 0 && s.probedAt > 0 && now < s.probedAt+silentProbeInterval {
		return false
	}
	s.probedAt = now
	alive := s.x.d.probe(ctx, s.selected.first)
	switch {
	case ctx.Err() != nil:
		return false
	case alive:
		s.failedProbes = 0
	default:
		s.failedProbes++
	}
	return s.failedProbes >= deadProbes
}

// log logs why no server takes over, unless the last line said the same.
func (s *silence) log(denied denial, dead bool) {
	entry := s.x.log.WithFields(log.Fields{
		"upstream": s.selected.first.ID, "denied": denied, "failed-probes": s.failedProbes, "age-ms": s.x.d.clock.Now() - s.x.Started,
	})
	switch {
	case dead:
		entry.Warn("server silent and unreachable; ending the attempt")
	case denied != s.denied:
		entry.Info("server silent, and no other can take over; waiting on")
	}
	s.denied = denied
}

// prepareSuccessor selects the servers that take over from a silent attempt, records the load on them and takes a retry from the
// budget. Otherwise it returns the reason against it. It runs beside the attempt, so it must not use what changes during one.
func (x *run) prepareSuccessor(ctx context.Context, silent *selection) (*selection, denial) {
	budget := x.d.budget(x.Service)
	switch {
	case x.sends >= maxSends:
		return nil, denialMaxAttempts
	case x.d.suspects.IsSuspect(x.suspects), x.mayBeBlocked(1):
		return nil, denialSuspect
	case !budget.Allows():
		return nil, denialBudget
	}
	selected := x.chooseOther(silent)
	if selected != nil && selected.plan.Shared {
		selected, _ = x.reserve(ctx, selected)
	}
	switch {
	case selected == nil:
		return nil, denialNoServer
	case !budget.Take():
		selected.release(x.d)
		return nil, denialBudget
	}
	return selected, ""
}

// chooseOther makes one decision among the servers other than the silent one and those that are to be avoided, as if the silent attempt
// had ended. It returns nil if the request would have to wait.
func (x *run) chooseOther(silent *selection) *selection {
	x.d.decisionMutex.Lock()
	defer x.d.decisionMutex.Unlock()
	others := x.markExcluded(x.allowed(x.d.fleet.CandidatesWithout(silent.ticket, x.Service)))
	others = slices.DeleteFunc(others, func(c fleet.Candidate) bool { return c.Avoid })
	if len(others) == 0 {
		return nil
	}
	plan, verdict := x.planSuccessor(others)
	if verdict != assignment.VerdictRun {
		return nil
	}
	return x.apply(others, &plan)
}

// takeSuccessor returns the prepared servers of the next attempt, or nil.
func (x *run) takeSuccessor() *selection {
	s := x.successor
	x.successor = nil
	return s
}

// discardSuccessor releases the prepared servers if no attempt was made on them.
func (x *run) discardSuccessor() {
	if s := x.takeSuccessor(); s != nil {
		s.release(x.d)
	}
}
