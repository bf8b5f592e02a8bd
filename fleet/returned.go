package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// domainReturned is called at the end of the evacuation of a failure domain. The caller holds the lock.
func (f *Fleet) domainReturned(_ poplarwinch.FailureDomain, _ clock.Millis) {}
