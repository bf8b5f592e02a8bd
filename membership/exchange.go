package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// NewRequest returns the request of an exchange with target. The first request to a peer carries only
// the hash of the live members: most peers have the same view, and sending all records in the first
// exchange of each pair, and to each candidate, took 12 KB with 90 members.
func (m *Members) NewRequest(target Member) Message {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	message := m.message()
	if known := m.records[target.ID]; known != nil {
		message.After = known.received
		if known.acknowledged > 0 || known.sendAll {
			message.Records = m.recordsChangedAfter(known.acknowledged, target.ID)
		}
	}
	return message
}

// HandleRequest merges an exchange request and returns the reply.
func (m *Members) HandleRequest(request Message) Message {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if request.From.FailureDomain != m.self.FailureDomain {
		m.addContacts(request.From.FailureDomain, []Member{request.From})
		reply := m.message()
		reply.Contacts = m.contactsFor(request.From.FailureDomain)
		return reply
	}
	m.merge(append([]Member{request.From}, request.Records...), request.From.ID)
	reply := m.message()
	if reply.LiveHash == request.LiveHash {
		if known := m.records[request.From.ID]; known != nil {
			known.acknowledged, known.sendAll = m.sequence, false
			known.received = Cursor{Epoch: request.Epoch, Sequence: request.Sequence}
		}
		return reply
	}
	after := request.After
	if after.Epoch != m.epoch {
		after.Sequence = 0
	}
	reply.Records = m.recordsChangedAfter(after.Sequence, request.From.ID)
	return reply
}

// HandleReply merges the reply to a request that NewRequest returned.
func (m *Members) HandleReply(request, reply Message) {
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
	known := m.records[from.ID]
	if known == nil {
		return
	}
	// A restarted peer no longer has the records sent to it.
	restarted := known.received.Epoch != 0 && known.received.Epoch != reply.Epoch
	switch {
	case reply.LiveHash == request.LiveHash || !restarted && (len(request.Records) > 0 || known.acknowledged > 0 || known.sendAll):
		known.acknowledged, known.sendAll = max(known.acknowledged, request.Sequence), false
	default:
		known.acknowledged, known.sendAll = 0, true
	}
	known.received = Cursor{Epoch: reply.Epoch, Sequence: reply.Sequence}
}

// message returns a message without records or contacts.
func (m *Members) message() Message {
	var hash uint64
	for _, r := range m.records {
		if r.State.live() {
			hash ^= mixHashes(xxhash.Sum64String(string(r.ID)), r.Incarnation<<2|uint64(r.State.rank()))
		}
	}
	return Message{From: m.self, Epoch: m.epoch, Sequence: m.sequence, LiveHash: hash}
}

// recordsChangedAfter returns the records to send to peer: those that changed after a sequence number,
// except those that peer itself reported. With after 0 it returns all records. The peer's own record is
// always included while it is not alive, so that the peer can refute it.
func (m *Members) recordsChangedAfter(after uint64, peer poplarwinch.InstanceID) []Member {
	var records []Member
	for id, r := range m.records {
		if id == m.self.ID {
			continue // carried by Message.From
		}
		if r.changeSequence > after && (after == 0 || r.source != peer) || id == peer && r.State != StateAlive {
			sent := r.Member
			sent.ManifestDigest = "" // saves 64 bytes; members report their own digest
			records = append(records, sent)
		}
	}
	return records
}

// addContacts puts members of another domain at the front of the contacts there, up to contactLimit.
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

// dropContact removes a contact that did not answer, unless it is the last one in its domain.
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

// setSeedDomain records the failure domain that the instance at a seed address reported.
func (m *Members) setSeedDomain(address string, domain poplarwinch.FailureDomain) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for i, s := range m.seeds {
		if s.Address == address {
			m.seeds[i].FailureDomain = domain
		}
	}
}

// contactsFor returns the members of this domain that another domain should use as contacts: its
// delegates to that domain and their substitutes.
func (m *Members) contactsFor(domain poplarwinch.FailureDomain) []Member {
	snapshot := m.view.Load()
	var list []Member
	for _, id := range snapshot.Owners(delegateKey(domain), contactLimit) {
		if member, ok := snapshot.Member(id); ok {
			list = append(list, member)
		}
	}
	return list
}
