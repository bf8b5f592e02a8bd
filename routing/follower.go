package routing

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// maxStreams bounds the open event streams of an instance. In larger failure domains each instance follows a
	// different set of engines and relies for the others on what it sent there itself.
	maxStreams = 32
	// applyInterval is the interval at which buffered events are applied to the index. A removal in the same interval as
	// the storing of the block cancels it, whereas PrefixIndex.Removed would ignore the removal as too recent. The
	// replay of an engine's earlier events at the start of a stream consists of such pairs.
	applyInterval clock.Millis = 200
	// listRounds is the number of these intervals between two reads of the list of engines, which makes one read a
	// second.
	listRounds = 5
)

// Follower updates a prefix index from the cache events of engines. Set the function fields before Run.
type Follower struct {
	// Events passes the events after a sequence number to handle until the stream breaks or ctx ends, and returns the
	// reason.
	Events func(ctx context.Context, u *upstream.Upstream, after uint64, handle func(CacheEvent)) error
	// Engines returns the engines of the own failure domain.
	Engines func() []Followed

	clock   *clock.Clock
	index   *PrefixIndex
	self    uint64
	streams map[poplarwinch.UpstreamID]*cacheStream
	loops   sync.WaitGroup
}

// NewFollower returns a follower that updates index x for the instance with the id self.
func NewFollower(self poplarwinch.InstanceID, c *clock.Clock, x *PrefixIndex) *Follower {
	return &Follower{
		clock: c, index: x, self: xxhash.Sum64String(string(self)), streams: map[poplarwinch.UpstreamID]*cacheStream{},
	}
}

// Run follows engines until ctx ends and returns the error of ctx after the last stream has ended.
func (f *Follower) Run(ctx context.Context) error {
	defer f.loops.Wait()
	for round := 0; ; round++ {
		if round%listRounds == 0 {
			f.updateStreams(ctx)
		}
		for _, s := range f.streams {
			s.apply()
		}
		if err := f.clock.Sleep(ctx, applyInterval); err != nil {
			return err
		}
	}
}

// updateStreams starts and ends streams according to the list of engines.
func (f *Follower) updateStreams(ctx context.Context) {
	chosen := f.chooseEngines(f.Engines())
	for id, s := range f.streams {
		if _, ok := chosen[id]; !ok {
			s.cancel()
			delete(f.streams, id)
		}
	}
	for id, e := range chosen {
		old := f.streams[id]
		if old != nil && old.upstream == e.Upstream && old.boot == e.BootID {
			continue
		}
		s := newCacheStream(f, e, old)
		if old != nil {
			old.cancel()
		}
		var own context.Context
		own, s.cancel = context.WithCancel(ctx)
		f.streams[id] = s
		f.loops.Go(func() { s.run(own) })
	}
}

// chooseEngines returns the engines that this instance follows, by rendezvous hashing. Engines that are down stay
// chosen, so that a short failure does not change the others.
func (f *Follower) chooseEngines(engines []Followed) map[poplarwinch.UpstreamID]Followed {
	engines = slices.DeleteFunc(engines, func(e Followed) bool {
		return e.BootID == "" || e.Upstream.State() == upstream.StateLeaving
	})
	slices.SortFunc(engines, func(a, b Followed) int {
		return cmp.Compare(upstream.RendezvousWeight(f.self, b.Upstream.Hash), upstream.RendezvousWeight(f.self, a.Upstream.Hash))
	})
	chosen := map[poplarwinch.UpstreamID]Followed{}
	for _, e := range engines[:min(len(engines), maxStreams)] {
		chosen[e.Upstream.ID] = e
	}
	return chosen
}
