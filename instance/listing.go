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
	listRetry = clock.Second
	// maxForeign bounds the upstreams of other failure domains that an instance knows in each pool. They serve only while
	// the own domain has none, and an instance's state must not grow with the whole fleet.
	maxForeign = 16
)

// listing follows the platform's instance list.
type listing struct {
	clock    *clock.Clock
	log      log.Interface
	self     membership.Member
	follow   func(ctx context.Context, apply func([]roster.Endpoint)) error
	registry *upstream.Registry
	offer    func(candidates []membership.Candidate)
	failed   bool
	// first is closed after the first list.
	first chan struct{}
	read  bool
}

// run follows the list until ctx ends. While the list is unavailable, the last one stays in use.
func (l *listing) run(ctx context.Context) {
	for {
		err := l.follow(ctx, l.apply)
		if ctx.Err() != nil {
			return
		}
		if !l.failed {
			l.log.WithError(err).Warn("instance list unavailable; the last one stays in use")
		}
		l.failed = true
		if l.clock.Sleep(ctx, listRetry) != nil {
			return
		}
	}
}

// apply takes over a list.
func (l *listing) apply(endpoints []roster.Endpoint) {
	if l.failed {
		l.log.WithField("endpoints", len(endpoints)).Info("instance list available again")
	}
	l.failed = false
	l.registry.Apply(l.upstreams(endpoints))
	l.offer(l.candidates(endpoints))
	if !l.read {
		l.read = true
		close(l.first)
	}
}

// upstreams returns all upstreams of the own failure domain and a bounded number of others.
func (l *listing) upstreams(endpoints []roster.Endpoint) []upstream.Listed {
	var own, foreign []upstream.Listed
	for _, e := range endpoints {
		listed, ok := upstreamOf(e)
		switch {
		case !ok:
		case e.FailureDomain == l.self.FailureDomain:
			own = append(own, listed)
		default:
			foreign = append(foreign, listed)
		}
	}
	key := xxhash.Sum64String(string(l.self.ID))
	weight := func(u upstream.Listed) uint64 { return upstream.Mix(key, xxhash.Sum64String(string(u.ID))) }
	slices.SortFunc(foreign, func(a, b upstream.Listed) int { return cmp.Compare(weight(b), weight(a)) })
	count := map[string]int{}
	for _, u := range foreign {
		if count[u.Pool]++; count[u.Pool] <= maxForeign {
			own = append(own, u)
		}
	}
	return own
}

func upstreamOf(e roster.Endpoint) (upstream.Listed, bool) {
	kind := upstream.KindEngine
	switch e.Kind {
	case roster.KindEngine:
	case roster.KindService:
		kind = upstream.KindService
	default:
		return upstream.Listed{}, false
	}
	address := e.Address(roster.PortHTTP)
	return upstream.Listed{
		ID: poplarwinch.UpstreamID(e.ID), Kind: kind, Pool: e.Name, Address: address, FailureDomain: e.FailureDomain,
		Ready: e.Ready, Terminating: e.Terminating,
	}, address != ""
}

// candidates returns the entry instances of the list except this one.
func (l *listing) candidates(endpoints []roster.Endpoint) []membership.Candidate {
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
