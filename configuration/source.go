package configuration

// source says where the news of a record came from; its sections are fetched from there first.
type source string

const (
	sourceTable source = "table"
	sourcePeer  source = "peer"
)
