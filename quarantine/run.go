package quarantine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// A broken stream is noticed before the death of its engine, so a run that ended without being completed still counts
// as running on the engine for this long. A death is known after at most 2.5 s.
const endedGrace = 3 * clock.Second

// run is one execution of a request on an engine.
type run struct {
	upstream    poplarwinch.UpstreamID
	fingerprint Fingerprint
	completed   bool
	endedAt     clock.Millis
}

// over reports whether a death of the engine can no longer concern the run.
func (r *run) over(now clock.Millis) bool {
	return r.completed || r.endedAt != 0 && now-r.endedAt > endedGrace
}
