package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// recentCommits is the number of commits that a record remembers. A repeated commit is recognized, and a lost reply
// settled, as long as fewer commits followed; 32 of them keep the row below 12 KiB.
const recentCommits = 32

// Record describes an accepted manifest: the body of the table row, and what instances tell each other.
type Record struct {
	Version  manifest.Version      `json:"version"`
	Digest   string                `json:"digest"`
	Sections []manifest.SectionRef `json:"sections"`
	// Commits lists the latest commits, the one of this version last.
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

func (r Record) check() error {
	if r.Version == 0 {
		return fmt.Errorf("the manifest record has no version")
	}
	if got := manifest.Digest(r.Sections); got != r.Digest {
		return fmt.Errorf("the manifest record of version %d has digest %s, its sections %s", r.Version, r.Digest, got)
	}
	return nil
}

// commit returns the remembered commit with the given id.
func (r Record) commit(id string) (CommitRef, bool) {
	for _, c := range r.Commits {
		if c.ID == id {
			return c, true
		}
	}
	return CommitRef{}, false
}

// remembers reports whether the record says which commit made the version.
func (r Record) remembers(version manifest.Version) bool {
	for _, c := range r.Commits {
		if c.Version == version {
			return true
		}
	}
	return false
}

// next returns the record of a commit that replaces r, whose version may be zero.
func (r Record) next(c CommitRef, sections []manifest.SectionRef) Record {
	commits := append([]CommitRef{}, r.Commits...)
	commits = append(commits, c)
	if len(commits) > recentCommits {
		commits = commits[len(commits)-recentCommits:]
	}
	return Record{Version: c.Version, Digest: c.Digest, Sections: sections, Commits: commits}
}
