package peer

// ManifestQuery asks a peer for a manifest.
type ManifestQuery struct {
	Version uint64   // 0: the active one
	Want    []string // digests of the sections whose data the reply should hold
}

// ManifestPart is a manifest's version and sections, with the data of those that were asked for.
type ManifestPart struct {
	Version uint64
	Digest  string
	// Record is the encoded configuration record, which names all sections.
	Record []byte
	// Sections are those that were asked for and that the peer has.
	Sections []Section
}

// Section is one section of a manifest.
type Section struct {
	Digest string
	Data   []byte
}
