package fleet

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Report is the load that one instance has put on servers. It replaces the instance's earlier report.
type Report struct {
	Servers []ServerWork
	// Waiting has the numbers of the instance's requests that wait for a server.
	Waiting []WaitingCount
	// Cold has what the instance reports of services with cold servers.
	Cold []ColdService
}

// ServerWork is the load that one instance has put on one server.
type ServerWork struct {
	ID poplarwinch.UpstreamID
	// Place determines the server's cell; it is set only in reports of this instance.
	Place Place
	Load  Load
	// SubmittedPrefill is the sum of the prefill times that the instance has sent to the server since it started.
	SubmittedPrefill clock.Millis
	// Unreachable says that the instance can't connect to the server.
	Unreachable bool
	// Sent is the number of requests that the instance has sent to the server since it started; zero if the server has no limit.
	Sent int
	// Notice is what the instance has seen of the server's notices.
	Notice NoticeReport
	// Cold is what the instance reports of a cold server.
	Cold ColdReport
}

// Places returns the places of the servers in a report of this instance.
func (r *Report) Places() []Place {
	places := make([]Place, 0, len(r.Servers))
	for i := range r.Servers {
		places = append(places, r.Servers[i].Place)
	}
	return places
}

// In returns the load on the servers of one cell in a report of this instance.
func (r *Report) In(domain poplarwinch.FailureDomain, c Cell) []ServerWork {
	var servers []ServerWork
	for i := range r.Servers {
		if p := r.Servers[i].Place; p.Domain == domain && c.Contains(p.Position, p.Total) {
			servers = append(servers, r.Servers[i])
		}
	}
	return servers
}

// peerReport is a received report with the time of its arrival.
type peerReport struct {
	at      clock.Millis
	waiting []WaitingCount
	cold    []ColdService
	servers map[poplarwinch.UpstreamID]ServerWork
}

// peerLoad is the load on one server by a peer's report.
type peerLoad struct {
	report *peerReport
	load   Load
}

// Report returns the load that this instance has put on servers. Servers without load are left out unless they are unreachable or
// their notices have to be reported.
func (f *Fleet) Report() Report {
	f.mutex.Lock()
	now := f.clock.Now()
	changes := f.coldChanges(now)
	r := f.report(now)
	f.mutex.Unlock()
	if len(changes) > 0 {
		f.onCold(changes)
	}
	return r
}

// report is Report for a caller that holds the lock.
func (f *Fleet) report(now clock.Millis) Report {
	r := Report{Waiting: f.reportedWaiting(), Cold: f.reportColdServices(now)}
	for id, m := range f.servers {
		w := ServerWork{
			ID: id, Place: m.place, Load: m.ownLoad(now), SubmittedPrefill: m.submittedPrefill, Unreachable: m.health.unreachable,
		}
		if m.notices.limit.rate > 0 {
			w.Sent = m.sent
		}
		listed := w.Load != (Load{}) || w.Unreachable
		w.Notice = m.notices.report(m.server.Boot, now, listed)
		w.Cold = f.coldReport(m, now)
		if listed || w.Notice.Known() || w.Cold != (ColdReport{}) {
			r.Servers = append(r.Servers, w)
		}
	}
	return r
}

// Merge replaces the report of a peer. Waiting requests are woken if the peer has less load on a server than before, or
// reports a new notice.
func (f *Fleet) Merge(from poplarwinch.InstanceID, r Report) {
	f.mutex.Lock()
	now := f.clock.Now()
	p := f.peerReports[from]
	if p == nil {
		f.dropSilentPeers(now)
		p = &peerReport{servers: map[poplarwinch.UpstreamID]ServerWork{}}
		f.peerReports[from] = p
	}
	p.at, p.waiting, p.cold = now, r.Waiting, r.Cold
	lendingDue := f.mergeColdServices(r.Cold, now)
	woken := false
	listed := make(map[poplarwinch.UpstreamID]bool, len(r.Servers))
	for _, w := range r.Servers {
		listed[w.ID] = true
		woken = f.mergeServerWork(p, w, now) || woken
	}
	for id, w := range p.servers {
		if !listed[id] && w.Load != (Load{}) {
			// Keep the sum for the next report that lists the server.
			woken = f.mergeServerWork(p, ServerWork{ID: id, SubmittedPrefill: w.SubmittedPrefill, Sent: w.Sent}, now) || woken
		}
	}
	f.mutex.Unlock()
	if lendingDue {
		f.onChange(ReachNear)
	}
	if woken {
		f.wakeWaiters()
	}
}

// dropSilentPeers removes the reports that are too old. The caller holds the lock.
func (f *Fleet) dropSilentPeers(now clock.Millis) {
	for id, p := range f.peerReports {
		if now-p.at <= reportTimeout {
			continue
		}
		delete(f.peerReports, id)
		for server := range p.servers {
			if m := f.servers[server]; m != nil {
				m.setPeerLoad(p, Load{})
			}
		}
	}
}

// mergeServerWork replaces a peer's work on one server and reports whether it has become less or the server's notices have changed.
// The caller holds the lock.
func (f *Fleet) mergeServerWork(p *peerReport, w ServerWork, now clock.Millis) bool {
	before := p.servers[w.ID]
	if w.Sent == 0 {
		w.Sent = before.Sent
	}
	changed, m := false, f.servers[w.ID]
	if w.Cold == (ColdReport{}) {
		w.Cold.Sent, w.Cold.Boot = before.Cold.Sent, before.Cold.Boot
	}
	if m != nil {
		changed = f.mergeCold(m, &w, &before, now)
	}
	p.servers[w.ID] = w
	if m != nil {
		m.countSent(w, before, now)
		changed = m.mergeNotice(w.Notice, now) || changed
		m.mergeReport(w, before.SubmittedPrefill, now)
		m.setPeerLoad(p, w.Load)
	}
	return changed || w.Load.Requests < before.Load.Requests || w.Load.Prefilling < before.Load.Prefilling || w.Load.Memory < before.Load.Memory
}

// mergeNotice applies a peer's report of the server's notices and reports whether it changes anything. A report on another process of
// the server is ignored.
func (m *serverState) mergeNotice(r NoticeReport, now clock.Millis) bool {
	return r.Boot == m.server.Boot && m.notices.merge(r, now)
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

// setPeerLoad replaces the load by a peer's report; the zero Load removes it.
func (m *serverState) setPeerLoad(p *peerReport, l Load) {
	m.peers = slices.DeleteFunc(m.peers, func(o peerLoad) bool { return o.report == p })
	if l != (Load{}) {
		m.peers = append(m.peers, peerLoad{report: p, load: l})
	}
}

// attachReports sets the load of a newly listed server from the reports that are already known. The caller holds the lock.
func (f *Fleet) attachReports(m *serverState) {
	for _, p := range f.peerReports {
		m.setPeerLoad(p, p.servers[m.server.ID].Load)
	}
}

// peerRequests returns the number of requests that peers have on the server.
func (m *serverState) peerRequests() int {
	n := 0
	for i := range m.peers {
		n += m.peers[i].load.Requests
	}
	return n
}

// knownLoad returns the load of this instance and its peers on the server, without parts of prompts that it has presumably prefilled.
func (m *serverState) knownLoad(now clock.Millis) Load {
	return m.withoutFinishedParts(m.addPeerLoad(m.ownLoad(now), now), now)
}

// withoutFinishedParts removes the parts of prompts that the server has presumably prefilled: it should have finished all prefill some
// time ago, and has only parts of prompts that other servers answer. These count as prefilling until the first event of their prompt,
// which may wait for a part on another server, so that this one would look busy while it is idle.
func (m *serverState) withoutFinishedParts(l Load, now clock.Millis) Load {
	if l.Prefilling == 0 || l.Requests > l.Decoding || now-m.prefillUntil < finishedPartMargin {
		return l
	}
	l.Prefilling, l.Prefill, l.Due = 0, 0, 0
	return l
}

// addPeerLoad adds the load of peers to the load l on the server and estimates the remaining prefill time.
func (m *serverState) addPeerLoad(l Load, now clock.Millis) Load {
	for i := range m.peers {
		reported, age := m.peers[i].load, now-m.peers[i].report.at
		if age > reportTimeout {
			continue
		}
		reported.Due -= age
		reported.PendingDue -= age
		l = l.add(reported)
	}
	if l.Prefilling == 0 {
		m.prefillUntil = min(m.prefillUntil, now)
		return l
	}
	left := m.prefillUntil - now
	if left < 0 {
		// The longer the prefill is overdue, the longer it may still take.
		left = min(-left, maxOverdue)
	}
	l.Prefill = max(left, minPrefillLeft)
	return l
}
