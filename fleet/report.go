package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Report is the load that one instance has put on servers. It replaces the instance's earlier report.
type Report struct {
	Servers []ServerWork
	// Waiting is the number of the instance's requests that wait for a server.
	Waiting int
}

// ServerWork is the load that one instance has put on one server.
type ServerWork struct {
	ID poplarwinch.UpstreamID
	// Domain is the server's failure domain; it is set only in reports of this instance.
	Domain poplarwinch.FailureDomain
	Load   Load
	// SubmittedPrefill is the sum of the prefill times that the instance has sent to the server since it started.
	SubmittedPrefill clock.Millis
	// Unreachable says that the instance can't connect to the server.
	Unreachable bool
}

// peerReport is a received report with the time of its arrival.
type peerReport struct {
	at      clock.Millis
	waiting int
	servers map[poplarwinch.UpstreamID]ServerWork
}

// Report returns the load that this instance has put on servers. Servers without load are left out unless they are unreachable.
func (f *Fleet) Report() Report {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	r := Report{Waiting: f.waiting}
	for id, m := range f.servers {
		w := ServerWork{ID: id, Domain: m.server.Domain, Load: m.ownLoad(now), SubmittedPrefill: m.submittedPrefill, Unreachable: m.health.unreachable}
		if w.Load != (Load{}) || w.Unreachable {
			r.Servers = append(r.Servers, w)
		}
	}
	return r
}

// Merge replaces the report of a peer.
func (f *Fleet) Merge(from poplarwinch.InstanceID, r Report) {
	f.mutex.Lock()
	now := f.clock.Now()
	p := f.peerReports[from]
	if p == nil {
		p = &peerReport{servers: map[poplarwinch.UpstreamID]ServerWork{}}
		f.peerReports[from] = p
	}
	p.at, p.waiting = now, r.Waiting
	listed := make(map[poplarwinch.UpstreamID]bool, len(r.Servers))
	for _, w := range r.Servers {
		listed[w.ID] = true
		if m := f.servers[w.ID]; m != nil {
			m.mergeReport(w, p.servers[w.ID].SubmittedPrefill, now)
		}
		p.servers[w.ID] = w
	}
	for id, w := range p.servers {
		if !listed[id] {
			// Keep the sum for the next report that lists the server.
			p.servers[id] = ServerWork{ID: id, SubmittedPrefill: w.SubmittedPrefill}
		}
	}
	f.mutex.Unlock()
	f.wakeWaiters()
}

// mergeReport applies a peer's report on the server and adds the prefill time submitted since the report before.
func (m *serverState) mergeReport(w ServerWork, previousSubmitted, now clock.Millis) {
	if w.Unreachable {
		m.health.peersUnreachableUntil = now + peerUnreachableTimeout
	}
	added := w.SubmittedPrefill - previousSubmitted
	if added < 0 {
		added = w.SubmittedPrefill
	}
	if w.Load.Prefilling > 0 && added > 0 {
		m.extendPrefill(now, min(added, maxPrefillStep))
	}
}

// peerRequests returns the number of requests that peers have on a server. The caller holds the lock.
func (f *Fleet) peerRequests(id poplarwinch.UpstreamID) int {
	n := 0
	for _, p := range f.peerReports {
		n += p.servers[id].Load.Requests
	}
	return n
}

// addPeerLoad adds the load of peers to a candidate and estimates the remaining prefill time. The caller holds the lock.
func (f *Fleet) addPeerLoad(c *Candidate, now clock.Millis) {
	for id, p := range f.peerReports {
		age := now - p.at
		if age > reportTimeout {
			delete(f.peerReports, id)
			continue
		}
		l := p.servers[c.ID].Load
		l.Due -= age
		l.PendingDue -= age
		c.Load = c.Load.add(l)
	}
	m := f.servers[c.ID]
	if c.Load.Prefilling == 0 {
		m.prefillUntil = min(m.prefillUntil, now)
		return
	}
	left := m.prefillUntil - now
	if left < 0 {
		// The longer the prefill is overdue, the longer it may still take.
		left = min(-left, maxOverdue)
	}
	c.Load.Prefill = max(left, minPrefillLeft)
}
