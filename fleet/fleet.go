package fleet

import (
	"cmp"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// minPrefillLeft is the least prefill time that a server with unfinished prompts is assumed to need.
	minPrefillLeft clock.Millis = 10
	// maxOverdue bounds the assumed prefill time of a server whose prefill takes longer than estimated.
	maxOverdue clock.Millis = 1000
	// busySlotsFraction is the fraction of a server's slots above which a change of its load is a ReachBusy one.
	busySlotsFraction = 0.6
	// maxPrefillStep bounds the prefill time that one report of a peer adds to a server.
	maxPrefillStep = 20 * clock.Second
	// finishedPartMargin is the time after the estimated end of all prefill of a server after which parts of prompts count as prefilled.
	// It exceeds the scheduling pass at whose end a part begins.
	finishedPartMargin clock.Millis = 100
	// reportTimeout is the age above which a peer's report is ignored.
	reportTimeout = 3 * clock.Second
)

// Fleet tracks the servers, their load and their health. It is safe for concurrent use.
type Fleet struct {
	clock    *clock.Clock
	instance poplarwinch.InstanceID
	domain   poplarwinch.FailureDomain
	// onChange is called after the load or reachability of a server has changed at this instance.
	onChange func(r Reach)

	mutex   sync.Mutex
	servers map[poplarwinch.UpstreamID]*serverState
	// usable has the servers of each service that the list doesn't call leaving, ordered by failure domain and rank. Those that say
	// so themselves are part of it: instances learn that one after the other, but have to agree on the order.
	usable map[poplarwinch.ServiceName][]*serverState
	// near has those of them that are in the own cell.
	near map[poplarwinch.ServiceName][]*serverState
	cell Cell
	// evacuated has the failure domains under evacuation.
	evacuated evacuations
	// removed has the notices of servers that are no longer listed.
	removed     removedServers
	peerReports map[poplarwinch.InstanceID]*peerReport
	// summaries holds the latest summary of each other cell.
	summaries map[summaryKey]*receivedSummary
	// waiting has the numbers of this instance's requests that wait for a server.
	waiting map[poplarwinch.ServiceName]ClassCounts
	// waitingNotifiedAt is the time at which peers were last notified that requests wait; zero if they were not.
	waitingNotifiedAt clock.Millis
	// coldRules has the limits for cold servers, by service, and coldBound what must not be exceeded in any second.
	coldRules map[poplarwinch.ServiceName]route.Cold
	coldBound ColdBound
	wallClock *clock.Clock
	// startedAt is the time at which the fleet was created.
	startedAt clock.Millis
	// cellMembers returns the instances of the own cell that were known recently; memberList is its result at membersAt.
	cellMembers  func() []poplarwinch.InstanceID
	memberList   []poplarwinch.InstanceID
	membersAt    clock.Millis
	coldServices map[poplarwinch.ServiceName]*coldService
	// onCold is called with the servers that have become cold or ceased to be.
	onCold func([]ColdChange)
	// onApplied is called after each list was installed.
	onApplied func()
	// changed is closed and replaced when load or servers change.
	changed chan struct{}
}

// New returns an empty fleet.
func New(opts ...Option) *Fleet {
	f := &Fleet{
		clock: clock.Monotonic(), onChange: func(Reach) {},
		servers: map[poplarwinch.UpstreamID]*serverState{}, peerReports: map[poplarwinch.InstanceID]*peerReport{},
		summaries: map[summaryKey]*receivedSummary{}, removed: removedServers{}, waiting: map[poplarwinch.ServiceName]ClassCounts{},
		changed: make(chan struct{}), coldServices: map[poplarwinch.ServiceName]*coldService{},
		coldBound: ColdBound{Over: defaultColdOver, Slack: defaultColdSlack}, wallClock: clock.System(), onCold: func([]ColdChange) {}, onApplied: func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	f.startedAt = f.clock.Now()
	return f
}

// Apply installs the list of servers. Load, health and notices are kept for servers that are the same process as before.
func (f *Fleet) Apply(list []Server) { f.ApplyRows(list, nil) }

// ApplyRows is Apply with what the rows of servers say of their coldness.
func (f *Fleet) ApplyRows(list []Server, rows map[poplarwinch.UpstreamID]ColdRow) {
	f.mutex.Lock()
	now := f.clock.Now()
	next := make(map[poplarwinch.UpstreamID]*serverState, len(list))
	for _, s := range list {
		m := f.servers[s.ID]
		if m == nil || !m.server.same(s) {
			m = newServerState(s)
			m.notices = f.removed.take(s, now)
			f.attachReports(m)
		}
		m.server = s
		m.evacuated = f.evacuated.has(s.Domain)
		next[s.ID] = m
		f.applyColdRule(m, now)
		if row, ok := rows[s.ID]; ok {
			f.observeColdRow(m, row, now)
		}
		f.observeStart(m, now)
	}
	f.removed.keep(f.servers, next, now)
	f.servers = next
	f.usable = rank(next)
	f.resolve()
	onApplied := f.onApplied
	f.mutex.Unlock()
	onApplied()
	f.wakeWaiters()
}

// OnApplied sets the function that is called after each list was installed, before requests that wait for a server choose from it.
func (f *Fleet) OnApplied(onApplied func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.onApplied = onApplied
}

// Server returns the server with the id if it is listed, not leaving and not in a failure domain under evacuation.
func (f *Fleet) Server(id poplarwinch.UpstreamID) (Server, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.servers[id]
	if m == nil || m.isUnavailable() {
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
	// Hash is a hash of the server's id.
	Hash uint64
	// OtherCell says that the server is in the failure domain of this instance, but in another cell.
	OtherCell bool
	// LoadKnown says that the load that all instances put on the server is known. Otherwise Load has only that of this
	// instance and of peers that report to it.
	LoadKnown bool
	// Avoid says that the server recently failed or can't be reached.
	Avoid bool
	// Resting says that the server wants no requests from this instance until Wait has passed.
	Resting bool
	// RestsForPeers says that the server wants no requests from another instance now.
	RestsForPeers bool
	// LimitInterval is the time between two requests that the server takes from all instances; zero means no limit.
	LimitInterval clock.Millis
	// Cold says that the server is cold, so that other servers are preferred.
	Cold bool
	// Wait is the time until the server's notices allow another request of this instance; zero means now.
	Wait clock.Millis
}

// Accepts reports whether a request may still be sent to the first server, with parts of its prompt on the others: all are listed and
// want requests, and the notices of the first one allow another request now. A request that had to wait after the decision asks this.
func (f *Fleet) Accepts(first poplarwinch.UpstreamID, others ...poplarwinch.UpstreamID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for _, id := range others {
		if !f.wantsRequests(id, now) {
			return false
		}
	}
	if !f.wantsRequests(first, now) {
		return false
	}
	m := f.servers[first]
	if m.isCold(now) && f.isNear(m) {
		// Its slot was used by the orders for reservations, which come before the request.
		return f.limitWait(m, now) == 0 && f.returnWait(m, now) == 0
	}
	return f.waitFor(m, now) == 0
}

// wantsRequests reports whether a server is listed, available, and wants requests from this instance. The caller holds the lock.
func (f *Fleet) wantsRequests(id poplarwinch.UpstreamID, now clock.Millis) bool {
	m := f.servers[id]
	return m != nil && !m.isUnavailable() && m.notices.rest.left(now) == 0
}

// Candidates returns the servers of a service that are available and whose load is known: those of the own cell and those in
// recent summaries. Where a service has few servers, or none whose load is known, it returns all of them.
func (f *Fleet) Candidates(service poplarwinch.ServiceName) []Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.candidates(service)
}

// AllCandidates returns the servers of a service that are available, also those whose load is not known.
func (f *Fleet) AllCandidates(service poplarwinch.ServiceName) []Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.addUnknown(f.candidates(service), f.usable[service], f.clock.Now())
}

// CandidatesWithout returns the servers that Candidates would return after the end of the ticket, apart from its first one.
func (f *Fleet) CandidatesWithout(t *Ticket, service poplarwinch.ServiceName) []Candidate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	defer f.suspend(t)()
	return slices.DeleteFunc(f.candidates(service), func(c Candidate) bool { return c.ID == t.work.First })
}

// suspend takes the prefill and the memory of the ticket from the servers other than the first one, until the returned function is
// called. The caller holds the lock.
func (f *Fleet) suspend(t *Ticket) (resume func()) {
	var resumes []func()
	for _, id := range t.work.Helpers {
		if m := f.servers[id]; m != nil && m.isPrefilling(t) {
			m.endPrefill(t)
			resumes = append(resumes, func() { m.prefilling[t] = struct{}{} })
		}
	}
	for id := range t.work.Shares {
		if m := f.servers[id]; m != nil {
			if tokens, ok := m.shares[t]; ok {
				delete(m.shares, t)
				resumes = append(resumes, func() { m.shares[t] = tokens })
			}
		}
	}
	return func() {
		for _, r := range resumes {
			r()
		}
	}
}

// candidates is Candidates for a caller that holds the lock.
func (f *Fleet) candidates(service poplarwinch.ServiceName) []Candidate {
	now := f.clock.Now()
	usable := f.usable[service]
	list := make([]Candidate, 0, min(len(usable), 2*maxExactServers))
	for _, m := range f.near[service] {
		if m.isUnavailable() {
			continue
		}
		c := m.candidate(m.knownLoad(now), true, now)
		c.Wait = f.nearWait(m, now)
		list = append(list, c)
	}
	for _, r := range f.summaries {
		age := now - r.at
		if now-r.madeAt > summaryTimeout {
			continue
		}
		for i := range r.loads[service] {
			s := &r.loads[service][i]
			if s.server.isUnavailable() {
				continue
			}
			c := s.server.candidate(s.current(now, age), true, now)
			c.OtherCell = c.Domain == f.domain
			c.Wait = f.distantWait(s.server, s.limited, now)
			list = append(list, c)
		}
	}
	if len(list) == len(usable) || len(list) > 0 && len(usable) > maxExactServers {
		return list
	}
	return f.addUnknown(list, usable, now)
}

// addUnknown adds those of the servers that are missing from the list, with what this instance and its peers know of their load.
// The caller holds the lock.
func (f *Fleet) addUnknown(list []Candidate, usable []*serverState, now clock.Millis) []Candidate {
	known := make(map[poplarwinch.UpstreamID]bool, len(list))
	for i := range list {
		known[list[i].ID] = true
	}
	for _, m := range usable {
		if known[m.server.ID] || m.isUnavailable() {
			continue
		}
		c := m.candidate(m.knownLoad(now), false, now)
		c.Wait = f.waitFor(m, now)
		list = append(list, c)
	}
	return list
}

// rank orders the servers of each service that are not leaving and numbers those of each failure domain.
func rank(servers map[poplarwinch.UpstreamID]*serverState) map[poplarwinch.ServiceName][]*serverState {
	services := map[poplarwinch.ServiceName][]*serverState{}
	for _, m := range servers {
		if !m.server.Leaving {
			services[m.server.Service] = append(services[m.server.Service], m)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *serverState) int {
			return cmp.Or(cmp.Compare(a.server.Domain, b.server.Domain), cmp.Compare(a.hash, b.hash))
		})
		for len(list) > 0 {
			domain := list[0].server.Domain
			total := 0
			for total < len(list) && list[total].server.Domain == domain {
				total++
			}
			for i, m := range list[:total] {
				m.place = Place{Domain: domain, Position: i, Total: total}
			}
			list = list[total:]
		}
	}
	return services
}

// Begin adds the load of an attempt until the ticket's End.
func (f *Fleet) Begin(w Work) *Ticket {
	t := &Ticket{fleet: f, work: w, prefilling: true}
	f.mutex.Lock()
	now := f.clock.Now()
	if m := f.servers[w.First]; m != nil {
		m.add(t)
		m.notices.limit.add(1, now)
		m.notices.rest.add(now)
		f.countCold(m, now)
		m.startPrefill(t, now)
		t.distant = !f.isNear(m)
		t.busy = m.notices.limit.rate > 0 || m.isCold(now) || float64(m.own.Requests+m.peerRequests()) > busySlotsFraction*float64(m.server.Slots)
	}
	for _, id := range w.Helpers {
		if m := f.servers[id]; m != nil {
			m.startPrefill(t, now)
			f.countCold(m, now)
			t.distant = t.distant || !f.isNear(m)
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
func (f *Fleet) Succeeded(s Server) {
	f.updateHealth(s, func(h *health, now clock.Millis) { h.succeeded(now) })
}

// Failed records an answer that failed or broke off.
func (f *Fleet) Failed(s Server) {
	f.updateHealth(s, func(h *health, now clock.Millis) { h.failed(now) })
}

// Unreachable records that a server accepts no connection and reports whether that is new. The server is avoided until
// Reachable or Succeeded is called for it.
func (f *Fleet) Unreachable(s Server) bool {
	f.mutex.Lock()
	m := f.start(s)
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
func (f *Fleet) Reachable(s Server) {
	f.updateHealth(s, func(h *health, _ clock.Millis) { h.unreachable, h.peersUnreachableUntil = false, 0 })
	f.notifyChange(ReachNear)
}

// Neighbours returns the other servers in the failure domain of s, without those that this instance can't reach. There are none in a
// failure domain under evacuation.
func (f *Fleet) Neighbours(s Server) []Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []Server
	if f.evacuated.has(s.Domain) {
		return nil
	}
	for _, m := range f.servers {
		if m.server.Domain == s.Domain && m.server.ID != s.ID && !m.health.unreachable {
			list = append(list, m.server)
		}
	}
	return list
}

// HasSeveralPrefills reports whether one of the servers has more than one prompt, or part of one, in prefill, as far as this instance
// knows.
func (f *Fleet) HasSeveralPrefills(ids []poplarwinch.UpstreamID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for _, id := range ids {
		if m := f.servers[id]; m != nil && m.addPeerLoad(m.ownLoad(now), now).Prefilling > 1 {
			return true
		}
	}
	return false
}

// updateHealth updates the health of a server that is still listed as the same process. Results of an earlier one say nothing of it.
func (f *Fleet) updateHealth(s Server, update func(*health, clock.Millis)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m := f.start(s); m != nil {
		update(&m.health, f.clock.Now())
	}
}
