package fleet

import "github.com/poplarwinch/poplarwinch/clock"

// Listing is what the list says of one start of a server.
type Listing string

const (
	// ListingPresent means that the start is listed.
	ListingPresent Listing = "present"
	// ListingAbsent means that it is not listed, and neither is a later one. Entries of servers that are cut off lapse and come back.
	ListingAbsent Listing = "absent"
	// ListingReplaced means that the list has a later start of the server, or another server at its address: this start has ended.
	ListingReplaced Listing = "replaced"
)

// Listing returns what the list says of the start s of a server.
func (f *Fleet) Listing(s Server) Listing { return f.Listings([]Server{s})[0] }

// Listings returns what the list says of several starts of servers.
func (f *Fleet) Listings(starts []Server) []Listing {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	byAddress := make(map[string][]int, len(starts))
	result := make([]Listing, len(starts))
	for i := range starts {
		result[i] = f.listingByID(&starts[i])
		byAddress[starts[i].Address] = append(byAddress[starts[i].Address], i)
	}
	for _, m := range f.servers {
		for _, i := range byAddress[m.server.Address] {
			if m.server.ID == starts[i].ID {
				continue
			}
			isLater := m.server.Boot > starts[i].Boot
			if isLater || m.server.Boot == starts[i].Boot && result[i] == ListingAbsent { // one process may be listed under two ids
				result[i] = ListingReplaced
			}
		}
	}
	return result
}

// listingByID returns what the entry with the server's id says. The caller holds the lock.
func (f *Fleet) listingByID(s *Server) Listing {
	switch m := f.servers[s.ID]; {
	case m != nil && m.server.same(*s):
		return ListingPresent
	case m != nil && m.server.Boot > s.Boot:
		return ListingReplaced
	}
	return ListingAbsent
}

// Current returns the start of the server that is listed now at the same address, or s if there is none. A server that was chosen some time
// ago may have been started again since.
func (f *Fleet) Current(s Server) Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m := f.servers[s.ID]; m != nil && m.server.Address == s.Address && m.server.Service == s.Service {
		return m.server
	}
	return s
}

// IsListed reports whether the server is still listed as the same process.
func (f *Fleet) IsListed(s Server) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.start(s) != nil
}

// Alive records that a server accepted a connection that was begun at a time.
func (f *Fleet) Alive(s Server, at clock.Millis) {
	f.updateHealth(s, func(h *health, _ clock.Millis) { h.aliveAt = max(h.aliveAt, at) })
}

// AliveAt returns the latest time at which a server is known to have accepted a connection or completed an answer, zero if there is none
// or this start is not listed.
func (f *Fleet) AliveAt(s Server) clock.Millis {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m := f.start(s); m != nil {
		return m.health.aliveAt
	}
	return 0
}

// Crashed records that this start of the server has crashed.
func (f *Fleet) Crashed(s Server) {
	f.updateHealth(s, func(h *health, now clock.Millis) { h.crashedAt = now })
}

// HasCrashedBefore reports whether a crash of this start was recorded before a time. If the server runs requests after it, the list is older
// than the process.
func (f *Fleet) HasCrashedBefore(s Server, at clock.Millis) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.start(s)
	return m != nil && m.health.crashedAt > 0 && m.health.crashedAt < at
}

// IsUnreachable reports whether this instance can't connect to the server.
func (f *Fleet) IsUnreachable(s Server) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.start(s)
	return m != nil && m.health.unreachable
}

// IsNeighbourAlive reports whether another server in the failure domain of s is known to have been alive at a time or later.
func (f *Fleet) IsNeighbourAlive(s Server, since clock.Millis) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, m := range f.servers {
		if id != s.ID && m.server.Domain == s.Domain && m.health.aliveAt >= since {
			return true
		}
	}
	return false
}

// start returns the state of the server if it is listed as the same process. The caller holds the lock.
func (f *Fleet) start(s Server) *serverState {
	if m := f.servers[s.ID]; m != nil && m.server.same(s) {
		return m
	}
	return nil
}
