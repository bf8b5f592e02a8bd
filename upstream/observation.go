package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Observation is what one instance saw of an upstream at one time.
type Observation struct {
	ID    poplarwinch.UpstreamID
	At    clock.Millis
	State State
	// Refused means that the connection was refused: no process listens at the address.
	Refused bool
	// BootID changes whenever the upstream's process starts; empty when unknown.
	BootID string
	Load   Load
	// Models are the loaded models; nil means that they were not observed.
	Models []Loaded
}
