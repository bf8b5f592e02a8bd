package placement

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// situation is all that a placement decision depends on.
type situation struct {
	now      clock.Millis
	manifest *manifest.Manifest
	engines  []Engine
	demand   map[poplarwinch.ModelName]int64
	underway map[poplarwinch.UpstreamID]*underway

	// ignoreFloor breaks the mechanism; only tests of the tests set it.
	ignoreFloor bool
}
