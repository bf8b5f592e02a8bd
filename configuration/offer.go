package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// offer is a version that a peer has.
type offer struct {
	version manifest.Version
	digest  string
}

// Offer reports the version that a peer has active. It does not block. Call it for each exchange with a peer, with
// version 0 if there is no news: an instance that hears from no peer reads the table as often as the watchers do.
func (s *Store) Offer(_ context.Context, version manifest.Version, digest string) {
	s.offers.hear(s.clock.Now())
	if current := s.active.Load(); current != nil && version <= current.record.Version {
		s.compare(current, Record{Version: version, Digest: digest})
		return
	}
	if version == 0 {
		return
	}
	s.offers.add(offer{version: version, digest: digest})
	signal(s.offers.news)
}
