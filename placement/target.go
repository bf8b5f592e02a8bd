package placement

import "github.com/poplarwinch/poplarwinch/upstream"

// target is a model of the manifest with its desired and present numbers of engines.
type target struct {
	model upstream.LoadedModel
	// minimum is the manifest's minimum number of engines, reduced if the failure domain has too few.
	minimum int
	// demand is the number of recent prompt tokens.
	demand int64
	// ideal is the minimum plus the model's weighted share of the remaining engines.
	ideal float64
	// assigned is the number of engines that have the model or are to load it.
	assigned int
	// serving is the number of engines that have the model in any version and are not to unload it.
	serving int
	// updating reports whether an engine is replacing an earlier version.
	updating bool
}

// minServing returns the number of serving engines that every change must preserve.
func (t *target) minServing() int {
	if t.demand > 0 {
		return max(1, t.minimum)
	}
	return t.minimum
}

// hasSurplus reports whether an engine can be moved to another model.
func (t *target) hasSurplus() bool { return t.assigned > t.minServing() && t.serving > t.minServing() }

// deficit returns the ideal minus the assigned number of engines; it is negative for a surplus.
func (t *target) deficit() float64 { return t.ideal - float64(t.assigned) }

// reason returns the reason for assigning another engine to the model.
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

// hasPriorityOver reports whether t gets the next available engine before other.
func (t *target) hasPriorityOver(other *target) bool {
	if a, b := t.reason().rank(), other.reason().rank(); a != b && min(a, b) < ReasonDemand.rank() {
		return a < b
	}
	return t.deficit() > other.deficit()
}
