package fleet

import (
	"github.com/poplarwinch/poplarwinch/clock"
)

// member is a server with this instance's work and experience.
type member struct {
	server  Server
	tickets map[*Ticket]struct{}
	own     Load
	// readers counts the own tickets whose prompt the server still reads, as first server or helper.
	readers int
	// readUntil is the estimated end of these reads.
	readUntil clock.Millis
	health    health
}

func newMember(s Server) *member {
	return &member{server: s, tickets: map[*Ticket]struct{}{}}
}

// add counts a ticket for which the server is the first engine.
func (m *member) add(t *Ticket) {
	m.tickets[t] = struct{}{}
	m.own.Requests++
	m.own.Memory += t.work.Memory
	m.own.MinPause = tighter(m.own.MinPause, t.work.MaxPause)
}

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
	m.own.MinPause = 0
	for other := range m.tickets {
		m.own.MinPause = tighter(m.own.MinPause, other.work.MaxPause)
	}
}

// startRead adds a prompt, or a part of one, to what the server reads.
func (m *member) startRead(now, span clock.Millis) {
	m.readers++
	m.readUntil = max(m.readUntil, now) + span
}

// endRead records that a prompt was read.
func (m *member) endRead(now clock.Millis) {
	m.readers--
	if m.readers <= 0 {
		m.readers = 0
		m.readUntil = now
	}
}

// load returns this instance's work on the server.
func (m *member) load(now clock.Millis) Load {
	l := m.own
	if m.readers > 0 {
		l.Read = max(m.readUntil-now, minReadLeft)
	}
	return l
}
