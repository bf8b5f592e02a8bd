package placement

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Engine is the last observed state of one engine of the failure domain.
type Engine struct {
	ID      poplarwinch.UpstreamID
	Address string
	// Up reports whether the engine is neither leaving nor down.
	Up     bool
	BootID string
	// At is the time of the observation; zero means that the engine has not been observed.
	At     clock.Millis
	Models []upstream.LoadedModel
}

// hasModel reports whether any version of the model is loaded.
func (e *Engine) hasModel(name poplarwinch.ModelName) bool { return containsName(e.Models, name) }
