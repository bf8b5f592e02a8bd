package configuration

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// attempt reads the row and either settles the commit or tries to write it; done is false if another attempt may help.
func (c *commit) attempt(ctx context.Context) (version manifest.Version, done bool, err error) {
	row, found, err := c.read(ctx)
	if err != nil {
		return 0, false, c.again("can't read the table", err)
	}
	// An invalid row has no commits, but a commit can still replace it by its version.
	record, _ := DecodeRecord(row.Body)
	record.Version = manifest.Version(row.Version)
	if version, err := c.settled(record); version > 0 || err != nil {
		return version, true, err
	}
	base, err := c.base(record)
	if err != nil {
		return 0, true, err
	}
	if err := c.uploadNew(ctx, record); err != nil {
		return 0, false, c.again("can't store the sections", err)
	}
	next := base.next(c.ref, c.refs)
	bounded, release := c.store.within(ctx, readTimeout)
	err = c.store.write(bounded, next, Condition{Absent: !found, Version: row.Version})
	release()
	switch {
	case err == nil:
		c.activate(next)
		return next.Version, true, nil
	case errors.Is(err, ErrConditionFailed):
		return 0, false, nil // the next attempt reads what was written instead
	case errors.Is(err, ErrNotWritten):
		return 0, false, c.again("can't write to the table", err)
	}
	c.uncertain = true
	return 0, false, nil
}

func (c *commit) read(ctx context.Context) (Row, bool, error) {
	bounded, release := c.store.within(ctx, readTimeout)
	defer release()
	return c.store.table.Get(bounded, rowKey)
}

// settled finds the commit among those that the row or the active record remembers.
func (c *commit) settled(record Record) (manifest.Version, error) {
	known, ok := record.commit(c.ref.ID)
	if !ok {
		if current := c.store.active.Load(); current != nil {
			known, ok = current.record.commit(c.ref.ID)
		}
	}
	switch {
	case !ok:
		return 0, nil
	case known.Digest != c.ref.Digest:
		return 0, c.conflict("the commit id was used for other content", "use a new commit id for each change")
	case record.Version == known.Version && known.Version == c.ref.Version:
		c.activate(record)
	default:
		signal(c.store.wake)
	}
	return known.Version, nil
}

// base returns the record that the commit replaces: that of the row, or the active one if the row is older because
// the table was restored.
func (c *commit) base(record Record) (Record, error) {
	active, _ := c.store.Record()
	if latest := max(record.Version, active.Version); latest != c.replaces {
		err := c.conflict("another commit was first: the current version is "+latest.String(),
			"look at the current manifest, apply the change to it and commit it with that version as the replaced one")
		if latest > c.replaces && !record.remembers(c.ref.Version) && !active.remembers(c.ref.Version) {
			// Nothing remembers which commit made the version after the replaced one; it may have been this one.
			err.Outcome = poplarwinch.OutcomeUnknown
		}
		return Record{}, err
	}
	if record.Version == c.replaces {
		return record, nil
	}
	return active, nil
}

// uploadNew stores the sections that the row's record doesn't have.
func (c *commit) uploadNew(ctx context.Context, record Record) error {
	stored := map[string]bool{}
	for _, ref := range record.Sections {
		stored[ref.Digest] = true
	}
	var digests []string
	for _, ref := range c.refs {
		if !stored[ref.Digest] {
			digests = append(digests, ref.Digest)
		}
	}
	bounded, release := c.store.within(ctx, 2*fetchTimeout)
	defer release()
	return c.store.upload(bounded, c.bodies, digests)
}

func (c *commit) activate(record Record) {
	if c.store.activate(&state{record: record, index: c.index, sections: c.bodies}) {
		signal(c.store.announcements)
	}
}
