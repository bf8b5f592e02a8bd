package quarantine

import (
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// minHalfOpenDelay is the time after the last death before which all requests with a blocked suspect are rejected. It doubles with
	// each request that was allowed after it and crashed its engine, up to maxHalfOpenDelay.
	minHalfOpenDelay = 2 * clock.Minute
	maxHalfOpenDelay = 5 * clock.Minute
	// halfOpenSpacing is the mean time between the first requests that two instances allow. It covers a crash at the end of a long answer,
	// which is known to all then.
	halfOpenSpacing = 20 * clock.Second
	// maxHalfOpenSpread bounds the time in which all instances allow their first request, so that the instance at which a rare request comes
	// allows it before the block expires.
	maxHalfOpenSpread = quarantinePeriod - minHalfOpenDelay
	// halfOpenInterval is the time between two requests that this instance allows.
	halfOpenInterval = 20 * clock.Second
)

// halfOpen allows single requests with blocked suspects some time after the last death, like a half-open circuit breaker, so that an
// answer clears a suspect that is blocked wrongly. Each instance begins at another time, so that few requests run before all instances
// know of the first result.
type halfOpen struct {
	// instances returns the number of live instances.
	instances func() int
	// share is this instance's place among the instances, from 0 to 1.
	share float64
	// allowedAt has the times of the latest requests that were allowed.
	allowedAt map[Fingerprint]clock.Millis
}

func newHalfOpen() halfOpen {
	return halfOpen{instances: func() int { return 1 }, share: rand.Float64(), allowedAt: map[Fingerprint]clock.Millis{}}
}

// allow reports whether a request with the suspect may run, and counts it if so.
func (h *halfOpen) allow(f Fingerprint, b *block, now clock.Millis) bool {
	if now-b.lastDeathAt < minHalfOpenDelay {
		return false
	}
	last, allowed := h.allowedAt[f]
	if now-b.lastDeathAt < h.delay(b.failedTrials) || allowed && now-last < halfOpenInterval {
		return false
	}
	h.allowedAt[f] = now
	return true
}

// delay returns the time from the last death to the first request that this instance allows.
func (h *halfOpen) delay(failedTrials int) clock.Millis {
	delay := minHalfOpenDelay
	for range failedTrials {
		delay = min(2*delay, maxHalfOpenDelay)
	}
	spread := min(halfOpenSpacing*clock.Millis(h.instances()), maxHalfOpenSpread)
	return delay + clock.Millis(h.share*float64(spread))
}

// failedTrials returns the number of deaths, ordered by time, that came at least minHalfOpenDelay after the one before: all other requests
// with the suspect were rejected then.
func failedTrials(deaths []Death) int {
	count := 0
	for i := 1; i < len(deaths); i++ {
		if deaths[i].At-deaths[i-1].At >= minHalfOpenDelay {
			count++
		}
	}
	return count
}
