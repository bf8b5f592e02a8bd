package configuration

import (
	"context"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// fetchTimeout bounds the download of sections from each of the two sources. An accepted manifest must take effect
	// within 8 s; both downloads together leave half of that to detect the new version.
	fetchTimeout = 2 * clock.Second
	// maxConcurrentTransfers is the maximum number of concurrent object store requests of one download or upload.
	maxConcurrentTransfers = 16
)

// invalidManifestMessage is the log message of AlarmInvalidManifest for a manifest that fails validation.
const invalidManifestMessage = "the manifest is invalid and was not activated"

// applyRecord fetches the sections of a record, validates the manifest and activates it.
func (s *Store) applyRecord(ctx context.Context, record Record, from recordSource) error {
	next, err := s.prepare(ctx, record, from)
	if err != nil {
		return err
	}
	if s.activate(next) && from == sourceTable {
		signal(s.announceRequested)
	}
	return nil
}

// prepare fetches the sections of a record and validates the manifest.
func (s *Store) prepare(ctx context.Context, record Record, from recordSource) (*activeManifest, error) {
	if err := record.check(); err != nil {
		s.alarms.raise(AlarmInvalidManifest, record, "the manifest record is invalid and was not activated", err)
		return nil, err
	}
	if lastRejected := s.lastRejected.Load(); lastRejected != nil && lastRejected.digest == record.Digest {
		s.alarms.raise(AlarmInvalidManifest, record, invalidManifestMessage, lastRejected.err)
		return nil, lastRejected.err
	}
	sections, err := s.fetchSections(ctx, record.Sections, from)
	if err != nil {
		return nil, err
	}
	index, err := s.compile(record, sections)
	if err != nil {
		s.lastRejected.Store(&rejectedManifest{digest: record.Digest, err: err})
		s.alarms.raise(AlarmInvalidManifest, record, invalidManifestMessage, err)
		return nil, err
	}
	return &activeManifest{record: record, index: index, sections: sections}, nil
}

func (s *Store) compile(record Record, sections map[string][]byte) (*manifest.Index, error) {
	m, err := manifest.Join(record.Sections, func(digest string) ([]byte, error) { return sections[digest], nil })
	if err != nil {
		return nil, err
	}
	if err := s.checkService(m); err != nil {
		return nil, err
	}
	index, err := manifest.Compile(record.Version, m)
	if err != nil {
		return nil, err
	}
	// The record's digest identifies the version on all instances; another release may encode sections differently and
	// compute another digest.
	index.Digest = record.Digest
	return index, nil
}

func (s *Store) checkService(m *manifest.Manifest) error {
	if s.service != "" && m.Service != s.service {
		return fmt.Errorf("the manifest is for service %s, this instance serves %s", m.Service, s.service)
	}
	return nil
}

// fetchSections returns the bodies of all sections by digest. It reuses those of the active manifest and of the last
// incomplete download, and fetches the others from the object store and from peers, beginning with peers if the record
// came from one.
func (s *Store) fetchSections(ctx context.Context, refs []manifest.SectionRef, from recordSource) (map[string][]byte, error) {
	download := &downloader{store: s, bodies: map[string][]byte{}}
	partial := s.partialSections.Load()
	for _, ref := range refs {
		if body, ok := s.Section(ref.Digest); ok {
			download.bodies[ref.Digest] = body
		} else if partial != nil && (*partial)[ref.Digest] != nil {
			download.bodies[ref.Digest] = (*partial)[ref.Digest]
		}
	}
	fetchers := []func(context.Context, []string){download.fetchFromObjects, download.fetchFromPeers}
	if from == sourcePeer {
		fetchers[0], fetchers[1] = fetchers[1], fetchers[0]
	}
	for _, fetch := range fetchers {
		if missing := download.missing(refs); len(missing) > 0 {
			fetchCtx, cancel := s.withTimeout(ctx, fetchTimeout)
			fetch(fetchCtx, missing)
			cancel()
		}
	}
	if missing := download.missing(refs); len(missing) > 0 {
		s.partialSections.Store(&download.bodies)
		return nil, fmt.Errorf("failed to fetch %d of %d manifest sections: %w", len(missing), len(refs), errors.Join(download.errors...))
	}
	s.partialSections.Store(nil)
	return download.bodies, nil
}
