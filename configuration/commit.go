package configuration

import (
	"context"
	"regexp"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// commitTimeout bounds a commit with all its attempts. It leaves time to recover from several lost replies.
	commitTimeout = 20 * clock.Second
	// maxCommitAttempts is the number of attempts after which a commit fails if certainly none of them wrote the row.
	maxCommitAttempts = 3
	// commitRetryInterval is the pause between two attempts of a commit.
	commitRetryInterval = clock.Second / 2
)

var commitIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Commit validates a manifest document and makes it the current manifest if replaces is still the current version. It is
// idempotent: a repeat with the same commit id and content returns the version of the first commit. The error is a
// *poplarwinch.Error; outcome unknown means that the commit may have taken effect or still may.
func (s *Store) Commit(
	ctx context.Context, data []byte, replaces manifest.Version, commitID string,
) (manifest.Version, error) {
	c, err := s.newCommit(data, replaces, commitID)
	if err != nil {
		return 0, err
	}
	ctx, cancel := s.withTimeout(ctx, commitTimeout)
	defer cancel()
	for c.attempts = 1; ; c.attempts++ {
		version, done, err := c.attempt(ctx)
		if done || err != nil {
			return version, err
		}
		if s.clock.Sleep(ctx, commitRetryInterval) != nil {
			return 0, c.timeoutError(ctx.Err())
		}
	}
}

// commit is the state of a commit in progress.
type commit struct {
	store         *Store
	replaces      manifest.Version
	commitRef     CommitRef
	index         *manifest.Index
	sectionRefs   []manifest.SectionRef
	sectionBodies map[string][]byte
	attempts      int
	// uncertain is set once the result of a put is unknown.
	uncertain bool
}

func (s *Store) newCommit(data []byte, replaces manifest.Version, id string) (*commit, error) {
	if !commitIDPattern.MatchString(id) {
		return nil, invalidError("the commit id has a wrong length or a character that is not allowed",
			"use 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit", nil)
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return nil, invalidError(err.Error(), "correct the listed fields", err)
	}
	if err := s.checkService(m); err != nil {
		return nil, invalidError(err.Error(), "commit it to the instances of its own deployment", err)
	}
	index, err := manifest.Compile(replaces+1, m)
	if err != nil {
		return nil, invalidError(err.Error(), "correct the manifest", err)
	}
	// A mistyped year would end the service at once. A past date is accepted if the active manifest has the same one.
	if active := s.Active(); index.Ended(s.clock.Now()) && (active == nil || active.End() != index.End()) {
		return nil, invalidError("the final date is in the past", "commit a final date that is today or later", nil)
	}
	sections, err := manifest.Split(m)
	if err != nil {
		return nil, invalidError(err.Error(), "correct the manifest", err)
	}
	c := &commit{
		store: s, replaces: replaces, index: index, sectionRefs: manifest.Refs(sections), sectionBodies: map[string][]byte{},
		commitRef: CommitRef{ID: id, Version: replaces + 1, Digest: index.Digest},
	}
	for _, section := range sections {
		c.sectionBodies[section.Digest] = section.Body
	}
	return c, nil
}
