package placement

import "github.com/poplarwinch/poplarwinch/upstream"

// target is a model of the manifest with the number of engines that it shall have and has.
type target struct {
	model upstream.Loaded
	// minimum is the number of engines that the manifest demands, cut to what the failure domain has.
	minimum int
	// demand counts recent prompt tokens.
	demand int64
	// ideal is the minimum plus the share of the remaining engines by demand.
	ideal float64
	// assigned counts the engines that have the model or are to load it.
	assigned int
	// serving counts the engines that have the model in any version and have no order to unload it.
	serving int
	// updating says that an engine is replacing an earlier version.
	updating bool
}

// floor returns the number of engines below which no change may bring the model.
func (t *target) floor() int {
	if t.demand > 0 {
		return max(1, t.minimum)
	}
	return t.minimum
}

// spare reports whether an engine can be taken from the model.
func (t *target) spare() bool { return t.assigned > t.floor() && t.serving > t.floor() }

// missing returns how many engines the model lacks to its ideal number.
func (t *target) missing() float64 { return t.ideal - float64(t.assigned) }

// reason returns why a further engine is given to the model.
func (t *target) reason() Reason {
	switch {
	case t.demand > 0 && t.assigned == 0:
		return ReasonUnmetDemand
	case t.assigned < t.minimum:
		return ReasonMinimum
	case t.demand > 0:
		return ReasonDemand
	}
	return ReasonSpare
}

// before reports whether t gets the next free engine rather than other.
func (t *target) before(other *target) bool {
	if a, b := t.reason().rank(), other.reason().rank(); a != b && min(a, b) < ReasonDemand.rank() {
		return a < b
	}
	return t.missing() > other.missing()
}
