package dispatch

import (
	"github.com/poplarwinch/poplarwinch/fleet"
)

// observeHeldBack records that a request was not sent now although a cold server might have taken it if it could get more requests.
func (x *run) observeHeldBack(candidates []fleet.Candidate) {
	for i := range candidates {
		if c := &candidates[i]; c.Cold && c.Wait > 0 && !c.Avoid {
			x.d.fleet.WantCold(x.Service)
			x.d.metrics.heldByCold(x.Service)
			return
		}
	}
}
