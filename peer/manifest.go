package peer

// ManifestQuery asks a peer for a manifest.
type ManifestQuery struct {
	Version uint64   // 0: the active one
	Want    []string // digests of the sections whose data the reply should hold
}

// ManifestPart is a manifest's version and sections, with the data of those that were asked for.
type ManifestPart struct {
	Version  uint64
	Digest   string
	Sections []Section
}

// Section is one section of a manifest. Data is nil unless it was asked for.
type Section struct {
	Name   string
	Digest string
	Data   []byte
}
