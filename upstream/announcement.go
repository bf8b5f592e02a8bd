package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Announcement tells peers about one instance's prompts in prefill on an upstream.
type Announcement struct {
	ID      poplarwinch.UpstreamID
	At      clock.Millis
	Prefill Prefill
}
