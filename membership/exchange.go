package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// Compose returns the request of an exchange with target. The first one carries no records but a
// hash: most members of a domain know the same, and sending all records in the first exchange of
// each pair, and to each candidate, took 12 KB with 90 members.
func (m *Members) Compose(target Member) Message {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	message := m.message()
	if r := m.records[target.ID]; r != nil {
		message.After = r.got
		if r.sent > 0 || r.push {
			message.Records = m.changes(r.sent, target.ID)
		}
	}
	return message
}

// Answer takes over a request and returns the reply.
func (m *Members) Answer(request Message) Message {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if request.From.FailureDomain != m.self.FailureDomain {
		m.addContacts(request.From.FailureDomain, []Member{request.From})
		reply := m.message()
		reply.Contacts = m.ownContacts(request.From.FailureDomain)
		return reply
	}
	m.merge(append([]Member{request.From}, request.Records...), request.From.ID)
	reply := m.message()
	if reply.LiveHash == request.LiveHash {
		if r := m.records[request.From.ID]; r != nil {
			r.sent, r.push = m.sequence, false
			r.got = Cursor{Epoch: request.Epoch, Sequence: request.Sequence}
		}
		return reply
	}
	after := request.After
	if after.Epoch != m.epoch {
		after.Sequence = 0
	}
	reply.Records = m.changes(after.Sequence, request.From.ID)
	return reply
}

// Accept takes over the reply to a request that Compose returned.
func (m *Members) Accept(request, reply Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	from := reply.From
	if from.ID == m.self.ID {
		return
	}
	if from.FailureDomain != m.self.FailureDomain {
		m.addContacts(from.FailureDomain, append(reply.Contacts, from))
		return
	}
	m.merge(append([]Member{from}, reply.Records...), from.ID)
	r := m.records[from.ID]
	if r == nil {
		return
	}
	restarted := r.got.Epoch != 0 && r.got.Epoch != reply.Epoch // it has lost what it was sent before
	switch {
	case reply.LiveHash == request.LiveHash || !restarted && (len(request.Records) > 0 || r.sent > 0 || r.push):
		r.sent, r.push = max(r.sent, request.Sequence), false
	default:
		r.sent, r.push = 0, true
	}
	r.got = Cursor{Epoch: reply.Epoch, Sequence: reply.Sequence}
}

// message returns a message without records.
func (m *Members) message() Message {
	var hash uint64
	for _, r := range m.records {
		if r.State.live() {
			hash ^= mixHashes(xxhash.Sum64String(string(r.ID)), r.Incarnation<<2|uint64(r.State.rank()))
		}
	}
	return Message{From: m.self, Epoch: m.epoch, Sequence: m.sequence, LiveHash: hash}
}

// changes returns the records that changed after a sequence number, for a peer. What the peer
// itself reported is left out, except when it knows nothing yet or holds a live member for silent.
func (m *Members) changes(after uint64, peer poplarwinch.InstanceID) []Member {
	var records []Member
	for id, r := range m.records {
		if id == m.self.ID {
			continue // Message.From carries it
		}
		if r.changed > after && (after == 0 || r.source != peer) || id == peer && r.State != StateAlive {
			passed := r.Member
			passed.ManifestDigest = "" // 64 bytes; only the member itself reports it
			records = append(records, passed)
		}
	}
	return records
}

// addContacts puts members of another domain before the known contacts there.
func (m *Members) addContacts(domain poplarwinch.FailureDomain, members []Member) {
	if domain == "" {
		return
	}
	var list []Member
	for _, c := range append(members, m.contacts[domain]...) {
		known := false
		for _, l := range list {
			known = known || l.Address == c.Address
		}
		if !known && c.FailureDomain == domain && c.Address != "" && len(list) < contactLimit {
			list = append(list, c)
		}
	}
	m.contacts[domain] = list
	m.publish()
}

// dropContact forgets a contact that does not answer, unless it is the last one of its domain.
func (m *Members) dropContact(contact Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var list []Member
	for _, c := range m.contacts[contact.FailureDomain] {
		if c.Address != contact.Address {
			list = append(list, c)
		}
	}
	if len(list) > 0 {
		m.contacts[contact.FailureDomain] = list
		m.publish()
	}
}

// locateSeed remembers in which failure domain a seed answered.
func (m *Members) locateSeed(address string, domain poplarwinch.FailureDomain) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for i, s := range m.seeds {
		if s.Address == address {
			m.seeds[i].FailureDomain = domain
		}
	}
}

// ownContacts returns the members of this domain that answer for it to another domain.
func (m *Members) ownContacts(domain poplarwinch.FailureDomain) []Member {
	v := m.view.Load()
	var list []Member
	for _, id := range v.Owners(delegateKey(domain), contactLimit) {
		if c, ok := v.Member(id); ok {
			list = append(list, c)
		}
	}
	return list
}
