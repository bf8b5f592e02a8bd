package fleet

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// minPrefillLeft is the least prefill time that a server with unfinished prompts is assumed to need.
	minPrefillLeft clock.Millis = 10
	// maxOverdue bounds the assumed prefill time of a server whose prefill takes longer than estimated.
	maxOverdue clock.Millis = 1000
	// crowdedSlotsFraction is the fraction of a server's slots above which a change of its load is a ReachCrowded one.
	crowdedSlotsFraction = 0.6
	// maxPrefillStep bounds the prefill time that one report of a peer adds to a server.
	maxPrefillStep = 20 * clock.Second
	// reportTimeout is the age above which a peer's report is ignored.
	reportTimeout = 3 * clock.Second
)

// Fleet tracks the servers, their load and their health. It is safe for concurrent use.
type Fleet struct {
	clock  *clock.Clock
	domain poplarwinch.FailureDomain
	// onChange is called after the load or reachability of a server has changed at this instance.
	onChange func(r Reach)

	mutex       sync.Mutex
	servers     map[poplarwinch.UpstreamID]*serverState
	peerReports map[poplarwinch.InstanceID]*peerReport
	// summaries holds the latest summary of each other failure domain.
	summaries map[poplarwinch.FailureDomain]*peerReport
	// waiting is the number of this instance's requests that wait for a server.
	waiting int
	// changed is closed and replaced when load or servers change.
	changed chan struct{}
}

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	f := &Fleet{
		clock: clock.Monotonic(), onChange: func(Reach) {},
		servers: map[poplarwinch.UpstreamID]*serverState{}, peerReports: map[poplarwinch.InstanceID]*peerReport{},
		summaries: map[poplarwinch.FailureDomain]*peerReport{},
		changed:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Apply installs the list of servers. Load and health are kept for servers that are the same process as before.
func (f *Fleet) Apply(list []Server) {
	f.mutex.Lock()
	next := make(map[poplarwinch.UpstreamID]*serverState, len(list))
	for _, s := range list {
		m := f.servers[s.ID]
		if m == nil || !m.server.same(s) {
			m = newServerState(s)
		}
		m.server = s
		next[s.ID] = m
	}
	f.servers = next
	f.mutex.Unlock()
	f.wakeWaiters()
}

// Server returns the server with the id if it is listed and not leaving.
func (f *Fleet) Server(id poplarwinch.UpstreamID) (Server, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.servers[id]
	if m == nil || m.server.Leaving {
		return Server{}, false
	}
	return m.server, true
}

// Candidate is a server that may get requests, with its load.
type Candidate struct {
	Server
	Load Load
	// Rank orders the servers of a failure domain in the same way in all instances.
	Rank int
	// LoadKnown says that the load that all instances put on the server is known. Otherwise Load has only that of this
	// instance and of peers that report to it.
	LoadKnown bool
	// Avoid says that the server recently failed or can't be reached.
	Avoid bool
}

// Candidates returns the servers of a service that are not leaving, ordered by failure domain and rank.
func (f *Fleet) Candidates(service poplarwinch.ServiceName) []Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	var list []Candidate
	for _, m := range f.servers {
		if m.server.Service == service && !m.server.Leaving {
			list = append(list, Candidate{
				Server: m.server, Load: m.ownLoad(now), Avoid: m.health.avoided(now), LoadKnown: m.server.Domain == f.domain,
			})
		}
	}
	for i := range list {
		f.addPeerLoad(&list[i], now)
		f.addSummaryLoad(&list[i], now)
	}
	rank(list)
	return list
}

// rank sorts the list and numbers the servers of each failure domain.
func rank(list []Candidate) {
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
		)
	})
	for i := range list {
		if i > 0 && list[i].Domain == list[i-1].Domain {
			list[i].Rank = list[i-1].Rank + 1
		}
	}
}

// Begin adds the load of an attempt until the ticket's End.
func (f *Fleet) Begin(w Work) *Ticket {
	t := &Ticket{fleet: f, work: w, prefilling: true}
	f.mutex.Lock()
	now := f.clock.Now()
	if m := f.servers[w.First]; m != nil {
		m.add(t)
		m.startPrefill(t, now)
		t.crossDomain = m.server.Domain != f.domain
		t.crowded = float64(m.own.Requests+f.peerRequests(w.First)) > crowdedSlotsFraction*float64(m.server.Slots)
	}
	for _, id := range w.Helpers {
		if m := f.servers[id]; m != nil {
			m.startPrefill(t, now)
			t.crossDomain = t.crossDomain || m.server.Domain != f.domain
		}
	}
	for id, tokens := range w.Shares {
		if m := f.servers[id]; m != nil {
			m.shares[t] = tokens
		}
	}
	f.mutex.Unlock()
	f.onChange(t.reach())
	return t
}

// endPrefill ends the prefill of the ticket on all its servers. The caller holds the lock.
func (f *Fleet) endPrefill(t *Ticket) {
	if m := f.servers[t.work.First]; m != nil {
		m.endPrefill(t)
	}
	for _, id := range t.work.Helpers {
		if m := f.servers[id]; m != nil {
			m.endPrefill(t)
		}
	}
}

// notifyChange notifies peers and waiting requests of a change of this instance's load.
func (f *Fleet) notifyChange(r Reach) {
	f.onChange(r)
	f.wakeWaiters()
}

func (f *Fleet) wakeWaiters() {
	f.mutex.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mutex.Unlock()
}

// Changed returns a channel that is closed at the next change that may free capacity.
func (f *Fleet) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// Succeeded records a complete answer of a server.
func (f *Fleet) Succeeded(id poplarwinch.UpstreamID) {
	f.updateHealth(id, func(h *health, now clock.Millis) { h.succeeded(now) })
}

// Failed records an answer that failed or broke off.
func (f *Fleet) Failed(id poplarwinch.UpstreamID) {
	f.updateHealth(id, func(h *health, now clock.Millis) { h.failed(now) })
}

// Unreachable records that a server accepts no connection and reports whether that is new. The server is avoided until
// Reachable or Succeeded is called for it.
func (f *Fleet) Unreachable(id poplarwinch.UpstreamID) bool {
	f.mutex.Lock()
	m := f.servers[id]
	changed := m != nil && !m.health.unreachable
	if changed {
		m.health.unreachable = true
	}
	f.mutex.Unlock()
	if changed {
		f.onChange(ReachNear)
	}
	return changed
}

// Reachable records that a server accepts connections again.
func (f *Fleet) Reachable(id poplarwinch.UpstreamID) {
	f.updateHealth(id, func(h *health, _ clock.Millis) { h.unreachable, h.peersUnreachableUntil = false, 0 })
	f.notifyChange(ReachNear)
}

// Neighbours returns the other servers in the failure domain of s, without those that this instance can't reach.
func (f *Fleet) Neighbours(s Server) []Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []Server
	for _, m := range f.servers {
		if m.server.Domain == s.Domain && m.server.ID != s.ID && !m.health.unreachable {
			list = append(list, m.server)
		}
	}
	return list
}

// IsListed reports whether the server is still listed as the same process.
func (f *Fleet) IsListed(s Server) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.servers[s.ID]
	return m != nil && m.server.same(s)
}

func (f *Fleet) updateHealth(id poplarwinch.UpstreamID, update func(*health, clock.Millis)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m := f.servers[id]; m != nil {
		update(&m.health, f.clock.Now())
	}
}
