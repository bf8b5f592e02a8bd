package placement

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// planInput is the complete input of a placement decision.
type planInput struct {
	now      clock.Millis
	manifest *manifest.Manifest
	engines  []Engine
	demand   map[poplarwinch.ModelName]int64
	pending  map[poplarwinch.UpstreamID]*pending

	// ignoreMinimums disables a safeguard; only TestCheckerDetects sets it.
	ignoreMinimums bool
}
