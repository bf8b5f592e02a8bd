package quarantine

// Deaths returns the number of engine deaths during the request that this instance knows of and no answer has cleared, or 0 once they
// have expired.
func (g *Register) Deaths(f Fingerprint) int {
	s := (*g.suspects.Load())[f]
	if s.expired(g.clock.Now()) {
		return 0
	}
	return len(s.unclearedDeaths())
}

// IsBlockedAfter reports whether a request that has deaths held against it would be blocked after a number of further ones.
func (g *Register) IsBlockedAfter(f Fingerprint, further int) bool {
	known := g.Deaths(f)
	return known > 0 && known+further >= blockingDeaths
}
