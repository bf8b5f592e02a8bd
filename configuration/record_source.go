package configuration

// recordSource is where a record came from. Its sections are fetched from there first: from the object store for the
// table, or from the peers.
type recordSource string

const (
	sourceTable recordSource = "table"
	sourcePeer  recordSource = "peer"
)
