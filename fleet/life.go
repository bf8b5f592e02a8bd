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
func (f *Fleet) Listing(s Server) Listing {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m := f.servers[s.ID]; m != nil && m.server.Boot != s.Boot {
		if m.server.Boot > s.Boot {
			return ListingReplaced
		}
		return ListingAbsent // a stale entry of an earlier start
	}
	listed := f.start(s) != nil
	for id, m := range f.servers {
		if id == s.ID || m.server.Address != s.Address {
			continue
		}
		if m.server.Boot > s.Boot || m.server.Boot == s.Boot && !listed { // one process may be listed under two ids
			return ListingReplaced
		}
	}
	if !listed {
		return ListingAbsent
	}
	return ListingPresent
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
