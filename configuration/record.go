package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// maxRecentCommits is the number of commits that a record lists. A repeated commit is recognized, and the result of a put
// with a lost reply is found, as long as fewer commits followed. 32 commits keep the row below 12 KiB.
const maxRecentCommits = 32

// Record describes an accepted manifest. It is the body of the manifest row and is exchanged between instances.
type Record struct {
	Version  manifest.Version      `json:"version"`
	Digest   string                `json:"digest"`
	Sections []manifest.SectionRef `json:"sections"`
	// Commits lists the most recent commits; the last one produced this version.
	Commits []CommitRef `json:"commits"`
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads a record from JSON and checks its version and digest.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return Record{}, fmt.Errorf("decode the manifest record: %w", err)
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// check verifies that the version is not zero and that the digest matches the sections.
func (r Record) check() error {
	if r.Version == 0 {
		return fmt.Errorf("the manifest record has no version")
	}
	if got := manifest.Digest(r.Sections); got != r.Digest {
		return fmt.Errorf("the manifest record of version %d has digest %s, but its sections have digest %s", r.Version, r.Digest, got)
	}
	return nil
}

// commit returns the listed commit with the given id.
func (r Record) commit(id string) (CommitRef, bool) {
	for _, c := range r.Commits {
		if c.ID == id {
			return c, true
		}
	}
	return CommitRef{}, false
}

// hasCommitOf reports whether the record lists the commit that produced the version.
func (r Record) hasCommitOf(version manifest.Version) bool {
	for _, c := range r.Commits {
		if c.Version == version {
			return true
		}
	}
	return false
}

// lostCommits returns the commits of other that the history of r should contain but doesn't. There are none if r lists no commits.
func (r Record) lostCommits(other Record) []CommitRef {
	var lost []CommitRef
	for _, c := range other.Commits {
		if len(r.Commits) > 0 && c.Version >= r.Commits[0].Version && c.Version <= r.Version && !slices.ContainsFunc(r.Commits, c.sameManifest) {
			lost = append(lost, c)
		}
	}
	return lost
}

// next returns the record of a commit that replaces r. r is the zero Record before the first commit.
func (r Record) next(c CommitRef, sections []manifest.SectionRef) Record {
	commits := append([]CommitRef{}, r.Commits...)
	commits = append(commits, c)
	if len(commits) > maxRecentCommits {
		commits = commits[len(commits)-maxRecentCommits:]
	}
	return Record{Version: c.Version, Digest: c.Digest, Sections: sections, Commits: commits}
}
