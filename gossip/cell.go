package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// maxCellInstances is the largest number of instances in a cell. Each of them sends every change of its load to all others, so
	// the traffic of one instance grows with this number and not with the deployment.
	maxCellInstances = 32
	// cellInterval is the time between two determinations of the own cell.
	cellInterval = clock.Second
)

// updateCell determines the cell of this instance from the instances of its failure domain that are known to live. Instances that
// disagree for a while exchange less than they could; nothing else depends on it.
func (g *Gossip) updateCell() {
	g.mutex.Lock()
	now := g.clock.Now()
	if g.cellUpdatedAt != 0 && now-g.cellUpdatedAt < cellInterval {
		g.mutex.Unlock()
		return
	}
	g.cellUpdatedAt = now
	members := []poplarwinch.InstanceID{g.self.ID}
	for _, p := range g.peers {
		if p.Domain == g.self.Domain && p.heardAt != 0 && now-p.heardAt < maxMissedHeartbeats*g.distantHeartbeatInterval() {
			members = append(members, p.ID)
		}
	}
	before := g.cell
	g.cell = cellOf(members, g.self.ID)
	if g.cell != before {
		g.countDistantPeers()
	}
	after, distant := g.cell, g.distantPeers
	g.mutex.Unlock()
	if after == before {
		return
	}
	g.log.WithField("index", after.Index).WithField("cells", after.Count).WithField("members", len(members)).
		WithField("distant-peers", distant).Info("cell changed")
	g.fleet.SetCell(after)
	g.ScheduleUpdate(fleet.ReachNear)
}

// cellOf returns the cell of an instance among the members of its failure domain. The number of cells is a power of two, so that
// it rarely changes, and members keep their cell when others come and go, but for a few at its borders.
func cellOf(members []poplarwinch.InstanceID, self poplarwinch.InstanceID) fleet.Cell {
	c := fleet.Cell{Count: 1}
	for len(members) > c.Count*maxCellInstances {
		c.Count *= 2
	}
	slices.SortFunc(members, compareByHash)
	position := slices.Index(members, self)
	for !c.Contains(position, len(members)) {
		c.Index++
	}
	return c
}

// compareByHash orders instances in a way that all of them agree on and that spreads the ids of one failure domain.
func compareByHash(a, b poplarwinch.InstanceID) int {
	return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
}

// isNear reports whether the peer is in the cell of this instance. One of the same failure domain that was not heard yet counts as
// near, until its first datagram shows its cell. The caller holds the lock.
func (g *Gossip) isNear(p *peerState) bool {
	return p.Domain == g.self.Domain && (p.heardAt == 0 || p.cell == g.cell)
}

// exchangesSummaries reports whether the followers of two cells send each other summaries: those of the same failure domain, and
// of other failure domains the cells at the same part of them. The caller holds the lock.
func (g *Gossip) exchangesSummaries(p *peerState) bool {
	if p.Domain == g.self.Domain {
		return true
	}
	own, other := g.cell, p.cell
	return own.Index*other.Count/own.Count == other.Index || other.Index*own.Count/max(other.Count, 1) == own.Index
}

// isAffected reports whether the peer places requests on one of the servers. The caller holds the lock.
func isAffected(p *peerState, servers []fleet.Place) bool {
	for _, s := range servers {
		if s.Domain == p.Domain && p.cell.Contains(s.Position, s.Total) {
			return true
		}
	}
	return false
}
