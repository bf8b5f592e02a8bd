package placement

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Engine is what is known about one engine of the failure domain.
type Engine struct {
	ID      poplarwinch.UpstreamID
	Address string
	// Up says that the engine is neither leaving nor down.
	Up     bool
	BootID string
	// At is the time of the observation; zero means that there is none.
	At     clock.Millis
	Models []upstream.Loaded
}

// has reports whether the engine has a model of the name in any version.
func (e *Engine) has(name poplarwinch.ModelName) bool { return hasName(e.Models, name) }
