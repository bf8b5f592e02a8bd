package configuration

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// attempt reads the manifest row and returns the result of the commit, writing the row if the commit is not in it yet.
// The result is final if done is true or err is not nil; otherwise the caller retries.
func (c *commit) attempt(ctx context.Context) (version manifest.Version, done bool, err error) {
	row, found, err := c.readRow(ctx)
	if err != nil {
		return 0, false, c.retryOrFail("failed to read the manifest row from the table", err)
	}
	// An invalid row lists no commits, but its version is enough for a conditional put that replaces it.
	record, _ := DecodeRecord(row.Body)
	record.Version = manifest.Version(row.Version)
	known := c.knownRecords(ctx)
	if version, err := c.findAccepted(record, known); version > 0 || err != nil {
		return version, true, err
	}
	base, err := c.base(record, known)
	if err != nil {
		return 0, true, err
	}
	if err := c.uploadMissing(ctx, record); err != nil {
		return 0, false, c.retryOrFail("failed to upload the manifest sections to the object store", err)
	}
	next := base.next(c.commitRef, c.sectionRefs)
	writeCtx, cancel := c.store.withTimeout(ctx, requestTimeout)
	err = c.store.putRecord(writeCtx, next, replaces(row, found))
	cancel()
	switch {
	case err == nil:
		c.activate(next)
		return next.Version, true, nil
	case errors.Is(err, ErrConditionFailed):
		return 0, false, nil // the next attempt reads the row that another writer put
	case errors.Is(err, ErrNotWritten):
		return 0, false, c.retryOrFail("failed to write the manifest row to the table", err)
	}
	c.uncertain = true
	return 0, false, nil
}

func (c *commit) readRow(ctx context.Context) (Row, bool, error) {
	readCtx, cancel := c.store.withTimeout(ctx, requestTimeout)
	defer cancel()
	return c.store.table.Get(readCtx, rowKey)
}

// knownRecords returns the active records of this instance and of the peers that answer. After a restore of the table they can be
// newer than the row. Without an answer of any peer the commit goes on: a failure domain that is cut off can be changed.
func (c *commit) knownRecords(ctx context.Context) []Record {
	peersCtx, cancel := c.store.withTimeout(ctx, requestTimeout)
	defer cancel()
	records, err := c.store.peers.Records(peersCtx)
	if err != nil {
		c.store.alarms.logger.WithError(err).Warn("no peer was asked for its manifest version before the commit")
	}
	if active, ok := c.store.Record(); ok {
		records = append(records, active)
	}
	return records
}

// findAccepted looks up the commit id in the commits of the row and of the known records. It returns the version of the
// commit, zero if the id is not found, or a conflict if the id belongs to a different manifest. The version is activated if
// it is the row's, and otherwise left to the next poll.
func (c *commit) findAccepted(record Record, known []Record) (manifest.Version, error) {
	accepted, ok := record.commit(c.commitRef.ID)
	for i := 0; i < len(known) && !ok; i++ {
		accepted, ok = known[i].commit(c.commitRef.ID)
	}
	switch {
	case !ok:
		return 0, nil
	case accepted.Digest != c.commitRef.Digest:
		return 0, c.conflictError("the commit id was already used for a different manifest", "use a new commit id for each change")
	case record.Version == accepted.Version && accepted.Version == c.commitRef.Version:
		c.activate(record)
	default:
		signal(c.store.pollRequested)
	}
	return accepted.Version, nil
}

// base returns the record that the commit replaces: the row's, or the newest known one if a restore of the table left an older
// row.
func (c *commit) base(record Record, known []Record) (Record, error) {
	latest, listed := record, record.hasCommitOf(c.commitRef.Version)
	for _, r := range known {
		listed = listed || r.hasCommitOf(c.commitRef.Version)
		if r.Version > latest.Version {
			latest = r
		}
	}
	if latest.Version != c.replaces {
		err := c.conflictError("another commit was accepted first: the current version is "+latest.Version.String(),
			"apply the change to the current manifest and commit it with the current version as the replaced one")
		if latest.Version > c.replaces && !listed {
			// No record lists the commit that produced version c.replaces+1 any more; it may have been this one.
			err.Outcome = poplarwinch.OutcomeUnknown
		}
		return Record{}, err
	}
	return latest, nil
}

// uploadMissing uploads the sections that the row's record doesn't list.
func (c *commit) uploadMissing(ctx context.Context, record Record) error {
	stored := map[string]bool{}
	for _, ref := range record.Sections {
		stored[ref.Digest] = true
	}
	var digests []string
	for _, ref := range c.sectionRefs {
		if !stored[ref.Digest] {
			digests = append(digests, ref.Digest)
		}
	}
	uploadCtx, cancel := c.store.withTimeout(ctx, 2*fetchTimeout)
	defer cancel()
	return c.store.upload(uploadCtx, c.sectionBodies, digests)
}

func (c *commit) activate(record Record) {
	if c.store.activate(&activeManifest{record: record, index: c.index, sections: c.sectionBodies}) {
		signal(c.store.announceRequested)
	}
}
