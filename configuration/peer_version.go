package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// peerVersion is a manifest version that a peer reported as active.
type peerVersion struct {
	version manifest.Version
	digest  string
}

// ConsiderPeerVersion records the active version of a peer. It does not block. It must be called for every exchange
// with a peer, with version 0 if the peer reported no new version: an instance without contact to any peer polls the
// table as often as a watcher does.
func (s *Store) ConsiderPeerVersion(_ context.Context, version manifest.Version, digest string) {
	s.peerVersions.recordContact(s.clock.Now())
	if current := s.active.Load(); current != nil && version <= current.record.Version {
		s.checkDigest(current, Record{Version: version, Digest: digest})
		return
	}
	if version == 0 {
		return
	}
	s.peerVersions.add(peerVersion{version: version, digest: digest})
	signal(s.peerVersions.added)
}
