package assignment

import (
	"cmp"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// ReasonFewest means that the server has the fewest requests.
	ReasonFewest Reason = "fewest-requests"
	// distantRequests is the number of requests that a server of the own failure domain may have more than a distant one.
	distantRequests = 2
)

// Server returns the plan for a request of a plain service: the server with the fewest requests, where servers of the own
// failure domain and those that did not fail come first. The list must not be empty.
func Server(servers []fleet.Candidate, domain poplarwinch.FailureDomain) Plan {
	usable := sound(servers)
	best := &usable[0]
	for i := range usable {
		if s := &usable[i]; cmp.Less(distance(s, domain), distance(best, domain)) {
			best = s
		}
	}
	return Plan{First: best.ID, Reason: ReasonFewest}
}

// distance returns the number of requests that speak against the server.
func distance(s *fleet.Candidate, domain poplarwinch.FailureDomain) int {
	if s.Domain != domain {
		return s.Load.Requests + distantRequests
	}
	return s.Load.Requests
}
