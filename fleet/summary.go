package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// maxSummary is the largest number of servers in a summary. A larger failure domain has engines enough for any prompt, and
	// its summaries would cost more than they are worth.
	maxSummary = 64
	// summaryTimeout is the age at which a summary no longer counts.
	summaryTimeout = clock.Second
)

// DomainWork is the work of all instances on the servers of one failure domain.
type DomainWork struct {
	Domain poplarwinch.FailureDomain
	Report Report
}

// Summary returns the work of all instances on the servers of the own failure domain, as far as it is known here. The result
// is false if there are too many servers.
func (f *Fleet) Summary() (DomainWork, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	w := f.domainWork(f.domain)
	return w, len(w.Report.Servers) <= maxSummary
}

// Distant returns the work on the servers of those other failure domains that told it recently.
func (f *Fleet) Distant() []DomainWork {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	var list []DomainWork
	for domain, p := range f.domains {
		if domain != f.domain && now-p.at <= summaryTimeout {
			list = append(list, f.domainWork(domain))
		}
	}
	return list
}

// domainWork returns the known work on the servers of a failure domain. Servers without any are left out. The caller holds
// the lock.
func (f *Fleet) domainWork(domain poplarwinch.FailureDomain) DomainWork {
	w := DomainWork{Domain: domain}
	now := f.clock.Now()
	for id, m := range f.servers {
		if m.server.Domain != domain {
			continue
		}
		c := Candidate{Server: m.server, Load: m.load(now)}
		f.addPeers(&c, now)
		f.addSummary(&c, now)
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
	f.domains[w.Domain] = p
}

// addSummary raises the work of a server of another failure domain to what that domain told. The caller holds the lock.
func (f *Fleet) addSummary(c *Candidate, now clock.Millis) {
	p := f.domains[c.Domain]
	if c.Domain == f.domain || p == nil {
		return
	}
	age := now - p.at
	if age > summaryTimeout {
		return
	}
	c.Known = true
	told := p.servers[c.ID].Load
	told.Due -= age
	told.PendingDue -= age
	if told.Readers > 0 {
		told.Read = max(told.Read-age, minReadLeft)
	}
	c.Load = c.Load.most(told)
}
