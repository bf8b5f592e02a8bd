package configuration

import "github.com/poplarwinch/poplarwinch/manifest"

// CommitRef identifies an accepted commit.
type CommitRef struct {
	ID      string           `json:"id"`
	Version manifest.Version `json:"version"`
	Digest  string           `json:"digest"`
}

// sameManifest reports whether both commits produced the same version of the same manifest.
func (c CommitRef) sameManifest(other CommitRef) bool {
	return c.Version == other.Version && c.Digest == other.Digest
}
