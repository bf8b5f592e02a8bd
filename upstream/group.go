package upstream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

var emptyGroup Group

// Group is a set of interchangeable upstreams in rendezvous order for the group's name, so that any prefix of the
// order is a stable subset. Slices of a group must not be changed.
type Group struct {
	All     []*Upstream
	domains map[poplarwinch.FailureDomain][]*Upstream
}

// In returns the upstreams of the failure domain, or all upstreams when it has none.
func (g *Group) In(domain poplarwinch.FailureDomain) []*Upstream {
	if local, ok := g.domains[domain]; ok {
		return local
	}
	return g.All
}

// Has reports whether the group has an upstream in the failure domain.
func (g *Group) Has(domain poplarwinch.FailureDomain) bool {
	_, ok := g.domains[domain]
	return ok
}

// Mix returns the rendezvous weight of an upstream's hash for a key.
func Mix(key, hash uint64) uint64 {
	x := key ^ hash
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func (g *Group) finish(name string) {
	key := xxhash.Sum64String(name)
	slices.SortFunc(g.All, func(a, b *Upstream) int {
		if c := cmp.Compare(Mix(key, b.Hash), Mix(key, a.Hash)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	g.domains = map[poplarwinch.FailureDomain][]*Upstream{}
	for _, u := range g.All {
		g.domains[u.FailureDomain] = append(g.domains[u.FailureDomain], u)
	}
}
