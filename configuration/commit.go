package configuration

import (
	"context"
	"regexp"

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
