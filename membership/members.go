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

// Members is the membership as one instance knows it.
type Members struct {
	// Probe sends records to a member and returns the records it answers with.
	Probe func(ctx context.Context, target Member, records []Member) ([]Member, error)
	// ProbeVia asks via to probe target, and returns target's records.
	ProbeVia func(ctx context.Context, via, target Member) ([]Member, error)
	// Exchange sends a message to a member or candidate and returns its answer. Only the target's address is always known.
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

// record is a member with what this instance remembers about it.
type record struct {
	Member
	changed uint64       // sequence number of the last change
	since   clock.Millis // time of the last change of state
	source  poplarwinch.InstanceID
	sent    uint64 // own changes that this peer has
	push    bool   // send all records: the first exchange showed that the peer lacks some
	got     Cursor // changes of this peer that this instance has
}

// New returns the membership of an instance that knows only itself.
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
	// The start time makes a restarted instance supersede the records of its previous process.
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

// Announce sets the manifest version and digest that this instance's own record carries. They are
// not a change of the record: with 1,700 versions a day, passing on every member's record for each
// of them would take more than the 28 KB/s that a node may spend. Peers learn them in direct calls.
func (m *Members) Announce(version uint64, digest string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.ManifestVersion, m.self.ManifestDigest = version, digest
	m.records[m.self.ID].Member = m.self
	m.publish()
}

// Offer replaces the candidates of the instance list. It never removes a member.
func (m *Members) Offer(list []Candidate) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	foreign := map[poplarwinch.FailureDomain][]Candidate{}
	m.candidates = nil
	for _, c := range list {
		if c.FailureDomain == "" || c.FailureDomain == m.self.FailureDomain {
			m.candidates = append(m.candidates, c)
		} else {
			foreign[c.FailureDomain] = append(foreign[c.FailureDomain], c)
		}
	}
	// Each instance keeps a different part of another domain's list, so that together they know all of it.
	own := xxhash.Sum64String(string(m.self.ID))
	score := func(c Candidate) uint64 { return mixHashes(own, xxhash.Sum64String(c.Address)) }
	for _, domain := range slices.Sorted(maps.Keys(foreign)) {
		l := foreign[domain]
		slices.SortFunc(l, func(a, b Candidate) int { return cmp.Compare(score(a), score(b)) })
		m.candidates = append(m.candidates, l[:min(len(l), foreignCandidateLimit)]...)
	}
}

// publishSelf stores the own record as a change and publishes the view.
func (m *Members) publishSelf() {
	r := m.records[m.self.ID]
	if r == nil {
		r = &record{}
		m.records[m.self.ID] = r
	}
	m.change(r, m.self, "")
	m.publish()
}

// change sets a record and gives it the next sequence number.
func (m *Members) change(r *record, to Member, source poplarwinch.InstanceID) {
	if r.State != to.State || r.Incarnation != to.Incarnation {
		r.since = m.clock.Now()
	}
	m.sequence++
	r.Member, r.changed, r.source = to, m.sequence, source
}

// publish replaces the view.
func (m *Members) publish() {
	v := &View{Self: m.self, Known: make([]Member, 0, len(m.records)), Contacts: map[poplarwinch.FailureDomain][]Member{}}
	for _, r := range m.records {
		v.Known = append(v.Known, r.Member)
	}
	slices.SortFunc(v.Known, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, k := range v.Known {
		if k.State.live() {
			v.Live = append(v.Live, k)
			v.hashes = append(v.hashes, xxhash.Sum64String(string(k.ID)))
		}
	}
	for domain, l := range m.contacts {
		v.Contacts[domain] = slices.Clone(l)
	}
	m.view.Store(v)
}
