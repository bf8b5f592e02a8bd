package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// EndedProcess is a process of an upstream that has died.
type EndedProcess struct {
	ID poplarwinch.UpstreamID
	// BootID is that of the process; it is empty if unknown.
	BootID string
}

// Observation is the state of an upstream as one instance observed it at a point in time.
type Observation struct {
	ID    poplarwinch.UpstreamID
	At    clock.Millis
	State State
	// Refused means that the connection was refused, so no process listens at the address.
	Refused bool
	// BootID changes whenever the upstream's process starts; it is empty if unknown.
	BootID string
	Load   Load
	// Models are the loaded models; nil means not observed.
	Models []LoadedModel
}
