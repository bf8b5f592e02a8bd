package routing

import (
	"context"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// minBackoff is the first pause before a broken stream is opened again; it doubles with each failure.
	minBackoff clock.Millis = 250
	// maxBackoff bounds that pause.
	maxBackoff = 8 * clock.Second
)

// cacheStream follows the cache events of one engine during one boot.
type cacheStream struct {
	upstream *upstream.Upstream
	boot     string
	follower *Follower
	// previous is the stream of the engine's earlier boot, or nil.
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
	backoff := minBackoff
	if s.previous != nil {
		// The index forgets the earlier boot only after its stream has ended, so that no late event adds an entry. The
		// index counts in units of 100 ms; the pause keeps new entries apart from the forgotten ones.
		<-s.previous.done
		s.previous = nil
		f.index.Forget(s.upstream)
		if f.clock.Sleep(ctx, backoff) != nil {
			return
		}
	}
	for {
		opened, before := f.clock.Now(), s.lastSequence()
		_ = f.Events(ctx, s.upstream, before, func(e CacheEvent) {
			if ctx.Err() == nil {
				s.addEvent(e)
			}
		})
		if s.lastSequence() != before || f.clock.Now()-opened > maxBackoff {
			backoff = minBackoff
		}
		// The engine's hash spreads the pauses for several engines that failed at the same time.
		if f.clock.Sleep(ctx, backoff+clock.Millis(upstream.RendezvousWeight(f.self, s.upstream.Hash)%uint64(backoff))) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s *cacheStream) lastSequence() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.last
}

// addEvent buffers an event for the next apply. Events that were received before are ignored.
func (s *cacheStream) addEvent(e CacheEvent) {
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

// apply updates the index with the buffered events.
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
