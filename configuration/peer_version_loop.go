package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

// peerVersionLoop activates the versions that peers report.
func (s *Store) peerVersionLoop(ctx context.Context) {
	for ctx.Err() == nil {
		due := s.peerVersions.due(s.version())
		for _, v := range due {
			if current := s.active.Load(); current == nil || v.version > current.record.Version {
				s.activatePeerVersion(ctx, v)
			} else {
				s.checkPeerDigest(current, v)
			}
		}
		if len(due) > 0 && s.version() < due[0].version {
			_ = s.clock.Sleep(ctx, retryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.peerVersions.added:
		}
	}
}

// activatePeerVersion activates a version that a peer reported. If that fails it requests a poll of the table.
func (s *Store) activatePeerVersion(ctx context.Context, reported peerVersion) {
	readCtx, cancel := s.withTimeout(ctx, requestTimeout)
	record, err := s.peers.Record(readCtx, reported.version, reported.digest)
	cancel()
	if err == nil {
		err = s.applyRecord(ctx, record, sourcePeer)
	}
	if err == nil && s.version() >= reported.version {
		return
	}
	// Without this limit, all instances of a partitioned failure domain would read the table at the rate of gossip.
	if s.clock.Now()-clock.Millis(s.lastPoll.Load()) >= watcherPollInterval {
		signal(s.pollRequested)
	}
}
