package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// Peers holds the functions that query the other instances. When ctx ends they return what they have received.
type Peers struct {
	// Records returns the active records of the peers that answer. It returns an error if there are peers but none
	// answers.
	Records func(ctx context.Context) ([]Record, error)
	// Record queries peers until one has the version or a later one active, and returns that peer's record.
	Record func(ctx context.Context, version manifest.Version, digest string) (Record, error)
	// Sections returns the bodies of the sections that the peers have, by digest.
	Sections func(ctx context.Context, digests []string) (map[string][]byte, error)
}
