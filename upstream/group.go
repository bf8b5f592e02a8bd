package upstream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

var emptyGroup Group

// Group is a set of interchangeable upstreams, ordered by rendezvous hashing on the group's name, so that any prefix is
// a stable subset. Callers must not modify its slices.
type Group struct {
	All     []*Upstream
	domains map[poplarwinch.FailureDomain][]*Upstream
}

// LocalOrAll returns the upstreams in the failure domain, or all upstreams if there are none in it.
func (g *Group) LocalOrAll(domain poplarwinch.FailureDomain) []*Upstream {
	if local, ok := g.domains[domain]; ok {
		return local
	}
	return g.All
}

// HasDomain reports whether the group has an upstream in the failure domain.
func (g *Group) HasDomain(domain poplarwinch.FailureDomain) bool {
	_, ok := g.domains[domain]
	return ok
}

// RendezvousWeight returns the rendezvous weight of an upstream, given the key and the upstream's hash.
func RendezvousWeight(key, hash uint64) uint64 {
	x := key ^ hash
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// finish sorts the upstreams by rendezvous weight and groups them by failure domain.
func (g *Group) finish(name string) {
	key := xxhash.Sum64String(name)
	slices.SortFunc(g.All, func(a, b *Upstream) int {
		if c := cmp.Compare(RendezvousWeight(key, b.Hash), RendezvousWeight(key, a.Hash)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	g.domains = map[poplarwinch.FailureDomain][]*Upstream{}
	for _, u := range g.All {
		g.domains[u.FailureDomain] = append(g.domains[u.FailureDomain], u)
	}
}
