package fleet

// Reach says which instances have to be notified of a change at once.
type Reach string

const (
	// ReachNear changes concern servers of the own cell only.
	ReachNear Reach = "near"
	// ReachBusy changes concern a server of the own cell with more than busySlotsFraction of its slots in use. In a
	// small deployment, instances of other cells are notified of them at once too.
	ReachBusy Reach = "busy"
	// ReachDistant changes concern servers of other cells.
	ReachDistant Reach = "distant"
	// ReachAll changes concern all instances, such as a newer table.
	ReachAll Reach = "all"
)
