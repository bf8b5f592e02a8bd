package quarantine

import (
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// firstTrialDelay is the time after the last death before which no request with a blocked suspect is tried again.
	firstTrialDelay = 3 * clock.Minute
	// trialInterval is the time between two trials by this instance.
	trialInterval = 10 * clock.Second
)

// trials lets single requests with blocked suspects through some minutes after the last death, so that a suspect that is blocked
// wrongly is found to be sound. Each instance begins at another time, so that few trials run before all know of the first result.
type trials struct {
	// delay is the time from the last death to this instance's first trial.
	delay clock.Millis
	// last has the times of the latest trials.
	last map[Fingerprint]clock.Millis
}

func newTrials() trials {
	spread := int64(quarantinePeriod - firstTrialDelay)
	return trials{delay: firstTrialDelay + clock.Millis(rand.Int64N(spread)), last: map[Fingerprint]clock.Millis{}}
}

// take reports whether a request with the suspect may run as a trial, and counts it if so.
func (t *trials) take(f Fingerprint, lastDeathAt, now clock.Millis) bool {
	if now-lastDeathAt < t.delay || now-t.last[f] < trialInterval && t.last[f] != 0 {
		return false
	}
	t.last[f] = now
	return true
}
