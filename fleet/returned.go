package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// domainReturned makes the servers of a failure domain whose evacuation has ended cold for the time that their services name: they have
// had no traffic since. Rows that are read later say otherwise if they are not cold. The caller holds the lock.
func (f *Fleet) domainReturned(domain poplarwinch.FailureDomain, now clock.Millis) {
	for _, m := range f.servers {
		rule := f.coldRules[m.server.Service]
		if until := now + rule.Start; m.server.Domain == domain && until > max(m.notices.coldness().until, now) {
			f.setCold(m, now, until, SourceReturn, now)
		}
	}
}
