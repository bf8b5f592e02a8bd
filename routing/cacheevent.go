package routing

// CacheEvent reports prefix blocks that entered or left an engine's cache.
type CacheEvent struct {
	// Sequence increases by 1 with each event since the engine's boot; a gap means that events were lost.
	Sequence uint64
	// Removed says that the blocks left the cache.
	Removed bool
	Blocks  []uint64
}
