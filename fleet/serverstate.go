package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// serverState is a server with this instance's load on it, the estimated prefill and its health.
type serverState struct {
	server Server
	// hash orders the servers of a failure domain in the same way in all instances.
	hash uint64
	// tickets are this instance's requests that the server answers; prefilling are those whose prompt it prefills.
	tickets    map[*Ticket]struct{}
	prefilling map[*Ticket]struct{}
	// shares is the memory that is reserved for this instance's requests which other servers answer.
	shares map[*Ticket]poplarwinch.Tokens
	own    Load
	// peers is the load of peers; those without load on the server are left out.
	peers []peerLoad
	// place is the server's position among those of its service and failure domain that are not leaving.
	place Place
	// submittedPrefill is the sum of the prefill times that this instance has sent to the server.
	submittedPrefill clock.Millis
	// prefillUntil is the estimated end of all prefill, including that of peers.
	prefillUntil clock.Millis
	health       health
	notices      notices
	// evacuated says that the server's failure domain is under evacuation.
	evacuated bool
	// sent is the number of requests that this instance has sent to the server.
	sent int
	// coldRate is the target rate of requests while the server is cold, zero if there is none, and slotMillis the time between two slots.
	coldRate   RequestRate
	slotMillis float64
	// coldService is the use of cold servers of the service; nil if coldRate is zero.
	coldService *coldService
	// startObserved says that the start of the process has been taken into account for its coldness.
	startObserved bool
}

func newServerState(s Server) *serverState {
	return &serverState{server: s, hash: xxhash.Sum64String(string(s.ID)), tickets: map[*Ticket]struct{}{}, prefilling: map[*Ticket]struct{}{}, shares: map[*Ticket]poplarwinch.Tokens{}}
}

// add counts a ticket for which the server is the first engine.
func (m *serverState) add(t *Ticket) {
	m.tickets[t] = struct{}{}
	m.own.Requests++
	m.own.Memory += t.work.Memory
	m.sent++
	m.own = m.own.withPause(t.work.MaxPause)
}

// isFirst reports whether the server is the first engine of the ticket.
func (m *serverState) isFirst(t *Ticket) bool {
	_, ok := m.tickets[t]
	return ok
}

// remove undoes add.
func (m *serverState) remove(t *Ticket, decoding bool) {
	if !m.isFirst(t) {
		return
	}
	delete(m.tickets, t)
	m.own.Requests--
	m.own.Memory -= t.work.Memory
	if decoding {
		m.own.Decoding--
	}
	m.own.MinPause, m.own.MaxPause = 0, 0
	for other := range m.tickets {
		m.own = m.own.withPause(other.work.MaxPause)
	}
}

// startPrefill adds a prompt, or a part of one, to the server's prefill.
func (m *serverState) startPrefill(t *Ticket, now clock.Millis) {
	m.prefilling[t] = struct{}{}
	m.submittedPrefill += t.work.Prefill
	m.extendPrefill(now, t.work.Prefill)
}

// extendPrefill moves the estimated end of prefill by the prefill time of a further prompt.
func (m *serverState) extendPrefill(now, prefill clock.Millis) {
	m.prefillUntil = max(m.prefillUntil, now) + prefill
}

// isPrefilling reports whether the server prefills the prompt of the ticket, or a part of it.
func (m *serverState) isPrefilling(t *Ticket) bool {
	_, ok := m.prefilling[t]
	return ok
}

func (m *serverState) endPrefill(t *Ticket) { delete(m.prefilling, t) }

// ownLoad returns this instance's load on the server, except for Prefill.
func (m *serverState) ownLoad(now clock.Millis) Load {
	l := m.own
	for _, tokens := range m.shares {
		l.Memory += tokens
	}
	for t := range m.prefilling {
		due := t.work.Due - now
		one := Load{Prefilling: 1, Due: due}
		if len(t.work.Helpers) == 0 {
			one.PendingPrefill, one.PendingDue = t.work.Prefill, due
		}
		l = l.add(one)
	}
	return l
}

// candidate returns the server with the load.
func (m *serverState) candidate(l Load, known bool, now clock.Millis) Candidate {
	return Candidate{
		Server: m.server, Load: l, Rank: m.place.Position, Hash: m.hash, LoadKnown: known, Avoid: m.health.avoided(now), Cold: m.isCold(now),
		Resting: m.notices.rest.left(now) > 0, RestsForPeers: now < m.notices.rest.peersUntil, LimitInterval: m.notices.limit.spacing(),
	}
}
