package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Report is all work that one instance has on servers. It replaces the instance's earlier report.
type Report struct {
	Servers []ServerWork
}

// ServerWork is the work of one instance on one server.
type ServerWork struct {
	ID   poplarwinch.UpstreamID
	Load Load
	// Down says for how long the instance gives the server no work because it can't be reached.
	Down clock.Millis
}

// peerReport is a peer's report with the time of its arrival.
type peerReport struct {
	at      clock.Millis
	servers map[poplarwinch.UpstreamID]ServerWork
}

// Report returns the work of this instance.
func (f *Fleet) Report() Report {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	var r Report
	for id, m := range f.servers {
		w := ServerWork{ID: id, Load: m.load(now), Down: max(m.health.downUntil-now, 0)}
		if w.Load != (Load{}) || w.Down > 0 {
			r.Servers = append(r.Servers, w)
		}
	}
	return r
}

// Merge replaces the report of a peer.
func (f *Fleet) Merge(from poplarwinch.InstanceID, r Report) {
	f.mutex.Lock()
	now := f.clock.Now()
	p := &peerReport{at: now, servers: make(map[poplarwinch.UpstreamID]ServerWork, len(r.Servers))}
	for _, w := range r.Servers {
		p.servers[w.ID] = w
		if m := f.servers[w.ID]; m != nil && w.Down > 0 {
			m.health.downUntil = max(m.health.downUntil, now+min(w.Down, downMax))
		}
	}
	f.peers[from] = p
	f.mutex.Unlock()
	f.wakeWaiters()
}

// addPeers adds the work of peers to a candidate. The caller holds the lock.
func (f *Fleet) addPeers(c *Candidate, now clock.Millis) {
	for id, p := range f.peers {
		age := now - p.at
		if age > reportTimeout {
			delete(f.peers, id)
			continue
		}
		w, ok := p.servers[c.ID]
		if !ok {
			continue
		}
		l := w.Load
		if l.Read > 0 {
			l.Read = max(l.Read-age, minReadLeft)
		}
		c.Load = c.Load.add(l)
	}
}
