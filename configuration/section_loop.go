package configuration

import (
	"context"
	"errors"
)

// sectionLoop checks that the object store still has the sections of the active manifest, one at a time, and uploads all of them if one
// is missing, as after a restore of the object store. Only watchers check.
func (s *Store) sectionLoop(ctx context.Context) {
	for next := 0; s.clock.Sleep(ctx, watcherPollInterval) == nil; next++ {
		current := s.active.Load()
		if current == nil || len(current.record.Sections) == 0 || !s.isWatcher() {
			continue
		}
		s.checkSection(ctx, current, current.record.Sections[next%len(current.record.Sections)].Digest)
	}
}

// checkSection uploads the sections of a manifest if the object store doesn't have the one with the digest.
func (s *Store) checkSection(ctx context.Context, current *activeManifest, digest string) {
	readCtx, cancel := s.withTimeout(ctx, requestTimeout)
	_, err := s.objects.Get(readCtx, objectKey(digest))
	cancel()
	if !errors.Is(err, ErrNotFound) {
		return
	}
	s.alarms.logger.WithField("section", digest).Warn("the object store lost a section of the active manifest; uploading its sections again")
	uploadCtx, cancel := s.withTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := s.uploadActive(uploadCtx, current); err != nil {
		s.alarms.logger.WithError(err).Warn("failed to upload the sections of the active manifest again")
	}
}

// uploadActive stores the sections of the active manifest in the object store, unless it has them.
func (s *Store) uploadActive(ctx context.Context, current *activeManifest) error {
	digests := make([]string, 0, len(current.sections))
	for digest := range current.sections {
		digests = append(digests, digest)
	}
	return s.upload(ctx, current.sections, digests)
}
