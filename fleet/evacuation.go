package fleet

import (
	"maps"
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

// evacuations are the failure domains under evacuation: their servers get no new requests. It is nil if there are none.
type evacuations map[poplarwinch.FailureDomain]struct{}

// has reports whether the failure domain is under evacuation.
func (e evacuations) has(domain poplarwinch.FailureDomain) bool {
	_, ok := e[domain]
	return ok
}

// SetEvacuated replaces the set of failure domains under evacuation and reports whether that changed it. Their servers keep their ranks
// and cells, and what runs on them is not touched. Waiting requests are woken by a change.
func (f *Fleet) SetEvacuated(domains []poplarwinch.FailureDomain) bool {
	var next evacuations
	for _, d := range domains {
		if next == nil {
			next = evacuations{}
		}
		next[d] = struct{}{}
	}
	f.mutex.Lock()
	before := f.evacuated
	if maps.Equal(before, next) {
		f.mutex.Unlock()
		return false
	}
	f.evacuated = next
	for _, m := range f.servers {
		m.evacuated = next.has(m.server.Domain)
	}
	now := f.clock.Now()
	for _, d := range slices.Sorted(maps.Keys(before)) {
		if !next.has(d) {
			f.domainReturned(d, now)
		}
	}
	f.mutex.Unlock()
	f.wakeWaiters()
	return true
}

// Evacuated returns the failure domains under evacuation, in order.
func (f *Fleet) Evacuated() []poplarwinch.FailureDomain {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Sorted(maps.Keys(f.evacuated))
}

// IsEvacuated reports whether the failure domain is under evacuation.
func (f *Fleet) IsEvacuated(domain poplarwinch.FailureDomain) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.evacuated.has(domain)
}

// AnyEvacuated reports whether one of the servers is in a failure domain under evacuation.
func (f *Fleet) AnyEvacuated(servers ...Server) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.evacuated) == 0 {
		return false
	}
	return slices.ContainsFunc(servers, func(s Server) bool {
		m := f.servers[s.ID]
		return f.evacuated.has(s.Domain) || m != nil && m.evacuated
	})
}

// IsServiceEvacuated reports whether the service has servers that the list doesn't call leaving, and all of them are in failure domains
// under evacuation.
func (f *Fleet) IsServiceEvacuated(service poplarwinch.ServiceName) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	usable := f.usable[service]
	return len(f.evacuated) > 0 && len(usable) > 0 && !slices.ContainsFunc(usable, func(m *serverState) bool { return !m.evacuated })
}

// DomainRequests returns the number of this instance's requests that servers of a failure domain answer, or for which they hold memory or
// prefill a part of the prompt.
func (f *Fleet) DomainRequests(domain poplarwinch.FailureDomain) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	running := map[*Ticket]struct{}{}
	for _, m := range f.servers {
		if m.server.Domain != domain {
			continue
		}
		maps.Copy(running, m.tickets)
		maps.Copy(running, m.prefilling)
		for t := range m.shares {
			running[t] = struct{}{}
		}
	}
	return len(running)
}

// HasDomain reports whether a listed server is in the failure domain.
func (f *Fleet) HasDomain(domain poplarwinch.FailureDomain) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, m := range f.servers {
		if m.server.Domain == domain {
			return true
		}
	}
	return false
}

// isUnavailable reports whether the server gets no new requests: it is leaving, or its failure domain is under evacuation.
func (m *serverState) isUnavailable() bool { return m.evacuated || m.isLeaving() }
