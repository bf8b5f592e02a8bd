package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/invariant"
)

const (
	// An upstream that misses from the list is forgotten when no probe has succeeded for this long.
	unlistedTimeout = 10 * clock.Second
	// A record without a list entry is kept for this long, so that a stale list can't revive a leaving upstream.
	recordRetention = clock.Hour
	// Observations of ids that no list has named yet are kept up to this number of records.
	maxRecords = 16384
	// Observations with a time further ahead than this are cut, since they would block later ones. The assumed skew
	// between machines is below 0.5 s.
	maxSkew clock.Millis = 500
	// Announcements of peers are repeated once a second; one that is older than this comes from a silent peer.
	announcementTimeout = 3 * clock.Second
)

// Registry merges lists and observations into snapshots. Snapshots are read without locks.
type Registry struct {
	clock    *clock.Clock
	violated invariant.Report
	died     func(poplarwinch.UpstreamID)
	leaving  func([]Observation)
	refresh  clock.Millis

	snapshot atomic.Pointer[Snapshot]
	mutex    sync.Mutex
	records  map[poplarwinch.UpstreamID]*record
	sequence uint64
	number   uint16
}

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{
		clock: clock.System(), violated: invariant.Log, refresh: clock.Second,
		died:    func(poplarwinch.UpstreamID) {},
		leaving: func([]Observation) {},
		records: map[poplarwinch.UpstreamID]*record{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.publish()
	return r
}

// Snapshot returns the current view.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot.Load() }

// Apply installs the instance list. Upstreams that it no longer names are kept while they answer probes, and its
// ready condition counts only for upstreams that nobody has observed yet.
func (r *Registry) Apply(list []Listed) {
	if left := r.apply(list); len(left) > 0 {
		r.leaving(left)
	}
}

func (r *Registry) apply(list []Listed) (left []Observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	for _, e := range r.records {
		e.listed = false
	}
	for _, l := range list {
		e := r.record(l.ID, now)
		if e == nil {
			continue
		}
		e.listed, e.listedReady, e.touched = true, l.Ready, now
		if l.Terminating && !e.leaving {
			e.leaving = true
			r.tell(e)
			left = append(left, e.observations()...)
		}
		if !e.upstream.is(l) {
			r.number++
			e.upstream = newUpstream(l, r.number, r.clock, r.violated)
			e.upstream.report(e.seen.Load)
		}
	}
	r.publish()
	return left
}

// Merge adds observations of this instance or of peers. The newest one of each upstream counts, except that leaving
// is never undone.
func (r *Registry) Merge(observations []Observation) {
	died, _ := r.merge(observations)
	for _, id := range died {
		r.died(id)
	}
}

// merge adds observations and returns the upstreams whose death they reveal and what to tell of those that began to
// leave.
func (r *Registry) merge(observations []Observation) (died []poplarwinch.UpstreamID, left []Observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	regroup := false
	for _, o := range observations {
		e := r.record(o.ID, now)
		if e == nil {
			continue
		}
		o.At = min(o.At, now+maxSkew)
		o.Load.At = min(o.Load.At, now)
		state, models, leaving := e.state(), e.seen.Models, e.leaving
		news, dead := e.merge(o)
		if dead {
			died = append(died, o.ID)
		}
		if !news {
			continue
		}
		e.touched = now
		regroup = regroup || e.state() != state || !sameModels(models, e.seen.Models)
		if e.worthTelling(r.refresh) {
			r.tell(e)
		}
		if e.leaving && !leaving {
			left = append(left, e.observations()...)
		}
		if e.upstream != nil {
			e.upstream.report(e.seen.Load)
			e.upstream.peers.Store(e.peerWork(now))
		}
	}
	if regroup {
		r.publish()
	}
	return died, left
}

// Changes returns the observations that changed after the position since, and the position to continue from. The
// first call passes zero.
func (r *Registry) Changes(since uint64) (observations []Observation, next uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changed []*record
	for _, e := range r.records {
		if e.sequence > since {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range changed {
		observations = append(observations, e.observations()...)
	}
	return observations, r.sequence
}

// Announcements returns this instance's prompts in prefill for its peers.
func (r *Registry) Announcements() []Announcement {
	var list []Announcement
	now := r.clock.Now()
	for _, u := range r.Snapshot().All() {
		own := u.ownPrefill()
		if own != (Prefill{}) {
			list = append(list, Announcement{ID: u.ID, At: now, Prefill: own})
		}
	}
	return list
}

// Announce replaces the announcements of the peer from. The list is complete, so the peer has no work on upstreams that
// it does not name.
func (r *Registry) Announce(from poplarwinch.InstanceID, announcements []Announcement) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	for _, e := range r.records {
		delete(e.announced, from)
	}
	for _, a := range announcements {
		e := r.record(a.ID, now)
		if e == nil {
			continue
		}
		a.At = min(a.At, now)
		if e.announced == nil {
			e.announced = map[poplarwinch.InstanceID]Announcement{}
		}
		e.announced[from] = a
	}
	for _, e := range r.records {
		if e.upstream != nil {
			e.upstream.peers.Store(e.peerWork(now))
		}
	}
}

// record returns the record of id and creates it if there is room.
func (r *Registry) record(id poplarwinch.UpstreamID, now clock.Millis) *record {
	e, ok := r.records[id]
	if !ok && len(r.records) < maxRecords {
		e = &record{id: id, touched: now}
		r.records[id] = e
	}
	return e
}

func (r *Registry) tell(e *record) {
	r.sequence++
	e.sequence = r.sequence
	e.told = e.seen
	e.told.State = e.state()
}

// publish drops forgotten upstreams and installs a new snapshot.
func (r *Registry) publish() {
	now := r.clock.Now()
	s := &Snapshot{
		byID:    map[poplarwinch.UpstreamID]*Upstream{},
		engines: map[modelKey]*Group{}, services: map[poplarwinch.ServiceName]*Group{},
	}
	for id, e := range r.records {
		if !e.kept(now) {
			e.upstream = nil
			if now-e.touched > recordRetention {
				delete(r.records, id)
			}
		}
		if e.upstream == nil {
			continue
		}
		e.upstream.setState(e.state())
		s.add(e.upstream, e.seen.Models)
	}
	s.finish()
	for _, g := range s.engines {
		r.assertUp(g)
	}
	for _, g := range s.services {
		r.assertUp(g)
	}
	r.snapshot.Store(s)
}

func (r *Registry) assertUp(g *Group) {
	for _, u := range g.All {
		if e := r.records[u.ID]; e.leaving || !u.Selectable() {
			r.violated("leaving-upstream-not-selectable", fmt.Sprintf("%s is %s", u.ID, e.state()))
		}
	}
}

// seenAt returns the time of the newest observation of the upstream.
func (r *Registry) seenAt(id poplarwinch.UpstreamID) clock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e, ok := r.records[id]; ok {
		return e.seen.At
	}
	return 0
}
