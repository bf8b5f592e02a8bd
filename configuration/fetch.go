package configuration

import (
	"context"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// fetchTimeout bounds the reads of sections from each of the two sources. Both together leave half of the 8 s in
	// which an accepted manifest takes effect for noticing it.
	fetchTimeout = 2 * clock.Second
	// concurrentTransfers bounds the object store requests that one instance has in flight.
	concurrentTransfers = 16
)

const messageInvalid = "the manifest is invalid and stays inactive"

// adopt fetches the manifest of a record, validates it and makes it active.
func (s *Store) adopt(ctx context.Context, record Record, from source) error {
	if err := record.check(); err != nil {
		s.alarms.raise(AlarmInvalidManifest, record, "the manifest record is invalid and stays inactive", err)
		return err
	}
	if rejected := s.rejected.Load(); rejected != nil && rejected.digest == record.Digest {
		s.alarms.raise(AlarmInvalidManifest, record, messageInvalid, rejected.err)
		return rejected.err
	}
	sections, err := s.fetch(ctx, record.Sections, from)
	if err != nil {
		return err
	}
	index, err := s.compile(record, sections)
	if err != nil {
		s.rejected.Store(&rejection{digest: record.Digest, err: err})
		s.alarms.raise(AlarmInvalidManifest, record, messageInvalid, err)
		return err
	}
	if s.activate(&state{record: record, index: index, sections: sections}) && from == sourceTable {
		signal(s.announcements)
	}
	return nil
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
	// A later release may encode sections differently; the digest of the commit identifies the version everywhere.
	index.Digest = record.Digest
	return index, nil
}

func (s *Store) checkService(m *manifest.Manifest) error {
	if s.service != "" && m.Service != s.service {
		return fmt.Errorf("the manifest is for service %s, this instance serves %s", m.Service, s.service)
	}
	return nil
}

// fetch returns the bodies of all sections by digest, from the active manifest, the object store and peers.
func (s *Store) fetch(ctx context.Context, refs []manifest.SectionRef, from source) (map[string][]byte, error) {
	found := &transfer{store: s, bodies: map[string][]byte{}}
	previous := s.partial.Load()
	for _, ref := range refs {
		if body, ok := s.Section(ref.Digest); ok {
			found.bodies[ref.Digest] = body
		} else if previous != nil && (*previous)[ref.Digest] != nil {
			found.bodies[ref.Digest] = (*previous)[ref.Digest]
		}
	}
	steps := []func(context.Context, []string){found.fromObjects, found.fromPeers}
	if from == sourcePeer {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if missing := found.missing(refs); len(missing) > 0 {
			bounded, release := s.within(ctx, fetchTimeout)
			step(bounded, missing)
			release()
		}
	}
	if missing := found.missing(refs); len(missing) > 0 {
		s.partial.Store(&found.bodies)
		return nil, fmt.Errorf("%d of %d sections are unavailable: %w", len(missing), len(refs), errors.Join(found.errors...))
	}
	s.partial.Store(nil)
	return found.bodies, nil
}
