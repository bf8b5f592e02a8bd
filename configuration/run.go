package configuration

import (
	"context"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// watchInterval is the time between reads of the table by the two watchers of a failure domain.
	watchInterval = 2 * clock.Second
	// idleInterval is the time between reads of the table by the other instances.
	idleInterval = 30 * clock.Second
	// silenceLimit is the time without news from any peer after which an instance reads the table like a watcher;
	// peers exchange state every second.
	silenceLimit = 3 * clock.Second
	// startLimit is the time that a fresh instance gives all sources to answer.
	startLimit = 5 * clock.Second
	// tick is the precision of the intervals above.
	tick = clock.Second / 2
	// retryInterval is the time between attempts to find the first manifest, or to fetch one that a peer announced.
	retryInterval = clock.Second
	// readTimeout bounds one read of the table or one question to a peer.
	readTimeout = 2 * clock.Second
)

// Run finds the current manifest and follows its changes until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.loopAnnouncements(ctx) })
	s.start(ctx)
	group.Go(func() { s.loopTable(ctx) })
	group.Go(func() { s.loopNews(ctx) })
	group.Wait()
	return ctx.Err()
}

func (s *Store) loopAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announcements:
		}
		if current := s.active.Load(); current != nil {
			bounded, release := s.within(ctx, readTimeout)
			s.announce(bounded, current.record.Version, current.record.Digest)
			release()
		}
	}
}

func (s *Store) loopTable(ctx context.Context) {
	for ctx.Err() == nil {
		if s.pause(ctx, s.wake, tick) || s.clock.Now()-clock.Millis(s.polled.Load()) >= s.interval() {
			s.poll(ctx)
		}
	}
}

// pause waits for a signal, for the span or for the end of ctx, and reports whether there was a signal.
func (s *Store) pause(ctx context.Context, c <-chan struct{}, span clock.Millis) bool {
	due, stop := s.clock.After(span)
	defer stop()
	select {
	case <-ctx.Done():
	case <-due:
	case <-c:
		return true
	}
	return false
}

func (s *Store) interval() clock.Millis {
	if s.watching() || s.clock.Now()-s.offers.lastHeard() > silenceLimit {
		return watchInterval
	}
	return idleInterval
}
