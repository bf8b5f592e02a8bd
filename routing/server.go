package routing

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Server selects a server of a plain service: the one with fewer requests of this instance among two random ones, in the
// own failure domain if that has an eligible one. The error is a *poplarwinch.Error of kind unavailable.
func (r *Router) Server(s *upstream.Snapshot, service poplarwinch.ServiceName, avoid []poplarwinch.UpstreamID) (Decision, error) {
	group := s.Servers(service)
	now := r.clock.Now()
	p := &Prompt{Avoid: avoid}
	list := r.sample(now, make([]Candidate, 0, maxCandidates), group.LocalOrAll(r.domain), 2, p)
	reason := ReasonFewestRequests
	if len(list) == 0 {
		list, reason = r.sample(now, list, group.All, 2, p), ReasonOtherDomain
	}
	switch {
	case len(list) == 0:
		return Decision{}, noServer(service, len(group.All))
	case len(list) == 1 && reason == ReasonFewestRequests:
		reason = ReasonOnly
	case len(list) == 2 && list[1].Upstream.Running() < list[0].Upstream.Running():
		list[0], list[1] = list[1], list[0]
	}
	list = r.sample(now, list, group.All, maxCandidates-len(list), p)
	r.checkInvariants(now, list[0].Upstream, avoid)
	return Decision{Upstream: list[0].Upstream, Reason: reason, Candidates: list}, nil
}
