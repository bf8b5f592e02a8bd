package gossip

import (
	"context"
	"net"
	"net/netip"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/replica"
)

// runReceive receives datagrams until ctx ends.
func (g *Gossip) runReceive(ctx context.Context, connection *net.UDPConn, ended chan<- struct{}) {
	defer close(ended)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := connection.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("datagram not received")
			if g.clock.Sleep(ctx, localDelay) != nil {
				return
			}
			continue
		}
		var m message
		if err := g.codec.Unmarshal(buffer[:n], &m); err != nil {
			g.log.WithField("from", from.String()).WithError(err).Warn("malformed datagram dropped")
			continue
		}
		g.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &m)
	}
}

// receive processes a datagram unless a newer one of the same process was received first. A process that started after its wall
// clock was set back appears older than its predecessor; its datagrams are ignored until the predecessor counts as dead.
func (g *Gossip) receive(from netip.AddrPort, m *message) {
	if m.From == "" || m.From == g.self.ID {
		return
	}
	g.mutex.Lock()
	peer := g.peers[m.From]
	if peer == nil {
		peer = &peerState{Member: Member{ID: m.From, Domain: m.Domain, Address: from}}
		g.peers[m.From] = peer
	}
	wasAlive := g.alive(peer)
	if wasAlive && m.Boot < peer.boot || m.Boot == peer.boot && m.Sequence <= peer.sequence {
		g.mutex.Unlock()
		return
	}
	restarted := m.Boot != peer.boot
	peer.Member = Member{ID: m.From, Domain: m.Domain, Address: from}
	peer.boot, peer.sequence = m.Boot, m.Sequence
	near := g.isNear(peer)
	followersChanged := peer.failing != m.Failing || m.Leaving
	peer.heardAt, peer.failing, peer.follows = g.clock.Now(), m.Failing, m.Follows
	if cell := (fleet.Cell{Index: m.CellIndex, Count: max(m.CellCount, 1)}); peer.cell != cell {
		peer.cell = cell
		followersChanged = true
		g.countDistantPeers()
	}
	if peer.left = m.Leaving; m.Leaving {
		peer.heardAt = 0
	}
	delete(g.unidentified, from)
	joined := (!wasAlive || restarted) && !m.Leaving
	peer.needsUpdate = peer.needsUpdate || joined
	g.mutex.Unlock()
	if joined {
		g.log.WithField("peer", string(m.From)).WithField("address", from.String()).Info("dependency regained: peer is alive")
		g.ScheduleUpdate(fleet.ReachNear)
	}
	g.mergeWork(m)
	g.mergeChanges(m.Changes)
	g.suspects.Merge(decodeSuspects(m.Suspects, g.clock.Now()))
	g.comparePositions(peer.Member, near, m.Positions)
	g.compareGenerations(peer.Member, m.Generations)
	if joined || followersChanged {
		g.updateFollowing()
	}
}

// mergeWork merges the report and the summaries of a message into the fleet.
func (g *Gossip) mergeWork(m *message) {
	if m.OwnWork {
		report := fleet.Report{Servers: withNotices(decodeWork(m.Servers), m.Notices), Cold: decodeColdServices(m.Notices)}
		g.mutex.Lock()
		peer := g.peers[m.From]
		near := peer != nil && g.isNear(peer)
		competes := near || g.isSmall()
		g.mutex.Unlock()
		if competes {
			report.Waiting = competingWaiting(m.Waiting, near)
		}
		if m.Domain != g.self.Domain {
			// A server that is unreachable from another failure domain may be reachable from this one.
			for i := range report.Servers {
				report.Servers[i].Unreachable = false
			}
		}
		g.fleet.Merge(m.From, report)
	}
	for _, s := range m.Summaries {
		g.fleet.MergeSummary(decodeSummary(s))
	}
}

// lag is a position of a table that this instance did not have at a time.
type lag struct {
	position replica.Position
	since    clock.Millis
}

// compareGenerations fetches tables of which a peer has later states than this instance, although their source has older ones: it was
// restored, and this instance started since then.
func (g *Gossip) compareGenerations(from Member, generations map[string]int64) {
	for name, generation := range generations {
		r := g.replicas[name]
		if r == nil {
			continue
		}
		if own, _ := r.Generation(); own < generation || (generation == 0 || r.HasLasting()) && g.comparesOnce(name, r) {
			g.fetch(from, name, replica.Position{})
		}
	}
}

// settle fetches a whole table from a peer that knows what became of the rows which this instance keeps or holds back.
func (g *Gossip) settle(from Member, name string, own replica.Position) {
	now := g.clock.Now()
	g.mutex.Lock()
	due := now-g.settledAt[name] >= fetchDelay
	if due {
		g.settledAt[name] = now
	}
	g.mutex.Unlock()
	if due {
		g.fetch(from, name, own)
	}
}

// comparesOnce reports whether a table without generations is to be compared with a peer's, which is done once in each era, by an instance
// that has loaded the table in it and knows no later states itself.
func (g *Gossip) comparesOnce(name string, r *replica.Replica) bool {
	position, loaded := r.Position()
	if _, carriedOver := r.Generation(); !loaded || carriedOver {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.compared[name] == position.Era {
		return false
	}
	g.compared[name] = position.Era
	return true
}

// comparePositions compares the replicas with the positions of a peer, near or distant, and fetches tables that stay behind. Their
// reads may be stuck on an unresponsive connection or be rejected by the source.
func (g *Gossip) comparePositions(from Member, near bool, positions map[string]replica.Position) {
	now := g.clock.Now()
	for name, r := range g.replicas {
		own, loaded := r.Position()
		theirs := positions[name]
		if loaded && !own.IsBehind(theirs) || theirs == (replica.Position{}) {
			continue
		}
		if loaded && own.Unsettled && theirs.Era == own.Era && theirs.Version <= own.Version {
			g.settle(from, name, own)
			continue
		}
		g.mutex.Lock()
		l, behind := g.behind[name]
		if !behind || !own.IsBehind(l.position) || now-l.since > maxMissedHeartbeats*heartbeatInterval {
			l = lag{position: theirs, since: now}
			g.behind[name] = l
		}
		wait := loaded && now-l.since < fetchDelay && (!near || r.Following() && !r.Failing())
		if !wait {
			delete(g.behind, name)
		}
		g.mutex.Unlock()
		if wait {
			continue
		}
		if r.Following() {
			r.Recheck()
		}
		g.fetch(from, name, own)
	}
}
