package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// followers is the number of instances of a failure domain that follow the platform's tables themselves.
	followers = 2
	// firstNews is the time after the start in which an instance waits for the tables of its peers.
	firstNews clock.Millis = 1200
)

// follow decides whether this instance follows the tables itself: if it is one of the first of its failure domain by an
// order that all share, or if its peers have not told it the tables.
func (g *Gossip) follow() {
	g.mutex.Lock()
	on := g.follows()
	waited := g.clock.Now() - g.startedAt
	g.mutex.Unlock()
	for _, r := range g.replicas {
		_, loaded := r.Version()
		r.Follow(on || !loaded && waited > firstNews)
	}
}

// follows reports whether this instance is one of the first. The caller holds the lock.
func (g *Gossip) follows() bool {
	order := []poplarwinch.InstanceID{g.self.ID}
	for _, p := range g.peers {
		// Right after the start, peers that are only known from the store count as alive.
		expected := p.heardAt == 0 && g.clock.Now()-g.startedAt < firstNews
		if p.Domain == g.self.Domain && !p.failing && (expected || g.alive(p)) {
			order = append(order, p.ID)
		}
	}
	slices.SortFunc(order, func(a, b poplarwinch.InstanceID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	return slices.Index(order, g.self.ID) < followers
}
