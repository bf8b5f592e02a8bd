package gossip

import (
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// untilNextStep returns the time until the next datagram, or another choice of followers, is due, at most heartbeatInterval.
func (g *Gossip) untilNextStep() clock.Millis {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	wait := g.due.wait(now, heartbeatInterval)
	if g.followersDueAt != 0 {
		wait = min(wait, max(g.followersDueAt-now, 0))
	}
	return wait
}

// sendDue sends the datagrams that are due.
func (g *Gossip) sendDue(connection *net.UDPConn) {
	due := g.takeDue(g.sendsSummaries())
	if due.local || due.affected || due.remote {
		g.sendWork(connection, due.local, due.affected, due.remote)
	}
	if due.tables {
		g.sendTables(connection)
	}
	if due.followers && !due.remote {
		g.send(connection, g.message(), func(p *peerState) bool { return p.follows && !g.isNear(p) })
	}
	if due.summaries {
		g.sendSummaries(connection)
	}
	if due.suspects {
		g.sendSuspects(connection)
	}
	g.scheduleSuspects()
}

// scheduleSuspects schedules datagrams for suspects that had no place in the last ones. Those that peers have found are forwarded in a
// hurry only by instances that forward summaries.
func (g *Gossip) scheduleSuspects() {
	interval := suspectInterval
	if !g.suspects.HasUnreported(false) {
		interval = forwardedSuspectInterval
	}
	if !g.suspects.HasUnreported(g.sendsSummaries()) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.due.suspects == 0 {
		g.due.suspects = g.clock.Now() + interval
	}
}

// sendSuspects sends a datagram with suspects to the peers of this cell, and from an instance that forwards summaries to those of others; in
// a small deployment to all.
func (g *Gossip) sendSuspects(connection *net.UDPConn) {
	forwards := g.sendsSummaries()
	g.send(connection, g.message(), func(p *peerState) bool { return g.isSmall() || g.isNear(p) || forwards && g.forwards(p) })
}

// takeDue returns the datagrams that are due. An instance that begins to send summaries notifies all distant peers at once.
func (g *Gossip) takeDue(sendsSummaries bool) dueNow {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	due := g.due.take(now, g.distantSendInterval(), sendsSummaries)
	if due.tables {
		g.announcedAt = now
	}
	switch {
	case !sendsSummaries:
		g.followingSince = 0
	case g.followingSince == 0:
		g.followingSince = now
		g.due.remote = now + localDelay
	}
	return due
}

// sendWork sends this instance's report to the peers of its cell if toLocal, to distant peers in whose cells it has or had load if
// toAffected, and to all distant peers if toRemote. Peers that came alive are always included; peers of the cell that are not alive
// get heartbeats only. In a large deployment, distant peers get what concerns the servers of their cells, but those that forward
// summaries get all of it, since what they forward would otherwise lag behind by the time of two summaries.
func (g *Gossip) sendWork(connection *net.UDPConn, toLocal, toAffected, toRemote bool) {
	report := g.fleet.Report()
	g.mutex.Lock()
	now := g.clock.Now()
	hello := toLocal && now-g.helloAt >= heartbeatInterval
	if hello {
		g.helloAt = now
	}
	var unidentified []netip.AddrPort
	if hello || toRemote {
		unidentified = slices.Collect(maps.Keys(g.unidentified))
	}
	affected := g.affected
	if toAffected || toRemote {
		g.affected = report.Places()
		affected = append(affected, g.affected...)
		if !g.isSmall() && slices.ContainsFunc(g.affected, g.isDistant) {
			g.due.affected = now + affectedInterval
		}
	}
	small := g.isSmall()
	var cells []distantCell
	for _, p := range g.peers {
		if c := (distantCell{p.Domain, p.cell}); !small && !g.isNear(p) && !slices.Contains(cells, c) {
			cells = append(cells, c)
		}
	}
	g.mutex.Unlock()
	m := g.message()
	m.OwnWork, m.Servers, m.Waiting = true, encodeWork(report.Servers), encodeWaiting(report.Waiting)
	m.Notices = append(encodeColdServices(report.Cold), encodeNotices(report.Servers)...)
	due := func(p *peerState) bool {
		switch {
		case p.needsUpdate:
			p.needsUpdate = false
			return true
		case g.isNear(p):
			return toLocal && (hello || g.alive(p))
		}
		return toRemote || toAffected && (g.forwards(p) || isAffected(p, affected))
	}
	whole := func(p *peerState) bool { return small || g.isNear(p) || g.forwards(p) }
	g.send(connection, m, func(p *peerState) bool { return whole(p) && due(p) })
	g.sendTo(connection, m, unidentified)
	for _, c := range cells {
		servers := report.In(c.domain, c.cell)
		m.Servers, m.Notices = encodeWork(servers), encodeNotices(servers)
		g.send(connection, m, func(p *peerState) bool { return !whole(p) && c == distantCell{p.Domain, p.cell} && due(p) })
	}
}

// forwards reports whether the peer forwards what it knows of other cells to its own. The caller holds the lock.
func (g *Gossip) forwards(p *peerState) bool { return p.follows && g.exchangesSummaries(p) }

// isDistant reports whether a server is in another cell. The caller holds the lock.
func (g *Gossip) isDistant(p fleet.Place) bool {
	return p.Domain != g.self.Domain || !g.cell.Contains(p.Position, p.Total)
}

// distantCell identifies a cell of a deployment.
type distantCell struct {
	domain poplarwinch.FailureDomain
	cell   fleet.Cell
}

// sendSummaries sends a summary of the load on the servers of this cell to the followers of other cells, and forwards what these
// have sent to the peers of this one.
func (g *Gossip) sendSummaries(connection *net.UDPConn) {
	m := g.message()
	m.Summaries = encodeSummaries([]fleet.Summary{g.fleet.Summary()})
	g.send(connection, m, func(p *peerState) bool { return !g.isNear(p) && g.forwards(p) })
	if others := g.fleet.Summaries(); len(others) > 0 {
		m.Summaries = encodeSummaries(others) // with the same suspects, so that none is told to one side only
		g.send(connection, m, g.isNear)
	}
}

// distantSendInterval returns the time until the next datagrams to all distant peers: soon while this instance has just become a
// follower, so that those of other cells learn of it although a datagram may be lost. The caller holds the lock.
func (g *Gossip) distantSendInterval() clock.Millis {
	if g.followingSince != 0 && g.clock.Now()-g.followingSince < maxMissedHeartbeats*heartbeatInterval {
		return heartbeatInterval
	}
	return g.distantHeartbeatInterval()
}

// message returns a message without a report or summaries.
func (g *Gossip) message() *message {
	g.mutex.Lock()
	cell := g.cell
	g.mutex.Unlock()
	return &message{
		CellIndex: cell.Index, CellCount: cell.Count,
		From: g.self.ID, Domain: g.self.Domain, Boot: g.boot, Positions: g.positions(), Generations: g.generations(), Follows: g.following(),
		Failing: g.failing(), Suspects: encodeSuspects(g.suspects.Report(), g.clock.Now()),
	}
}

// send sends the message to the selected peers.
func (g *Gossip) send(connection *net.UDPConn, m *message, selected func(*peerState) bool) {
	g.mutex.Lock()
	g.sequence++
	m.Sequence = g.sequence
	var targets []netip.AddrPort
	for _, p := range g.peers {
		if selected(p) {
			targets = append(targets, p.Address)
		}
	}
	g.mutex.Unlock()
	g.sendTo(connection, m, targets)
}

// sendTo sends the message to addresses.
func (g *Gossip) sendTo(connection *net.UDPConn, m *message, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	data, err := g.codec.Marshal(m)
	if err != nil {
		g.log.WithError(err).Error("datagram not encoded")
		return
	}
	g.bytesSent.Add(int64(len(data) * len(targets)))
	for _, to := range targets {
		if _, err := connection.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
			g.log.WithField("peer", to.String()).WithError(err).Debug("datagram not sent")
		}
	}
}

// sendsSummaries reports whether this instance sends summaries of its cell to others. They are needed where there are too many
// distant peers to send each change to all of them.
func (g *Gossip) sendsSummaries() bool {
	g.mutex.Lock()
	few := g.isSmall()
	g.mutex.Unlock()
	return !few && g.following()
}
