package reservation

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

const (
	// usableFreeMemoryPercent is the percentage of the reported free memory that may be reserved. The rest is left to requests
	// that arrive in the meantime, since reports lag.
	usableFreeMemoryPercent = 85
	// minShareTokens is the usable memory below which an engine takes no share. It keeps groups off engines that are
	// nearly full.
	minShareTokens poplarwinch.Tokens = 4096
)

// divide spreads need over as few engines as possible, those with the most free memory first. It returns nil if the
// candidates can't hold it.
func divide(need poplarwinch.Tokens, candidates []Candidate) []Share {
	list := slices.Clone(candidates)
	slices.SortStableFunc(list, func(a, b Candidate) int {
		if c := cmp.Compare(b.FreeTokens, a.FreeTokens); c != 0 {
			return c
		}
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	var shares []Share
	for _, c := range list {
		usable := c.FreeTokens * usableFreeMemoryPercent / 100
		if need <= 0 || usable < minShareTokens {
			break
		}
		tokens := min(usable, need)
		shares = append(shares, Share{Upstream: c.Upstream, Address: c.Address, Tokens: tokens})
		need -= tokens
	}
	if need > 0 {
		return nil
	}
	return shares
}
