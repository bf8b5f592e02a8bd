package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// maxSummaryServers is the largest number of servers in a summary. A larger failure domain has enough engines for
	// any prompt, and its summaries would cost more than they gain.
	maxSummaryServers = 64
	// summaryTimeout is the age above which a summary is ignored.
	summaryTimeout = clock.Second
)

// DomainWork is the load of all instances on the servers of one failure domain.
type DomainWork struct {
	Domain poplarwinch.FailureDomain
	Report Report
}

// Summary returns the known load of all instances on the servers of the own failure domain. It reports false if there
// are too many servers for a summary.
func (f *Fleet) Summary() (DomainWork, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	w := f.domainWork(f.domain)
	return w, len(w.Report.Servers) <= maxSummaryServers
}

// RemoteSummaries returns the load on the servers of the other failure domains that sent a summary recently.
func (f *Fleet) RemoteSummaries() []DomainWork {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	var list []DomainWork
	for domain, p := range f.summaries {
		if domain != f.domain && now-p.at <= summaryTimeout {
			list = append(list, f.domainWork(domain))
		}
	}
	return list
}

// domainWork returns the known load on the servers of a failure domain. Servers without load are left out. The caller
// holds the lock.
func (f *Fleet) domainWork(domain poplarwinch.FailureDomain) DomainWork {
	w := DomainWork{Domain: domain}
	now := f.clock.Now()
	for id, m := range f.servers {
		if m.server.Domain != domain {
			continue
		}
		c := Candidate{Server: m.server, Load: m.ownLoad(now)}
		f.addPeerLoad(&c, now)
		f.addSummaryLoad(&c, now)
		if c.Load != (Load{}) {
			w.Report.Servers = append(w.Report.Servers, ServerWork{ID: id, Load: c.Load})
		}
	}
	return w
}

// MergeSummary replaces the summary of another failure domain.
func (f *Fleet) MergeSummary(w DomainWork) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := &peerReport{at: f.clock.Now(), servers: make(map[poplarwinch.UpstreamID]ServerWork, len(w.Report.Servers))}
	for _, s := range w.Report.Servers {
		p.servers[s.ID] = s
	}
	f.summaries[w.Domain] = p
}

// addSummaryLoad raises the load of a server in another failure domain to that in its summary. The caller holds the
// lock.
func (f *Fleet) addSummaryLoad(c *Candidate, now clock.Millis) {
	p := f.summaries[c.Domain]
	if c.Domain == f.domain || p == nil {
		return
	}
	age := now - p.at
	if age > summaryTimeout {
		return
	}
	c.LoadKnown = true
	reported := p.servers[c.ID].Load
	reported.Due -= age
	reported.PendingDue -= age
	if reported.Prefilling > 0 {
		reported.Prefill = max(reported.Prefill-age, minPrefillLeft)
	}
	c.Load = c.Load.mergeMax(reported)
}
