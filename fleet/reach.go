package fleet

// Reach says which instances need to know of a change of work at once.
type Reach string

const (
	// ReachNear changes concern servers of the own failure domain only.
	ReachNear Reach = "near"
	// ReachCrowded changes concern a server of the own failure domain that is nearly full.
	ReachCrowded Reach = "crowded"
	// ReachDistant changes concern servers of other failure domains.
	ReachDistant Reach = "distant"
	// ReachAll changes concern everybody, such as a newer table.
	ReachAll Reach = "all"
)
