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
	// unlistedTimeout is the time without a successful probe after which an upstream missing from the list is removed.
	unlistedTimeout = 10 * clock.Second
	// recordRetention is how long the record of a removed upstream is kept, so that a stale list can't make a leaving
	// upstream selectable again.
	recordRetention = clock.Hour
	// maxRecords bounds the number of records, since observations can create them for ids that are not in any list.
	maxRecords = 16384
	// maxSkew is the assumed maximum clock skew between machines. The times of observations are capped at this far in
	// the future, since they would otherwise take precedence over later ones.
	maxSkew clock.Millis = 500
	// announcementTimeout is the age above which a peer's announcement is dropped. Peers repeat theirs every second, so an
	// older one comes from a peer that no longer responds.
	announcementTimeout = 3 * clock.Second
)

// Registry merges instance lists and observations into snapshots, which are read without locks.
type Registry struct {
	clock    *clock.Clock
	violated invariant.Report
	died     func(EndedProcess)
	leaving  func([]Observation)
	refresh  clock.Millis

	snapshot   atomic.Pointer[Snapshot]
	mutex      sync.Mutex
	records    map[poplarwinch.UpstreamID]*record
	sequence   uint64
	lastNumber uint16
}

// New returns an empty registry.
func New(opts ...Option) *Registry {
	r := &Registry{
		clock: clock.System(), violated: invariant.Log, refresh: clock.Second,
		died:    func(EndedProcess) {},
		leaving: func([]Observation) {},
		records: map[poplarwinch.UpstreamID]*record{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.publish()
	return r
}

// Snapshot returns the current snapshot.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot.Load() }

// Apply installs the instance list. Upstreams no longer in it are kept while they answer probes. The list's ready
// condition is used only for upstreams without any observation.
func (r *Registry) Apply(list []Listed) {
	if startedLeaving := r.apply(list); len(startedLeaving) > 0 {
		r.leaving(startedLeaving)
	}
}

func (r *Registry) apply(list []Listed) (startedLeaving []Observation) {
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
		e.listed, e.listedReady, e.updatedAt = true, l.Ready, now
		if l.Terminating && !e.leaving {
			e.leaving = true
			r.recordChange(e)
			startedLeaving = append(startedLeaving, e.observations()...)
		}
		if !e.upstream.matches(l) {
			r.lastNumber++
			e.upstream = newUpstream(l, r.lastNumber, r.clock, r.violated)
			e.upstream.updateLoad(e.latest.Load)
		}
	}
	r.publish()
	return startedLeaving
}

// Merge merges observations, usually those of peers. The newest one of each upstream wins, except that leaving is permanent.
func (r *Registry) Merge(observations []Observation) {
	died, _ := r.merge(observations)
	for _, p := range died {
		r.died(p)
	}
}

// merge merges observations. It returns the processes of upstreams that died according to them, and the observations to
// broadcast for upstreams that began to leave.
func (r *Registry) merge(observations []Observation) (died []EndedProcess, startedLeaving []Observation) {
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
		state, models, leaving := e.state(), e.latest.Models, e.leaving
		boot := e.latest.BootID
		changed, processDied := e.merge(o)
		if processDied {
			died = append(died, EndedProcess{ID: o.ID, BootID: boot})
		}
		if !changed {
			continue
		}
		e.updatedAt = now
		regroup = regroup || e.state() != state || !sameModels(models, e.latest.Models)
		if e.changeDue(r.refresh) {
			r.recordChange(e)
		}
		if e.leaving && !leaving {
			startedLeaving = append(startedLeaving, e.observations()...)
		}
		if e.upstream != nil {
			e.upstream.updateLoad(e.latest.Load)
			e.upstream.peerPrefill.Store(e.announcedPrefill(now))
		}
	}
	if regroup {
		r.publish()
	}
	return died, startedLeaving
}

// Changes returns the observations recorded after the position since, and the position to pass to the next call. The
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

// Announcements returns the announcements of this instance's prompts in prefill, to be sent to peers.
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

// ReplaceAnnouncements replaces the announcements received from a peer. The list is complete, so the peer has no work
// on upstreams that are not in it.
func (r *Registry) ReplaceAnnouncements(peer poplarwinch.InstanceID, announcements []Announcement) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	for _, e := range r.records {
		delete(e.announced, peer)
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
		e.announced[peer] = a
	}
	for _, e := range r.records {
		if e.upstream != nil {
			e.upstream.peerPrefill.Store(e.announcedPrefill(now))
		}
	}
}

// record returns the record of id. It creates a missing one unless there are maxRecords already, and then returns nil.
func (r *Registry) record(id poplarwinch.UpstreamID, now clock.Millis) *record {
	e, ok := r.records[id]
	if !ok && len(r.records) < maxRecords {
		e = &record{id: id, updatedAt: now}
		r.records[id] = e
	}
	return e
}

// recordChange makes Changes return the record's current observations.
func (r *Registry) recordChange(e *record) {
	r.sequence++
	e.sequence = r.sequence
	e.lastChange = e.latest
	e.lastChange.State = e.state()
}

// publish removes upstreams that are no longer known, deletes expired records and installs a new snapshot.
func (r *Registry) publish() {
	now := r.clock.Now()
	s := &Snapshot{
		byID:    map[poplarwinch.UpstreamID]*Upstream{},
		engines: map[modelKey]*Group{}, services: map[poplarwinch.ServiceName]*Group{},
	}
	for id, e := range r.records {
		if !e.known(now) {
			e.upstream = nil
			if now-e.updatedAt > recordRetention {
				delete(r.records, id)
			}
		}
		if e.upstream == nil {
			continue
		}
		e.upstream.setState(e.state())
		s.add(e.upstream, e.latest.Models)
	}
	s.finish()
	for _, g := range s.engines {
		r.assertSelectable(g)
	}
	for _, g := range s.services {
		r.assertSelectable(g)
	}
	r.snapshot.Store(s)
}

func (r *Registry) assertSelectable(g *Group) {
	for _, u := range g.All {
		if e := r.records[u.ID]; e.leaving || !u.Selectable() {
			r.violated("leaving-upstream-not-selectable", fmt.Sprintf("%s is %s", u.ID, e.state()))
		}
	}
}

// lastObservedAt returns the time of the newest observation of the upstream, or 0 without one.
func (r *Registry) lastObservedAt(id poplarwinch.UpstreamID) clock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e, ok := r.records[id]; ok {
		return e.latest.At
	}
	return 0
}
