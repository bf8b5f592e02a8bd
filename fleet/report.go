package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Report is all work that one instance has on servers. It replaces the instance's earlier report.
type Report struct {
	Servers []ServerWork
	// Waiting is the number of the instance's requests that wait for a server.
	Waiting int
}

// ServerWork is the work of one instance on one server.
type ServerWork struct {
	ID poplarwinch.UpstreamID
	// Domain is the server's failure domain; only reports of this instance name it.
	Domain poplarwinch.FailureDomain
	Load   Load
	// Submitted is the sum of the reading times that the instance gave the server since it started.
	Submitted clock.Millis
	// Down says that the instance can't reach the server.
	Down bool
}

// peerReport is a peer's report with the time of its arrival.
type peerReport struct {
	at      clock.Millis
	waiting int
	servers map[poplarwinch.UpstreamID]ServerWork
}

// Report returns the work of this instance. Servers without any are left out.
func (f *Fleet) Report() Report {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	r := Report{Waiting: f.waiting}
	for id, m := range f.servers {
		w := ServerWork{ID: id, Domain: m.server.Domain, Load: m.load(now), Submitted: m.submitted, Down: m.health.down}
		if w.Load != (Load{}) || w.Down {
			r.Servers = append(r.Servers, w)
		}
	}
	return r
}

// Merge replaces the report of a peer.
func (f *Fleet) Merge(from poplarwinch.InstanceID, r Report) {
	f.mutex.Lock()
	now := f.clock.Now()
	p := f.peers[from]
	if p == nil {
		p = &peerReport{servers: map[poplarwinch.UpstreamID]ServerWork{}}
		f.peers[from] = p
	}
	p.at, p.waiting = now, r.Waiting
	named := make(map[poplarwinch.UpstreamID]bool, len(r.Servers))
	for _, w := range r.Servers {
		named[w.ID] = true
		if m := f.servers[w.ID]; m != nil {
			m.learn(w, p.servers[w.ID].Submitted, now)
		}
		p.servers[w.ID] = w
	}
	for id, w := range p.servers {
		if !named[id] {
			// The sum stays known for the next report that names the server.
			p.servers[id] = ServerWork{ID: id, Submitted: w.Submitted}
		}
	}
	f.mutex.Unlock()
	f.wakeWaiters()
}

// learn takes what a peer reports of the server. The reading that is new since its last report comes on top.
func (m *member) learn(w ServerWork, before, now clock.Millis) {
	if w.Down {
		m.health.peersDownUntil = now + peerDown
	}
	span := w.Submitted - before
	if span < 0 {
		span = w.Submitted
	}
	if w.Load.Readers > 0 && span > 0 {
		m.extend(now, min(span, maxReadStep))
	}
}

// peerRequests returns the requests that peers have on a server. The caller holds the lock.
func (f *Fleet) peerRequests(id poplarwinch.UpstreamID) int {
	n := 0
	for _, p := range f.peers {
		n += p.servers[id].Load.Requests
	}
	return n
}

// addPeers adds the work of peers to a candidate and estimates the reading that is left. The caller holds the lock.
func (f *Fleet) addPeers(c *Candidate, now clock.Millis) {
	for id, p := range f.peers {
		age := now - p.at
		if age > reportTimeout {
			delete(f.peers, id)
			continue
		}
		l := p.servers[c.ID].Load
		l.Due -= age
		l.PendingDue -= age
		c.Load = c.Load.add(l)
	}
	m := f.servers[c.ID]
	if c.Load.Readers == 0 {
		m.readUntil = min(m.readUntil, now)
		return
	}
	left := m.readUntil - now
	if left < 0 {
		// The longer the reading is overdue, the longer it may still take.
		left = min(-left, maxOverdue)
	}
	c.Load.Read = max(left, minReadLeft)
}
