package gossip

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/replica"
)

const (
	// smallDeploymentFollowers is the number of instances per cell that follow the platform's tables themselves, up to
	// smallDeploymentDistantPeers.
	smallDeploymentFollowers = 2
	// largeDeploymentFollowers is the number in larger deployments. One is enough, because other cells announce the changes that
	// it misses.
	largeDeploymentFollowers = 1
	// bootstrapWait is the time after the start for which an instance waits to get the tables from its peers before it reads them
	// itself.
	bootstrapWait clock.Millis = 1200
	// followerTimeout is the time without a datagram after which a peer of the cell no longer counts as one that reads the tables for
	// others. It covers a heartbeat that is late, and with the time of a read stays below that in which a change has to take effect, also
	// if all other instances are lost at once. A heartbeat that was lost costs one read more.
	followerTimeout clock.Millis = 1400
)

// updateFollowing makes this instance follow the tables itself if it is one of the followers of its cell. It also
// follows a table that it did not get from its peers within bootstrapWait, or that a peer failed to send.
func (g *Gossip) updateFollowing() {
	g.mutex.Lock()
	on := g.shouldFollow()
	g.followersDueAt = g.nextFollowerTimeout()
	waited := g.clock.Now() - g.startedAt
	g.mutex.Unlock()
	for _, r := range g.replicas {
		_, loaded := r.Position()
		r.SetFollowing(on || !loaded && (waited > bootstrapWait || g.bootstrapFailed.Load()))
	}
}

// shouldFollow reports whether this instance is one of the followers of its cell, chosen among all instances that were heard within
// followerTimeout or among those that can read the tables. The caller holds the lock.
func (g *Gossip) shouldFollow() bool {
	all := []poplarwinch.InstanceID{g.self.ID}
	reading := []poplarwinch.InstanceID{}
	if !g.failing() {
		reading = append(reading, g.self.ID)
	}
	for _, p := range g.peers {
		// Shortly after the start, peers that have not sent a datagram yet count as alive.
		expected := p.heardAt == 0 && g.clock.Now()-g.startedAt < bootstrapWait
		if !g.isNear(p) || !expected && g.clock.Now() >= followerTimeoutOf(p) {
			continue
		}
		all = append(all, p.ID)
		if !p.failing {
			reading = append(reading, p.ID)
		}
	}
	return g.amongFollowers(all) || g.amongFollowers(reading)
}

// followerTimeoutOf returns the time at which the peer no longer counts as a follower if it stays silent; zero if it was not heard, or has
// left. The caller holds the lock.
func followerTimeoutOf(p *peerState) clock.Millis {
	if p.heardAt == 0 {
		return 0
	}
	return p.heardAt + followerTimeout
}

// nextFollowerTimeout returns the time at which the first follower of this cell no longer counts as one if it stays silent; zero if there
// is none. The caller holds the lock.
func (g *Gossip) nextFollowerTimeout() clock.Millis {
	now, next := g.clock.Now(), clock.Millis(0)
	for _, p := range g.peers {
		if !p.follows || !g.isNear(p) {
			continue
		}
		if at := followerTimeoutOf(p); at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// amongFollowers reports whether this instance is one of the followers chosen from the list: the first ones by hash of
// the id, an order that all instances agree on. It sorts the list. The caller holds the lock.
func (g *Gossip) amongFollowers(list []poplarwinch.InstanceID) bool {
	count := smallDeploymentFollowers
	if !g.isSmall() {
		count = largeDeploymentFollowers
	}
	slices.SortFunc(list, compareByHash)
	position := slices.Index(list, g.self.ID)
	return position >= 0 && position < count
}

// failing reports whether this instance can't read at least one table.
func (g *Gossip) failing() bool { return g.any((*replica.Replica).Failing) }

// following reports whether this instance follows at least one table.
func (g *Gossip) following() bool { return g.any((*replica.Replica).Following) }

// any reports whether the condition holds for at least one replica.
func (g *Gossip) any(holds func(*replica.Replica) bool) bool {
	for _, r := range g.replicas {
		if holds(r) {
			return true
		}
	}
	return false
}
