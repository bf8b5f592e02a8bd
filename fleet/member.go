package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// member is a server with the work that is known on it and this instance's experience.
type member struct {
	server Server
	// tickets are the own requests that the server answers; readers those whose prompt it still reads.
	tickets map[*Ticket]struct{}
	readers map[*Ticket]struct{}
	// shares is the memory that is reserved for own requests which other servers answer.
	shares map[*Ticket]poplarwinch.Tokens
	own    Load
	// submitted is the sum of the reading times that this instance ever gave the server.
	submitted clock.Millis
	// readUntil is the estimated end of all reading, that of peers included.
	readUntil clock.Millis
	health    health
}

func newMember(s Server) *member {
	return &member{server: s, tickets: map[*Ticket]struct{}{}, readers: map[*Ticket]struct{}{}, shares: map[*Ticket]poplarwinch.Tokens{}}
}

// add counts a ticket for which the server is the first engine.
func (m *member) add(t *Ticket) {
	m.tickets[t] = struct{}{}
	m.own.Requests++
	m.own.Memory += t.work.Memory
	m.own = m.own.withPause(t.work.MaxPause)
}

// has reports whether the server is the first engine of the ticket.
func (m *member) has(t *Ticket) bool {
	_, ok := m.tickets[t]
	return ok
}

// remove forgets a ticket.
func (m *member) remove(t *Ticket, decoding bool) {
	if !m.has(t) {
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

// startRead adds a prompt, or a part of one, to what the server reads.
func (m *member) startRead(t *Ticket, now clock.Millis) {
	m.readers[t] = struct{}{}
	m.submitted += t.work.Read
	m.extend(now, t.work.Read)
}

// extend moves the estimated end of reading.
func (m *member) extend(now, span clock.Millis) {
	m.readUntil = max(m.readUntil, now) + span
}

// endRead records that a prompt was read.
func (m *member) endRead(t *Ticket) { delete(m.readers, t) }

// load returns this instance's work on the server, apart from Read.
func (m *member) load(now clock.Millis) Load {
	l := m.own
	for _, tokens := range m.shares {
		l.Memory += tokens
	}
	for t := range m.readers {
		due := t.work.Due - now
		one := Load{Readers: 1, Due: due}
		if len(t.work.Helpers) == 0 {
			one.Pending, one.PendingDue = t.work.Read, due
		}
		l = l.add(one)
	}
	return l
}
