package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Summary returns the work of all instances on the servers of the own failure domain, as far as it is known here.
func (f *Fleet) Summary() Report {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	var r Report
	for id, m := range f.servers {
		if m.server.Domain != f.domain {
			continue
		}
		c := Candidate{Server: m.server, Load: m.load(now)}
		f.addPeers(&c, now)
		if c.Load != (Load{}) {
			r.Servers = append(r.Servers, ServerWork{ID: id, Load: c.Load})
		}
	}
	return r
}

// MergeSummary replaces the summary of another failure domain.
func (f *Fleet) MergeSummary(domain poplarwinch.FailureDomain, r Report) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := &peerReport{at: f.clock.Now(), servers: make(map[poplarwinch.UpstreamID]ServerWork, len(r.Servers))}
	for _, w := range r.Servers {
		p.servers[w.ID] = w
	}
	f.domains[domain] = p
}

// addSummary raises the work of a server of another failure domain to what that domain told. The caller holds the lock.
func (f *Fleet) addSummary(c *Candidate, now clock.Millis) {
	p := f.domains[c.Domain]
	if c.Domain == f.domain || p == nil {
		return
	}
	age := now - p.at
	if age > reportTimeout {
		return
	}
	c.Known = true
	told := p.servers[c.ID].Load
	told.Due -= age
	if told.Readers > 0 {
		told.Read = max(told.Read-age, minReadLeft)
	}
	c.Load = c.Load.most(told)
}
