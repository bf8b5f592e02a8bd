package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Observation is the state of an upstream as an instance observed it at a point in time.
type Observation struct {
	ID     poplarwinch.UpstreamID
	At     clock.Millis // Unix time
	State  string       // "up", "leaving" or "down"
	BootID string
	Role   string
	Load   Load
	Models []LoadedModel
}
