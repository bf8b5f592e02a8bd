package gossip

import (
	"context"
	"net"
	"net/netip"

	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/replica"
)

func (g *Gossip) runReceive(ctx context.Context, connection *net.UDPConn, ended chan<- struct{}) {
	defer close(ended)
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := connection.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("datagram not received")
			if g.clock.Sleep(ctx, nearDelay) != nil {
				return
			}
			continue
		}
		var m message
		if err := g.codec.Unmarshal(buffer[:n], &m); err != nil {
			g.log.WithField("from", from.String()).WithError(err).Warn("datagram not understood")
			continue
		}
		g.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &m)
	}
}

// receive takes a datagram unless a newer one of the same process came first. A process whose clock was set back before it
// started looks older than the one before it; it counts once that one is silent.
func (g *Gossip) receive(from netip.AddrPort, m *message) {
	if m.From == "" || m.From == g.self.ID {
		return
	}
	g.mutex.Lock()
	p := g.peers[m.From]
	if p == nil {
		p = &peerState{Member: Member{ID: m.From, Domain: m.Domain, Address: from}}
		g.peers[m.From] = p
		g.countDistant()
	}
	known := g.alive(p)
	if known && m.Boot < p.boot || m.Boot == p.boot && m.Sequence <= p.sequence {
		g.mutex.Unlock()
		return
	}
	p.Member = Member{ID: m.From, Domain: m.Domain, Address: from}
	p.boot, p.sequence = m.Boot, m.Sequence
	p.heardAt, p.failing, p.follows = g.clock.Now(), m.Failing, m.Follows
	if m.Leaving {
		p.heardAt = 0
	}
	delete(g.unnamed, from)
	fresh := !known && !m.Leaving
	p.greet = p.greet || fresh
	g.mutex.Unlock()
	if fresh {
		g.log.WithField("peer", string(m.From)).WithField("address", from.String()).Info("dependency regained: peer is alive")
		g.Changed(fleet.ReachNear)
	}
	g.learnWork(m)
	g.suspects.Merge(decodeSuspects(m.Suspects, g.clock.Now()))
	g.compare(p.Member, m.Versions)
	g.follow()
}

// learnWork takes what the sender tells of work on servers.
func (g *Gossip) learnWork(m *message) {
	if m.OwnWork {
		r := decodeWork(m.Servers)
		g.mutex.Lock()
		competes := m.Domain == g.self.Domain || g.distant <= fewDistant
		g.mutex.Unlock()
		if competes {
			r.Waiting = m.Waiting
		}
		if m.Domain != g.self.Domain {
			// What another failure domain can't reach may well be reached from here.
			for i := range r.Servers {
				r.Servers[i].Down = false
			}
		}
		g.fleet.Merge(m.From, r)
	}
	for _, d := range m.Domains {
		if d.Domain != g.self.Domain {
			g.fleet.MergeSummary(fleet.DomainWork{Domain: d.Domain, Report: decodeWork(d.Servers)})
		}
	}
}

// compare checks the own tables against a peer's versions. One that stays behind may hang on a silent connection or be
// refused by its source.
func (g *Gossip) compare(from Member, versions map[string]replica.Version) {
	now := g.clock.Now()
	for name, r := range g.replicas {
		own, loaded := r.Version()
		if loaded && versions[name] <= own || versions[name] == 0 {
			continue
		}
		g.mutex.Lock()
		since, behind := g.behind[name]
		if !behind || now-since > missedBeats*heartbeat {
			g.behind[name] = now
			since = now
		}
		wait := loaded && now-since < newsDelay && (from.Domain != g.self.Domain || r.Following() && !r.Failing())
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
		g.fetch(from, name)
	}
}
