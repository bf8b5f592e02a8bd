package assignment

import (
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// withinLimit returns the servers whose notices allow another request now.
func withinLimit(servers []fleet.Candidate) []fleet.Candidate {
	if !slices.ContainsFunc(servers, atLimit) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), atLimit)
}

// compareCold orders warm servers before cold ones.
func compareCold(a, b *fleet.Candidate) int {
	switch {
	case a.Cold == b.Cold:
		return 0
	case b.Cold:
		return -1
	}
	return 1
}

func atLimit(s fleet.Candidate) bool { return s.Wait > 0 }

// verdictAtLimit returns the verdict for a request while the limits of all servers are used up: it is rejected if it would have
// used half of its time when the first one is free again, since the caller may reach others then.
func verdictAtLimit(servers []fleet.Candidate, timeLeft, fullTime clock.Millis) Verdict {
	wait := servers[0].Wait
	for _, s := range servers {
		wait = min(wait, s.Wait)
	}
	if float64(timeLeft-wait) < minCallerTimeoutFraction*float64(fullTime) {
		return VerdictLimited
	}
	return VerdictWait
}
