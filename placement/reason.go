package placement

// Reason says why an engine's models change.
type Reason string

// The reasons of placement decisions, in the order in which they get a share of the concurrent loads.
const (
	// ReasonUnmetDemand means that the model has demand and no engine in the failure domain.
	ReasonUnmetDemand Reason = "unmet-demand"
	// ReasonMinimum means that the model has fewer engines than the manifest demands.
	ReasonMinimum Reason = "minimum"
	// ReasonDemand means that the model's share of recent demand calls for a further engine.
	ReasonDemand Reason = "demand"
	// ReasonVersion means that the manifest names another version or other adapters of the model.
	ReasonVersion Reason = "version"
	// ReasonSpare means that the engine had no model of the manifest.
	ReasonSpare Reason = "spare"
	// ReasonRemoved means that models are unloaded which the manifest no longer names or which a newer version replaced.
	ReasonRemoved Reason = "removed"
	// ReasonRepeat means that an earlier order has not shown its effect yet.
	ReasonRepeat Reason = "repeat"
)

// rank orders reasons by urgency.
func (r Reason) rank() int {
	switch r {
	case ReasonUnmetDemand:
		return 0
	case ReasonMinimum:
		return 1
	case ReasonDemand:
		return 2
	case ReasonVersion:
		return 3
	default:
		return 4
	}
}
