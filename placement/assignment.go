package placement

import "github.com/poplarwinch/poplarwinch/upstream"

// assignment is the decision about one engine.
type assignment struct {
	engine Engine
	// settled engines get no new decision: an order is under way, or there is no recent observation.
	settled bool
	want    []upstream.Loaded
	reason  Reason
	// cause is the model that the change serves; nil if it only unloads.
	cause *target
}

// loads reports whether the engine has to load a model.
func (a *assignment) loads() bool { return !containsAll(a.engine.Models, a.want) }
