package gossip

import (
	"errors"
	"net"
	"net/netip"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// pause returns the time until the next datagram is due.
func (g *Gossip) pause() clock.Millis {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	wait := heartbeat
	for _, due := range []clock.Millis{g.nearDue, g.workDue, g.farDue, g.summaryDue} {
		if due != 0 {
			wait = min(wait, max(due-now, 0))
		}
	}
	return wait
}

// sendDue sends the datagrams whose time has come.
func (g *Gossip) sendDue(connection *net.UDPConn) {
	summarizes := g.summarizes()
	g.mutex.Lock()
	now := g.clock.Now()
	passed := func(due clock.Millis) bool { return due != 0 && due <= now }
	near, work, far, summary := passed(g.nearDue), passed(g.workDue), passed(g.farDue), summarizes && passed(g.summaryDue)
	if near {
		g.nearDue = now + heartbeat
	}
	if work || far {
		g.workDue = 0
	}
	if far {
		g.farDue = now + g.farBeat()
	}
	switch {
	case !summarizes:
		g.summaryDue = 0
	case summary || g.summaryDue == 0:
		g.summaryDue = now + summaryBeat
	}
	g.mutex.Unlock()
	if near || work || far {
		g.sendWork(connection, near, work, far)
	}
	if summary {
		g.sendSummaries(connection)
	}
}

// sendWork tells peers of the own work: those of the own failure domain if near, those of failure domains whose servers the
// work concerns and those that follow the tables if work, and all others if far. Peers that came alive are always told.
func (g *Gossip) sendWork(connection *net.UDPConn, near, work, far bool) {
	r := g.fleet.Report()
	concerned := map[poplarwinch.FailureDomain]bool{}
	for _, s := range r.Servers {
		concerned[s.Domain] = true
	}
	g.mutex.Lock()
	before := g.concerned
	if work || far {
		g.concerned = concerned
	}
	g.mutex.Unlock()
	m := g.message()
	m.OwnWork, m.Servers, m.Waiting = true, encodeWork(r), r.Waiting
	g.send(connection, m, func(p *peerState) bool {
		if p.greet {
			p.greet = false
			return true
		}
		if p.Domain == g.self.Domain {
			return near
		}
		return far || work && (p.follows || concerned[p.Domain] || before[p.Domain])
	})
}

// sendSummaries tells other failure domains of the work on the servers of this one. Only instances that follow the tables
// exchange these summaries; each passes on to its own failure domain what it knows of all others.
func (g *Gossip) sendSummaries(connection *net.UDPConn) {
	if own, ok := g.fleet.Summary(); ok {
		m := g.message()
		m.Domains = encodeDomains([]fleet.DomainWork{own})
		g.send(connection, m, func(p *peerState) bool { return p.Domain != g.self.Domain && p.follows })
	}
	if others := g.fleet.Distant(); len(others) > 0 {
		m := g.message()
		m.Domains = encodeDomains(others)
		g.send(connection, m, func(p *peerState) bool { return p.Domain == g.self.Domain })
	}
}

// message returns a datagram without work of servers.
func (g *Gossip) message() *message {
	return &message{
		From: g.self.ID, Domain: g.self.Domain, Boot: g.boot, Versions: g.versions(), Follows: g.followsNow(),
		Failing: g.failing(), Suspects: encodeSuspects(g.suspects.Suspects(), g.clock.Now()),
	}
}

// send writes a datagram to the selected peers.
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
	if m.OwnWork {
		for address := range g.unnamed {
			targets = append(targets, address)
		}
	}
	g.mutex.Unlock()
	if len(targets) == 0 {
		return
	}
	data, err := g.codec.Marshal(m)
	if err != nil {
		g.log.WithError(err).Error("datagram not encoded")
		return
	}
	for _, to := range targets {
		if _, err := connection.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
			g.log.WithField("peer", to.String()).WithError(err).Debug("datagram not sent")
		}
	}
}

// summarizes reports whether this instance tells distant ones of its whole failure domain. That is needed where these are too
// many to be told of each change.
func (g *Gossip) summarizes() bool {
	g.mutex.Lock()
	few := g.distant <= fewDistant
	g.mutex.Unlock()
	return !few && g.followsNow()
}

// farBeat returns the time until the next datagram to all distant peers. Those of instances that follow the tables tell the
// versions, so they come often. The caller holds the lock.
func (g *Gossip) farBeat() clock.Millis {
	if g.followsNow() {
		return heartbeat
	}
	return g.distantBeat()
}
