package dispatch

import (
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// retryAfterTimeFraction is the fraction of their remaining time up to which callers honour a Retry-After.
	retryAfterTimeFraction = 1.0 / 3
	// retryAfterSpread is the ratio of the longest to the shortest Retry-After of callers that are rejected at the same time.
	retryAfterSpread = 1.5
	// minRetryAfter is the shortest Retry-After hint. It is about the time in which a few requests end.
	minRetryAfter clock.Millis = 50
)

// retryAfter returns the Retry-After of a rejection: the predicted time until capacity is free, limited to what the caller honours and
// spread, so that callers don't return at the same time.
func (x *run) retryAfter(untilFree clock.Millis) clock.Millis {
	if x.d.cost == nil || !x.d.costUses.RetryAfter {
		return retryAfterFull + clock.Millis(rand.Int64N(int64(retryAfterFull/2)))
	}
	if untilFree <= 0 {
		untilFree = retryAfterFull
	}
	left := x.Deadline - x.d.clock.Now()
	longest := retryAfterTimeFraction * float64(left)
	shortest := min(max(float64(untilFree), float64(minRetryAfter)), longest/retryAfterSpread)
	return max(clock.Millis(shortest*(1+(retryAfterSpread-1)*rand.Float64())), 1)
}

// untilFree predicts the time until one of the engines has room for this request after those that wait at this instance: the prefill
// that the least busy engine still has to do, and the time in which as many running requests end, retryAfterFull at least: callers that
// come back sooner meet the same overload and are rejected again. It is zero if the time for which requests occupy an engine is not known.
func (x *run) untilFree(engines []fleet.Candidate) clock.Millis {
	if x.d.cost == nil || len(engines) == 0 {
		return 0
	}
	total := x.d.cost.Usual(x.Service)
	if !total.Known() {
		return 0
	}
	running, prefill := 0, engines[0].Load.Prefill
	for i := range engines {
		running += engines[i].Load.Requests
		prefill = min(prefill, engines[i].Load.Prefill)
	}
	ending := float64(x.d.fleet.Waiting()) * total.Mean / float64(max(running, 1))
	return max(clock.Millis(ending), prefill, retryAfterFull)
}

// untilAllowed returns the time until the limit of one of the servers allows another request.
func untilAllowed(servers []fleet.Candidate) clock.Millis {
	wait := servers[0].Wait
	for i := range servers {
		wait = min(wait, servers[i].Wait)
	}
	return wait
}
