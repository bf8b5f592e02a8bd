package configuration

import (
	"context"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// watcherPollInterval is the time between two polls of the table by a watcher. Each failure domain has two watchers.
	watcherPollInterval = 2 * clock.Second
	// nonWatcherPollInterval is the time between two polls of the table by any other instance.
	nonWatcherPollInterval = 30 * clock.Second
	// peerSilenceLimit is the time without an exchange with any peer after which an instance polls the table like a
	// watcher. Peers exchange state every second.
	peerSilenceLimit = 3 * clock.Second
	// bootstrapTimeout is the time after which a starting instance no longer waits for every source to answer.
	bootstrapTimeout = 5 * clock.Second
	// pollCheckInterval is the time between two checks whether a poll is due.
	pollCheckInterval = clock.Second / 2
	// retryInterval is the time between two attempts to find the first manifest or to fetch one that a peer reported.
	retryInterval = clock.Second
	// requestTimeout bounds one read or write of the table, one request for a peer's record and one announcement to the
	// peers.
	requestTimeout = 2 * clock.Second
)

// Run activates the current manifest and then every later version until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.announceLoop(ctx) })
	s.bootstrap(ctx)
	group.Go(func() { s.pollLoop(ctx) })
	group.Go(func() { s.peerVersionLoop(ctx) })
	group.Go(func() { s.sectionLoop(ctx) })
	group.Wait()
	return ctx.Err()
}

// announceLoop announces the active version to the peers when requested.
func (s *Store) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announceRequested:
		}
		if current := s.active.Load(); current != nil {
			announceCtx, cancel := s.withTimeout(ctx, requestTimeout)
			s.announce(announceCtx, current.record.Version, current.record.Digest)
			cancel()
		}
	}
}

// pollLoop polls the table at the poll interval and when requested.
func (s *Store) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if s.waitForSignal(ctx, s.pollRequested, pollCheckInterval) || s.clock.Now()-clock.Millis(s.lastPoll.Load()) >= s.pollInterval() {
			s.poll(ctx)
		}
	}
}

// waitForSignal waits for a signal, for the timeout or for the end of ctx, and reports whether there was a signal.
func (s *Store) waitForSignal(ctx context.Context, requested <-chan struct{}, timeout clock.Millis) bool {
	elapsed, stopTimer := s.clock.After(timeout)
	defer stopTimer()
	select {
	case <-ctx.Done():
	case <-elapsed:
	case <-requested:
		return true
	}
	return false
}

// pollInterval returns the time between two polls of the table by this instance.
func (s *Store) pollInterval() clock.Millis {
	conflicting := s.conflictingVersion.Load() > 0 && s.conflictingVersion.Load() == uint64(s.version())
	if conflicting || s.isWatcher() || s.clock.Now()-s.peerVersions.lastContact() > peerSilenceLimit {
		return watcherPollInterval
	}
	return nonWatcherPollInterval
}
