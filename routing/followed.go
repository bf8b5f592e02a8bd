package routing

import "github.com/poplarwinch/poplarwinch/upstream"

// Followed is an engine whose cache events a Follower may follow.
type Followed struct {
	Upstream *upstream.Upstream
	// BootID changes with each start of the engine. Engines without a known one are not followed.
	BootID string
}
