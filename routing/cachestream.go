package routing

import (
	"context"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// A broken stream is opened again after a time that doubles between these bounds with each failure.
	minBackoff clock.Millis = 250
	maxBackoff              = 8 * clock.Second
)

// cacheStream follows one boot of one engine.
type cacheStream struct {
	upstream *upstream.Upstream
	boot     string
	follower *Follower
	// previous is the stream of the engine's earlier boot, nil without one.
	previous *cacheStream
	cancel   context.CancelFunc
	done     chan struct{}

	mutex sync.Mutex
	// last is the sequence number of the last event. Each boot starts with 1.
	last            uint64
	gap             bool
	stored, removed map[uint64]struct{}
}

func newCacheStream(f *Follower, e Followed, previous *cacheStream) *cacheStream {
	return &cacheStream{
		upstream: e.Upstream, boot: e.BootID, follower: f, previous: previous, done: make(chan struct{}),
		stored: map[uint64]struct{}{}, removed: map[uint64]struct{}{},
	}
}

// run keeps the stream open until ctx ends.
func (s *cacheStream) run(ctx context.Context) {
	defer close(s.done)
	f := s.follower
	wait := minBackoff
	if s.previous != nil {
		// The events of the earlier boot end before the index forgets them. The index counts in units of 100 ms, so new
		// entries are kept apart from the forgotten ones by the wait.
		<-s.previous.done
		s.previous = nil
		f.index.Forget(s.upstream)
		if f.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
	for {
		opened, before := f.clock.Now(), s.position()
		_ = f.Events(ctx, s.upstream, before, func(e CacheEvent) {
			if ctx.Err() == nil {
				s.add(e)
			}
		})
		if s.position() != before || f.clock.Now()-opened > maxBackoff {
			wait = minBackoff
		}
		// The engine's hash spreads the streams of several engines that failed at once.
		if f.clock.Sleep(ctx, wait+clock.Millis(upstream.Mix(f.self, s.upstream.Hash)%uint64(wait))) != nil {
			return
		}
		wait = min(2*wait, maxBackoff)
	}
}

func (s *cacheStream) position() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.last
}

// add notes an event until the next apply. Events that were passed before are ignored.
func (s *cacheStream) add(e CacheEvent) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e.Sequence <= s.last {
		return
	}
	s.gap = s.gap || e.Sequence != s.last+1
	s.last = e.Sequence
	for _, b := range e.Blocks {
		if e.Removed {
			delete(s.stored, b)
			s.removed[b] = struct{}{}
		} else {
			s.stored[b] = struct{}{}
		}
	}
}

// apply updates the index by the events since the last call.
func (s *cacheStream) apply() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.gap {
		s.follower.index.Gap(s.upstream)
	}
	s.follower.index.Removed(s.upstream, keys(s.removed))
	s.follower.index.Stored(s.upstream, keys(s.stored))
	s.gap = false
	clear(s.stored)
	clear(s.removed)
}

func keys(blocks map[uint64]struct{}) []uint64 {
	list := make([]uint64, 0, len(blocks))
	for b := range blocks {
		list = append(list, b)
	}
	return list
}
