package membership

import (
	"github.com/poplarwinch/poplarwinch"
)

// Compose returns the request of an exchange with target.
func (m *Members) Compose(target Member) Message {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	message := m.message()
	r := m.records[target.ID]
	switch {
	case r != nil:
		message.After = r.got
		message.Records = m.changes(r.sent, target.ID)
	case target.FailureDomain == "" || target.FailureDomain == m.self.FailureDomain:
		message.Records = m.changes(0, "")
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
	// A process that started anew has lost what it was sent before.
	if r.got.Epoch == reply.Epoch || request.After == (Cursor{}) {
		r.sent = max(r.sent, request.Sequence)
	} else {
		r.sent = 0
	}
	r.got = Cursor{Epoch: reply.Epoch, Sequence: reply.Sequence}
}

func (m *Members) message() Message {
	return Message{From: m.self, Epoch: m.epoch, Sequence: m.sequence}
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
			records = append(records, r.Member)
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
