package configuration

import "github.com/poplarwinch/poplarwinch/manifest"

// CommitRef identifies an accepted commit.
type CommitRef struct {
	ID      string           `json:"id"`
	Version manifest.Version `json:"version"`
	Digest  string           `json:"digest"`
}
