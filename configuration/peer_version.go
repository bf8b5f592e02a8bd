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

// checkPeerDigest raises an alarm if a peer has the active version with a different digest. The instance then polls the table like a
// watcher, since the table decides which one stays.
func (s *Store) checkPeerDigest(current *activeManifest, reported peerVersion) {
	s.checkDigest(current, Record{Version: reported.version, Digest: reported.digest})
	if reported.version == current.record.Version && reported.digest != current.record.Digest {
		s.conflictingVersion.Store(uint64(reported.version))
	}
}

// ConsiderPeerVersion records the active version of a peer. It does not block. It must be called for every exchange
// with a peer, with version 0 if the peer reported no new version: an instance without contact to any peer polls the
// table as often as a watcher does.
func (s *Store) ConsiderPeerVersion(_ context.Context, version manifest.Version, digest string) {
	s.peerVersions.recordContact(s.clock.Now())
	if current := s.active.Load(); current != nil && version <= current.record.Version {
		s.checkPeerDigest(current, peerVersion{version: version, digest: digest})
		return
	}
	if version == 0 {
		return
	}
	s.peerVersions.add(peerVersion{version: version, digest: digest})
	signal(s.peerVersions.added)
}
