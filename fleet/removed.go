package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// removedRetention is the time for which the notices of a server that is no longer listed are kept. Entries of the list may lapse and
// reappear.
const removedRetention = 10 * clock.Minute

// removedServer is a server that is no longer listed.
type removedServer struct {
	server  Server
	notices notices
	at      clock.Millis
}

// removedServers has the removed servers with notices.
type removedServers map[poplarwinch.UpstreamID]removedServer

// keep adds the servers that are listed before, but not after, and drops old ones.
func (r removedServers) keep(before, after map[poplarwinch.UpstreamID]*serverState, now clock.Millis) {
	for id, o := range r {
		if now-o.at > removedRetention {
			delete(r, id)
		}
	}
	for id, m := range before {
		if after[id] == nil && m.notices.known() {
			r[id] = removedServer{server: m.server, notices: m.notices, at: now}
		}
	}
}

// take removes the server and returns its notices if it is the same process as before.
func (r removedServers) take(s Server, now clock.Millis) notices {
	o, ok := r[s.ID]
	delete(r, s.ID)
	if !ok || !o.server.same(s) || now-o.at > removedRetention {
		return notices{}
	}
	return o.notices
}
