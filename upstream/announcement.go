package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Announcement tells peers about work that one instance sent to an upstream and that load reports may not include yet.
type Announcement struct {
	ID           poplarwinch.UpstreamID
	From         poplarwinch.InstanceID
	At           clock.Millis
	Prefill      poplarwinch.Tokens
	LongPrefills int64
}

// peerWork is the sum of the valid announcements of all peers for one upstream.
type peerWork struct {
	prefill poplarwinch.Tokens
	longs   int64
}
