package peer

// ManifestQuery asks a peer for a manifest.
type ManifestQuery struct {
	Version uint64   // 0: the active version
	Want    []string // digests of the requested sections
}

// ManifestPart is a manifest's version and record, with the requested sections.
type ManifestPart struct {
	Version uint64
	Digest  string
	// Record is the encoded configuration record, which names all sections.
	Record []byte
	// Sections are the requested sections that the peer has.
	Sections []Section
}

// Section is one section of a manifest.
type Section struct {
	Digest string
	Data   []byte
}
