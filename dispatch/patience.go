package dispatch

import "github.com/poplarwinch/poplarwinch/clock"

// maxHeldFraction is the fraction of the caller's patience for which a request is held without having been sent. After that it is rejected,
// so that the caller still has time to come back.
const maxHeldFraction = 0.5

// givesUpAt returns the time at which the caller is expected to give up if it has received nothing.
func (x *run) givesUpAt() clock.Millis { return min(x.Deadline, x.Started+x.callerTimeout()) }

// maxHeldTime returns the longest time after its arrival for which a request is held without having been sent.
func (x *run) maxHeldTime() clock.Millis {
	return clock.Millis(maxHeldFraction * float64(x.givesUpAt()-x.Started))
}

// hasOrder reports whether the waiting requests of the service are put in order.
func (x *run) hasOrder() bool { return x.Priority != nil && x.Priority.Ordered }

// isHeldTooLong reports whether a request that was sent to no server is to be rejected instead of waiting further. Where all requests of
// the service have the same priority, they wait as long as before priorities were known.
func (x *run) isHeldTooLong() bool {
	return x.hasOrder() && !x.begun && x.possibleRuns == 0 && x.d.clock.Now()-x.Started >= x.maxHeldTime()
}

// plainPatience returns the time that the caller of a plain service still waits, and that for which it waits in all. Only the deadline
// counts once an answer has begun, and where all requests of the service have the same priority: waits for limits are as long there as
// before priorities were known.
func (x *run) plainPatience() (left, full clock.Millis) {
	end := x.Deadline
	if x.hasOrder() && !x.begun {
		end = x.givesUpAt()
	}
	return end - x.d.clock.Now(), end - x.Started
}

// notReserved returns the error for a request whose memory could not be reserved, or nil if it waits for another try: decisions on such a
// prompt don't reject it, because they see enough free memory.
func (x *run) notReserved() error {
	if !x.isHeldTooLong() {
		return nil
	}
	return x.overloaded("the engines refuse to reserve memory for the prompt", 0)
}

// listOnTheWay reports whether the request waits for the server list of an instance that has just started.
func (x *run) listOnTheWay() bool {
	return !x.d.listLoaded() && x.d.clock.Now()-x.Started < maxListWait && !x.isHeldTooLong()
}
