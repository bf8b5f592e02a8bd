package placement

import "github.com/poplarwinch/poplarwinch/upstream"

// assignment is the placement decision for one engine.
type assignment struct {
	engine Engine
	// fixed excludes the engine from new decisions: an order is pending, or the last observation is stale.
	fixed bool
	// want holds the desired models.
	want   []upstream.LoadedModel
	reason Reason
	// causedBy is the model whose engine count or version requires the change; nil if the change only unloads models.
	causedBy *target
}

// loads reports whether the engine lacks any of the desired models.
func (a *assignment) loads() bool { return !containsModels(a.engine.Models, a.want) }
