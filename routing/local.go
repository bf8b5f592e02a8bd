package routing

import (
	"slices"

	"github.com/poplarwinch/poplarwinch/upstream"
)

// Local returns the eligible engines for the prompt in the own failure domain, or in all failure domains if the own one
// has none.
func (r *Router) Local(s *upstream.Snapshot, p *Prompt) []*upstream.Upstream {
	group := s.Engines(p.Model, p.Adapter)
	for _, engines := range [][]*upstream.Upstream{group.LocalOrAll(r.domain), group.All} {
		found := slices.DeleteFunc(slices.Clone(engines), func(u *upstream.Upstream) bool { return !eligible(u, p.Avoid) })
		if len(found) > 0 {
			return found
		}
	}
	return nil
}
