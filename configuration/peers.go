package configuration

import (
	"context"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// Peers reaches the other instances. The functions return when ctx ends, with what they have by then.
type Peers struct {
	// Records returns the active records of the peers that answer, and an error if there are peers but none answers.
	Records func(ctx context.Context) ([]Record, error)
	// Record asks peers for their active record until one has the version or a later one.
	Record func(ctx context.Context, version manifest.Version, digest string) (Record, error)
	// Sections returns the bodies of those sections that peers have, by digest.
	Sections func(ctx context.Context, digests []string) (map[string][]byte, error)
}
