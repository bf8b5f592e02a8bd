package configuration

import (
	"context"
	"errors"
	"fmt"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// poll reads the row and follows it.
func (s *Store) poll(ctx context.Context) {
	s.polled.Store(int64(s.clock.Now()))
	// The state is taken before the read: a version that a commit activates meanwhile doesn't make the row stale.
	current := s.active.Load()
	bounded, release := s.within(ctx, readTimeout)
	row, found, err := s.table.Get(bounded, rowKey)
	release()
	if err != nil {
		s.alarms.logger.WithError(err).Warn("can't read the manifest row; the active manifest stays")
		return
	}
	if current != nil && (!found || row.Version < uint64(current.record.Version)) {
		s.restore(ctx, row, found, current)
		return
	}
	if !found {
		return
	}
	record, ok := s.decode(row)
	if !ok {
		return
	}
	if current != nil && record.Version == current.record.Version {
		s.compare(current, record)
		return
	}
	if err := s.adopt(ctx, record, sourceTable); err != nil {
		s.alarms.logger.WithError(err).WithField("version", uint64(record.Version)).Warn("can't activate the manifest")
	}
}

func (s *Store) decode(row Row) (Record, bool) {
	record, err := DecodeRecord(row.Body)
	if err == nil && uint64(record.Version) != row.Version {
		err = fmt.Errorf("the row has version %d, its body %d", row.Version, record.Version)
	}
	if err != nil {
		s.alarms.raise(AlarmInvalidManifest, Record{Version: manifest.Version(row.Version)},
			"the manifest row is invalid and stays inactive", err)
		return Record{}, false
	}
	return record, true
}

// restore writes the active record over an older row, so that the next commit gets a version that instances accept.
// The condition on the version that was read keeps it from replacing a newer row.
func (s *Store) restore(ctx context.Context, row Row, found bool, current *state) {
	s.alarms.raise(AlarmStaleTable, current.record,
		"the table has an older manifest than this instance; the active version is written back", nil)
	digests := make([]string, 0, len(current.sections))
	for digest := range current.sections {
		digests = append(digests, digest)
	}
	bounded, release := s.within(ctx, fetchTimeout)
	defer release()
	if err := s.upload(bounded, current.sections, digests); err != nil {
		s.alarms.logger.WithError(err).Warn("can't store the sections of the active manifest")
		return
	}
	err := s.write(bounded, current.record, Condition{Absent: !found, Version: row.Version})
	if err != nil && !errors.Is(err, ErrConditionFailed) { // if the condition failed, another instance was first
		s.alarms.logger.WithError(err).Warn("can't write the active manifest back to the table")
	}
}

func (s *Store) write(ctx context.Context, record Record, condition Condition) error {
	body, err := record.Encode()
	if err != nil {
		return err
	}
	return s.table.Put(ctx, Row{Key: rowKey, Body: body, Version: uint64(record.Version)}, condition)
}
