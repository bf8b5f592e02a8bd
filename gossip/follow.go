package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/replica"
)

const (
	// followers is the number of instances of a failure domain that follow the platform's tables themselves. One is enough where
	// there are many instances, since other failure domains tell of changes that it misses.
	followers     = 2
	followersMany = 1
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
		r.SetFollowing(on || !loaded && waited > firstNews)
	}
}

// follows reports whether this instance is one of the first, or one of the first of those that can read the tables. The caller
// holds the lock.
func (g *Gossip) follows() bool {
	all := []poplarwinch.InstanceID{g.self.ID}
	reading := []poplarwinch.InstanceID{}
	if !g.failing() {
		reading = append(reading, g.self.ID)
	}
	for _, p := range g.peers {
		// Right after the start, peers that are only known from the store count as alive.
		expected := p.heardAt == 0 && g.clock.Now()-g.startedAt < firstNews
		if p.Domain != g.self.Domain || !expected && !g.alive(p) {
			continue
		}
		all = append(all, p.ID)
		if !p.failing {
			reading = append(reading, p.ID)
		}
	}
	return g.first(all) || g.first(reading)
}

// first reports whether this instance is one of the first of a list by an order that all instances share. The caller holds the
// lock.
func (g *Gossip) first(list []poplarwinch.InstanceID) bool {
	count := followers
	if g.distant > fewDistant {
		count = followersMany
	}
	slices.SortFunc(list, func(a, b poplarwinch.InstanceID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	i := slices.Index(list, g.self.ID)
	return i >= 0 && i < count
}

// failing reports whether this instance could not read a table recently.
func (g *Gossip) failing() bool { return g.any((*replica.Replica).Failing) }

// followsNow reports whether this instance follows a table.
func (g *Gossip) followsNow() bool { return g.any((*replica.Replica).Following) }

// any reports whether something holds for at least one table.
func (g *Gossip) any(holds func(*replica.Replica) bool) bool {
	for _, r := range g.replicas {
		if holds(r) {
			return true
		}
	}
	return false
}
