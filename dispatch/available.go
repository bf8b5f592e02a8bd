package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

// retryAfterUnavailable is the shortest Retry-After hint for a service of which no server may be used because of evacuations or
// allowed regions; up to half of it is added as jitter. Both change at the pace of an operator.
const retryAfterUnavailable = 2 * clock.Second

// path returns the additional time on the network of the request and its first event while this instance's failure domain is evacuated: to
// another failure domain and back.
func (x *run) path() clock.Millis {
	pool, _ := x.pool()
	if pool.DomainDelayMillis <= 0 || !x.d.fleet.IsEvacuated(x.d.domain) {
		return 0
	}
	return clock.Millis(math.Ceil(2 * pool.DomainDelayMillis))
}

// pickAvailable selects the servers of the next attempt as pick does, and again if an evacuation has begun at one of them since, or may
// have been missed: a successor may have been prepared, or memory reserved, before.
func (x *run) pickAvailable(ctx context.Context) (*selection, error) {
	for {
		if err := x.d.clock.Sleep(ctx, x.d.hold()); err != nil {
			return nil, err
		}
		selected, err := x.pick(ctx)
		if err != nil || x.d.hold() == 0 && !x.d.fleet.AnyEvacuated(selected.servers()...) {
			return selected, err
		}
		x.log.WithField("upstream", selected.first.ID).Info("a selected server is or may be in an evacuated failure domain; selecting again")
		selected.release(x.d)
	}
}

// mayProbe reports whether a server may be probed: its failure domain is not evacuated, as far as this instance has learned lately.
func (d *Dispatcher) mayProbe(s fleet.Server) bool { return d.hold() == 0 && !d.fleet.AnyEvacuated(s) }

// servers returns the first server and the helpers.
func (s *selection) servers() []fleet.Server {
	list := make([]fleet.Server, 1, 1+len(s.helpers))
	list[0] = s.first
	for i := range s.helpers {
		list = append(list, s.helpers[i].Server)
	}
	return list
}

// reservable returns the candidates for a reservation, or none once an evacuation has begun at one of them or may have been missed.
func (x *run) reservable(selected *selection) []reservation.Candidate {
	if x.d.hold() > 0 || x.d.fleet.AnyEvacuated(selected.servers()...) {
		return nil
	}
	return selected.freeCandidates
}

// hasAllowedRegions reports whether the route or the customer allows only some regions.
func (x *run) hasAllowedRegions() bool {
	return len(x.Route.AllowedRegions) > 0 || len(x.CustomerRegions) > 0
}

// allowedCandidates returns the allowed servers of the service whose load is known. If there are none, it returns all allowed ones: of a
// service with many servers, the load of those in other failure domains is not known after a start or a cut.
func (x *run) allowedCandidates() []fleet.Candidate {
	candidates := x.allowed(x.d.fleet.Candidates(x.Service))
	if len(candidates) == 0 && x.hasAllowedRegions() {
		return x.allowed(x.d.fleet.AllCandidates(x.Service))
	}
	return candidates
}

// allowed returns the candidates in the regions that both the route and the customer allow.
func (x *run) allowed(candidates []fleet.Candidate) []fleet.Candidate {
	if !x.hasAllowedRegions() {
		return candidates
	}
	var domain poplarwinch.FailureDomain
	checked, allows := false, false
	return slices.DeleteFunc(candidates, func(c fleet.Candidate) bool {
		if !checked || c.Domain != domain {
			region := x.d.region(c.Domain)
			checked, domain = true, c.Domain
			allows = route.AllowsRegion(x.Route.AllowedRegions, region) && route.AllowsRegion(x.CustomerRegions, region)
		}
		return !allows
	})
}

// noAllowedServer returns the error for a service whose servers are all evacuated or in regions that are not allowed, or nil for others.
func (x *run) noAllowedServer() error {
	message := ""
	switch {
	case x.d.fleet.IsServiceEvacuated(x.Service):
		message = "all failure domains of the service are evacuated"
	case len(x.d.fleet.Candidates(x.Service)) > 0:
		message = "the service has no available server in an allowed region"
	default:
		return nil
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, Message: message, Remedy: "retry later",
		RetryAfter: retryAfterUnavailable + clock.Millis(rand.Int64N(int64(retryAfterUnavailable/2))),
	}
}
