package instance

import (
	"cmp"
	"context"
	"slices"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/roster"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// listRetryDelay is the delay before the instance list is requested again after a failure.
	listRetryDelay = clock.Second
	// maxRemotePerPool is the number of upstreams of other failure domains that an instance tracks per pool. They are
	// used only while the own domain has none, and the state of an instance must not grow with the whole fleet.
	maxRemotePerPool = 16
)

// listFollower applies the platform's instance list to the registry and the membership.
type listFollower struct {
	clock         *clock.Clock
	log           log.Interface
	self          membership.Member
	follow        func(ctx context.Context, apply func([]roster.Endpoint)) error
	registry      *upstream.Registry
	setCandidates func(candidates []membership.Candidate)
	unavailable   bool
	// firstApplied is closed after the first list has been applied.
	firstApplied chan struct{}
	applied      bool
}

// run follows the list until ctx ends. While the list is unavailable, the last one received stays in use.
func (l *listFollower) run(ctx context.Context) {
	for {
		err := l.follow(ctx, l.apply)
		if ctx.Err() != nil {
			return
		}
		if !l.unavailable {
			l.log.WithError(err).Warn("instance list unavailable; keeping the last one")
		}
		l.unavailable = true
		if l.clock.Sleep(ctx, listRetryDelay) != nil {
			return
		}
	}
}

// apply replaces the upstreams and the membership candidates by those of a new list.
func (l *listFollower) apply(endpoints []roster.Endpoint) {
	if l.unavailable {
		l.log.WithField("endpoints", len(endpoints)).Info("instance list available again")
	}
	l.unavailable = false
	l.registry.Apply(l.upstreams(endpoints))
	l.setCandidates(l.candidates(endpoints))
	if !l.applied {
		l.applied = true
		close(l.firstApplied)
	}
}

// upstreams returns all upstreams of this failure domain and up to maxRemotePerPool others in each pool. Rendezvous
// hashing selects the others, so that instances differ in their selection and a changed list moves few of them.
func (l *listFollower) upstreams(endpoints []roster.Endpoint) []upstream.Listed {
	var own, remote []upstream.Listed
	for _, e := range endpoints {
		listed, ok := toListed(e)
		switch {
		case !ok:
		case e.FailureDomain == l.self.FailureDomain:
			own = append(own, listed)
		default:
			remote = append(remote, listed)
		}
	}
	key := xxhash.Sum64String(string(l.self.ID))
	weight := func(u upstream.Listed) uint64 {
		return upstream.RendezvousWeight(key, xxhash.Sum64String(string(u.ID)))
	}
	slices.SortFunc(remote, func(a, b upstream.Listed) int { return cmp.Compare(weight(b), weight(a)) })
	perPool := map[string]int{}
	for _, u := range remote {
		if perPool[u.Pool]++; perPool[u.Pool] <= maxRemotePerPool {
			own = append(own, u)
		}
	}
	return own
}

// toListed converts an endpoint and reports whether it is an upstream with an HTTP address.
func toListed(endpoint roster.Endpoint) (upstream.Listed, bool) {
	kind := upstream.KindEngine
	switch endpoint.Kind {
	case roster.KindEngine:
	case roster.KindService:
		kind = upstream.KindService
	default:
		return upstream.Listed{}, false
	}
	address := endpoint.Address(roster.PortHTTP)
	return upstream.Listed{
		ID: poplarwinch.UpstreamID(endpoint.ID), Kind: kind, Pool: endpoint.Name, Address: address, FailureDomain: endpoint.FailureDomain,
		Ready: endpoint.Ready, Terminating: endpoint.Terminating,
	}, address != ""
}

// candidates returns the peer addresses of the other entry instances in the list.
func (l *listFollower) candidates(endpoints []roster.Endpoint) []membership.Candidate {
	var candidates []membership.Candidate
	for _, e := range endpoints {
		address := e.Address(roster.PortPeer)
		if e.Kind != roster.KindEntry || address == "" || address == l.self.Address {
			continue
		}
		candidates = append(candidates, membership.Candidate{Address: address, FailureDomain: e.FailureDomain})
	}
	return candidates
}
