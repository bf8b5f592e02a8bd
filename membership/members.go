package membership

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Members is one instance's state of the membership protocol.
type Members struct {
	// Probe sends records to a member and returns the records in its reply.
	Probe func(ctx context.Context, target Member, records []Member) ([]Member, error)
	// ProbeVia sends an indirect probe: via probes target and returns target's records.
	ProbeVia func(ctx context.Context, via, target Member) ([]Member, error)
	// Exchange sends a message to a member or candidate and returns its reply. Only the target's address is always set.
	Exchange func(ctx context.Context, target Member, request Message) (Message, error)

	clock *clock.Clock
	seeds []Candidate
	view  atomic.Pointer[View]
	epoch uint64

	mutex      sync.Mutex
	random     *rand.Rand
	self       Member
	sequence   uint64
	records    map[poplarwinch.InstanceID]*record
	candidates []Candidate
	contacts   map[poplarwinch.FailureDomain][]Member
	lastRound  clock.Millis
}

// record is a member's record with the local state of the protocol for that member.
type record struct {
	Member
	changeSequence uint64       // local sequence number of the last change
	stateSince     clock.Millis // time of the last change of state or incarnation
	source         poplarwinch.InstanceID
	acknowledged   uint64 // local sequence number up to which this peer has the changes
	sendAll        bool   // send all records in the next request, because the views differ
	received       Cursor // position in this peer's changes up to which this instance has them
}

// New returns a membership whose only member is this instance.
func New(opts ...Option) *Members {
	m := &Members{
		clock:    clock.System(),
		records:  map[poplarwinch.InstanceID]*record{},
		contacts: map[poplarwinch.FailureDomain][]Member{},
	}
	for _, o := range opts {
		o(m)
	}
	now := m.clock.Now()
	if m.random == nil {
		m.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	// The start time as incarnation makes a restarted instance supersede the records of its previous process.
	m.self.Incarnation = uint64(max(now, 1))
	m.self.State = StateAlive
	m.epoch = m.self.Incarnation
	m.lastRound = now
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.publishSelf()
	return m
}

// Snapshot returns the current view.
func (m *Members) Snapshot() *View { return m.view.Load() }

// Announce sets the manifest version and digest in this instance's own record. It does not count as a
// change of the record, so peers learn the version only in direct calls: with 1,700 versions a day,
// gossiping every member's record for each version would exceed the 28 KB/s budget of a node.
func (m *Members) Announce(version uint64, digest string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.ManifestVersion, m.self.ManifestDigest = version, digest
	m.records[m.self.ID].Member = m.self
	m.publish()
}

// SetCandidates replaces the candidates from the instance list. It never removes a member.
func (m *Members) SetCandidates(list []Candidate) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	otherDomains := map[poplarwinch.FailureDomain][]Candidate{}
	m.candidates = nil
	for _, c := range list {
		if c.FailureDomain == "" || c.FailureDomain == m.self.FailureDomain {
			m.candidates = append(m.candidates, c)
		} else {
			otherDomains[c.FailureDomain] = append(otherDomains[c.FailureDomain], c)
		}
	}
	// Each instance keeps a different subset of another domain's list, so that together they cover it.
	own := xxhash.Sum64String(string(m.self.ID))
	score := func(c Candidate) uint64 { return mixHashes(own, xxhash.Sum64String(c.Address)) }
	for _, domain := range slices.Sorted(maps.Keys(otherDomains)) {
		inDomain := otherDomains[domain]
		slices.SortFunc(inDomain, func(a, b Candidate) int { return cmp.Compare(score(a), score(b)) })
		m.candidates = append(m.candidates, inDomain[:min(len(inDomain), otherDomainCandidateLimit)]...)
	}
}

// publishSelf stores this instance's own record as a change and publishes the view.
func (m *Members) publishSelf() {
	own := m.records[m.self.ID]
	if own == nil {
		own = &record{}
		m.records[m.self.ID] = own
	}
	m.setRecord(own, m.self, "")
	m.publish()
}

// setRecord stores a member's new record, reported by source, under the next sequence number.
func (m *Members) setRecord(r *record, to Member, source poplarwinch.InstanceID) {
	if r.State != to.State || r.Incarnation != to.Incarnation {
		r.stateSince = m.clock.Now()
	}
	m.sequence++
	r.Member, r.changeSequence, r.source = to, m.sequence, source
}

// publish replaces the snapshot of the view.
func (m *Members) publish() {
	snapshot := &View{Self: m.self, Known: make([]Member, 0, len(m.records)), Contacts: map[poplarwinch.FailureDomain][]Member{}}
	for _, r := range m.records {
		snapshot.Known = append(snapshot.Known, r.Member)
	}
	slices.SortFunc(snapshot.Known, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, k := range snapshot.Known {
		if k.State.live() {
			snapshot.Live = append(snapshot.Live, k)
			snapshot.hashes = append(snapshot.hashes, xxhash.Sum64String(string(k.ID)))
		}
	}
	for domain, l := range m.contacts {
		snapshot.Contacts[domain] = slices.Clone(l)
	}
	m.view.Store(snapshot)
}
