package quarantine

// Deaths returns the number of engines that died while they ran the request, as far as this instance knows.
func (g *Register) Deaths(f Fingerprint) int {
	s := (*g.suspects.Load())[f]
	if s.expired(g.clock.Now()) {
		return 0
	}
	return len(s.Deaths)
}
