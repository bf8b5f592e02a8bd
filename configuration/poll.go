package configuration

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// renumberedIDLength is the number of digits of the digest in the commit id of a renumbered manifest.
const renumberedIDLength = 16

// poll reads the manifest row and activates its version if it is new. It writes the active record back if the row is
// older or missing.
func (s *Store) poll(ctx context.Context) {
	s.lastPoll.Store(int64(s.clock.Now()))
	// The active manifest is loaded before the read, so that a commit that activates a version meanwhile doesn't make the
	// row look stale.
	current := s.active.Load()
	readCtx, cancel := s.withTimeout(ctx, requestTimeout)
	row, found, err := s.table.Get(readCtx, rowKey)
	cancel()
	if err != nil {
		s.alarms.logger.WithError(err).Warn("failed to read the manifest row; the active manifest stays in use")
		return
	}
	if current != nil && (!found || row.Version < uint64(current.record.Version)) {
		s.writeBack(ctx, row, found, current)
		return
	}
	if !found {
		return
	}
	record, ok := s.decodeRow(row)
	if !ok {
		return
	}
	if current != nil && record.Version == current.record.Version {
		s.checkDigest(current, record)
		if len(record.lostCommits(current.record)) > 0 {
			s.renumber(ctx, row, record)
		}
		return
	}
	if err := s.applyRecord(ctx, record, sourceTable); err != nil {
		s.alarms.logger.WithError(err).WithField("version", uint64(record.Version)).Warn("failed to activate the manifest that the table refers to")
	}
}

func (s *Store) decodeRow(row Row) (Record, bool) {
	record, err := DecodeRecord(row.Body)
	if err == nil && uint64(record.Version) != row.Version {
		err = fmt.Errorf("the row has version %d, but its body has version %d", row.Version, record.Version)
	}
	if err != nil {
		s.alarms.raise(AlarmInvalidManifest, Record{Version: manifest.Version(row.Version)},
			"the manifest row is invalid and was not activated", err)
		return Record{}, false
	}
	return record, true
}

// writeBack replaces an older or missing row by the active record, so that the next commit gets a version above the
// active one. The condition on the version that was read keeps it from overwriting a newer row.
func (s *Store) writeBack(ctx context.Context, row Row, found bool, current *activeManifest) {
	s.alarms.raise(AlarmStaleTable, current.record,
		"the table has an older manifest version than this instance, or none; writing the active version back", nil)
	writeCtx, cancel := s.withTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := s.uploadActive(writeCtx, current); err != nil {
		s.alarms.logger.WithError(err).Warn("failed to upload the sections of the active manifest while writing it back")
		return
	}
	err := s.putRecord(writeCtx, current.record, replaces(row, found))
	if err == nil {
		if replaced, decodeErr := DecodeRecord(row.Body); decodeErr == nil {
			s.reportLostCommits(current.record, replaced)
		}
		return
	}
	if !errors.Is(err, ErrConditionFailed) { // the condition fails if another instance wrote the row first
		s.alarms.logger.WithError(err).Warn("failed to write the record of the active manifest back to the table")
	}
}

// renumber gives the manifest of the row the next version, so that it replaces the active one, which has the same version. Both were
// accepted: the active one before a restore of the table, the row's after it. The table decides, as in all other conflicts.
func (s *Store) renumber(ctx context.Context, row Row, record Record) {
	commit := CommitRef{ID: "renumbered-" + record.Digest[:renumberedIDLength], Version: record.Version + 1, Digest: record.Digest}
	next, err := s.prepare(ctx, record.next(commit, record.Sections), sourceTable)
	if err != nil {
		s.alarms.logger.WithError(err).Warn("failed to fetch the manifest that the table has under the active version")
		return
	}
	putCtx, cancel := s.withTimeout(ctx, requestTimeout)
	defer cancel()
	err = s.putRecord(putCtx, next.record, replaces(row, true))
	if err == nil && s.activate(next) {
		signal(s.announceRequested)
	}
	if err != nil && !errors.Is(err, ErrConditionFailed) { // the condition fails if another instance wrote the row first
		s.alarms.logger.WithError(err).Warn("failed to write the next version of the manifest to the table")
	}
}

func (s *Store) putRecord(ctx context.Context, record Record, condition Condition) error {
	body, err := record.Encode()
	if err != nil {
		return err
	}
	return s.table.Put(ctx, Row{Key: rowKey, Body: body, Version: uint64(record.Version), Attempt: rand.Text()}, condition)
}

// replaces returns the condition that the row is the one that was read. Its version alone doesn't show that, since a restored table
// gives versions out again.
func replaces(row Row, found bool) Condition {
	return Condition{Absent: !found, Version: row.Version, Attempt: row.Attempt}
}
