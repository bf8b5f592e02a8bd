package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

func (s *Store) loopNews(ctx context.Context) {
	for ctx.Err() == nil {
		open := s.offers.open(s.version())
		for _, o := range open {
			if current := s.active.Load(); current == nil || o.version > current.record.Version {
				s.follow(ctx, o)
			} else {
				s.compare(current, Record{Version: o.version, Digest: o.digest})
			}
		}
		if len(open) > 0 && s.version() < open[0].version {
			_ = s.clock.Sleep(ctx, retryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.offers.news:
		}
	}
}

// follow activates a version that a peer announced.
func (s *Store) follow(ctx context.Context, o offer) {
	bounded, release := s.within(ctx, readTimeout)
	record, err := s.peers.Record(bounded, o.version, o.digest)
	release()
	if err == nil {
		err = s.adopt(ctx, record, sourcePeer)
	}
	if err == nil && s.version() >= o.version {
		return
	}
	// The limit keeps the instances of a partitioned domain from reading the table at the same rate as gossip.
	if s.clock.Now()-clock.Millis(s.polled.Load()) >= watchInterval {
		signal(s.wake)
	}
}
