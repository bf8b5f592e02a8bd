package routing

import "github.com/poplarwinch/poplarwinch/upstream"

// Followed is an engine whose cache events are of interest.
type Followed struct {
	Upstream *upstream.Upstream
	// BootID changes with each start of the engine; engines without one are not followed yet.
	BootID string
}
