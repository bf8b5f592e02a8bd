package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/invariant"
)

// Detached returns an engine that is in no registry, for a stream that still runs on it. It is never selected for new
// work.
func Detached(id poplarwinch.UpstreamID, address string) *Upstream {
	return newUpstream(Listed{ID: id, Kind: KindEngine, Address: address}, 0, clock.System(), invariant.Log)
}
