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
	// minReadLeft and maxOverdue bound what is assumed while a prompt takes longer to read than was estimated.
	minReadLeft clock.Millis = 10
	maxOverdue  clock.Millis = 1000
	// crowdedShare is the share of a server's slots from which all instances are told of its work at once.
	crowdedShare = 0.6
	// maxReadStep bounds what one report of a peer adds to the reading of a server.
	maxReadStep = 20 * clock.Second
	// reportTimeout is the age at which a peer's report no longer counts.
	reportTimeout = 3 * clock.Second
)

// Fleet is safe for concurrent use.
type Fleet struct {
	clock  *clock.Clock
	domain poplarwinch.FailureDomain
	// tell is called after own work changed.
	tell func(r Reach)

	mutex   sync.Mutex
	servers map[poplarwinch.UpstreamID]*member
	peers   map[poplarwinch.InstanceID]*peerReport
	// domains are the summaries of other failure domains.
	domains map[poplarwinch.FailureDomain]*peerReport
	// waiting is the number of own requests that wait for a server.
	waiting int
	// notice is closed and replaced when work ends or servers change.
	notice chan struct{}
}

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	f := &Fleet{
		clock: clock.Monotonic(), tell: func(Reach) {},
		servers: map[poplarwinch.UpstreamID]*member{}, peers: map[poplarwinch.InstanceID]*peerReport{},
		domains: map[poplarwinch.FailureDomain]*peerReport{},
		notice:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Apply installs the list of servers. Work and experience stay with servers that are the same process as before.
func (f *Fleet) Apply(list []Server) {
	f.mutex.Lock()
	next := make(map[poplarwinch.UpstreamID]*member, len(list))
	for _, s := range list {
		m := f.servers[s.ID]
		if m == nil || !m.server.same(s) {
			m = newMember(s)
		}
		m.server = s
		next[s.ID] = m
	}
	f.servers = next
	f.mutex.Unlock()
	f.wakeWaiters()
}

// Server returns the server with the id if it is on the list and not leaving.
func (f *Fleet) Server(id poplarwinch.UpstreamID) (Server, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.servers[id]
	if m == nil || m.server.Leaving {
		return Server{}, false
	}
	return m.server, true
}

// Candidate is a server that may get work, with the work that it has.
type Candidate struct {
	Server
	Load Load
	// Rank orders the servers of a failure domain in the same way in all instances.
	Rank int
	// Known says that the work of all instances is known, not only of this one and of those that told it.
	Known bool
	// Avoid says that the server recently failed.
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
				Server: m.server, Load: m.load(now), Avoid: m.health.avoided(now), Known: m.server.Domain == f.domain,
			})
		}
	}
	for i := range list {
		f.addPeers(&list[i], now)
		f.addSummary(&list[i], now)
	}
	rank(list)
	return list
}

// rank orders the list and numbers the servers of each failure domain.
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

// Begin counts the work of an attempt until the ticket's End.
func (f *Fleet) Begin(w Work) *Ticket {
	t := &Ticket{fleet: f, work: w, reading: true}
	f.mutex.Lock()
	now := f.clock.Now()
	if m := f.servers[w.First]; m != nil {
		m.add(t)
		m.startRead(t, now)
		t.distant = m.server.Domain != f.domain
		t.crowded = float64(m.own.Requests+f.peerRequests(w.First)) > crowdedShare*float64(m.server.Slots)
	}
	for _, id := range w.Helpers {
		if m := f.servers[id]; m != nil {
			m.startRead(t, now)
			t.distant = t.distant || m.server.Domain != f.domain
		}
	}
	for id, tokens := range w.Shares {
		if m := f.servers[id]; m != nil {
			m.shares[t] = tokens
		}
	}
	f.mutex.Unlock()
	f.tell(t.reach())
	return t
}

// endRead records on all servers of the ticket that the prompt was read. The caller holds the lock.
func (f *Fleet) endRead(t *Ticket) {
	if m := f.servers[t.work.First]; m != nil {
		m.endRead(t)
	}
	for _, id := range t.work.Helpers {
		if m := f.servers[id]; m != nil {
			m.endRead(t)
		}
	}
}

// changed tells peers and waiting requests that own work changed.
func (f *Fleet) changed(r Reach) {
	f.tell(r)
	f.wakeWaiters()
}

func (f *Fleet) wakeWaiters() {
	f.mutex.Lock()
	close(f.notice)
	f.notice = make(chan struct{})
	f.mutex.Unlock()
}

// Notice returns a channel that is closed at the next change that may make room.
func (f *Fleet) Notice() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.notice
}

// Succeeded records a complete answer of a server.
func (f *Fleet) Succeeded(id poplarwinch.UpstreamID) {
	f.learn(id, func(h *health, now clock.Millis) { h.succeeded(now) })
}

// Failed records an answer that failed or broke off.
func (f *Fleet) Failed(id poplarwinch.UpstreamID) {
	f.learn(id, func(h *health, now clock.Millis) { h.failed(now) })
}

// Unreachable records that a server accepts no connection. It returns false if that was known. The server gets no work
// until Reachable is called for it.
func (f *Fleet) Unreachable(id poplarwinch.UpstreamID) bool {
	f.mutex.Lock()
	m := f.servers[id]
	news := m != nil && !m.health.down
	if news {
		m.health.down = true
	}
	f.mutex.Unlock()
	if news {
		f.tell(ReachNear)
	}
	return news
}

// Reachable records that a server accepts connections again.
func (f *Fleet) Reachable(id poplarwinch.UpstreamID) {
	f.learn(id, func(h *health, _ clock.Millis) { h.down, h.peersDownUntil = false, 0 })
	f.changed(ReachNear)
}

// Neighbours returns the servers of the failure domain of a server, apart from itself and those that are known to be down.
func (f *Fleet) Neighbours(s Server) []Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []Server
	for _, m := range f.servers {
		if m.server.Domain == s.Domain && m.server.ID != s.ID && !m.health.down {
			list = append(list, m.server)
		}
	}
	return list
}

// Known reports whether the server is still on the list as the same process.
func (f *Fleet) Known(s Server) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.servers[s.ID]
	return m != nil && m.server.same(s)
}

func (f *Fleet) learn(id poplarwinch.UpstreamID, update func(*health, clock.Millis)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m := f.servers[id]; m != nil {
		update(&m.health, f.clock.Now())
	}
}
