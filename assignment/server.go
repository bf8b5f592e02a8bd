package assignment

import (
	"cmp"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// ReasonFewest means that the server has the fewest requests.
	ReasonFewest Reason = "fewest-requests"
	// crossDomainPenaltyRequests is the number of requests by which the load of a server in the own failure domain may
	// exceed that of one in another domain.
	crossDomainPenaltyRequests = 2
	// restPenaltyRequests is the same for a server that wants no requests from another instance.
	restPenaltyRequests = 2
	// coldPenaltyRequests is the same for a cold server.
	coldPenaltyRequests = 4
)

// Server returns the plan for a request to a plain service: the server with the fewest requests, with preference for the
// own failure domain. Servers to avoid are used only if there are no others. While the limits of all servers are used up, the request
// waits, for half of its time at most. The list must not be empty.
func Server(servers []fleet.Candidate, domain poplarwinch.FailureDomain, timeLeft, fullTime clock.Millis) (Plan, Verdict) {
	usable, verdict := usableServers(servers, timeLeft, fullTime)
	if verdict != VerdictRun {
		return Plan{}, verdict
	}
	best := &usable[0]
	for i := range usable {
		if s := &usable[i]; cmp.Less(weightedRequests(s, domain), weightedRequests(best, domain)) {
			best = s
		}
	}
	return Plan{First: best.ID, Reason: ReasonFewest}, VerdictRun
}

// weightedRequests returns the server's requests, plus penalties if it is in another failure domain, is cold, or wants no requests from
// another instance.
func weightedRequests(s *fleet.Candidate, domain poplarwinch.FailureDomain) int {
	n := s.Load.Requests
	if s.Domain != domain {
		n += crossDomainPenaltyRequests
	}
	if s.RestsForPeers {
		n += restPenaltyRequests
	}
	if s.Cold {
		n += coldPenaltyRequests
	}
	return n
}
