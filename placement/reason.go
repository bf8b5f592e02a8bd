package placement

// Reason is the reason for a change of an engine's models.
type Reason string

// The reasons of placement decisions. Their rank decides which loads start first within the limit of concurrent loads.
const (
	// ReasonUnmetDemand means that the model has demand and no engine in the failure domain.
	ReasonUnmetDemand Reason = "unmet-demand"
	// ReasonMinimum means that the model has fewer engines than the manifest's minimum.
	ReasonMinimum Reason = "minimum"
	// ReasonDemand means that the model's share of the recent demand justifies another engine.
	ReasonDemand Reason = "demand"
	// ReasonVersion means that the manifest names another version or other adapters of the model.
	ReasonVersion Reason = "version"
	// ReasonSpare means that the engine gets a model although neither a minimum nor demand requires it.
	ReasonSpare Reason = "spare"
	// ReasonRemoved means that models are unloaded that the manifest no longer names or that another version replaced.
	ReasonRemoved Reason = "removed"
	// ReasonRepeat means that the effect of an earlier order has not been observed yet.
	ReasonRepeat Reason = "repeat"
)

// rank returns the urgency of the reason; 0 is the most urgent.
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
