package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Announcement is what an instance sends its peers about its own prompts in prefill on one upstream.
type Announcement struct {
	ID      poplarwinch.UpstreamID
	At      clock.Millis
	Prefill Prefill
}
