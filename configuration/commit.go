package configuration

import (
	"context"
	"errors"
	"regexp"
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// commitLimit bounds a commit. Its replies may be lost several times within it.
	commitLimit = 20 * clock.Second
	// commitAttempts bounds the attempts while it is certain that nothing was written.
	commitAttempts = 3
	commitPause    = clock.Second / 2
)

var commitIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Commit validates a manifest document and makes it the current one, if the version that it replaces still is. The
// same commit id with the same content is accepted once and answered with the same version each time. The error is a
// *poplarwinch.Error; outcome unknown means that the commit may still take effect.
func (s *Store) Commit(
	ctx context.Context, data []byte, replaces manifest.Version, commitID string,
) (manifest.Version, error) {
	c, err := s.newCommit(data, replaces, commitID)
	if err != nil {
		return 0, err
	}
	ctx, release := s.within(ctx, commitLimit)
	defer release()
	for c.tries = 1; ; c.tries++ {
		version, done, err := c.attempt(ctx)
		if done || err != nil {
			return version, err
		}
		if s.clock.Sleep(ctx, commitPause) != nil {
			return 0, c.undecided(ctx.Err())
		}
	}
}

// commit is a commit in progress.
type commit struct {
	store    *Store
	replaces manifest.Version
	ref      CommitRef
	index    *manifest.Index
	refs     []manifest.SectionRef
	bodies   map[string][]byte
	tries    int
	// uncertain means that a put may have taken effect.
	uncertain bool
}

func (s *Store) newCommit(data []byte, replaces manifest.Version, id string) (*commit, error) {
	if !commitIDPattern.MatchString(id) {
		return nil, invalid("the commit id is not accepted",
			"use 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit", nil)
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return nil, invalid(err.Error(), "correct the listed fields", err)
	}
	if err := s.checkService(m); err != nil {
		return nil, invalid(err.Error(), "commit it to the instances of its own deployment", err)
	}
	index, err := manifest.Compile(replaces+1, m)
	if err != nil {
		return nil, invalid(err.Error(), "correct the manifest", err)
	}
	// A mistyped year would end the service at once; a date that has passed for the active manifest as well changes nothing.
	if active := s.Active(); index.Ended(s.clock.Now()) && (active == nil || active.End() != index.End()) {
		return nil, invalid("the final date has passed already", "commit a final date that is today or later", nil)
	}
	sections, err := manifest.Split(m)
	if err != nil {
		return nil, invalid(err.Error(), "correct the manifest", err)
	}
	c := &commit{
		store: s, replaces: replaces, index: index, refs: manifest.Refs(sections), bodies: map[string][]byte{},
		ref: CommitRef{ID: id, Version: replaces + 1, Digest: index.Digest},
	}
	for _, section := range sections {
		c.bodies[section.Digest] = section.Body
	}
	return c, nil
}

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
		return 0, conflict("the commit id was used for other content", "use a new commit id for each change")
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
		err := conflict("another commit was first: the current version is "+latest.String(),
			"look at the current manifest, apply the change to it and commit it with that version as the replaced one")
		if c.uncertain || latest > c.replaces && !record.remembers(c.ref.Version) && !active.remembers(c.ref.Version) {
			// The version after the replaced one may have been made by an earlier attempt of this very commit: nothing
			// remembers who made it, or a put without an answer took effect and a restore of the table removed it.
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

// again returns nil if the commit should be tried again, which is safe since each attempt writes the same version.
func (c *commit) again(message string, cause error) error {
	if c.uncertain || c.tries < commitAttempts {
		return nil
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, Message: message,
		Remedy: "repeat the commit when the platform is available again", RetryAfter: 2 * clock.Second, Cause: cause,
	}
}

// undecided returns the error of a commit whose result could not be found out.
func (c *commit) undecided(cause error) error {
	if !c.uncertain {
		c.tries = commitAttempts
		return c.again("the commit took too long", cause)
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeUnknown,
		Message: "the table did not confirm the commit, which may still take effect",
		Remedy:  "repeat the commit with the same commit id to learn its result", RetryAfter: 2 * clock.Second, Cause: cause,
	}
}

func invalid(message, remedy string, cause error) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun,
		Message: message, Remedy: remedy, Cause: cause,
	}
}

func conflict(message, remedy string) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindConflict, Outcome: poplarwinch.OutcomeNotRun, Message: message, Remedy: remedy,
	}
}

// upload stores sections under their digests. A section that is already there counts as stored.
func (s *Store) upload(ctx context.Context, bodies map[string][]byte, digests []string) error {
	u := &uploader{store: s, bodies: bodies, queue: make(chan string, len(digests))}
	for _, digest := range digests {
		u.queue <- digest
	}
	close(u.queue)
	var group sync.WaitGroup
	for range min(concurrentTransfers, len(digests)) {
		group.Go(func() { u.run(ctx) })
	}
	group.Wait()
	return errors.Join(u.errors...)
}

// uploader stores the sections of one record.
type uploader struct {
	store  *Store
	bodies map[string][]byte
	queue  chan string
	mutex  sync.Mutex
	errors []error
}

func (u *uploader) run(ctx context.Context) {
	for digest := range u.queue {
		err := u.store.objects.PutNew(ctx, objectKey(digest), u.bodies[digest])
		if err != nil && !errors.Is(err, ErrExists) {
			u.mutex.Lock()
			u.errors = append(u.errors, err)
			u.mutex.Unlock()
			return
		}
	}
}
